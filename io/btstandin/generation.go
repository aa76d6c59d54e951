package btstandin

import (
	"encoding/json"
	"sync"
	"time"

	"bilberrytide/core/btid"
)

// finishLength is the finish reason of every answer: it ends at its length.
const finishLength = "length"

// assistant is the role of every answer.
const assistant = "assistant"

// doneEvent ends every whole stream.
const doneEvent = "[DONE]"

// streamRetention is how long after its start a stream can be resumed.
const streamRetention = 2 * time.Minute

// generation is one answer in the making. What it says is fixed by the request,
// so that it can be resumed at any event.
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

// events returns the number of events of the whole stream: one for each token,
// one with the finish reason, and the last.
func (g *generation) events() int { return g.tokens + 2 }

// made tells whether the token, counted from zero, was produced before.
func (g *generation) made(token int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return token < g.produced
}

// produce records that the tokens up to this one exist.
func (g *generation) produce(token int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.produced = max(g.produced, token+1)
}

// event returns the data of the stream's event, counted from zero.
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

// whole returns the body of the answer that is not streamed.
func (g *generation) whole() completion {
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

// streamTable remembers streams by request identity for the retention.
type streamTable struct {
	mutex   sync.Mutex
	streams map[string]*generation
}

func newStreamTable() *streamTable { return &streamTable{streams: make(map[string]*generation)} }

// add remembers the stream and forgets those past the retention.
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
