package btstall

// maxUnreportedShare is the largest share of a group without a recent state for which
// the missing states are evidence of failure. A lead that has just begun has received
// few reports of any member.
const maxUnreportedShare = 0.34

// Unreported lists the ranks whose agents don't answer the group's lead while most
// others do: their hosts are frozen or cut off. known tells for each rank whether the
// lead has a recent state. It returns nil if too many are missing.
func Unreported(known []bool) []int {
	var ranks []int
	for rank, k := range known {
		if !k {
			ranks = append(ranks, rank)
		}
	}
	if len(ranks) > int(maxUnreportedShare*float64(len(known))) {
		return nil
	}
	return ranks
}
