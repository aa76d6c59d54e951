package btentry

import (
	"context"
	"errors"

	"bilberrytide/core/btannounce"
	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btload"
	"bilberrytide/core/btmember"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/btprocess"
)

// ackEvery is how many heartbeats are acknowledged with one announcement while
// the bundle in force stays the same.
const ackEvery = 4

// errForeignHeartbeat is the error of a heartbeat about a target that is not
// the sender's.
var errForeignHeartbeat = errors.New("heartbeat of another agent")

// hear takes an agent's heartbeats.
func (e *Entry) hear(ctx context.Context, from btpeer.Identity, s *btpeer.Stream) error {
	heard := make(chan struct{}, 1)
	target := btid.Target(from.Name)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.acknowledge(ctx, s, target, heard)
	}()
	defer func() {
		close(heard)
		<-done
	}()
	for {
		h, err := btpeer.Receive[btmember.Heartbeat](s)
		if err != nil {
			return nil
		}
		if from != btprocess.AgentIdentity(h.Target) {
			return errForeignHeartbeat
		}
		e.fleet.heard(h)
		order := btbundle.Revision{Version: h.BundleVersion, Digest: h.BundleDigest}
		e.options.Bundles.Heard(from, btannounce.Announcement{Revision: order})
		select {
		case heard <- struct{}{}:
		default:
		}
	}
}

// acknowledge tells the agent what is in force here: with the first heartbeat
// and every few after it, and at once when it has changed. It ends when heard
// is closed.
func (e *Entry) acknowledge(ctx context.Context, s *btpeer.Stream, target btid.Target, heard <-chan struct{}) {
	bundles := e.options.Bundles
	told := btbundle.Revision{}
	due := false
	for count := 0; ; {
		changed := bundles.Changed()
		order := bundles.Current().Revision()
		if due || count > 0 && order != told {
			told = order
			due = false
			word := btannounce.Announcement{Revision: order, HostLeaving: e.fleet.hostLeaving(target)}
			if err := btpeer.Send(s, word); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case _, open := <-heard:
			if !open {
				return
			}
			due = count%ackEvery == 0
			count++
		}
	}
}

// hearCache takes the changes of a target's prefix cache from its agent.
func (e *Entry) hearCache(_ context.Context, from btpeer.Identity, s *btpeer.Stream) error {
	for {
		batch, err := btpeer.Receive[btload.CacheEvents](s)
		if err != nil {
			return nil
		}
		if from != btprocess.AgentIdentity(batch.Target) {
			return errForeignHeartbeat
		}
		e.fleet.cached(batch)
	}
}
