package btrelay

// EntriesPerSender is the number of entries to which one agent sends its group's load:
// eight messages for a group of 192, five times a second, take about 20 KB/s. A lead
// that sent to 35 entries itself used 477 KB/s of a link of 750 KB/s.
const EntriesPerSender = 8

// LoadSenders chooses the ranks whose agents send the group's load to the given number
// of entries, spread over the available ranks. It returns none if the entries are few
// enough for the lead itself, and fewer than needed if not enough are available.
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
		// Takes the middle of each part, since relays are first in their blocks.
		chosen[i] = ranks[(2*i+1)*len(ranks)/(2*wanted)]
	}
	return chosen
}

// Share returns the part of a list that is assigned to sender i.
func Share[T any](list []T, i, senders int) []T {
	var share []T
	for n := i; n < len(list); n += senders {
		share = append(share, list[n])
	}
	return share
}
