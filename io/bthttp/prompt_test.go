package bthttp_test

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btload"
	"bilberrytide/io/bthttp"
	"bilberrytide/io/btstandin"
)

func readPrompt(t *testing.T, body string) string {
	t.Helper()
	request := httptest.NewRequest("POST", bthttp.PathCompletions, strings.NewReader(body))
	call, refusal := bthttp.ReadHead(request)
	assert.Assert(t, refusal == nil, "%v", refusal)
	refusal = call.ReadCompletion(request, bthttp.NewBodyBudget(bthttp.DefaultBodyBudgetBytes))
	assert.Assert(t, refusal == nil, "%v", refusal)
	return string(call.Prompt)
}

// TestPrefixesMatchThoseOfEngines: the prefixes that an entry looks up in its view of a
// cache are those in the engine's cache events.
func TestPrefixesMatchThoseOfEngines(t *testing.T) {
	request := btstandin.ChatRequest{Model: "m", Messages: []btstandin.ChatMessage{
		{Role: "system", Content: strings.Repeat("Answer in Danish. ", 40)},
		{Role: "user", Content: "Æbler & \"pærer\""},
	}}
	body, err := json.Marshal(request)
	assert.NilError(t, err)
	var engine []uint64
	for _, name := range btstandin.Prefixes(request.Prompt()) {
		var digest btbundle.Digest
		assert.NilError(t, digest.UnmarshalText([]byte(name)))
		engine = append(engine, btload.EnginePrefixHash(digest))
	}
	assert.Assert(t, len(engine) > 1)
	assert.DeepEqual(t, btload.Prefixes([]byte(readPrompt(t, string(body)))), engine)
}

func TestPromptForms(t *testing.T) {
	for _, c := range []struct{ messages, want string }{
		{`[{"role":"user","content":"a"},{"role":"assistant","content":"b"}]`, "user\na\nassistant\nb\n"},
		{`[{"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url","image_url":{"url":"x"}},{"type":"text","text":"b"}]}]`, "user\nab\n"},
		{`[{"role":"assistant","content":null}]`, "assistant\n\n"},
		{`"none"`, ""},
	} {
		assert.Equal(t, readPrompt(t, `{"model":"m","messages":`+c.messages+`}`), c.want)
	}
}
