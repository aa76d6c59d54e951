package btagent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"bilberrytide/core/btanswer"
	"bilberrytide/core/btserve"
	"bilberrytide/io/btpeer"
	"bilberrytide/io/bttarget"
)

const (
	// relayBytes is the most that one read of a target's answer takes.
	relayBytes = 32 << 10
	// keptAnswerBytes is the longest answer that is kept for a repeat.
	keptAnswerBytes = 1 << 20
)

// relayBuffers keeps buffers for reuse: one made for each answer is most of what
// an agent allocates.
var relayBuffers = sync.Pool{New: func() any { return new([relayBytes]byte) }}

// keeper gathers an answer that a repeat of the request may ask for.
type keeper struct {
	limit int
	data  []byte
	// ended takes what was gathered, once the target's answer has ended.
	ended func(data []byte, whole bool)
}

func (k *keeper) add(data []byte) {
	if k == nil || len(k.data) > k.limit {
		return
	}
	k.data = append(k.data, data...)
}

func (k *keeper) finish(whole bool) {
	if k != nil {
		k.ended(k.data, whole)
	}
}

// relay sends the target's answer to the entry. Where kept is set, the answer
// is gathered to its end even if the entry goes away.
func (v *serving) relay(ctx context.Context, response *bttarget.Response, kept *keeper) error {
	head := v.head(btserve.Accepted)
	head.Status = response.Status
	head.Header = btserve.HeaderOf(response.Header)
	sendErr := btpeer.Send(v.stream, head)
	cutter := btanswer.NewCutter(v.request.ID)
	pooled := relayBuffers.Get().(*[relayBytes]byte)
	defer relayBuffers.Put(pooled)
	buffer := pooled[:]
	came := false
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			came = true
			kept.add(buffer[:n])
			if sendErr == nil {
				sendErr = btpeer.Send(v.stream, cutter.Next(buffer[:n]))
			}
		}
		if sendErr != nil && kept == nil {
			return sendErr
		}
		if err != nil {
			whole := errors.Is(err, io.EOF) && response.Delimited
			v.learn(ctx, response.Status, came, whole, err)
			return v.finish(cutter, whole, kept, sendErr)
		}
	}
}

// learn notes what the end of an answer tells of the request. A failure doesn't free it
// from suspicion: the next target may end under it.
func (v *serving) learn(ctx context.Context, status int, came, whole bool, err error) {
	if !whole {
		v.broke(ctx, err, v.progress(came))
		return
	}
	if status < http.StatusInternalServerError {
		v.agent.isolation.Served(v.fingerprint())
	}
}

// finish sends the end of the answer: whole only where the target said so. The
// answer is kept and the slot given back first: a caller that has its whole
// answer may use the slot, or repeat its key, at once.
func (v *serving) finish(cutter *btanswer.Cutter, whole bool, kept *keeper, sendErr error) error {
	kept.finish(whole)
	v.release()
	if sendErr != nil {
		return sendErr
	}
	return btpeer.Send(v.stream, cutter.Last(!whole))
}

// replay sends a kept answer, for which the target's slot isn't needed.
func (v *serving) replay(saved answer) error {
	v.release()
	head := v.head(btserve.Replayed)
	head.Status = saved.status
	head.Header = saved.header
	if err := btpeer.Send(v.stream, head); err != nil {
		return err
	}
	cutter := btanswer.NewCutter(v.request.ID)
	for rest := saved.body; len(rest) > 0; {
		size := min(len(rest), relayBytes)
		if err := btpeer.Send(v.stream, cutter.Next(rest[:size])); err != nil {
			return err
		}
		rest = rest[size:]
	}
	return btpeer.Send(v.stream, cutter.Last(false))
}
