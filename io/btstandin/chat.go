package btstandin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bilberrytide/core/btid"
)

// BlockBytes is the size of the prompt blocks that engines cache.
const BlockBytes = 256

// tokenBytes is how many bytes of a prompt count as one token.
const tokenBytes = 4

// defaultMaxTokens is the length of an answer, in tokens, if the request sets none.
const defaultMaxTokens = 16

// maxAnswerTokens is the largest max_tokens that an engine accepts.
const maxAnswerTokens = 1 << 16

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest holds the fields of an OpenAI-style chat completion request that an
// engine uses; others are ignored.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// Validate returns an error that wraps ErrInput if the request has no messages or
// max_tokens is out of range.
func (c ChatRequest) Validate() error {
	if len(c.Messages) == 0 {
		return fmt.Errorf("%w: messages: none", ErrInput)
	}
	if c.MaxTokens < 0 || c.MaxTokens > maxAnswerTokens {
		return fmt.Errorf("%w: max_tokens: %d is not in 0 to %d", ErrInput, c.MaxTokens, maxAnswerTokens)
	}
	return nil
}

// Prompt returns the concatenated messages: for each its role, a newline, its
// content and a newline.
func (c ChatRequest) Prompt() string {
	var prompt strings.Builder
	for _, m := range c.Messages {
		prompt.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return prompt.String()
}

// tokens returns the length of the answer in tokens.
func (c ChatRequest) tokens() int { return orDefault(c.MaxTokens, defaultMaxTokens) }

// promptTokens returns the length of a prompt in tokens, rounded up.
func promptTokens(prompt string) int { return (len(prompt) + tokenBytes - 1) / tokenBytes }

// Token returns the token of the answer at the zero-based index: the prompt's
// xxHash64 in hexadecimal, a point, the index and a space. Each token thus
// identifies its request and its position.
func Token(prompt string, index int) string {
	return fmt.Sprintf("%016x.%d ", xxhash.Sum64String(prompt), index)
}

// Answer returns the complete text with which an engine answers the request body
// of a chat completion, so that a test can detect a truncated or misrouted answer.
// The error wraps ErrInput.
func Answer(body []byte) (string, error) {
	var request ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return "", fmt.Errorf("%w: %w", ErrInput, err)
	}
	if err := request.Validate(); err != nil {
		return "", err
	}
	return answerText(request.Prompt(), request.tokens()), nil
}

func answerText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// Prefixes returns the names of the prompt's cacheable prefixes, shortest first,
// one per complete block of BlockBytes bytes. A name is the xxHash64 of the
// previous hash (eight bytes, little endian, zero for the first block) and the
// block, in 16 hexadecimal digits, padded with 48 zeros to the protocol's 256
// bits.
func Prefixes(prompt string) []string {
	var names []string
	var previous [8]byte
	digest := xxhash.New()
	for start := 0; start+BlockBytes <= len(prompt); start += BlockBytes {
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(prompt[start : start+BlockBytes])
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], hash)
		names = append(names, fmt.Sprintf("%016x%048d", hash, 0))
	}
	return names
}

// usage holds the token counts of a request and its answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is the body of an unstreamed answer.
type completion struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// Engine is the engine's name, in the field by which clients tell model
	// servers apart.
	Engine  btid.Target        `json:"system_fingerprint"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// chunk is one event of a streamed answer.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Engine  btid.Target   `json:"system_fingerprint"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}
