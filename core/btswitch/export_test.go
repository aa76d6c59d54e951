package btswitch

// AcceptByBallotOnly disables a member's checks of incarnations and promises, to
// show that they are needed.
func AcceptByBallotOnly(m *Member) { m.variant.ballotOnly = true }

// ReleaseOnPromise makes a lead and a member end a hold as soon as no promise shows
// a commit, to show that one may still be in flight.
func ReleaseOnPromise(l *Lead, m *Member) {
	l.variant.releaseOnPromise = true
	m.variant.releaseOnPromise = true
}
