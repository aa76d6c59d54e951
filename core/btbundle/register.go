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
	// InvariantWhole: what is in force is one verified document, byte for byte.
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
	// ReasonPeerShort: a peer answered with less than it had announced.
	ReasonPeerShort btrequest.Reason = "bundle_peer_short"
	// ReasonFetchFailed: a peer could not be asked or gave no bundle.
	ReasonFetchFailed btrequest.Reason = "bundle_fetch_failed"
	// ReasonFetchTimeout: a peer did not answer in time.
	ReasonFetchTimeout btrequest.Reason = "bundle_fetch_timeout"
)

// Peer names another process by the identity in its certificate, such as
// "entry/e1" or "agent/t7".
type Peer string

// Source tells where a bundle came from: the peer, or the configuration
// service where Peer is empty.
type Source struct {
	Peer Peer
}

// FromService tells whether the source is the configuration service.
func (s Source) FromService() bool { return s.Peer == "" }

// String writes the source as it stands in logs.
func (s Source) String() string {
	if s.FromService() {
		return "configuration service"
	}
	return string(s.Peer)
}

// RegisterEvent is what a Register is told.
type RegisterEvent interface{ registerEvent() }

// RegisterEffect is what a Register orders.
type RegisterEffect interface{ registerEffect() }

// Started tells a process's first moment: the peers that it has asked what is
// in force. Each one's Announced is its answer.
type Started struct{ Peers []Peer }

// Received brings a signed file.
type Received struct {
	Raw    []byte
	Source Source
	// Requested is the order of the Fetch that this answers; zero where the bytes
	// came unasked or from the configuration service.
	Requested Revision
}

// Announced brings what a peer says to be in force there; version 0 for nothing.
type Announced struct {
	Version btid.BundleVersion
	Digest  Digest
	From    Peer
}

// Revision returns what the peer announced.
func (h Announced) Revision() Revision { return Revision{Version: h.Version, Digest: h.Digest} }

// FetchFailed tells that a Fetch brought no bytes.
type FetchFailed struct {
	From      Peer
	Requested Revision
	Err       error
}

// Tick lets time pass. It is due a few times a second.
type Tick struct{}

func (Started) registerEvent()     {}
func (Received) registerEvent()    {}
func (Announced) registerEvent()   {}
func (FetchFailed) registerEvent() {}
func (Tick) registerEvent()        {}

// InForce puts a bundle in force, in place of Previous, which may be nil.
type InForce struct {
	Approved *Approved
	Previous *Approved
	Source   Source
}

// Fetch asks the peer for the signed file that it announced.
type Fetch struct {
	From    Peer
	Version btid.BundleVersion
	Digest  Digest
}

// Revision returns what is asked for, which the answer carries as Asked.
func (f Fetch) Revision() Revision { return Revision{Version: f.Version, Digest: f.Digest} }

// Deferred tells that the configuration service's value waits for peers' answers.
type Deferred struct{ Revision Revision }

// Refused tells of a bundle or an answer that changes nothing.
type Refused struct {
	Reason btrequest.Reason
	Err    error
	Source Source
}

// Conflict tells that two approved bundles have one version. Kept, the one
// with the higher digest, wins in every process; the operators must find out
// who approved Lost, as its changes are not in force.
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

// RegisterConfig bounds a Register's waiting.
type RegisterConfig struct {
	// Approvers is the trust anchor from the process's settings.
	Approvers Approvers
	// MaxDeferral is the longest that a process with nothing in force keeps the
	// configuration service's value waiting for a peer's answer.
	MaxDeferral time.Duration
	// FetchTimeout is how long a peer has to answer a Fetch.
	FetchTimeout time.Duration
	// FetchLimit is how many fetches may be in flight at once.
	FetchLimit int
	// Backoff is the mean time that a peer is left aside after its first
	// failure; it doubles with each in a row, up to BackoffMax.
	Backoff    time.Duration
	BackoffMax time.Duration
	// AnnouncementTTL is how long a peer's announcement is remembered.
	AnnouncementTTL time.Duration
}

// DefaultRegisterConfig returns the bounds that processes use.
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
// It accepts only what its approvers signed, whole, and only in place of a
// lower (version, digest). Any source is as good as another, as the signature
// tells: so the processes that don't read the configuration service themselves
// fetch from a peer whose heartbeat announces a higher bundle.
//
// A process that starts with nothing holds the configuration service's value,
// which may be stale, until a peer has answered, all have nothing, or
// RegisterConfig.Hold has passed. It cannot guarantee that the value is the
// newest where every peer that knows better is out of reach: a process alone
// with a stale service runs the stale bundle until it hears of a newer one.
type Register struct {
	config  RegisterConfig
	assert  *btassert.Asserter
	random  *rand.Rand
	now     time.Time
	current *Approved
	// order is that of current when it was put in force.
	order Revision
	// outranked is the last bundle refused for a higher one: a stale source
	// offers it again and again.
	outranked *Approved
	startup   startup
	peers     map[Peer]*peerState
	conflict  Conflict
	effects   []RegisterEffect
}

var _ btcore.Machine[RegisterEvent, RegisterEffect] = (*Register)(nil)

// NewRegister returns a register with nothing in force. The source of
// randomness spreads fetches over peers and jitters their backoff.
func NewRegister(config RegisterConfig, assert *btassert.Asserter, random *rand.Rand) *Register {
	return &Register{config: config, assert: assert, random: random, peers: map[Peer]*peerState{}}
}

// InForce returns the bundle in force, or nil.
func (r *Register) InForce() *Approved { return r.current }

// Announcement returns what heartbeats say: the order of the bundle in force.
func (r *Register) Announcement() Revision { return r.order }
