package bthttp

import (
	"bytes"
	"encoding/json"
)

// chatMessage is the part of a chat message from which engines compute the names of
// cached prefixes.
type chatMessage struct {
	Role    string         `json:"role"`
	Content messageContent `json:"content"`
}

// messageContent is a message's text: a string, or a list of parts of which only those
// of type text count.
type messageContent string

// contentPart is one part of a content that is a list.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads either form. Any other content, such as null, has no text to
// cache.
func (c *messageContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = messageContent(text)
		return nil
	}
	var parts []contentPart
	if json.Unmarshal(data, &parts) != nil {
		return nil
	}
	for _, p := range parts {
		if p.Type == "text" {
			*c += messageContent(p.Text)
		}
	}
	return nil
}

// promptText returns the text that engines process and from which they compute the names
// of cached prefixes: each message's role, a newline, its content and a newline. It is
// empty if the messages are invalid, which the engine reports.
func promptText(messages json.RawMessage) []byte {
	var list []chatMessage
	if err := json.Unmarshal(messages, &list); err != nil {
		return nil
	}
	var prompt bytes.Buffer
	for _, m := range list {
		prompt.WriteString(m.Role + "\n" + string(m.Content) + "\n")
	}
	return prompt.Bytes()
}
