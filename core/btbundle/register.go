package btbundle

import (
	"math/rand/v2"
	"time"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// Invariants that a Register asserts.
const (
	// InvariantMonotonic: a bundle is replaced only by one with a higher
	// version, or the same version and a higher digest.
	InvariantMonotonic btassert.Name = "bundle_monotonic"
	// InvariantWhole: the bundle in force is one verified document, unchanged
	// byte for byte.
	InvariantWhole btassert.Name = "bundle_whole"
)

// Reasons for which a Register refuses a bundle or a peer's answer.
const (
	// ReasonTooLarge: the file is over MaxBytes.
	ReasonTooLarge btrequest.Reason = "bundle_too_large"
	// ReasonSignature: too few approvers signed, or a signature is wrong.
	ReasonSignature btrequest.Reason = "bundle_signature"
	// ReasonMalformed: the document fails its checks.
	ReasonMalformed btrequest.Reason = "bundle_malformed"
	// ReasonOlder: the bundle in force has a higher version.
	ReasonOlder btrequest.Reason = "bundle_older"
	// ReasonConflict: the bundle in force has this version and a higher digest.
	ReasonConflict btrequest.Reason = "bundle_conflict"
	// ReasonPeerShort: a peer answered with a lower revision than it had
	// announced.
	ReasonPeerShort btrequest.Reason = "bundle_peer_short"
	// ReasonFetchFailed: a peer could not be reached or returned no bundle.
	ReasonFetchFailed btrequest.Reason = "bundle_fetch_failed"
	// ReasonFetchTimeout: a peer did not answer in time.
	ReasonFetchTimeout btrequest.Reason = "bundle_fetch_timeout"
)

// Peer names another process by the identity in its certificate, such as
// "entry/e1" or "agent/t7".
type Peer string

// Source is where a bundle came from: a peer, or the configuration service if
// Peer is empty.
type Source struct {
	Peer Peer
}

// FromService reports whether the source is the configuration service.
func (s Source) FromService() bool { return s.Peer == "" }

// String returns the source as logs show it.
func (s Source) String() string {
	if s.FromService() {
		return "configuration service"
	}
	return string(s.Peer)
}

// RegisterEvent is an input of a Register.
type RegisterEvent interface{ registerEvent() }

// RegisterEffect is an action that a Register asks its caller to carry out.
type RegisterEffect interface{ registerEffect() }

// Started reports that the process started and which peers it has queried for
// their revision in force. Each peer answers with Announced.
type Started struct{ Peers []Peer }

// Received delivers a signed file from a peer or from the configuration
// service.
type Received struct {
	Raw    []byte
	Source Source
	// Requested is the revision of the Fetch that this answers; zero if the
	// bytes were not requested or come from the configuration service.
	Requested Revision
}

// Announced reports the revision that a peer has in force; version 0 for none.
type Announced struct {
	Version btid.BundleVersion
	Digest  Digest
	From    Peer
}

// Revision returns the revision that the peer announced.
func (a Announced) Revision() Revision { return Revision{Version: a.Version, Digest: a.Digest} }

// FetchFailed reports that a Fetch returned no bytes.
type FetchFailed struct {
	From      Peer
	Requested Revision
	Err       error
}

// Tick lets the Register check its timeouts. It is due a few times a second.
type Tick struct{}

func (Started) registerEvent()     {}
func (Received) registerEvent()    {}
func (Announced) registerEvent()   {}
func (FetchFailed) registerEvent() {}
func (Tick) registerEvent()        {}

// InForce puts a bundle in force in place of Previous, which may be nil.
type InForce struct {
	Approved *Approved
	Previous *Approved
	Source   Source
}

// Fetch requests the signed file that the peer announced.
type Fetch struct {
	From    Peer
	Version btid.BundleVersion
	Digest  Digest
}

// Revision returns the requested revision, which the answer carries as
// Requested.
func (f Fetch) Revision() Revision { return Revision{Version: f.Version, Digest: f.Digest} }

// Deferred reports that the configuration service's value waits for the answers
// of peers.
type Deferred struct{ Revision Revision }

// Refused reports a bundle or an answer that changes nothing.
type Refused struct {
	Reason btrequest.Reason
	Err    error
	Source Source
}

// Conflict reports two approved bundles with the same version. Every process
// keeps the one with the higher digest, Kept. The changes in Lost are not in
// force, so operators must find out who approved it.
type Conflict struct {
	Version btid.BundleVersion
	Kept    Digest
	Lost    Digest
	Source  Source
}

func (InForce) registerEffect()  {}
func (Fetch) registerEffect()    {}
func (Deferred) registerEffect() {}
func (Refused) registerEffect()  {}
func (Conflict) registerEffect() {}

// RegisterConfig holds a Register's trust anchor, timeouts and limits.
type RegisterConfig struct {
	// Approvers is the trust anchor from the process's settings.
	Approvers Approvers
	// MaxDeferral is the longest time for which a process with nothing in force
	// defers the configuration service's value to wait for answers of peers.
	MaxDeferral time.Duration
	// FetchTimeout is how long a peer has to answer a Fetch.
	FetchTimeout time.Duration
	// FetchLimit is how many fetches may be in flight at once.
	FetchLimit int
	// Backoff is the mean time for which a peer is not queried after its first
	// failure; it doubles with each failure in a row, up to BackoffMax.
	Backoff    time.Duration
	BackoffMax time.Duration
	// AnnouncementTTL is how long a peer's announcement is stored.
	AnnouncementTTL time.Duration
}

// DefaultRegisterConfig returns the limits that processes use.
func DefaultRegisterConfig(approvers Approvers) RegisterConfig {
	return RegisterConfig{
		Approvers:       approvers,
		MaxDeferral:     3 * time.Second,
		FetchTimeout:    time.Second,
		FetchLimit:      2,
		Backoff:         500 * time.Millisecond,
		BackoffMax:      30 * time.Second,
		AnnouncementTTL: time.Minute,
	}
}

// Register decides which bundle is in force in one process.
//
// It installs only intact bundles that its approvers signed, and only over a
// lower revision. As the signatures vouch for the content, all sources are
// equal: a process that doesn't read the configuration service fetches the
// bundle from a peer whose heartbeat announces a higher revision.
//
// A process that starts with nothing in force defers the configuration
// service's value, which may be stale, until peers have announced revisions
// none of which is higher, all peers have answered that they have none, or
// RegisterConfig.MaxDeferral has passed. This doesn't guarantee the newest
// bundle: a process that reaches no peer with a newer one runs the service's
// stale bundle until a newer one is announced to it.
type Register struct {
	config  RegisterConfig
	assert  *btassert.Asserter
	random  *rand.Rand
	now     time.Time
	current *Approved
	// revision is that of current at the time when it was put in force.
	revision Revision
	// lastRefused is the last bundle refused for its lower revision. It is kept
	// because a stale source sends the same bundle repeatedly.
	lastRefused *Approved
	startup     startup
	peers       map[Peer]*peerState
	conflict    Conflict
	effects     []RegisterEffect
}

var _ btcore.Machine[RegisterEvent, RegisterEffect] = (*Register)(nil)

// NewRegister returns a register with nothing in force. The random source
// spreads fetches over peers and jitters their backoff.
func NewRegister(config RegisterConfig, assert *btassert.Asserter, random *rand.Rand) *Register {
	return &Register{config: config, assert: assert, random: random, peers: map[Peer]*peerState{}}
}

// InForce returns the bundle in force, or nil.
func (r *Register) InForce() *Approved { return r.current }

// Announcement returns the revision in force, which heartbeats carry.
func (r *Register) Announcement() Revision { return r.revision }
