package btbundle

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btrequest"
)

// startup is what a process knows before anything is in force.
type startup struct {
	until time.Time
	// silent holds the asked peers that have not yet answered.
	silent map[Peer]bool
	asked  bool
	// heard tells that a peer with something in force has answered.
	heard bool
	held  *Approved
}

// Step applies one event.
func (r *Register) Step(now time.Time, event RegisterEvent) []RegisterEffect {
	if r.now.IsZero() {
		r.startup.until = now.Add(r.config.MaxDeferral)
	}
	if now.After(r.now) {
		r.now = now
	}
	r.effects = nil
	switch e := event.(type) {
	case Started:
		r.started(e)
	case Received:
		r.offered(e)
	case Announced:
		r.heard(e)
	case FetchFailed:
		r.fetchFailed(e)
	case Tick:
		r.expire()
	}
	r.release()
	r.fetch()
	return r.effects
}

func (r *Register) emit(e RegisterEffect) { r.effects = append(r.effects, e) }

func (r *Register) refuse(reason btrequest.Reason, err error, source Source) {
	r.emit(Refused{Reason: reason, Err: err, Source: source})
}

// started notes whom the process asks. Asking again adds peers, but makes the
// service's value wait no longer.
func (r *Register) started(e Started) {
	if !r.startup.asked {
		r.startup.until = r.now.Add(r.config.MaxDeferral)
		r.startup.silent = map[Peer]bool{}
	}
	r.startup.asked = true
	for _, p := range e.Peers {
		r.startup.silent[p] = true
	}
}

func (r *Register) offered(e Received) {
	asked := r.answered(e.Source.Peer, e.Requested)
	approved, err := r.verify(e.Raw)
	if err != nil {
		r.refuse(reasonOf(err), err, e.Source)
		r.setAside(e.Source.Peer)
		return
	}
	if asked && approved.Revision().Compare(e.Requested) < 0 {
		r.refuse(ReasonPeerShort, nil, e.Source)
		r.setAside(e.Source.Peer)
	} else if asked {
		r.peers[e.Source.Peer].failures = 0
	}
	if e.Source.FromService() && r.holds() {
		r.hold(approved)
		return
	}
	r.consider(approved, e.Source)
}

// verify checks a signed file; the bundles at hand need no second check.
func (r *Register) verify(raw []byte) (*Approved, error) {
	signed, err := ParseSigned(raw)
	if err != nil {
		return nil, err
	}
	digest := DigestOf(signed.Document)
	for _, known := range []*Approved{r.current, r.startup.held, r.outranked} {
		if known != nil && known.Digest == digest {
			return known, nil
		}
	}
	return r.config.Approvers.Verify(signed)
}

func reasonOf(err error) btrequest.Reason {
	switch {
	case errors.Is(err, ErrTooLarge):
		return ReasonTooLarge
	case errors.Is(err, ErrSignature), errors.Is(err, ErrApprovers):
		return ReasonSignature
	default:
		return ReasonMalformed
	}
}

// holds tells whether the configuration service's value must wait.
func (r *Register) holds() bool {
	s := &r.startup
	if r.current != nil || !r.now.Before(s.until) {
		return false
	}
	if s.asked && len(s.silent) == 0 && !s.heard {
		return false
	}
	return !s.heard || s.held == nil || s.held.Revision().Compare(r.highest()) < 0
}

// hold keeps the highest of the configuration service's values.
func (r *Register) hold(approved *Approved) {
	if approved.Revision().Compare(r.startup.held.Revision()) <= 0 {
		return
	}
	r.startup.held = approved
	r.emit(Deferred{Revision: approved.Revision()})
}

// release considers the held value once nothing speaks for waiting longer.
func (r *Register) release() {
	held := r.startup.held
	if held == nil || r.holds() {
		return
	}
	r.startup.held = nil
	r.consider(held, Source{})
}

// consider puts the bundle in force if it is higher than the one that is.
func (r *Register) consider(approved *Approved, source Source) {
	order := approved.Revision()
	current := r.order
	switch c := order.Compare(current); {
	case c == 0:
		return
	case c < 0:
		r.outranked = approved
		r.refuseLower(approved, source)
	case order.Version == current.Version:
		r.report(order, current, source)
		r.install(approved, source)
	default:
		r.install(approved, source)
	}
}

// errLower is wrapped by the error of a bundle below the one in force.
var errLower = errors.New("not above the bundle in force")

// refuseLower tells of a bundle that the one in force outranks.
func (r *Register) refuseLower(approved *Approved, source Source) {
	order := approved.Revision()
	current := r.order
	if order.Version < current.Version {
		r.refuse(ReasonOlder, fmt.Errorf("%w: version %d is below %d", errLower, order.Version, current.Version), source)
		return
	}
	r.report(current, order, source)
	r.refuse(ReasonConflict, fmt.Errorf("%w: version %d with a lower digest", errLower, order.Version), source)
}

// report tells of two bundles with one version, once each pair.
func (r *Register) report(kept, lost Revision, source Source) {
	conflict := Conflict{Version: kept.Version, Kept: kept.Digest, Lost: lost.Digest, Source: source}
	same := r.conflict.Version == conflict.Version && r.conflict.Kept == conflict.Kept && r.conflict.Lost == conflict.Lost
	if same {
		return
	}
	r.conflict = conflict
	r.emit(conflict)
}

// install puts a bundle in force. What it replaces is checked too: whoever
// changes the shared value of the one in force would else go unseen.
func (r *Register) install(approved *Approved, source Source) {
	order := approved.Revision()
	previous := r.current
	unchanged := previous == nil || whole(previous) && previous.Revision() == r.order
	r.assert.That(unchanged, InvariantWhole, "%v was changed while in force", r.order)
	if !r.assert.That(order.Compare(r.order) > 0, InvariantMonotonic, "%v after %v", order, r.order) {
		return
	}
	if !r.assert.That(whole(approved), InvariantWhole, "%v from %s", order, source) {
		return
	}
	r.current = approved
	r.order = order
	r.emit(InForce{Approved: approved, Previous: previous, Source: source})
}

// whole tells whether the value is a verified one that still holds the bytes
// that were verified.
func whole(approved *Approved) bool {
	signed, err := ParseSigned(approved.Raw)
	return err == nil && approved.Verified() && DigestOf(signed.Document) == approved.Digest
}
