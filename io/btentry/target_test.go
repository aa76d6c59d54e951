package btentry_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btid"
	"bilberrytide/io/btstandin"
)

// blockingTarget is a target that reports each request and blocks it until released.
type blockingTarget struct {
	arrived   chan *http.Request
	release   chan struct{}
	cancelled chan struct{}
}

func newBlockingTarget() *blockingTarget {
	return &blockingTarget{arrived: make(chan *http.Request, 64), release: make(chan struct{}), cancelled: make(chan struct{}, 64)}
}

func (g *blockingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	g.arrived <- r
	select {
	case <-g.release:
		_, _ = io.WriteString(w, "done")
	case <-r.Context().Done():
		g.cancelled <- struct{}{}
	}
}

func newPlain(tb testing.TB, name btid.Target) *btstandin.Plain {
	p, err := btstandin.NewPlain(btstandin.PlainOptions{Name: name, Clock: btstandin.SystemClock{}})
	assert.NilError(tb, err)
	return p
}

func newEngine(tb testing.TB, name btid.Target) *btstandin.Engine {
	e, err := btstandin.NewEngine(btstandin.EngineOptions{Name: name, Clock: btstandin.SystemClock{}, PrefillRate: 1e9, DecodeRate: 1e6})
	assert.NilError(tb, err)
	return e
}

// parseStream returns the text of a stream's events and whether its last event was
// received.
func parseStream(body string) (text string, done bool) {
	var out bytes.Buffer
	for event := range strings.SplitSeq(body, "\n\n") {
		data, found := strings.CutPrefix(event, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			out.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return out.String(), done
}

var errInterrupted = errors.New("body broke off")

// interruptedReader returns errInterrupted at the end of its source.
type interruptedReader struct{ source io.Reader }

func (c interruptedReader) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	if err == io.EOF {
		err = errInterrupted
	}
	return n, err
}
