package btquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bilberrytide/core/btquarantine"
	"bilberrytide/core/btwire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(n int) btquarantine.Fingerprint {
	return btquarantine.Content{URI: fmt.Sprint("/", n)}.Fingerprint()
}

func after(d time.Duration) time.Time { return start.Add(d) }

// TestDefaultPolicyThresholds checks that a request is quarantined after two
// crashes of targets that had begun to answer it, or three of any, and that two
// reports of one crash count once.
func TestDefaultPolicyThresholds(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	assert.Assert(t, !r.RecordCrash(start, request(1), 1, btquarantine.Answering))
	assert.Assert(t, !r.RecordCrash(after(10*time.Millisecond), request(1), 1, btquarantine.Answering), "the same crash")
	assert.Assert(t, !r.Quarantined(after(time.Second), request(1)))
	assert.Assert(t, r.RecordCrash(after(time.Second), request(1), 2, btquarantine.Answering))
	assert.Assert(t, r.Quarantined(after(time.Second), request(1)))
	assert.Assert(t, !r.Quarantined(after(time.Second), request(2)))

	assert.Assert(t, !r.RecordCrash(start, request(2), 1, btquarantine.Sent))
	assert.Assert(t, !r.RecordCrash(start, request(2), 2, btquarantine.Answering))
	assert.Assert(t, r.RecordCrash(start, request(2), 3, btquarantine.Sent))
}

// TestRepeatedCrashOfOneTargetCounts guards against ignoring the second crash of a
// target on a platform that doesn't distinguish the restarts of a target.
func TestRepeatedCrashOfOneTargetCounts(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	r.RecordCrash(start, request(1), 1, btquarantine.Answering)
	assert.Assert(t, r.RecordCrash(after(5*time.Second), request(1), 1, btquarantine.Answering))
}

// TestRegisterDeduplicatesDelayedCrashReports guards against quarantining a request
// because one crash is counted twice: a frozen host receives the report again when
// it resumes.
func TestRegisterDeduplicatesDelayedCrashReports(t *testing.T) {
	a, b := btquarantine.New(btquarantine.DefaultPolicy()), btquarantine.New(btquarantine.DefaultPolicy())
	a.RecordCrash(start, request(1), 1, btquarantine.Answering)
	exported := a.Export(after(100 * time.Millisecond))
	b.Merge(after(100*time.Millisecond), exported)
	b.Merge(after(2600*time.Millisecond), exported)
	assert.Assert(t, !b.Quarantined(after(2600*time.Millisecond), request(1)), "one crash was counted twice")
	assert.Equal(t, a.Digest(), b.Digest())
}

// TestServedRequestIsReleased checks that crashes before a complete answer no
// longer count.
func TestServedRequestIsReleased(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	assert.Assert(t, !r.RecordServed(start, request(1)))
	r.RecordCrash(after(2*time.Minute), request(1), 1, btquarantine.Answering)
	assert.Assert(t, r.RecordServed(after(3*time.Minute), request(1)))
	assert.Assert(t, !r.RecordCrash(after(6*time.Minute), request(1), 2, btquarantine.Answering), "one crash since it was served")
	assert.Assert(t, r.RecordCrash(after(7*time.Minute), request(1), 3, btquarantine.Answering))
}

// TestRecentlyServedRequestIsNotQuarantined guards against quarantining a request
// that many callers send alike: it is running at all targets when some crash
// together.
func TestRecentlyServedRequestIsNotQuarantined(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	r.RecordServed(start, request(1))
	for target := range uint64(3) {
		assert.Assert(t, !r.RecordCrash(after(time.Second), request(1), target, btquarantine.Answering))
	}
	assert.Assert(t, !r.Quarantined(after(time.Second), request(1)))
	assert.Assert(t, r.Quarantined(after(3*time.Minute), request(1)), "not served for three minutes")
}

// TestQuarantineExpires checks that a quarantine ends after TTL and that expired
// records leave the register empty.
func TestQuarantineExpires(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	r.RecordCrash(start, request(1), 1, btquarantine.Answering)
	r.RecordCrash(after(time.Minute), request(1), 2, btquarantine.Answering)
	assert.Equal(t, r.QuarantinedUntil(after(time.Minute), request(1)), after(time.Minute+btquarantine.TTL))
	assert.Assert(t, r.Quarantined(after(btquarantine.TTL-time.Second), request(1)))
	assert.Assert(t, !r.Quarantined(after(btquarantine.TTL+time.Second), request(1)))
	r.Expire(after(2*time.Minute + btquarantine.TTL))
	assert.Assert(t, r.Empty())
	assert.Equal(t, r.Digest(), uint64(0))
}

// TestConservativePolicyQuarantinesAfterFirstCrash checks the policy of a register
// that may have lost state: the crashes that it lost can't be counted, so the first
// one quarantines.
func TestConservativePolicyQuarantinesAfterFirstCrash(t *testing.T) {
	r := btquarantine.New(btquarantine.ConservativePolicy())
	assert.Assert(t, r.RecordCrash(start, request(1), 1, btquarantine.Sent))
	assert.Assert(t, !r.Quarantined(start, request(2)))
	r.SetPolicy(btquarantine.DefaultPolicy())
	assert.Assert(t, !r.Quarantined(start, request(1)))
}

// TestRegistersExchangeRecords checks that two entries that each observed one crash
// quarantine the request after exchanging records, and release it after one of them
// served it.
func TestRegistersExchangeRecords(t *testing.T) {
	a, b := btquarantine.New(btquarantine.DefaultPolicy()), btquarantine.New(btquarantine.DefaultPolicy())
	a.RecordCrash(start, request(1), 1, btquarantine.Answering)
	b.RecordCrash(start, request(1), 2, btquarantine.Answering)
	assert.Assert(t, a.Digest() != b.Digest())
	assert.DeepEqual(t, b.Merge(after(time.Second), a.Export(after(time.Second))), []btquarantine.Fingerprint{request(1)})
	assert.Equal(t, len(a.Merge(after(time.Second), b.Export(after(time.Second)))), 1)
	assert.Equal(t, a.Digest(), b.Digest())
	assert.Equal(t, len(a.Merge(after(2*time.Second), b.Export(after(2*time.Second)))), 0, "nothing new")

	a.RecordServed(after(3*time.Second), request(1))
	b.Merge(after(3*time.Second), a.Export(after(3*time.Second)))
	assert.Assert(t, !b.Quarantined(after(3*time.Second), request(1)))
	a.Merge(after(3*time.Second), b.Export(after(3*time.Second)))
	assert.Assert(t, !a.Quarantined(after(3*time.Second), request(1)))
}

// TestRegisterIsBounded guards against a target that crashes repeatedly with all
// its requests and fills the register, so that quarantined requests are evicted or
// a message grows too large.
func TestRegisterIsBounded(t *testing.T) {
	r := btquarantine.New(btquarantine.DefaultPolicy())
	r.RecordCrash(start, request(-1), 1, btquarantine.Answering)
	r.RecordCrash(start, request(-1), 2, btquarantine.Answering)
	for i := range 3 * btquarantine.MaxRecords {
		r.RecordCrash(after(time.Duration(i)*time.Millisecond), request(i), uint64(i), btquarantine.Answering)
	}
	assert.Equal(t, r.Len(), btquarantine.MaxRecords)
	now := after(time.Minute)
	assert.Assert(t, r.Quarantined(now, request(-1)))
	exported := r.Export(now)
	assert.Equal(t, len(exported), btquarantine.MaxRecordsPerMessage)
	assert.Equal(t, exported[0].Fingerprint, request(-1))
	data, err := btwire.Encode(exported)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxExportBytes, "%d bytes", len(data))
}

// maxExportBytes is the size limit of one message.
const maxExportBytes = 4 << 10

// TestInvalidRecordsAreRejected guards against records with too many crashes, with
// ages out of range or in too large a number.
func TestInvalidRecordsAreRejected(t *testing.T) {
	good := btquarantine.Record{ServedMillis: -1, Crashes: []btquarantine.CrashReport{{Target: 1}}}
	assert.NilError(t, good.Validate())
	for name, change := range map[string]func(*btquarantine.Record){
		"ends": func(r *btquarantine.Record) {
			r.Crashes = make([]btquarantine.CrashReport, btquarantine.MaxCrashReports+1)
		},
		"age":    func(r *btquarantine.Record) { r.Crashes[0].AgeMillis = -1 },
		"old":    func(r *btquarantine.Record) { r.Crashes[0].AgeMillis = btquarantine.TTL.Milliseconds() + 1 },
		"served": func(r *btquarantine.Record) { r.ServedMillis = btquarantine.TTL.Milliseconds() + 1 },
	} {
		r := good
		r.Crashes = []btquarantine.CrashReport{{Target: 1}}
		change(&r)
		assert.ErrorIs(t, r.Validate(), btquarantine.ErrRecord, name)
		assert.ErrorIs(t, btquarantine.Records{r}.Validate(), btquarantine.ErrRecord, name)
	}
	assert.ErrorIs(t, make(btquarantine.Records, btquarantine.MaxRecordsPerMessage+1).Validate(), btquarantine.ErrRecord)
}

// TestRegistersConverge guards against entries that keep different records:
// whatever they observe and exchange in whatever order, a request with enough
// crashes that was never served is quarantined at all of them, and one without
// crashes at none.
func TestRegistersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := []*btquarantine.Register{btquarantine.New(btquarantine.DefaultPolicy()), btquarantine.New(btquarantine.DefaultPolicy()), btquarantine.New(btquarantine.DefaultPolicy())}
		now := start
		crashes := map[int]map[uint64]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			r := entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			n := rapid.IntRange(0, 3).Draw(t, "request")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				target := uint64(rapid.IntRange(1, 5).Draw(t, "target"))
				r.RecordCrash(now, request(n), target, btquarantine.Answering)
				if crashes[n] == nil {
					crashes[n] = map[uint64]bool{}
				}
				crashes[n][target] = true
			case 1:
				r.Merge(now, entries[rapid.IntRange(0, 2).Draw(t, "from")].Export(now))
			case 2:
				r.Expire(now)
			}
		}
		for range 2 {
			for _, a := range entries {
				for _, b := range entries {
					a.Merge(now, b.Export(now))
				}
			}
		}
		for _, r := range entries {
			for n := range 4 {
				assert.Check(t, r.Quarantined(now, request(n)) || len(crashes[n]) < 2, "request %d with %d crashes is not quarantined", n, len(crashes[n]))
				assert.Check(t, !r.Quarantined(now, request(n)) || len(crashes[n]) > 0, "request %d without a crash is quarantined", n)
			}
		}
	})
}
