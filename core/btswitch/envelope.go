package btswitch

import (
	"fmt"

	"bilberrytide/core/btid"
)

// Message is a message between two agents of a group. Exactly one of its fields is
// set.
type Message struct {
	Prepare  *Prepare  `cbor:"prepare,omitempty" json:"prepare,omitempty"`
	Promise  *Promise  `cbor:"promise,omitempty" json:"promise,omitempty"`
	Instruct *Instruct `cbor:"instruct,omitempty" json:"instruct,omitempty"`
	Ack      *Ack      `cbor:"ack,omitempty" json:"ack,omitempty"`
	Refusal  *Refusal  `cbor:"refusal,omitempty" json:"refusal,omitempty"`
	Report   *Report   `cbor:"report,omitempty" json:"report,omitempty"`
}

// ForLead reports whether the receiver's Lead handles the message, rather than its
// Member.
func (m Message) ForLead() bool { return m.Prepare == nil && m.Instruct == nil }

// header returns the header of a message of a round, else the zero one.
func (m Message) header() Header {
	switch {
	case m.Prepare != nil:
		return m.Prepare.Header
	case m.Promise != nil:
		return m.Promise.Header
	case m.Instruct != nil:
		return m.Instruct.Header
	case m.Ack != nil:
		return m.Ack.Header
	case m.Refusal != nil:
		return m.Refusal.Header
	}
	return Header{}
}

// Group returns the group that the message is about, empty if the message is
// empty.
func (m Message) Group() btid.Group {
	if m.Report != nil {
		return m.Report.Group
	}
	return m.header().Group
}

// From returns the agent that the message claims to be from. The receiver checks
// it against the certificate of the connection.
func (m Message) From() btid.Executor {
	if m.Report != nil {
		return m.Report.From
	}
	return m.header().From
}

// To returns the agent that the message is for. A zero incarnation means any.
func (m Message) To() btid.Executor { return m.header().To }

// Validate returns an error for a malformed message and for one without exactly one
// field set.
func (m Message) Validate() error {
	var bodies []interface{ Validate() error }
	bodies = appendBody(bodies, m.Prepare)
	bodies = appendBody(bodies, m.Promise)
	bodies = appendBody(bodies, m.Instruct)
	bodies = appendBody(bodies, m.Ack)
	bodies = appendBody(bodies, m.Refusal)
	bodies = appendBody(bodies, m.Report)
	if len(bodies) != 1 {
		return fmt.Errorf("message has %d bodies, want 1", len(bodies))
	}
	return bodies[0].Validate()
}

// appendBody appends the message body unless it is nil.
func appendBody[M interface{ Validate() error }](bodies []interface{ Validate() error }, m *M) []interface{ Validate() error } {
	if m == nil {
		return bodies
	}
	return append(bodies, *m)
}
