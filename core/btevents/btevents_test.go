package btevents_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btevents"
)

func stream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func TestSplitterReturnsWholeEventsForAnyPieceSize(t *testing.T) {
	whole := stream(0, 9)
	for size := 1; size <= len(whole); size++ {
		s := btevents.New()
		var out strings.Builder
		for at := 0; at < len(whole); at += size {
			events, err := s.Add([]byte(whole[at:min(at+size, len(whole))]))
			assert.NilError(t, err)
			assert.Assert(t, len(events) == 0 || strings.HasSuffix(string(events), "\n\n"))
			out.Write(events)
		}
		assert.Equal(t, out.String(), whole)
		assert.Equal(t, s.Last(), "9")
		assert.Equal(t, s.Count(), 10)
		assert.Assert(t, !s.Partial())
	}
}

// A target that resumes a stream may begin with events that the caller has already, and
// the broken stream may end in the middle of an event.
func TestResumedStreamsNeitherLoseNorRepeatEvents(t *testing.T) {
	whole := stream(1, 8)
	for cut := range len(whole) {
		first := btevents.New()
		out, err := first.Add([]byte(whole[:cut]))
		assert.NilError(t, err)
		next := btevents.New()
		if first.Last() != "" {
			next = btevents.NewAfter(first.Last())
		}
		rest, err := next.Add([]byte(whole))
		assert.NilError(t, err)
		assert.Equal(t, string(out)+string(rest), whole)
	}
}

func TestEventsWithoutNumericIDsAreKept(t *testing.T) {
	s := btevents.New()
	out, err := s.Add([]byte(": hello\n\ndata: x\r\n\r\nid: abc\ndata: y\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, string(out), ": hello\n\ndata: x\r\n\r\nid: abc\ndata: y\n\n")
	assert.Equal(t, s.Last(), "abc")
}

func TestAnOverlongEventIsAnError(t *testing.T) {
	s := btevents.New()
	_, err := s.Add(make([]byte, btevents.MaxEventBytes+1))
	assert.ErrorIs(t, err, btevents.ErrTooLong)
}

// TestSplitterBoundsBytesWithoutEvents guards against a target in trouble that sends bytes
// without end which are no new events.
func TestSplitterBoundsBytesWithoutEvents(t *testing.T) {
	pieces := map[string]string{
		"event":        "data: x\n",
		"comments":     ": c\n\n",
		"comment":      ": c\n",
		"blank lines":  "\n",
		"other blocks": "garbage\n\n",
		"old events":   "id: 3\ndata: x\n\n",
	}
	for name, piece := range pieces {
		t.Run(name, func(t *testing.T) {
			s := btevents.NewAfter("3")
			piece := []byte(strings.Repeat(piece, 100))
			var err error
			total := 0
			for err == nil && total <= 2*btevents.MaxIdleBytes {
				_, err = s.Add(piece)
				total += len(piece)
			}
			assert.ErrorIs(t, err, btevents.ErrTooLong)
			assert.Equal(t, s.Events(), 0)
		})
	}
}

// TestSplitterCountsWithinLimits guards against a limit that ends a long stream of events
// with comments between them.
func TestSplitterCountsWithinLimits(t *testing.T) {
	s := btevents.New()
	piece := []byte(": c\n\ndata: " + strings.Repeat("x", 1000) + "\n\n")
	for range 4 * btevents.MaxIdleBytes / len(piece) {
		out, err := s.Add(piece)
		assert.NilError(t, err)
		assert.Equal(t, string(out), string(piece))
	}
	assert.Equal(t, s.Blocks(), 2*s.Events())
}

// TestUnknownBlocksAreWithheld guards against passing on bytes of a target in trouble before
// another target continues the stream, and against losing lines that belong to it.
func TestUnknownBlocksAreWithheld(t *testing.T) {
	s := btevents.New()
	out, err := s.Add([]byte("garbage\n\n: c\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, string(out), "")
	assert.Assert(t, s.Partial())
	out, err = s.Add([]byte("version: 2\nid: 1\ndata: x\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, string(out), "garbage\n\n: c\n\nversion: 2\nid: 1\ndata: x\n\n")
	assert.Assert(t, !s.Partial())
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(stream(1, 3)), 7)
	f.Add([]byte("id:\n\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		if len(data) == 0 {
			return
		}
		cut = (cut%len(data) + len(data)) % len(data)
		whole := btevents.New()
		want, err := whole.Add(data)
		assert.NilError(t, err)
		parts := btevents.New()
		a, err := parts.Add(data[:cut])
		assert.NilError(t, err)
		b, err := parts.Add(data[cut:])
		assert.NilError(t, err)
		assert.Equal(t, string(a)+string(b), string(want))
	})
}
