package btrank

import (
	"context"
	"net/netip"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
	"bilberrytide/io/btcall"
)

// form is how much of a map goes with a command.
type form int

const (
	// noMap is for commands that need none.
	noMap form = iota
	// knownMap names a map that the rank has been sent.
	knownMap
	// changedMap is a map as the changes to one that the rank has.
	changedMap
	// wholeMap is a map in full.
	wholeMap
)

// parcel is what the commands of one batch have in common.
type parcel struct {
	relay netip.AddrPort
	form  form
}

// dispatch has the commands of one step given: those to several ranks of a relay's
// block in one message, the others one by one, straight to their ranks. All commands
// of a step differ by their rank alone. The lock is held.
func (l *lead) dispatch(ctx context.Context, commands []btround.Command) {
	parcels := make(map[parcel][]btround.Command)
	for _, c := range commands {
		if l.underWay(c) {
			continue
		}
		relay, relayed := l.relayOf(c)
		if !relayed {
			go l.give(ctx, c, l.engines[c.Rank])
			continue
		}
		p := parcel{relay: relay, form: l.form(c)}
		parcels[p] = append(parcels[p], c)
	}
	for p, list := range parcels {
		if len(list) == 1 {
			go l.give(ctx, list[0], l.engines[list[0].Rank])
			continue
		}
		go l.giveAll(ctx, p, list)
	}
}

// underWay tells whether a map is still on its way to a rank, so that it is not sent
// again, and notes that one is from now on. The lock is held.
func (l *lead) underWay(c btround.Command) bool {
	if c.Kind != btround.Prepare {
		return false
	}
	if l.sending[c.Rank] == c.Version {
		return true
	}
	l.sending[c.Rank] = c.Version
	return false
}

// sent notes that a map is no longer on its way to a rank. The lock is held.
func (l *lead) sent(c btround.Command) {
	if c.Kind == btround.Prepare && l.sending[c.Rank] == c.Version {
		delete(l.sending, c.Rank)
	}
}

// refused notes that a rank lacks the map that the changes of a command refer to. It
// is sent the whole at once, by its relay like any other: 192 whole maps are 2.9 MB,
// four seconds of the lead's link, by 14 relays a quarter of a second. The lock is
// held.
func (l *lead) refused(c btround.Command) {
	l.whole[c.Rank] = true
	delete(l.prepares, c.Rank)
	l.machine.RetryNow(c.Round, c.Rank)
}

// relayOf returns the relay that a command goes by; false where it goes straight to
// its rank. The lock is held.
func (l *lead) relayOf(c btround.Command) (netip.AddrPort, bool) {
	via, found := l.via[c.Rank]
	straight := !found || c.Direct || via == l.options.Address
	if straight || l.options.Clock().Sub(l.at[c.Rank]) > leadFor {
		return netip.AddrPort{}, false
	}
	return via, true
}

// form returns how much of a map goes with a command. The lock is held.
func (l *lead) form(c btround.Command) form {
	switch {
	case c.Kind != btround.Prepare:
		return noMap
	case l.whole[c.Rank]:
		return wholeMap
	case l.prepares[c.Rank] == c.Version:
		return knownMap
	}
	return changedMap
}

// giveAll gives commands to the ranks of a relay's block. Where the relay doesn't
// answer, or can't reach a rank, the command goes straight to the rank: relays are
// not needed, they only save the lead's link.
func (l *lead) giveAll(ctx context.Context, p parcel, commands []btround.Command) {
	bounded, cancel := context.WithTimeout(ctx, batchTime(p.form))
	defer cancel()
	batch, byRank := l.batch(p, commands)
	answer, err := btcall.Call[BatchAnswer](bounded, l.calls, p.relay, pathBatch, batch)
	if err != nil {
		l.log.Info("batch unanswered", "relay", p.relay, "kind", batch.Instruction.Command.Kind, "ranks", len(commands), "error", err)
		for _, c := range commands {
			go l.give(ctx, c, l.engineOf(c.Rank))
		}
		return
	}
	for _, c := range l.takeAnswer(p, answer, byRank) {
		go l.give(ctx, c, l.engineOf(c.Rank))
	}
	l.wake()
}

// takeAnswer takes a relay's answer in, and returns the commands that it could not
// carry to their ranks.
func (l *lead) takeAnswer(p parcel, answer BatchAnswer, byRank map[btexpert.Rank]btround.Command) []btround.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range answer.Results {
		if c, asked := byRank[r.State.Rank]; asked && r.State.Validate() == nil {
			l.answered(c, r)
		}
	}
	var unreached []btround.Command
	for _, u := range answer.Unanswered {
		c, asked := byRank[u.Rank]
		switch {
		case !asked:
		case u.NotReached:
			unreached = append(unreached, c)
		case u.Refused && p.form != noMap && p.form != wholeMap:
			l.sent(c)
			l.refused(c)
		default:
			l.sent(c)
		}
	}
	return unreached
}

// batchTime bounds a relay's answer: beyond the time that it takes to carry the
// batch, whole maps, some 15 KB a rank, need time on two links of 750 KB/s.
func batchTime(f form) time.Duration {
	if f == wholeMap {
		return commandTime + 2*mapTime
	}
	return commandTime
}

// batch returns the message of a parcel, and its commands by rank.
func (l *lead) batch(p parcel, commands []btround.Command) (Batch, map[btexpert.Rank]btround.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := Batch{Instruction: l.planner.instruction(commands[0], p.form)}
	byRank := make(map[btexpert.Rank]btround.Command, len(commands))
	for _, c := range commands {
		batch.Ranks = append(batch.Ranks, Addressee{Rank: c.Rank, Engine: l.engines[c.Rank]})
		byRank[c.Rank] = c
	}
	return batch, byRank
}

// answered takes the result of a command in. The lock is held.
func (l *lead) answered(c btround.Command, r btround.Result) {
	if c.Kind == btround.Prepare {
		l.sent(c)
		l.prepares[c.Rank] = c.Version
		delete(l.whole, c.Rank)
	}
	l.machine.HandleResult(l.options.Clock(), r)
}

// engineOf returns the address of a rank's engine.
func (l *lead) engineOf(r btexpert.Rank) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[r]
}

// wake has the lead take its next step at once.
func (l *lead) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}
