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

// gate is a target that tells of each request and holds it until let go on.
type gate struct {
	arrived chan *http.Request
	release chan struct{}
	gone    chan struct{}
}

func newGate() *gate {
	return &gate{arrived: make(chan *http.Request, 64), release: make(chan struct{}), gone: make(chan struct{}, 64)}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	g.arrived <- r
	select {
	case <-g.release:
		_, _ = io.WriteString(w, "done")
	case <-r.Context().Done():
		g.gone <- struct{}{}
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

// streamed returns the text of a stream's events and whether it has its end.
func streamed(body string) (text string, done bool) {
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

var errBroken = errors.New("body broke off")

// cutReader gives bytes and then breaks off.
type cutReader struct{ from io.Reader }

func (c cutReader) Read(p []byte) (int, error) {
	n, err := c.from.Read(p)
	if err == io.EOF {
		err = errBroken
	}
	return n, err
}
