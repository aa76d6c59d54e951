package btquiet

// maxUnreportedShare is the part of a group of which a lead may have no state for the others to
// be evidence: a lead that has just begun has received few reports of any member.
const maxUnreportedShare = 0.34

// Unreported lists the ranks whose agents don't answer the group's lead while most others
// do: their hosts are frozen or cut off. Known tells for each rank whether the lead has a
// state of late.
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
