package btbundle_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btrequest"
)

// effectsOf returns the effects of one type.
func effectsOf[E btbundle.RegisterEffect](effects []btbundle.RegisterEffect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func receivedFromService(number int) btbundle.Received {
	return btbundle.Received{Raw: signed(version(number, "x"), keyPair(0))}
}

func receivedFrom(peer btbundle.Peer, number int, requested btbundle.Revision) btbundle.Received {
	o := receivedFromService(number)
	o.Source.Peer = peer
	o.Requested = requested
	return o
}

func announcedBy(peer btbundle.Peer, number int) btbundle.Announced {
	if number == 0 {
		return btbundle.Announced{From: peer}
	}
	digest := btbundle.DigestOf(version(number, "x"))
	return btbundle.Announced{Version: btid.BundleVersion(number), Digest: digest, From: peer}
}

func versionOf(r *btbundle.Register) int { return int(r.Announcement().Version) }

// TestRegisterDefersServiceValueAtStart guards against a starting process that
// installs a stale value of the configuration service before its peers could
// announce a newer bundle, or that waits for them longer than needed.
func TestRegisterDefersServiceValueAtStart(t *testing.T) {
	peers := btbundle.Started{Peers: []btbundle.Peer{"agent/t1", "agent/t2"}}
	tests := []struct {
		name   string
		events []btbundle.RegisterEvent
		after  time.Duration
		want   int
	}{
		{name: "before Started", events: []btbundle.RegisterEvent{receivedFromService(2)}, want: 0},
		{name: "no answer yet", events: []btbundle.RegisterEvent{peers, receivedFromService(2), announcedBy("agent/t1", 0)}, want: 0},
		{name: "no peers", events: []btbundle.RegisterEvent{btbundle.Started{}, receivedFromService(2)}, want: 2},
		{name: "all have nothing", events: []btbundle.RegisterEvent{peers, receivedFromService(2), announcedBy("agent/t1", 0), announcedBy("agent/t2", 0)}, want: 2},
		{name: "a peer has the same", events: []btbundle.RegisterEvent{peers, receivedFromService(2), announcedBy("agent/t1", 2)}, want: 2},
		{name: "a peer has an older one", events: []btbundle.RegisterEvent{peers, announcedBy("agent/t1", 1), receivedFromService(2)}, want: 2},
		{name: "a peer has a newer one", events: []btbundle.RegisterEvent{peers, receivedFromService(2), announcedBy("agent/t1", 5)}, want: 0},
		{name: "a peer brings the newer one", events: []btbundle.RegisterEvent{peers, receivedFromService(2), announcedBy("agent/t1", 5),
			receivedFrom("agent/t1", 5, btbundle.Revision{})}, want: 5},
		{name: "time is up", events: []btbundle.RegisterEvent{peers, receivedFromService(2)}, after: 3 * time.Second, want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRegister(1)
			for _, event := range test.events {
				r.Step(start, event)
			}
			r.Step(start.Add(test.after), btbundle.Tick{})
			assert.Equal(t, versionOf(r), test.want)
		})
	}
}

// TestRegisterWithoutDeferralReverts shows why the deferral exists: without it,
// a process that restarts with nothing in force installs an older bundle than
// its peers have whenever the service is stale.
func TestRegisterWithoutDeferralReverts(t *testing.T) {
	for hold, want := range map[time.Duration]int{0: 2, btbundle.DefaultRegisterConfig(btbundle.Approvers{}).MaxDeferral: 5} {
		config := btbundle.DefaultRegisterConfig(approvers(keyPair(0)))
		config.MaxDeferral = hold
		r := btbundle.NewRegister(config, btassert.New(btassert.Panic()), rand.New(rand.NewPCG(1, 1)))
		r.Step(start, btbundle.Started{Peers: []btbundle.Peer{"agent/t1"}})
		first := effectsOf[btbundle.InForce](r.Step(start, receivedFromService(2)))
		r.Step(start, announcedBy("agent/t1", 5))
		first = append(first, effectsOf[btbundle.InForce](r.Step(start, receivedFrom("agent/t1", 5, announcedBy("agent/t1", 5).Revision())))...)
		assert.Equal(t, int(first[0].Approved.Revision().Version), want, "hold %s", hold)
	}
}

// TestRegisterReportsConflictOnce guards against processes that keep different
// bundles of the same version depending on the order in which they arrive, and
// against repeated reports of the same conflict.
func TestRegisterReportsConflictOnce(t *testing.T) {
	one := approve(t, version(3, "one"))
	two := approve(t, version(3, "two"))
	higher := one
	lower := two
	if two.Revision().Compare(one.Revision()) > 0 {
		higher = two
		lower = one
	}
	for _, order := range [][]*btbundle.Approved{{higher, lower}, {lower, higher}} {
		r := newRegister(1)
		r.Step(start, btbundle.Started{})
		var effects []btbundle.RegisterEffect
		for range 2 {
			for _, approved := range order {
				effects = append(effects, r.Step(start, btbundle.Received{Raw: approved.Raw})...)
			}
		}
		conflicts := effectsOf[btbundle.Conflict](effects)
		assert.Equal(t, len(conflicts), 1)
		assert.Equal(t, conflicts[0], btbundle.Conflict{Version: 3, Kept: higher.Digest, Lost: lower.Digest})
		assert.Equal(t, r.InForce().Digest, higher.Digest)
	}
}

func TestRegisterRefusesWithReason(t *testing.T) {
	tampered := signed(version(9, "x"), keyPair(0))
	tampered[10] ^= 1
	malformed := signed([]byte("version = 9\n"), keyPair(0))
	tests := []struct {
		raw  []byte
		want btrequest.Reason
	}{
		{raw: version(9, "unsigned"), want: btbundle.ReasonSignature},
		{raw: signed(version(9, "x"), keyPair(1)), want: btbundle.ReasonSignature},
		{raw: tampered, want: btbundle.ReasonSignature},
		{raw: malformed, want: btbundle.ReasonMalformed},
		{raw: make([]byte, btbundle.MaxBytes+1), want: btbundle.ReasonTooLarge},
		{raw: signed(version(3, "x"), keyPair(0)), want: btbundle.ReasonOlder},
	}
	r := newRegister(1)
	r.Step(start, btbundle.Started{})
	r.Step(start, receivedFromService(4))
	for _, test := range tests {
		effects := r.Step(start, btbundle.Received{Raw: test.raw})
		refused := effectsOf[btbundle.Refused](effects)
		assert.Equal(t, len(refused), 1)
		assert.Equal(t, refused[0].Reason, test.want)
		assert.Equal(t, versionOf(r), 4)
	}
}

// TestRegisterBacksOffFromFailingPeers guards against a failing or false peer
// that blocks fetches from others or is queried without a pause.
func TestRegisterBacksOffFromFailingPeers(t *testing.T) {
	falseAnnouncement := btbundle.Announced{Version: 99, Digest: btbundle.DigestOf([]byte("lie")), From: "agent/bad"}
	requested := btbundle.Revision{Version: falseAnnouncement.Version, Digest: falseAnnouncement.Digest}
	tests := []struct {
		name  string
		event btbundle.RegisterEvent
		after time.Duration
		want  btrequest.Reason
	}{
		{name: "short", event: receivedFrom("agent/bad", 4, requested), want: btbundle.ReasonPeerShort},
		{name: "forged", event: btbundle.Received{Raw: version(99, "x"), Source: btbundle.Source{Peer: "agent/bad"}, Requested: requested}, want: btbundle.ReasonSignature},
		{name: "failed", event: btbundle.FetchFailed{From: "agent/bad", Requested: requested, Err: errors.New("refused")}, want: btbundle.ReasonFetchFailed},
		{name: "no reply", event: btbundle.Tick{}, after: time.Second, want: btbundle.ReasonFetchTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRegister(1)
			r.Step(start, btbundle.Started{})
			r.Step(start, receivedFromService(4))
			assert.Equal(t, len(effectsOf[btbundle.Fetch](r.Step(start, falseAnnouncement))), 1)
			now := start.Add(test.after)
			refused := effectsOf[btbundle.Refused](r.Step(now, test.event))
			assert.Equal(t, len(refused), 1)
			assert.Equal(t, refused[0].Reason, test.want)
			assert.Equal(t, len(effectsOf[btbundle.Fetch](r.Step(now, falseAnnouncement))), 0, "a failing peer must not be queried again immediately")
			good := effectsOf[btbundle.Fetch](r.Step(now, announcedBy("agent/good", 5)))
			assert.Equal(t, len(good), 1)
			assert.Equal(t, good[0].From, btbundle.Peer("agent/good"))
			later := now.Add(time.Second)
			assert.Equal(t, len(effectsOf[btbundle.Fetch](r.Step(later, falseAnnouncement))), 1, "a failing peer must be queried again after its backoff")
		})
	}
}

func TestRegisterBoundsFetches(t *testing.T) {
	r := newRegister(1)
	r.Step(start, btbundle.Started{})
	fetches := 0
	for i := range 50 {
		peer := btbundle.Peer("agent/t" + string(rune('a'+i)))
		fetches += len(effectsOf[btbundle.Fetch](r.Step(start, announcedBy(peer, 1+i%10))))
	}
	assert.Equal(t, fetches, btbundle.DefaultRegisterConfig(btbundle.Approvers{}).FetchLimit)
}

// TestRegisterDetectsModifiedBundles guards against code that modifies the
// shared bundle in force: the next installation must report it and still take
// effect.
func TestRegisterDetectsModifiedBundles(t *testing.T) {
	tests := []struct {
		name   string
		change func(*btbundle.Approved)
	}{
		{name: "version", change: func(a *btbundle.Approved) { a.Bundle.Version = 9 }},
		{name: "bytes", change: func(a *btbundle.Approved) { a.Raw[0] ^= 1 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var violated []btassert.Name
			sink := btassert.SinkFunc(func(v btassert.Violation) { violated = append(violated, v.Name) })
			r := btbundle.NewRegister(btbundle.DefaultRegisterConfig(approvers(keyPair(0))), btassert.New(sink), nil)
			r.Step(start, btbundle.Started{})
			r.Step(start, receivedFromService(2))
			test.change(r.InForce())
			r.Step(start, receivedFromService(3))
			assert.DeepEqual(t, violated, []btassert.Name{btbundle.InvariantWhole})
			assert.Equal(t, versionOf(r), 3)
		})
	}
}
