package btquarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// clearedFor is how long a crash that no part can be at fault for is remembered, so that a
// delayed copy of its record isn't taken for another crash.
const clearedFor = 2 * time.Minute

// PartRegister finds the parts of prompts that crash targets as they begin to answer. A
// crash is evidence against all parts of the requests begun without output, output of any
// request is evidence for its parts. It is not safe for concurrent use.
type PartRegister struct {
	// observer identifies this process in its reports.
	observer uint64
	// crashes are in the order of time.
	crashes []partCrash
	// outputs are the last known outputs of the parts in crashes, of any process.
	outputs map[partKey]time.Time
	// recent are this process's own outputs.
	recent       recentParts
	restrictions []Restriction
	probes       map[RestrictionID]*probing
	digest       uint64
}

// NewPartRegister returns an empty register.
func NewPartRegister() *PartRegister {
	return &PartRegister{outputs: make(map[partKey]time.Time), probes: make(map[RestrictionID]*probing)}
}

// SetObserver sets the number that identifies this process in its reports.
func (r *PartRegister) SetObserver(observer uint64) { r.observer = observer }

// PartChanges is the effect of an event on a register.
type PartChanges struct {
	// Restricted are the restrictions that are new or rest on another crash, Released
	// those that have ended.
	Restricted, Released []Restriction
	// Changed reports that other processes may lack something that this one now knows.
	Changed bool
	// CanAdd reports that own outputs of parts are of use to all; see AddOwnOutputs.
	CanAdd bool
}

// RecordCrash records that a target crashed after a request was sent to it. A crash after
// output of the request doesn't speak against its parts.
func (r *PartRegister) RecordCrash(now time.Time, p Prompt, target uint64, progress Progress) PartChanges {
	if len(p.Parts) == 0 || progress == Answering {
		return PartChanges{}
	}
	c := partCrash{target: target, account: p.Account, service: p.Service, parts: p.Parts, begun: progress == BegunWithoutOutput, at: now}
	if r.hasOwn(c) {
		return PartChanges{}
	}
	c.observation = r.newObservation(c)
	c.shares = r.recent.shares(p)
	r.add(c)
	changes := r.update(now)
	changes.Changed = true
	return changes
}

// hasOwn reports whether a request with the same parts is already known at that crash.
func (r *PartRegister) hasOwn(c partCrash) bool {
	return slices.ContainsFunc(r.crashes, func(known partCrash) bool {
		return known.target == c.target && known.account == c.account && known.service == c.service &&
			known.begun == c.begun && c.at.Sub(known.at) < sameCrashWithin && slices.Equal(known.parts, c.parts)
	})
}

// newObservation returns the identity of a crash that this process observed.
func (r *PartRegister) newObservation(c partCrash) Observation {
	data := binary.BigEndian.AppendUint64(nil, r.observer)
	for _, n := range []uint64{c.target, uint64(c.at.UnixNano()), c.account, c.service} {
		data = binary.BigEndian.AppendUint64(data, n)
	}
	for _, p := range c.parts {
		data = binary.BigEndian.AppendUint64(data, uint64(p))
	}
	return Observation(xxhash.Sum64(data))
}

// RecordOutput records that a target has produced output for a request.
func (r *PartRegister) RecordOutput(now time.Time, p Prompt) PartChanges {
	r.recent.add(now, p)
	if len(r.crashes) == 0 {
		return PartChanges{}
	}
	learned := false
	for _, k := range p.keys() {
		if r.learnOutput(k, now) {
			learned = true
		}
	}
	if !learned {
		return PartChanges{}
	}
	changes := r.update(now)
	changes.Changed = true
	return changes
}

// learnOutput notes an output of a part, and reports whether it is the first one known
// since a crash.
func (r *PartRegister) learnOutput(k partKey, at time.Time) bool {
	last := r.outputs[k]
	for _, c := range r.crashes {
		if c.service == k.service && !at.Before(c.at) && last.Before(c.at) && slices.Contains(c.parts, k.id) {
			r.outputs[k] = at
			return true
		}
	}
	return false
}

// Merge merges the update of another process.
func (r *PartRegister) Merge(now time.Time, u PartUpdate) PartChanges {
	before := r.digest
	for _, c := range u.Crashes {
		r.add(partCrash{
			target: c.Target, account: c.Account, service: c.Service, parts: c.Parts, shares: c.Shares, begun: c.Begun,
			at: timeBefore(now, c.AgeMillis), observation: c.Observation,
		})
	}
	for _, o := range u.Outputs {
		r.learnOutput(partKey{service: o.Service, id: o.Part}, timeBefore(now, o.AgeMillis))
	}
	changes := r.update(now)
	// A record that is already out of date here must not be passed on again and again.
	changes.Changed = r.digest != before
	for _, c := range r.crashes {
		c.shares = slices.Clone(c.shares)
		changes.CanAdd = changes.CanAdd || c.raiseShares(r.recent.shares(c.prompt()))
	}
	return changes
}

// AddOwnOutputs adds that parts in crashes, unknown to other processes, were served here,
// unless another process has added it in the meantime.
func (r *PartRegister) AddOwnOutputs(now time.Time) PartChanges {
	raised := false
	for i := range r.crashes {
		if r.crashes[i].raiseShares(r.recent.shares(r.crashes[i].prompt())) {
			raised = true
		}
	}
	if !raised {
		return PartChanges{}
	}
	changes := r.update(now)
	changes.Changed = true
	return changes
}

// add adds a crash. Of copies of a record the earliest estimate of the time counts.
func (r *PartRegister) add(c partCrash) {
	i := slices.IndexFunc(r.crashes, func(known partCrash) bool { return known.observation == c.observation })
	if i < 0 {
		r.crashes = append(r.crashes, c)
		r.sort()
		return
	}
	known := &r.crashes[i]
	known.raiseShares(c.shares)
	if c.at.Before(known.at) {
		known.at = c.at
		r.sort()
	}
}

func (r *PartRegister) sort() {
	slices.SortStableFunc(r.crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
}

// Expire removes what is out of date.
func (r *PartRegister) Expire(now time.Time) PartChanges { return r.update(now) }

// update removes what is out of date or too much, infers the restrictions anew and returns
// the changes.
func (r *PartRegister) update(now time.Time) PartChanges {
	before := r.restrictions
	r.restrictions = infer(r.crashes, r.outputs)
	if r.evict(now) {
		r.restrictions = infer(r.crashes, r.outputs)
	}
	r.dropUnwatched()
	r.digest = r.computeDigest()
	return r.changesSince(before)
}

func (r *PartRegister) changesSince(before []Restriction) PartChanges {
	var changes PartChanges
	for _, n := range r.restrictions {
		i := slices.IndexFunc(before, func(b Restriction) bool { return b.ID == n.ID })
		if i >= 0 && before[i].Crashes == n.Crashes {
			continue
		}
		r.probes[n.ID] = newProbing(r.probes[n.ID], n)
		changes.Restricted = append(changes.Restricted, n)
	}
	for _, b := range before {
		if !slices.ContainsFunc(r.restrictions, func(n Restriction) bool { return n.ID == b.ID }) {
			delete(r.probes, b.ID)
			changes.Released = append(changes.Released, b)
		}
	}
	return changes
}

// evict removes crashes that are out of date, and the least important ones beyond the
// limits. It reports whether it removed any.
func (r *PartRegister) evict(now time.Time) bool {
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c partCrash) bool { return now.Sub(c.at) > r.lifetime(c) })
	kept := slices.Clone(r.crashes)
	slices.SortStableFunc(kept, func(a, b partCrash) int {
		if x, y := r.lifetime(a), r.lifetime(b); x != y {
			return int(y/time.Second) - int(x/time.Second)
		}
		return b.at.Compare(a.at)
	})
	parts := 0
	for i, c := range kept {
		parts += len(c.parts)
		if i == MaxPartCrashes || parts > MaxCrashParts {
			kept = kept[:i]
			break
		}
	}
	if len(kept) < len(r.crashes) {
		r.crashes = kept
		r.sort()
	}
	return len(r.crashes) < before
}

// lifetime returns how long a crash is remembered. Crashes that restrict a part for longer
// than a first one are the most important, those for which no part can be at fault the
// least.
func (r *PartRegister) lifetime(c partCrash) time.Duration {
	remaining := Prompt{Parts: idsOf(c.remaining(r.outputs))}
	if len(remaining.Parts) == 0 {
		return clearedFor
	}
	for _, n := range r.restrictions {
		if n.Excess > 0 && n.Service == c.service && remaining.has(n.Parts) {
			return PartTTL
		}
	}
	return TTL
}

// dropUnwatched removes the outputs of parts that are in no crash.
func (r *PartRegister) dropUnwatched() {
	watched := make(map[partKey]bool)
	for _, c := range r.crashes {
		for _, k := range c.keys() {
			watched[k] = true
		}
	}
	for k := range r.outputs {
		if !watched[k] {
			delete(r.outputs, k)
		}
	}
}

// Empty reports whether no crash is remembered.
func (r *PartRegister) Empty() bool { return len(r.crashes) == 0 }

// Digest identifies what the register knows regardless of ages: registers with the same
// digest have nothing to exchange. That of an empty register is zero.
func (r *PartRegister) Digest() uint64 { return r.digest }

func (r *PartRegister) computeDigest() uint64 {
	sum := uint64(0)
	for _, c := range r.crashes {
		data := binary.BigEndian.AppendUint64(nil, uint64(c.observation))
		for i, k := range c.keys() {
			state := byte(0)
			if at, found := r.outputs[k]; found && !at.Before(c.at) {
				state = 2
			} else if len(c.shares) == 0 {
				state = 3
			} else if c.shares[i] > 0 {
				state = 1
			}
			data = append(data, state)
		}
		sum += xxhash.Sum64(data)
	}
	return sum
}

// Export returns all that other processes need to know, in one message.
func (r *PartRegister) Export(now time.Time) PartUpdate {
	var u PartUpdate
	for _, c := range r.crashes {
		if now.Sub(c.at) <= PartTTL {
			u.Crashes = append(u.Crashes, c.export(now))
		}
	}
	for k, at := range r.outputs {
		if now.Sub(at) <= PartTTL {
			u.Outputs = append(u.Outputs, PartOutput{Service: k.service, Part: k.id, AgeMillis: age(now, at)})
		}
	}
	return u
}
