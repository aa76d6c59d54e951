package btagent

import (
	"bytes"
	"strings"

	"bilberrytide/io/bttarget"
)

// answerEnd has the last bytes of an answer that ends with its connection. A stream of
// events that ends inside an event has been broken off.
type answerEnd struct {
	isStream bool
	last     []byte
}

// blankLines are the ends of an event.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\r\r"), []byte("\r\n\r\n"), []byte("\n\r\n")}

// maxBlankLine is the length of the longest of them.
const maxBlankLine = 4

func newAnswerEnd(r *bttarget.Response) *answerEnd {
	return &answerEnd{isStream: strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")}
}

// add adds a piece of the answer's body.
func (e *answerEnd) add(piece []byte) {
	e.last = append(e.last, piece[max(len(piece)-maxBlankLine, 0):]...)
	e.last = e.last[max(len(e.last)-maxBlankLine, 0):]
}

// whole reports whether the answer may be whole if its connection ends now.
func (e *answerEnd) whole() bool {
	if !e.isStream || len(e.last) == 0 {
		return true
	}
	for _, end := range blankLines {
		if bytes.HasSuffix(e.last, end) {
			return true
		}
	}
	return false
}
