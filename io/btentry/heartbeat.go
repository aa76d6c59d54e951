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

// heartbeatsPerAck is how many heartbeats one announcement acknowledges while the bundle
// in force doesn't change.
const heartbeatsPerAck = 4

// errWrongSender means that an agent sent a message about another agent's target.
var errWrongSender = errors.New("heartbeat of another agent")

// handleHeartbeats handles the heartbeats of an agent.
func (e *Entry) handleHeartbeats(ctx context.Context, from btpeer.Identity, s *btpeer.Stream) error {
	received := make(chan struct{}, 1)
	target := btid.Target(from.Name)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.acknowledge(ctx, s, target, received)
	}()
	defer func() {
		close(received)
		<-done
	}()
	for {
		h, err := btpeer.Receive[btmember.Heartbeat](s)
		if err != nil {
			return nil
		}
		if from != btprocess.AgentIdentity(h.Target) {
			return errWrongSender
		}
		e.fleet.handleHeartbeat(h)
		order := btbundle.Revision{Version: h.BundleVersion, Digest: h.BundleDigest}
		e.options.Bundles.ReceiveAnnouncement(from, btannounce.Announcement{Revision: order})
		select {
		case received <- struct{}{}:
		default:
		}
	}
}

// acknowledge announces the bundle in force to the agent: after the first heartbeat and
// every few after it, and immediately when the bundle changes. It returns when received
// is closed.
func (e *Entry) acknowledge(ctx context.Context, s *btpeer.Stream, target btid.Target, received <-chan struct{}) {
	bundles := e.options.Bundles
	announced := btbundle.Revision{}
	due := false
	for count := 0; ; {
		changed := bundles.Changed()
		order := bundles.Current().Revision()
		if due || count > 0 && order != announced {
			announced = order
			due = false
			announcement := btannounce.Announcement{Revision: order, HostLeaving: e.fleet.hostLeaving(target)}
			if err := btpeer.Send(s, announcement); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case _, open := <-received:
			if !open {
				return
			}
			due = count%heartbeatsPerAck == 0
			count++
		}
	}
}

// handleCacheEvents handles the prefix cache changes that an agent sends.
func (e *Entry) handleCacheEvents(_ context.Context, from btpeer.Identity, s *btpeer.Stream) error {
	for {
		batch, err := btpeer.Receive[btload.CacheEvents](s)
		if err != nil {
			return nil
		}
		if from != btprocess.AgentIdentity(batch.Target) {
			return errWrongSender
		}
		e.fleet.applyCacheEvents(batch)
	}
}
