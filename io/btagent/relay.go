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

// relayChunkBytes limits one read of a target's answer.
const relayChunkBytes = 32 << 10

// relayBuffers pools buffers: allocating one for each answer would be most of what an
// agent allocates.
var relayBuffers = sync.Pool{New: func() any { return new([relayChunkBytes]byte) }}

// relay sends the target's answer to the entry. If recorder is set, the answer is read
// to its end even if the entry disconnects.
func (v *attempt) relay(ctx context.Context, response *bttarget.Response, recorder *answerRecorder) error {
	head := v.head(btserve.Accepted)
	head.Status = response.Status
	head.Header = btserve.HeaderFromHTTP(response.Header)
	sendErr := btpeer.Send(v.stream, head)
	cutter := btanswer.NewFramer(v.request.ID)
	pooled := relayBuffers.Get().(*[relayChunkBytes]byte)
	defer relayBuffers.Put(pooled)
	buffer := pooled[:]
	hasOutput := false
	ends := newAnswerEnd(response)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			hasOutput = true
			ends.add(buffer[:n])
			recorder.add(buffer[:n])
			if sendErr == nil {
				sendErr = btpeer.Send(v.stream, cutter.Next(buffer[:n]))
			}
		}
		if sendErr != nil && recorder == nil {
			return sendErr
		}
		if err != nil {
			complete := errors.Is(err, io.EOF) && (response.Delimited || ends.whole() && !v.deps.client.RefusesConnections(context.WithoutCancel(ctx)))
			v.recordEnd(ctx, response.Status, hasOutput, complete, err)
			return v.finish(cutter, complete, recorder, sendErr)
		}
	}
}

// recordEnd records how the target's answer ended for the quarantine. An answer with a
// server error doesn't clear the request of suspicion, because the next target may
// crash on it.
func (v *attempt) recordEnd(ctx context.Context, status int, hasOutput, complete bool, err error) {
	if !complete {
		v.detectCrash(ctx, err, v.progressAfter(hasOutput))
		return
	}
	if status < http.StatusInternalServerError {
		v.agent.isolation.RecordServed(v.fingerprint())
	}
}

// finish sends the end of the answer, marked as complete only if the target's answer
// was. It stores the answer and releases the slot first: a caller that has received its
// complete answer may use the slot, or repeat its key, at once.
func (v *attempt) finish(cutter *btanswer.Framer, complete bool, recorder *answerRecorder, sendErr error) error {
	recorder.finish(complete)
	v.release()
	if sendErr != nil {
		return sendErr
	}
	return btpeer.Send(v.stream, cutter.Last(!complete))
}

// replay sends a stored answer. It releases the target's slot, which isn't needed.
func (v *attempt) replay(answer keptAnswer) error {
	v.release()
	head := v.head(btserve.Replayed)
	head.Status = answer.status
	head.Header = answer.header
	if err := btpeer.Send(v.stream, head); err != nil {
		return err
	}
	cutter := btanswer.NewFramer(v.request.ID)
	for rest := answer.body; len(rest) > 0; {
		size := min(len(rest), relayChunkBytes)
		if err := btpeer.Send(v.stream, cutter.Next(rest[:size])); err != nil {
			return err
		}
		rest = rest[size:]
	}
	return btpeer.Send(v.stream, cutter.Last(false))
}
