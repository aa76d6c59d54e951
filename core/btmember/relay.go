package btmember

import (
	"cmp"
	"slices"
	"time"

	"bilberrytide/core/btcore"
	"bilberrytide/core/btid"
)

// RelayEvent is an input of Relay: LinksUpdated, ResetRequested or RelayTick.
type RelayEvent interface{ relayEvent() }

// LinksUpdated carries this entry's links in a new topology.
type LinksUpdated struct{ Links []Link }

// ResetRequested carries a peer's request to restart its stream.
type ResetRequested struct{ Request SummaryAsk }

// RelayTick reports the current time. It is due every RelaySettings.MinInterval.
type RelayTick struct{}

func (LinksUpdated) relayEvent()   {}
func (ResetRequested) relayEvent() {}
func (RelayTick) relayEvent()      {}

// RelayEffect is an output of Relay: SendSummary.
type RelayEffect interface{ relayEffect() }

// SendSummary sends a summary to a peer.
type SendSummary struct {
	To      btid.Entry
	Summary Summary
}

func (SendSummary) relayEffect() {}

// RelaySettings limits what a Relay sends.
type RelaySettings struct {
	// RenewalInterval is the least gain of a summary that only renews leases: it is
	// sent once the present evidence is that much newer than what the peer has. A
	// chain of relays therefore adds no more than MinInterval per hop.
	RenewalInterval time.Duration
	// MinInterval is the least time between two summaries to a peer, also when
	// targets have come or gone.
	MinInterval time.Duration
	// RowsPerSummary limits the rows of a summary, and its levels. The rest waits
	// for the next summary; the largest changes of load go first.
	RowsPerSummary int
	// UnresponsiveAfter is the age of a target's last heartbeat beyond which a watcher
	// reports the target as unresponsive. Evidence from peers may be two intervals older.
	// Both are well below the lease time, so that one unresponsive target
	// doesn't delay the renewal of the others for long.
	UnresponsiveAfter time.Duration
	// MinLevelChange is the smallest change of load that is sent.
	MinLevelChange uint8
}

// DefaultRelaySettings returns the settings that match DefaultSettings.
func DefaultRelaySettings() RelaySettings {
	return RelaySettings{
		RenewalInterval:   time.Second,
		MinInterval:       100 * time.Millisecond,
		RowsPerSummary:    24,
		UnresponsiveAfter: 2500 * time.Millisecond,
		MinLevelChange:    1,
	}
}

// keepAliveIntervals is the longest gap between two summaries to a peer, in renewal
// intervals.
const keepAliveIntervals = 2

// Relay sends the state of a Membership to the linked peers. A summary carries only
// what changed, up to RowsPerSummary, and one time that renews the leases of all
// other targets. It is not safe for concurrent use.
type Relay struct {
	settings    RelaySettings
	self        btid.Entry
	incarnation btid.Incarnation
	member      *Membership
	streams     []*outboundStream
}

var _ btcore.Machine[RelayEvent, RelayEffect] = (*Relay)(nil)

// outboundStream is what was sent to one peer about one origin.
type outboundStream struct {
	link     Link
	sequence uint64
	reset    bool
	sentAt   time.Time
	asOf     time.Time
	sentRows map[btid.Target]Row
	// numbers is the index of each target among those named since the last reset.
	numbers map[btid.Target]uint16
}

// changes are the updates that a peer needs.
type changes struct {
	rows   []Row
	levels []levelChange
}

type levelChange struct {
	row  Row
	size uint8
}

// NewRelay returns a relay that reads the membership and never changes it.
func NewRelay(settings RelaySettings, self btid.Entry, incarnation btid.Incarnation, member *Membership) *Relay {
	return &Relay{settings: settings, self: self, incarnation: incarnation, member: member}
}

// Step applies one event and returns the summaries to send.
func (y *Relay) Step(now time.Time, event RelayEvent) []RelayEffect {
	switch e := event.(type) {
	case LinksUpdated:
		y.setLinks(e)
	case ResetRequested:
		y.resetStream(e.Request)
	case RelayTick:
		return y.tick(now)
	}
	return nil
}

// setLinks replaces the links. A link that stays keeps its sequence numbers and
// restarts its stream.
func (y *Relay) setLinks(e LinksUpdated) {
	sequences := map[streamKey]uint64{}
	for _, o := range y.streams {
		sequences[streamKey{o.link.To, o.link.Origin}] = o.sequence
	}
	y.streams = nil
	for _, l := range e.Links {
		y.streams = append(y.streams, &outboundStream{
			link:     l,
			sequence: sequences[streamKey{l.To, l.Origin}],
			reset:    true,
			sentRows: map[btid.Target]Row{},
			numbers:  map[btid.Target]uint16{},
		})
	}
}

func (y *Relay) resetStream(ask SummaryAsk) {
	for _, o := range y.streams {
		if o.link.To == ask.From && o.link.Origin == ask.Origin {
			o.reset = true
			clear(o.sentRows)
			clear(o.numbers)
		}
	}
}

func (y *Relay) tick(now time.Time) []RelayEffect {
	var effects []RelayEffect
	for _, o := range y.streams {
		c := y.pendingChanges(now, o)
		if y.due(now, o, len(c.rows) > 0) {
			effects = append(effects, SendSummary{To: o.link.To, Summary: y.summary(now, o, c)})
		}
	}
	return effects
}

// due reports whether to send a summary to the peer now. Without changes, one is
// still sent every keepAliveIntervals, from which the peer detects lost summaries.
func (y *Relay) due(now time.Time, o *outboundStream, urgent bool) bool {
	sinceLast := now.Sub(o.sentAt)
	if sinceLast < y.settings.MinInterval {
		return false
	}
	if urgent || o.reset || sinceLast >= keepAliveIntervals*y.settings.RenewalInterval {
		return true
	}
	return y.asOf(now, o).Sub(o.asOf) >= y.settings.RenewalInterval
}

func (y *Relay) summary(now time.Time, o *outboundStream, c changes) Summary {
	for _, r := range c.rows {
		o.recordRow(r)
	}
	var levels []Level
	for _, l := range c.levels {
		o.sentRows[l.row.Target] = l.row
		levels = append(levels, Level{Number: o.numbers[l.row.Target], Level: l.row.Level})
	}
	o.sequence++
	o.sentAt = now
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

func (o *outboundStream) recordRow(r Row) {
	o.sentRows[r.Target] = r
	if _, named := o.numbers[r.Target]; !named {
		o.numbers[r.Target] = uint16(len(o.numbers))
	}
}

// asOf returns the oldest evidence among the targets that the peer believes to be
// serving. While a target has left or restarted and this wasn't sent to the peer
// yet, the time stays at the last one sent, so that nothing is renewed.
func (y *Relay) asOf(now time.Time, o *outboundStream) time.Time {
	oldest := now
	for name, r := range o.sentRows {
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

// pendingChanges returns the targets that came or went and the largest changes of
// load. What exceeds RowsPerSummary in either list waits.
func (y *Relay) pendingChanges(now time.Time, o *outboundStream) changes {
	var c changes
	for _, name := range o.link.Targets {
		row := y.currentRow(now, name)
		sent, known := o.sentRows[name]
		if !known && row.State == Unresponsive {
			continue
		}
		if row.State != sent.State || row.Incarnation != sent.Incarnation {
			c.rows = append(c.rows, row)
			continue
		}
		size := max(row.Level, sent.Level) - min(row.Level, sent.Level)
		if size >= max(y.settings.MinLevelChange, 1) {
			c.levels = append(c.levels, levelChange{row: row, size: size})
		}
	}
	slices.SortStableFunc(c.levels, func(a, b levelChange) int { return cmp.Compare(b.size, a.size) })
	limit := min(y.settings.RowsPerSummary, MaxRows)
	c.rows = c.rows[:min(len(c.rows), limit)]
	c.levels = c.levels[:min(len(c.levels), limit)]
	return c
}

// currentRow returns the present state of a target.
func (y *Relay) currentRow(now time.Time, name btid.Target) Row {
	r := y.member.records[name]
	if r == nil || r.incarnation == 0 {
		return Row{Target: name, State: Unresponsive}
	}
	row := Row{Target: name, Incarnation: r.incarnation, State: Serving, Level: r.level}
	switch {
	case r.leavingState != 0:
		row.State = r.leavingState
	case y.isUnresponsive(now, r):
		row.State = Unresponsive
	}
	return row
}

func (y *Relay) isUnresponsive(now time.Time, r *record) bool {
	if now.Sub(r.heartbeatAt) <= y.settings.UnresponsiveAfter {
		return false
	}
	return now.Sub(r.summaryAt) > y.settings.UnresponsiveAfter+keepAliveIntervals*y.settings.RenewalInterval
}
