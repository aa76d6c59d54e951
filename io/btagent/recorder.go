package btagent

import (
	"slices"
	"sync/atomic"
)

const (
	// maxKeptAnswerBytes is the size of the longest answer that is kept for a repeat.
	maxKeptAnswerBytes = 1 << 20
	// maxRecordingBytes limits what answers that are still arriving take together.
	maxRecordingBytes = 16 << 20
	// firstRecordBytes is the first buffer of an answer.
	firstRecordBytes = 4 << 10
)

// recordings is the memory of the answers that are being recorded. It is safe for concurrent
// use.
type recordings struct{ used atomic.Int64 }

func (m *recordings) acquire(n int64) bool {
	if m.used.Add(n) <= maxRecordingBytes {
		return true
	}
	m.release(n)
	return false
}

func (m *recordings) release(n int64) { m.used.Add(-n) }

// answerRecorder collects an answer for repeats of the request. A nil answerRecorder
// does nothing.
type answerRecorder struct {
	memory *recordings
	data   []byte
	// dropped reports that the answer is too long, or that there was no memory for it.
	dropped bool
	// done is called at the end of the target's answer, with its data unless that was
	// dropped.
	done func(data []byte, dropped, complete bool)
}

func (r *answerRecorder) add(data []byte) {
	if r == nil || r.dropped {
		return
	}
	size := len(r.data) + len(data)
	if size > maxKeptAnswerBytes || size > cap(r.data) && !r.grow(size) {
		r.drop()
		return
	}
	r.data = append(r.data, data...)
}

// grow enlarges the buffer, whose memory it acquires.
func (r *answerRecorder) grow(size int) bool {
	size = max(size, 2*cap(r.data), firstRecordBytes)
	if !r.memory.acquire(int64(size - cap(r.data))) {
		return false
	}
	larger := make([]byte, len(r.data), size)
	copy(larger, r.data)
	r.data = larger
	return true
}

func (r *answerRecorder) drop() {
	r.memory.release(int64(cap(r.data)))
	r.data, r.dropped = nil, true
}

func (r *answerRecorder) finish(complete bool) {
	if r == nil {
		return
	}
	r.done(slices.Clone(r.data), r.dropped, complete)
	r.memory.release(int64(cap(r.data)))
	r.data = nil
}
