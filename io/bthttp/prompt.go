package bthttp

import (
	"bytes"
	"encoding/json"
)

// message is the part of a chat message that engines name cached prefixes by.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a message's text: a string, or a list of parts of which those of
// type text count.
type content string

// part is one part of a content that is a list.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads either form. Any other content, such as null, has no text
// to cache by.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []part
	if json.Unmarshal(data, &parts) != nil {
		return nil
	}
	for _, p := range parts {
		if p.Type == "text" {
			*c += content(p.Text)
		}
	}
	return nil
}

// promptOf returns the text that engines work on, and name cached prefixes by:
// each message's role, a newline, its content and a newline. Messages that
// can't be read have none; the engine says what is wrong with them.
func promptOf(messages json.RawMessage) []byte {
	var list []message
	if err := json.Unmarshal(messages, &list); err != nil {
		return nil
	}
	var prompt bytes.Buffer
	for _, m := range list {
		prompt.WriteString(m.Role + "\n" + string(m.Content) + "\n")
	}
	return prompt.Bytes()
}
