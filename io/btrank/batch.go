package btrank

import (
	"context"
	"net/netip"
	"time"

	"bilberrytide/core/btexpert"
	"bilberrytide/core/btround"
	"bilberrytide/io/btcall"
)

// mapForm is how much of a map a command carries.
type mapForm int

const (
	// noMap is for commands other than Prepare.
	noMap mapForm = iota
	// cachedMap refers to a map that the rank has cached.
	cachedMap
	// changesOnly describes a map by its changes to one that the rank has.
	changesOnly
	// wholeMap carries the whole map.
	wholeMap
)

// batchKey is what the commands of one batch have in common.
type batchKey struct {
	relay netip.AddrPort
	form  mapForm
}

// dispatch sends the commands of one poll, which differ only by rank: those for several
// ranks of a relay's block in one message to the relay, the others directly to each rank.
// The lock must be held.
func (l *lead) dispatch(ctx context.Context, commands []btround.Command) {
	batches := make(map[batchKey][]btround.Command)
	for _, c := range commands {
		if l.alreadySending(c) {
			continue
		}
		relay, relayed := l.relayOf(c)
		if !relayed {
			go l.sendCommand(ctx, c, l.engines[c.Rank])
			continue
		}
		k := batchKey{relay: relay, form: l.formOf(c)}
		batches[k] = append(batches[k], c)
	}
	for k, list := range batches {
		if len(list) == 1 {
			go l.sendCommand(ctx, list[0], l.engines[list[0].Rank])
			continue
		}
		go l.sendBatch(ctx, k, list)
	}
}

// alreadySending reports whether a Prepare for this version is still being sent to the
// rank, so that the map isn't sent twice. Otherwise it records that one is being sent from
// now on. The lock must be held.
func (l *lead) alreadySending(c btround.Command) bool {
	if c.Kind != btround.Prepare {
		return false
	}
	if l.sending[c.Rank] == c.Version {
		return true
	}
	l.sending[c.Rank] = c.Version
	return false
}

// clearSending records that a Prepare is no longer being sent. The lock must be held.
func (l *lead) clearSending(c btround.Command) {
	if c.Kind == btround.Prepare && l.sending[c.Rank] == c.Version {
		delete(l.sending, c.Rank)
	}
}

// noteMissingBase records that a rank lacks the map that a command refers to, and has the
// whole map sent to it at once. The map goes through the relay like any other: 192 whole
// maps are 2.9 MB, which take the lead's link four seconds, but a quarter of a second
// through 14 relays. The lock must be held.
func (l *lead) noteMissingBase(c btround.Command) {
	l.wholeNeeded[c.Rank] = true
	delete(l.cachedVersions, c.Rank)
	l.machine.RetryNow(c.Round, c.Rank)
}

// relayOf returns the relay that forwards a command; false if the command is sent directly
// to its rank. The lock must be held.
func (l *lead) relayOf(c btround.Command) (netip.AddrPort, bool) {
	via, found := l.relays[c.Rank]
	direct := !found || c.Direct || via == l.options.Address
	if direct || l.options.Clock().Sub(l.reportedAt[c.Rank]) > silenceTimeout {
		return netip.AddrPort{}, false
	}
	return via, true
}

// formOf returns how much of a map a command must carry. The lock must be held.
func (l *lead) formOf(c btround.Command) mapForm {
	switch {
	case c.Kind != btround.Prepare:
		return noMap
	case l.wholeNeeded[c.Rank]:
		return wholeMap
	case l.cachedVersions[c.Rank] == c.Version:
		return cachedMap
	}
	return changesOnly
}

// sendBatch sends commands to ranks of a block through its relay. If the relay doesn't
// answer or can't reach a rank, the command is sent directly to the rank: relays aren't
// needed for correctness, they only reduce the load on the lead's link.
func (l *lead) sendBatch(ctx context.Context, k batchKey, commands []btround.Command) {
	bounded, cancel := context.WithTimeout(ctx, batchTimeout(k.form))
	defer cancel()
	batch, byRank := l.newBatch(k, commands)
	answer, err := btcall.Call[BatchAnswer](bounded, l.calls, k.relay, pathBatch, batch)
	if err != nil {
		l.log.Info("batch unanswered", "relay", k.relay, "kind", batch.Instruction.Command.Kind, "ranks", len(commands), "error", err)
		for _, c := range commands {
			go l.sendCommand(ctx, c, l.engineOf(c.Rank))
		}
		return
	}
	for _, c := range l.handleBatchAnswer(k, answer, byRank) {
		go l.sendCommand(ctx, c, l.engineOf(c.Rank))
	}
	l.wake()
}

// handleBatchAnswer processes a relay's answer, and returns the commands whose ranks the
// relay couldn't reach.
func (l *lead) handleBatchAnswer(k batchKey, answer BatchAnswer, byRank map[btexpert.Rank]btround.Command) []btround.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range answer.Results {
		if c, asked := byRank[r.State.Rank]; asked && r.State.Validate() == nil {
			l.handleResult(c, r)
		}
	}
	var unreached []btround.Command
	for _, u := range answer.Unanswered {
		c, asked := byRank[u.Rank]
		switch {
		case !asked:
		case u.NotReached:
			unreached = append(unreached, c)
		case u.Refused && k.form != noMap && k.form != wholeMap:
			l.clearSending(c)
			l.noteMissingBase(c)
		default:
			l.clearSending(c)
		}
	}
	return unreached
}

// batchTimeout returns how long to wait for a relay's answer. Whole maps, some 15 KB a
// rank, take additional time on two links of 750 KB/s, the lead's and the relay's.
func batchTimeout(f mapForm) time.Duration {
	if f == wholeMap {
		return commandTimeout + 2*wholeMapsTime
	}
	return commandTimeout
}

// newBatch returns the message for the commands of a batch, and the commands by rank.
func (l *lead) newBatch(k batchKey, commands []btround.Command) (Batch, map[btexpert.Rank]btround.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := Batch{Instruction: l.planner.instruction(commands[0], k.form)}
	byRank := make(map[btexpert.Rank]btround.Command, len(commands))
	for _, c := range commands {
		batch.Ranks = append(batch.Ranks, Addressee{Rank: c.Rank, Engine: l.engines[c.Rank]})
		byRank[c.Rank] = c
	}
	return batch, byRank
}

// handleResult processes the result of a command. The lock must be held.
func (l *lead) handleResult(c btround.Command, r btround.Result) {
	if c.Kind == btround.Prepare {
		l.clearSending(c)
		l.cachedVersions[c.Rank] = c.Version
		delete(l.wholeNeeded, c.Rank)
	}
	l.machine.HandleResult(l.options.Clock(), r)
}

// engineOf returns the address of a rank's engine.
func (l *lead) engineOf(r btexpert.Rank) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[r]
}

// wake has the lead poll its state machine at once.
func (l *lead) wake() {
	select {
	case l.pollNow <- struct{}{}:
	default:
	}
}
