package btmember

import (
	"cmp"
	"slices"
	"time"

	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
)

// RelayEvent is what a Relay hears: Planned, Asked or RelayTick.
type RelayEvent interface{ relayEvent() }

// LinksUpdated is a new plan's links of this entry.
type LinksUpdated struct{ Links []Link }

// ResetRequested is a peer's ask to start anew.
type ResetRequested struct{ Request SummaryAsk }

// RelayTick is the passing of time, due every RelaySettings.Urgent.
type RelayTick struct{}

func (LinksUpdated) relayEvent()   {}
func (ResetRequested) relayEvent() {}
func (RelayTick) relayEvent()      {}

// RelayEffect is what a Relay wants done: Send.
type RelayEffect interface{ relayEffect() }

// SendSummary carries a summary to a peer.
type SendSummary struct {
	To      btid.Entry
	Summary Summary
}

func (SendSummary) relayEffect() {}

// RelaySettings bound what a Relay sends.
type RelaySettings struct {
	// RenewalInterval is how much a summary renews leases by: it is sent once the
	// evidence at hand is that much newer than what the peer was told, so that a
	// chain of relays adds no more than Urgent a hop.
	RenewalInterval time.Duration
	// MinInterval is the least time between two summaries to a peer, which is kept
	// when a target came or went.
	MinInterval time.Duration
	// RowsPerSummary bounds the rows of a summary, and its levels; more wait for the next,
	// the largest changes of load first.
	RowsPerSummary int
	// SilentAfter is the age of a target's last heartbeat beyond which a watcher
	// calls it silent; what peers vouched for may be two intervals older. Both
	// lie well below the lease, so that one silent target never ages the leases
	// of the others for long.
	SilentAfter time.Duration
	// MinLevelChange is the smallest change of load that is told.
	MinLevelChange uint8
}

// DefaultRelaySettings go with DefaultSettings.
func DefaultRelaySettings() RelaySettings {
	return RelaySettings{
		RenewalInterval: time.Second,
		MinInterval:     100 * time.Millisecond,
		RowsPerSummary:  24,
		SilentAfter:     2500 * time.Millisecond,
		MinLevelChange:  1,
	}
}

// keepAlive is how many intervals a peer hears nothing at most.
const keepAlive = 2

// Relay tells the peers of a plan what its Member knows: only what changed, at
// most Rows a summary, with one time that renews all the rest.
type Relay struct {
	settings    RelaySettings
	self        btid.Entry
	incarnation btid.Incarnation
	member      *Membership
	outs        []*out
}

var _ btcore.Machine[RelayEvent, RelayEffect] = (*Relay)(nil)

// out is what one peer was told about one origin.
type out struct {
	link     Link
	sequence uint64
	reset    bool
	sent     time.Time
	asOf     time.Time
	told     map[btid.Target]Row
	// numbers holds the place of each target among those named since the reset.
	numbers map[btid.Target]uint16
}

// changes are what a peer is to be told.
type changes struct {
	rows   []Row
	levels []levelChange
}

type levelChange struct {
	row  Row
	size uint8
}

// NewRelay returns a relay that reads, and never changes, the member.
func NewRelay(settings RelaySettings, self btid.Entry, incarnation btid.Incarnation, member *Membership) *Relay {
	return &Relay{settings: settings, self: self, incarnation: incarnation, member: member}
}

// Step applies one event.
func (y *Relay) Step(now time.Time, event RelayEvent) []RelayEffect {
	switch e := event.(type) {
	case LinksUpdated:
		y.planned(e)
	case ResetRequested:
		y.asked(e.Request)
	case RelayTick:
		return y.tick(now)
	}
	return nil
}

// planned keeps the numbering of links that stay and starts them anew.
func (y *Relay) planned(e LinksUpdated) {
	sequences := map[streamKey]uint64{}
	for _, o := range y.outs {
		sequences[streamKey{o.link.To, o.link.Origin}] = o.sequence
	}
	y.outs = nil
	for _, l := range e.Links {
		y.outs = append(y.outs, &out{
			link:     l,
			sequence: sequences[streamKey{l.To, l.Origin}],
			reset:    true,
			told:     map[btid.Target]Row{},
			numbers:  map[btid.Target]uint16{},
		})
	}
}

func (y *Relay) asked(ask SummaryAsk) {
	for _, o := range y.outs {
		if o.link.To == ask.From && o.link.Origin == ask.Origin {
			o.reset = true
			clear(o.told)
			clear(o.numbers)
		}
	}
}

func (y *Relay) tick(now time.Time) []RelayEffect {
	var effects []RelayEffect
	for _, o := range y.outs {
		c := y.changes(now, o)
		if y.due(now, o, len(c.rows) > 0) {
			effects = append(effects, SendSummary{To: o.link.To, Summary: y.summary(now, o, c)})
		}
	}
	return effects
}

// due tells whether the peer is to hear something now. When nothing is new it
// hears so at times, which shows it what it missed.
func (y *Relay) due(now time.Time, o *out, urgent bool) bool {
	quiet := now.Sub(o.sent)
	if quiet < y.settings.MinInterval {
		return false
	}
	if urgent || o.reset || quiet >= keepAlive*y.settings.RenewalInterval {
		return true
	}
	return y.asOf(now, o).Sub(o.asOf) >= y.settings.RenewalInterval
}

func (y *Relay) summary(now time.Time, o *out, c changes) Summary {
	for _, r := range c.rows {
		o.tell(r)
	}
	var levels []Level
	for _, l := range c.levels {
		o.told[l.row.Target] = l.row
		levels = append(levels, Level{Number: o.numbers[l.row.Target], Level: l.row.Level})
	}
	o.sequence++
	o.sent = now
	o.asOf = y.asOf(now, o)
	s := Summary{
		From:        y.self,
		Incarnation: y.incarnation,
		Origin:      o.link.Origin,
		Sequence:    o.sequence,
		Reset:       o.reset,
		AsOf:        o.asOf,
		Rows:        c.rows,
		Levels:      levels,
	}
	o.reset = false
	return s
}

func (o *out) tell(r Row) {
	o.told[r.Target] = r
	if _, named := o.numbers[r.Target]; !named {
		o.numbers[r.Target] = uint16(len(o.numbers))
	}
}

// asOf is the oldest evidence among the targets that the peer holds serving.
// One of which the peer has yet to be told that it went or restarted renews
// nothing.
func (y *Relay) asOf(now time.Time, o *out) time.Time {
	oldest := now
	for name, r := range o.told {
		if r.State != Serving {
			continue
		}
		k := y.member.records[name]
		if k == nil || k.incarnation != r.Incarnation {
			oldest = earlier(oldest, o.asOf)
			continue
		}
		oldest = earlier(oldest, k.evidence())
	}
	return oldest
}

// changes returns what the peer is to be told: the targets that came or went,
// and the largest changes of load. More than Rows of either wait.
func (y *Relay) changes(now time.Time, o *out) changes {
	var c changes
	for _, name := range o.link.Targets {
		row := y.row(now, name)
		told, known := o.told[name]
		if !known && row.State == Silent {
			continue
		}
		if row.State != told.State || row.Incarnation != told.Incarnation {
			c.rows = append(c.rows, row)
			continue
		}
		size := max(row.Level, told.Level) - min(row.Level, told.Level)
		if size >= max(y.settings.MinLevelChange, 1) {
			c.levels = append(c.levels, levelChange{row: row, size: size})
		}
	}
	slices.SortStableFunc(c.levels, func(a, b levelChange) int { return cmp.Compare(b.size, a.size) })
	most := min(y.settings.RowsPerSummary, MaxRows)
	c.rows = c.rows[:min(len(c.rows), most)]
	c.levels = c.levels[:min(len(c.levels), most)]
	return c
}

// row is what the member knows of a target now.
func (y *Relay) row(now time.Time, name btid.Target) Row {
	r := y.member.records[name]
	if r == nil || r.incarnation == 0 {
		return Row{Target: name, State: Silent}
	}
	row := Row{Target: name, Incarnation: r.incarnation, State: Serving, Level: r.level}
	switch {
	case r.farewell != 0:
		row.State = r.farewell
	case y.silent(now, r):
		row.State = Silent
	}
	return row
}

func (y *Relay) silent(now time.Time, r *record) bool {
	if now.Sub(r.heard) <= y.settings.SilentAfter {
		return false
	}
	return now.Sub(r.told) > y.settings.SilentAfter+keepAlive*y.settings.RenewalInterval
}
