package btswitch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btid"
	"bilberrytide/core/btswitch"
	"bilberrytide/core/btwire"
)

// messages returns one valid message of each kind, for a group of that many ranks.
func messages(ranks int) map[string]btswitch.Message {
	encoded := make([]byte, 1024)
	digest := btbundle.DigestOf(encoded)
	agent := btid.Executor{Target: "himal-assistant-07", Incarnation: 1_764_000_000_000_000_000}
	ballot := btswitch.Ballot{Number: 17, Lead: agent}
	header := btswitch.Header{Group: "assistant", Ballot: ballot, Bundle: 41, Members: digest, From: agent, To: agent}
	version := btswitch.Version{Map: digest, Members: digest, Ballot: ballot}
	state := btswitch.EngineState{InForce: version, Staged: version, Held: true, Step: 9_000_000, StepTime: stepTime, Fencing: 1 << 50}
	proof := make([]btid.Incarnation, ranks)
	for i := range proof {
		proof[i] = agent.Incarnation
	}
	return map[string]btswitch.Message{
		"prepare": {Prepare: &btswitch.Prepare{Header: header, Known: []btbundle.Digest{digest}}},
		"promise": {Promise: &btswitch.Promise{Header: header, State: state}},
		"stage":   {Instruct: &btswitch.Instruct{Header: header, Op: btswitch.Stage, Digest: digest, Map: encoded}},
		"arm":     {Instruct: &btswitch.Instruct{Header: header, Op: btswitch.Arm, Digest: digest}},
		"commit":  {Instruct: &btswitch.Instruct{Header: header, Op: btswitch.Commit, Digest: digest, Proof: proof}},
		"ack":     {Ack: &btswitch.Ack{Header: header, Op: btswitch.Arm, State: state}},
		"refusal": {Refusal: &btswitch.Refusal{Header: header, Reason: btswitch.ReasonBallot, Promised: ballot}},
		"report":  {Report: &btswitch.Report{Group: "assistant", Members: digest, From: agent, State: state}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	for name, m := range messages(4) {
		data, err := btwire.Encode(m)
		assert.NilError(t, err)
		back, err := btwire.Decode[btswitch.Message](data)
		assert.NilError(t, err, name)
		assert.DeepEqual(t, back, m)
	}
}

func TestDecodeRejectsMalformedMessages(t *testing.T) {
	agent := btid.Executor{Target: "t00", Incarnation: 1}
	digest := btbundle.DigestOf([]byte("map"))
	header := btswitch.Header{Group: "g", Ballot: btswitch.Ballot{Number: 1, Lead: agent}, Members: digest, From: agent, To: agent}
	anonymous := header
	anonymous.To.Incarnation = 0
	cases := map[string]btswitch.Message{
		"empty":                     {},
		"two in one":                {Prepare: &btswitch.Prepare{Header: header}, Promise: &btswitch.Promise{Header: header}},
		"no ballot":                 {Prepare: &btswitch.Prepare{Header: btswitch.Header{Group: "g", From: agent, To: agent}}},
		"no receiver's incarnation": {Instruct: &btswitch.Instruct{Header: anonymous, Op: btswitch.Arm, Digest: digest}},
		"unknown order":             {Instruct: &btswitch.Instruct{Header: header, Op: "explode", Digest: digest}},
		"another map":               {Instruct: &btswitch.Instruct{Header: header, Op: btswitch.Stage, Digest: digest, Map: []byte("other")}},
		"no reason":                 {Refusal: &btswitch.Refusal{Header: header}},
	}
	for name, m := range cases {
		data, err := btwire.Encode(m)
		assert.NilError(t, err)
		_, err = btwire.Decode[btswitch.Message](data)
		assert.ErrorIs(t, err, btwire.ErrMalformed, name)
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages(4) {
		data, err := btwire.Encode(m)
		assert.NilError(f, err)
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := btwire.Decode[btswitch.Message](data)
		if err != nil {
			return
		}
		again, err := btwire.Encode(m)
		assert.NilError(t, err)
		back, err := btwire.Decode[btswitch.Message](again)
		assert.NilError(t, err)
		assert.Equal(t, back.ForLead(), m.ForLead())
		assert.Equal(t, back.From(), m.From())
	})
}

func FuzzVersion(f *testing.F) {
	for _, m := range messages(1) {
		if m.Ack != nil {
			f.Add(m.Ack.State.InForce.String())
		}
	}
	f.Add("")
	f.Add(btbundle.DigestOf(nil).String())
	f.Fuzz(func(t *testing.T, text string) {
		var v, back btswitch.Version
		if v.UnmarshalText([]byte(text)) != nil {
			return
		}
		assert.NilError(t, v.Validate())
		assert.NilError(t, back.UnmarshalText([]byte(v.String())))
		assert.Equal(t, back, v)
	})
}
