package btrelay

// EntriesPerSender is how many entries one agent tells of its group's load: eight
// words of a group of 192, five a second, take some 20 KB/s. A lead that told 35
// entries itself took 477 KB/s of a link of 750 KB/s for it.
const EntriesPerSender = 8

// LoadSenders chooses the ranks whose agents tell so many entries of the group's load,
// spread over those that are there. None are chosen where the lead can tell the few
// entries itself. Fewer than are wanted are chosen where fewer are there.
func LoadSenders(size, lead, entries int, available func(rank int) bool) []int {
	if entries <= EntriesPerSender {
		return nil
	}
	var ranks []int
	for r := range size {
		if r != lead && available(r) {
			ranks = append(ranks, r)
		}
	}
	wanted := (entries + EntriesPerSender - 1) / EntriesPerSender
	if len(ranks) <= wanted {
		return ranks
	}
	chosen := make([]int, wanted)
	for i := range chosen {
		// The middle of each part, as relays are the first of their blocks.
		chosen[i] = ranks[(2*i+1)*len(ranks)/(2*wanted)]
	}
	return chosen
}

// Share returns the part of a list that the i-th of so many tells.
func Share[T any](list []T, i, senders int) []T {
	var share []T
	for n := i; n < len(list); n += senders {
		share = append(share, list[n])
	}
	return share
}
