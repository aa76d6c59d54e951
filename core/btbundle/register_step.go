package btbundle

import (
	"errors"
	"fmt"
	"time"

	"bilberrytide/core/btrequest"
)

// startup is the state of a process that has nothing in force yet.
type startup struct {
	// deadline is when the service's value stops waiting for peers.
	deadline time.Time
	// unanswered holds the queried peers that have not answered yet.
	unanswered map[Peer]bool
	queried    bool
	// peerHasBundle is set once a peer with a bundle in force has answered.
	peerHasBundle bool
	deferred      *Approved
}

// Step applies one event and returns the effects, in order.
func (r *Register) Step(now time.Time, event RegisterEvent) []RegisterEffect {
	if r.now.IsZero() {
		r.startup.deadline = now.Add(r.config.MaxDeferral)
	}
	if now.After(r.now) {
		r.now = now
	}
	r.effects = nil
	switch e := event.(type) {
	case Started:
		r.onStarted(e)
	case Received:
		r.onReceived(e)
	case Announced:
		r.onAnnounced(e)
	case FetchFailed:
		r.onFetchFailed(e)
	case Tick:
		r.expirePeers()
	}
	r.resolveDeferred()
	r.startFetches()
	return r.effects
}

func (r *Register) emit(e RegisterEffect) { r.effects = append(r.effects, e) }

func (r *Register) refuse(reason btrequest.Reason, err error, source Source) {
	r.emit(Refused{Reason: reason, Err: err, Source: source})
}

// onStarted records the queried peers. A repeated Started adds peers, but
// doesn't extend the deferral.
func (r *Register) onStarted(e Started) {
	if !r.startup.queried {
		r.startup.deadline = r.now.Add(r.config.MaxDeferral)
		r.startup.unanswered = map[Peer]bool{}
	}
	r.startup.queried = true
	for _, p := range e.Peers {
		r.startup.unanswered[p] = true
	}
}

func (r *Register) onReceived(e Received) {
	requested := r.completeFetch(e.Source.Peer, e.Requested)
	approved, err := r.verify(e.Raw)
	if err != nil {
		r.refuse(reasonOf(err), err, e.Source)
		r.backOff(e.Source.Peer)
		return
	}
	if requested && approved.Revision().Compare(e.Requested) < 0 {
		r.refuse(ReasonPeerShort, nil, e.Source)
		r.backOff(e.Source.Peer)
	} else if requested {
		r.peers[e.Source.Peer].failures = 0
	}
	if e.Source.FromService() && r.mustDefer() {
		r.deferValue(approved)
		return
	}
	r.installIfHigher(approved, e.Source)
}

// verify parses and verifies a signed file. A document that the register
// already knows is not verified again.
func (r *Register) verify(raw []byte) (*Approved, error) {
	signed, err := ParseSigned(raw)
	if err != nil {
		return nil, err
	}
	digest := DigestOf(signed.Document)
	for _, known := range []*Approved{r.current, r.startup.deferred, r.lastRefused} {
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

// mustDefer reports whether the configuration service's value must wait for
// peers.
func (r *Register) mustDefer() bool {
	s := &r.startup
	if r.current != nil || !r.now.Before(s.deadline) {
		return false
	}
	if s.queried && len(s.unanswered) == 0 && !s.peerHasBundle {
		return false
	}
	return !s.peerHasBundle || s.deferred == nil || s.deferred.Revision().Compare(r.highestAnnounced()) < 0
}

// deferValue stores the configuration service's value unless a higher one is
// deferred already.
func (r *Register) deferValue(approved *Approved) {
	if approved.Revision().Compare(r.startup.deferred.Revision()) <= 0 {
		return
	}
	r.startup.deferred = approved
	r.emit(Deferred{Revision: approved.Revision()})
}

// resolveDeferred passes the deferred value to installIfHigher once it no longer
// has to wait.
func (r *Register) resolveDeferred() {
	deferred := r.startup.deferred
	if deferred == nil || r.mustDefer() {
		return
	}
	r.startup.deferred = nil
	r.installIfHigher(deferred, Source{})
}

// installIfHigher installs the bundle if its revision is higher than the one in
// force, and refuses it if it is lower.
func (r *Register) installIfHigher(approved *Approved, source Source) {
	revision := approved.Revision()
	current := r.revision
	switch c := revision.Compare(current); {
	case c == 0:
		return
	case c < 0:
		r.lastRefused = approved
		r.refuseLower(approved, source)
	case revision.Version == current.Version:
		r.reportConflict(revision, current, source)
		r.install(approved, source)
	default:
		r.install(approved, source)
	}
}

// errNotHigher is wrapped by the error of a bundle below the one in force.
var errNotHigher = errors.New("not above the bundle in force")

// refuseLower refuses a bundle whose revision is lower than the one in force.
func (r *Register) refuseLower(approved *Approved, source Source) {
	revision := approved.Revision()
	current := r.revision
	if revision.Version < current.Version {
		r.refuse(ReasonOlder, fmt.Errorf("%w: version %d is below %d", errNotHigher, revision.Version, current.Version), source)
		return
	}
	r.reportConflict(current, revision, source)
	r.refuse(ReasonConflict, fmt.Errorf("%w: version %d with a lower digest", errNotHigher, revision.Version), source)
}

// reportConflict reports two bundles with the same version, unless they are the
// pair that was reported last.
func (r *Register) reportConflict(kept, lost Revision, source Source) {
	conflict := Conflict{Version: kept.Version, Kept: kept.Digest, Lost: lost.Digest, Source: source}
	same := r.conflict.Version == conflict.Version && r.conflict.Kept == conflict.Kept && r.conflict.Lost == conflict.Lost
	if same {
		return
	}
	r.conflict = conflict
	r.emit(conflict)
}

// install puts a bundle in force. It also checks the bundle that it replaces:
// nothing else would detect that the shared value was modified while in force.
func (r *Register) install(approved *Approved, source Source) {
	revision := approved.Revision()
	previous := r.current
	unchanged := previous == nil || intact(previous) && previous.Revision() == r.revision
	r.assert.That(unchanged, InvariantWhole, "%v was changed while in force", r.revision)
	if !r.assert.That(revision.Compare(r.revision) > 0, InvariantMonotonic, "%v after %v", revision, r.revision) {
		return
	}
	if !r.assert.That(intact(approved), InvariantWhole, "%v from %s", revision, source) {
		return
	}
	r.current = approved
	r.revision = revision
	r.emit(InForce{Approved: approved, Previous: previous, Source: source})
}

// intact reports whether the value was verified and still holds the bytes that
// were verified.
func intact(approved *Approved) bool {
	signed, err := ParseSigned(approved.Raw)
	return err == nil && approved.Verified() && DigestOf(signed.Document) == approved.Digest
}
