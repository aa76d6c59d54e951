package btstandin

import (
	"encoding/json"
	"sync"
	"time"

	"bilberrytide/core/btid"
)

// finishLength is the finish reason of every answer, as each ends at its maximum
// length.
const finishLength = "length"

// assistant is the message role of every answer.
const assistant = "assistant"

// doneEvent is the data of the last event of a complete stream.
const doneEvent = "[DONE]"

// streamRetention is how long after its start a stream can be resumed.
const streamRetention = 2 * time.Minute

// generation is the state of one answer. Its text is a function of the request, so
// that its stream can be resumed at any event.
type generation struct {
	engine  btid.Target
	id      string
	model   string
	prompt  string
	tokens  int
	created time.Time

	mutex    sync.Mutex
	produced int
}

// events returns the number of events of the complete stream: one per token, one
// with the finish reason, and doneEvent.
func (g *generation) events() int { return g.tokens + 2 }

// hasToken reports whether the token at the zero-based index was generated.
func (g *generation) hasToken(token int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return token < g.produced
}

// produce marks the tokens up to and including this one as generated.
func (g *generation) produce(token int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.produced = max(g.produced, token+1)
}

// event returns the data of the stream's event at the zero-based index.
func (g *generation) event(index int) (string, error) {
	if index > g.tokens {
		return doneEvent, nil
	}
	part := chunk{
		ID:      g.answerID(),
		Object:  "chat.completion.chunk",
		Created: g.created.Unix(),
		Model:   g.model,
		Engine:  g.engine,
		Choices: []chunkChoice{{}},
	}
	if index == g.tokens {
		reason := finishLength
		part.Choices[0].FinishReason = &reason
		total := g.usage()
		part.Usage = &total
	} else {
		part.Choices[0].Delta.Content = Token(g.prompt, index)
	}
	if index == 0 {
		part.Choices[0].Delta.Role = assistant
	}
	data, err := json.Marshal(part)
	return string(data), err
}

// completion returns the body of the unstreamed answer.
func (g *generation) completion() completion {
	return completion{
		ID:      g.answerID(),
		Object:  "chat.completion",
		Created: g.created.Unix(),
		Model:   g.model,
		Engine:  g.engine,
		Choices: []completionChoice{{
			Message:      ChatMessage{Role: assistant, Content: answerText(g.prompt, g.tokens)},
			FinishReason: finishLength,
		}},
		Usage: g.usage(),
	}
}

func (g *generation) answerID() string { return "chatcmpl-" + g.id }

func (g *generation) usage() usage {
	prompt := promptTokens(g.prompt)
	return usage{PromptTokens: prompt, CompletionTokens: g.tokens, TotalTokens: prompt + g.tokens}
}

// streamTable keeps streams by request id for streamRetention. It is safe for
// concurrent use.
type streamTable struct {
	mutex   sync.Mutex
	streams map[string]*generation
}

func newStreamTable() *streamTable { return &streamTable{streams: make(map[string]*generation)} }

// add stores the stream and removes those past the retention.
func (t *streamTable) add(g *generation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, old := range t.streams {
		if g.created.Sub(old.created) > streamRetention {
			delete(t.streams, id)
		}
	}
	t.streams[g.id] = g
}

func (t *streamTable) get(id string) (*generation, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	g, ok := t.streams[id]
	return g, ok
}

func (t *streamTable) clear() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	clear(t.streams)
}
