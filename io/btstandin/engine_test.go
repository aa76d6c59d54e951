package btstandin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btload"
	"bilberrytide/io/btstandin"
)

const chatPath = "/v1/chat/completions"

func newEngine(t *testing.T, o btstandin.EngineOptions) *btstandin.Engine {
	t.Helper()
	o.Name = "e1"
	o.Clock = btstandin.SystemClock{}
	e, err := btstandin.NewEngine(o)
	assert.NilError(t, err)
	return e
}

func chatBody(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, text)
}

// wholeAnswer holds the fields of an unstreamed answer that tests read.
type wholeAnswer struct {
	Choices []struct {
		Message btstandin.ChatMessage `json:"message"`
	} `json:"choices"`
}

// streamed returns a stream's events and the text that they add up to.
func streamed(t *testing.T, body *bytes.Buffer) (events []string, text string) {
	t.Helper()
	for part := range strings.SplitSeq(strings.TrimSuffix(body.String(), "\n\n"), "\n\n") {
		data, ok := strings.CutPrefix(part, "data: ")
		assert.Assert(t, ok, "event %q", part)
		events = append(events, data)
		if data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta btstandin.ChatMessage }
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		text += chunk.Choices[0].Delta.Content
	}
	return events, text
}

// Tests detect truncated and misrouted answers by comparing them with Answer, so
// streamed and unstreamed answers must have its text, which differs by request.
func TestStreamedAndUnstreamedAnswersAreEqual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, btstandin.EngineOptions{})
		want, err := btstandin.Answer([]byte(chatBody("a seat at nine", 5, false)))
		assert.NilError(t, err)
		other, err := btstandin.Answer([]byte(chatBody("a seat at ten", 5, false)))
		assert.NilError(t, err)
		assert.Assert(t, want != other)

		whole := decode[wholeAnswer](t, call(e, http.MethodPost, chatPath, chatBody("a seat at nine", 5, false)))
		assert.Equal(t, whole.Choices[0].Message.Content, want)
		events, text := streamed(t, call(e, http.MethodPost, chatPath, chatBody("a seat at nine", 5, true)).Body)
		assert.Equal(t, text, want)
		assert.Equal(t, len(events), 7)
		assert.Equal(t, events[6], "[DONE]")
		assert.Equal(t, call(e, http.MethodPost, chatPath, `{"messages":[]}`).Code, http.StatusBadRequest)
	})
}

// A stream that its client cancelled must resume after any event that was received,
// without repeating or losing one, and without counting as another execution.
func TestCancelledStreamResumesAtAnyEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, btstandin.EngineOptions{DecodeRate: 10, PrefillRate: 1e9})
		full, _ := streamed(t, call(e, http.MethodPost, chatPath, chatBody("x", 20, true), btstandin.RequestIDHeader, "r1").Body)
		ctx, cancel := context.WithTimeout(t.Context(), 1050*time.Millisecond)
		defer cancel()
		w := callContext(ctx, e, http.MethodPost, chatPath, chatBody("x", 20, true), btstandin.RequestIDHeader, "r1")
		first, _ := streamed(t, w.Body)
		assert.Equal(t, len(first), 10)
		assert.Equal(t, e.Executions().Cancelled, 1)

		for after := range len(first) + 1 {
			start := time.Now()
			path := fmt.Sprintf("/v1/streams/r1?after=%d", after)
			rest, _ := streamed(t, call(e, http.MethodGet, path, "").Body)
			assert.Equal(t, len(rest), len(full)-after)
			assert.DeepEqual(t, rest[:len(first)-after], first[after:])
			if after == 0 {
				assert.Equal(t, time.Since(start), time.Second, "ten tokens were made before")
			}
		}
		assert.Equal(t, e.Executions().Requests["r1"], 2)
		assert.Equal(t, e.Executions().Resumed, len(first)+1)
		assert.Equal(t, call(e, http.MethodGet, "/v1/streams/r2?after=0", "").Code, http.StatusNotFound)
		assert.Equal(t, call(e, http.MethodGet, "/v1/streams/r1?after=23", "").Code, http.StatusBadRequest)
	})
}

// Waiting requests must get the only slot by priority, and load reports must lag as
// configured, or tests of balancing would run against a simpler engine.
func TestSlotPriorityAndLoadLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, btstandin.EngineOptions{Slots: 1, DecodeRate: 1, PrefillRate: 1e9, LoadLag: 500 * time.Millisecond})
		finished := make(chan string, 3)
		for _, priority := range []string{"0", "-1", "1"} {
			go func() {
				call(e, http.MethodPost, chatPath, chatBody("x", 1, false), btstandin.PriorityHeader, priority)
				finished <- priority
			}()
			synctest.Wait()
		}
		load := func() btstandin.Load { return decode[btstandin.Load](t, call(e, http.MethodGet, "/load", "")) }
		assert.Equal(t, load().Waiting, 0)
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, load().Waiting, 2)
		assert.Equal(t, load().Running, 1)
		assert.Equal(t, <-finished+<-finished+<-finished, "01-1")
	})
}

// Cache events must be delayed and dropped as the fault says; a dropped event leaves
// a gap in the sequence numbers.
func TestCacheEventDelayAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, btstandin.EngineOptions{PrefixCacheBlocks: 2})
		control(t, e, "/control/cache", `{"delay":"1s","drop_every":3}`)
		prompt := strings.Repeat("p", 3*btstandin.BlockBytes)
		call(e, http.MethodPost, chatPath, chatBody(prompt, 1, false))
		read := func() []btstandin.CacheEvent {
			return decode[btstandin.CacheEvents](t, call(e, http.MethodGet, "/cache/events?after=0", "")).Events
		}
		assert.Equal(t, len(read()), 0)
		time.Sleep(time.Second)
		names := btstandin.Prefixes("user\n" + prompt + "\n")
		assert.DeepEqual(t, read(), []btstandin.CacheEvent{
			{Sequence: 1, Op: btstandin.CacheStored, Prefix: names[0]},
			{Sequence: 2, Op: btstandin.CacheStored, Prefix: names[1]},
			{Sequence: 4, Op: btstandin.CacheStored, Prefix: names[2]},
		})
	})
}

// Cache events name prefixes that the router computes by itself; if the two differ,
// routing by cached prefixes silently stops working.
func TestPrefixesMatchTheRouter(t *testing.T) {
	prompt := strings.Repeat("role and content ", 200)
	names := btstandin.Prefixes(prompt)
	assert.Equal(t, len(names), len(prompt)/btstandin.BlockBytes)
	for i, hash := range btload.Prefixes([]byte(prompt)) {
		assert.Equal(t, names[i], fmt.Sprintf("%016x", hash)+strings.Repeat("0", 48))
	}
}

// A repeated prompt must save the prefill time of its cached blocks.
func TestCachedPromptNeedsNoPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, btstandin.EngineOptions{PrefillRate: 64, DecodeRate: 1000})
		body := chatBody(strings.Repeat("p", 4*btstandin.BlockBytes), 1, false)
		var times [2]time.Duration
		for i := range times {
			start := time.Now()
			call(e, http.MethodPost, chatPath, body)
			times[i] = time.Since(start)
		}
		assert.Equal(t, (times[0] - times[1]).Round(time.Millisecond), 4*time.Second)
	})
}

// An engine that checks fencing numbers must refuse one that is not above the last;
// one that doesn't must accept it. Both count it as stale.
func TestStaleFencingNumbers(t *testing.T) {
	for _, checks := range []bool{false, true} {
		e := newEngine(t, btstandin.EngineOptions{ChecksFencing: checks})
		order := func(number int) int {
			return call(e, http.MethodPost, "/orders", fmt.Sprintf(`{"fencing":%d,"op":"load_model"}`, number)).Code
		}
		assert.Equal(t, order(7), http.StatusOK)
		want := http.StatusOK
		if checks {
			want = http.StatusConflict
		}
		assert.Equal(t, order(6), want)
		assert.Equal(t, order(7), want)
		assert.Equal(t, decode[btstandin.Fencing](t, call(e, http.MethodGet, "/orders", "")).Fencing, uint64(7))
		assert.Equal(t, e.Orders().Stale, 2)
		assert.Equal(t, call(e, http.MethodPost, "/orders", `{"fencing":9}`).Code, http.StatusBadRequest)
	}
}

// Injected crashes and kills must close connections, and a restart must clear the
// fencing number but keep the counts. A killed request is not a cancelled one.
func TestCrashAndKillCloseTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, btstandin.EngineOptions{})
		control(t, e, "/control/fault", `{"crash_after_events":3,"times":1}`)
		assert.Assert(t, closes(e, http.MethodPost, chatPath, chatBody("x", 9, true)))
		control(t, e, "/control/fault", `{"cut_body":true,"times":1}`)
		events, _ := streamed(t, call(e, http.MethodPost, chatPath, chatBody("x", 9, true)).Body)
		assert.Equal(t, len(events), 10, "the last event is missing")

		call(e, http.MethodPost, "/orders", `{"fencing":7,"op":"load_model"}`)
		broken := make(chan bool)
		go func() { broken <- closes(e, http.MethodPost, chatPath, chatBody("x", 9000, false)) }()
		synctest.Wait()
		control(t, e, "/control/life", `{"state":"killed"}`)
		assert.Assert(t, <-broken)
		assert.Assert(t, closes(e, http.MethodGet, "/load", ""))
		control(t, e, "/control/life", `{"state":"running"}`)
		assert.Equal(t, decode[btstandin.Fencing](t, call(e, http.MethodGet, "/orders", "")).Fencing, uint64(0))
		assert.Equal(t, call(e, http.MethodPost, chatPath, chatBody("x", 1, false)).Code, http.StatusOK)
		assert.Equal(t, e.Executions().Total, 4)
		assert.Equal(t, e.Executions().Cancelled, 0)
	})
}
