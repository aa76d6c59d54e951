package btbundle_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/core/btbundle"
)

func problemsOf(t *testing.T, document string) btbundle.Problems {
	t.Helper()
	_, err := btbundle.Decode([]byte(document))
	var problems btbundle.Problems
	assert.Assert(t, errors.As(err, &problems), "%v", err)
	return problems
}

func TestDecodeReportsLineAndKey(t *testing.T) {
	_, err := btbundle.Decode([]byte(minimalBundle))
	assert.NilError(t, err)
	tests := []struct{ old, replacement, want string }{
		{old: `version = 1`, replacement: `version = 0`, want: `line 1: version: must be 1 or more`},
		{old: `2026-01-31T12:00:00Z`, replacement: `2026-01-31T12:00:00`, want: `line 2: created: time without an offset`},
		{old: `request_max = "30s"`, replacement: `request_max = "9s"`, want: `line 5: timeouts.request: 10s is over request_max, which is 9s`},
		{old: `request_max = "30s"`, replacement: ``, want: `timeouts.request_max: is missing or zero`},
		{old: `heartbeat = "500ms"`, replacement: `heartbeat = "1001ms"`, want: `line 7: timeouts.heartbeat: 1.001s must be at most 1s`},
		{old: `heartbeat = "500ms"`, replacement: `heartbeat = "1s"`, want: `line 8: timeouts.target_lease: 2s must be over twice the heartbeat`},
		{old: `# Line 9.`, replacement: `drain = "29s"`, want: `line 9: timeouts.drain: unknown key`},
		{old: `retention = "1h"`, replacement: `retention = "32s"`, want: `line 12: idempotency.retention: 32s must be over request_max + 2 * clock_error, which is 32s`},
		{old: `lease = "4s"`, replacement: `lease = "2s"`, want: `line 14: idempotency.lease: 2s must be over twice`},
		{old: `lease = "4s"`, replacement: `lease = "5001ms"`, want: `line 14: idempotency.lease: 5.001s must be at most 5s`},
		{old: `lease = "4s"`, replacement: `lease = "-4s"`, want: `line 14: idempotency.lease: malformed duration: "-4s" is negative`},
		{old: `budget_share = 0.2`, replacement: `budget_share = nan`, want: `line 17: retry.budget_share: NaN must be a share from 0 to 1`},
		{old: `max_share = 0.3`, replacement: `max_share = 1.5`, want: `line 22: ejection.max_share: 1.5 must be a share`},
		{old: `skew_weight = 1.0`, replacement: `skew_weight = -inf`, want: `line 28: placement.skew_weight: must be 0 or more`},
		{old: `data_centre = "aarhus"`, replacement: `data_centre = "randers"`, want: `line 40: entries[0].data_centre: no data centre is named "randers"`},
		{old: `host = "h2"`, replacement: `host = "edge-1"`, want: ``},
		{old: `address = "127.0.0.1:7102"`, replacement: `address = "127.0.0.1:7001"`, want: `line 68: targets[1].address: 127.0.0.1:7001 is already entries[0].address`},
		{old: `endpoint = "127.0.0.1:7202"`, replacement: `endpoint = "127.0.0.1:0"`, want: `line 69: targets[1].endpoint: 127.0.0.1:0 needs a port over 0`},
		{old: `endpoint = "127.0.0.1:7202"`, replacement: `endpoint = "0.0.0.0:1"`, want: `line 69: targets[1].endpoint: 0.0.0.0:1 is no address of one host`},
		{old: `name = "t2"`, replacement: `name = "t1"`, want: `line 64: targets[1].name: "t1" is listed twice`},
		{old: `service = "lookup"`, replacement: `service = "drafts"`, want: `line 55: targets[0].service: no service is named "drafts"`},
		{old: `kind = "plain"`, replacement: `kind = "odd"`, want: `line 45: services[0].kind: "odd" must be "model" or "plain"`},
		{old: `homes = ["t1", "t2", "t3"]`, replacement: `homes = ["t1", "t9"]`, want: `line 51: services[0].epochs[0].homes[1]: no target is named "t9"`},
		{old: `homes = ["t1", "t2", "t3"]`, replacement: `homes = ["t1","t2","t3","a","b","c"]`, want: `line 51: services[0].epochs[0].homes: lists 6 targets, at most 5`},
		{old: "[[targets]]", replacement: "[[services.epochs]]\nnumber = 1\nsince = 2026-01-31T12:00:00Z\nhomes = [\"t1\"]\n[[targets]]", want: `line 54: services[0].epochs[1].number: 1 must be over the epoch before it`},
		{old: `burst = 20`, replacement: `burst = 0`, want: `burst: 0 must be 1 or more`},
		{old: `concurrency = 8
weight = 1.0`, replacement: `weight = 0.0`, want: `accounts[0].weight: 0 must be a number over 0`},
		{old: `key_hashes = ["2b`, replacement: `key_hashes = ["zz`, want: `accounts[0].key_hashes[0]: malformed digest`},
		{old: "\n[[accounts]]", replacement: group(`["t1", "t1"]`, 2, 1), want: `groups[0].ranks[1]: target "t1" is already a rank of group "g"`},
		{old: "\n[[accounts]]", replacement: group(`["t1", "t2"]`, 9, 4), want: `groups[0].experts: 9 experts don't fit 2 ranks with 4 slots each`},
		{old: "\n[[accounts]]", replacement: "\n[[accounts]]\ncolour = 1\n", want: `accounts[0].colour: unknown key`},
		{old: "created = ", replacement: "destroyed_hosts = [\"h3\"]\ncreated = ", want: `targets[2].host: "h3" is listed in destroyed_hosts`},
		{old: "created = ", replacement: "destroyed_targets = [\"t3\"]\ncreated = ", want: `line 2: destroyed_targets[0]: "t3" is listed under targets too`},
		{old: minimalBundle[epochOffset:targetsOffset], replacement: twoEpochs(`"t1", "t8", "t9"`), want: `line 51: services[0].epochs[0].homes: 2 of these homes must stay targets of service "lookup" until 2026-02-01T13:00:06Z, or none of its homes gets a lease, but [t8 t9] are not`},
		{old: minimalBundle[epochOffset:targetsOffset], replacement: twoEpochs(`"t1", "t2", "t9"`), want: ``},
		{old: minimalBundle[:targetsOffset], replacement: "destroyed_targets = [\"t8\", \"t9\"]\n" + minimalBundle[:epochOffset] + twoEpochs(`"t1", "t8", "t9"`), want: ``},
		{old: minimalBundle[:targetsOffset], replacement: "destroyed_targets = [\"t8\", \"t9\"]\n" + minimalBundle[:epochOffset] + twoEpochs(`"t8", "t9"`), want: ``},
	}
	for _, test := range tests {
		t.Run(test.replacement, func(t *testing.T) {
			document := edited(test.old, test.replacement)
			assert.Assert(t, document != minimalBundle, "the edit must change the document")
			if test.want == "" {
				_, err := btbundle.Decode([]byte(document))
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, cmp.Contains(problemsOf(t, document).Error(), test.want))
		})
	}
}

var (
	epochOffset   = strings.Index(minimalBundle, "[[services.epochs]]")
	targetsOffset = strings.Index(minimalBundle, "[[targets]]")
)

// twoEpochs returns the minimal bundle's epoch, preceded by one with the given
// homes.
func twoEpochs(homes string) string {
	last := minimalBundle[epochOffset:targetsOffset]
	first := strings.Replace(last, `"t1", "t2", "t3"`, homes, 1)
	return first + strings.Replace(last, "number = 1", "number = 2", 1)
}

func group(ranks string, experts, slots int) string {
	text := strings.NewReplacer("RANKS", ranks, "EXPERTS", string(rune('0'+experts)), "SLOTS", string(rune('0'+slots)))
	return text.Replace("\n[[groups]]\nname = \"g\"\nservice = \"lookup\"\nranks = RANKS\nlayers = 1\nexperts = EXPERTS\nslots_per_rank = SLOTS\nexpert_bytes = 8\n\n[[accounts]]")
}

// TestDecodeListsEveryWrongValue guards against a decoder that stops at the
// first wrong value or shifts the positions of the later ones.
func TestDecodeListsEveryWrongValue(t *testing.T) {
	document := `version = "x"
Version = 2
created = 3
[timeouts]
request = "1x"
heartbeat = 5
target_lease = true
[nothing]
a = 1
[[targets]]
name = "A b"
address = "1.2.3"
[[groups]]
ranks = ["ok", "B!",
    "C!"]
[[services]]
epochs = [{number = "x", homes = ["!"]}, {homes = ["ok"], number = -1}]
`
	var keys []string
	for _, p := range problemsOf(t, document) {
		keys = append(keys, strings.TrimPrefix(p.String()[:strings.Index(p.String(), p.Key)], "line ")+p.Key)
	}
	assert.DeepEqual(t, keys, []string{"1: version", "2: Version", "3: created", "5: timeouts.request", "6: timeouts.heartbeat",
		"7: timeouts.target_lease", "8: nothing", "11: targets[0].name", "12: targets[0].address", "14: groups[0].ranks[1]",
		"15: groups[0].ranks[2]", "17: services[0].epochs[0].number", "17: services[0].epochs[1].number",
		"17: services[0].epochs[0].homes[0]"})
	assert.Equal(t, len(problemsOf(t, "a = 1\nb = = 2\n")), 1)
	assert.Equal(t, problemsOf(t, "a = 1\nb = = 2\n")[0].Line, 2)
	_, err := btbundle.Decode(make([]byte, btbundle.MaxBytes+1))
	assert.ErrorIs(t, err, btbundle.ErrTooLarge)
}

// FuzzOffered gives a register any bytes: only the document that was signed may
// come into force.
func FuzzOffered(f *testing.F) {
	f.Add([]byte(minimalBundle))
	f.Add(signed([]byte(minimalBundle), keyPair(0)))
	f.Add([]byte("# signature ed25519 00 00\n"))
	f.Add([]byte("a.b = [{c = 1, d = [2, {e = 3}]}]\n[[a]]\n[a.b]\n\"q\\\"\" = 1979-05-27"))
	f.Add([]byte("[timeouts]\nrequest = [[], {}]\nx = \"\"\"\n\n\"\"\"\n"))
	f.Add([]byte("targets = [1, {name = \"x\"}, [2]]\ntimeouts = 3\nservices = [{epochs = 7}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		register := newRegister(1)
		register.Step(start, btbundle.Started{})
		for _, e := range register.Step(start, btbundle.Received{Raw: data}) {
			if in, ok := e.(btbundle.InForce); ok {
				assert.Equal(t, in.Approved.Digest, btbundle.DigestOf([]byte(minimalBundle)), "only the minimal bundle was signed")
			}
		}
		if _, err := btbundle.Decode(data); err != nil {
			assert.Assert(t, err.Error() != "")
		}
	})
}

func TestExamplesDecode(t *testing.T) {
	for _, name := range []string{"himal-wave", "faellesrum"} {
		document, err := os.ReadFile("../../examples/" + name + "/bundle.toml")
		assert.NilError(t, err)
		_, advice, err := btbundle.Inspect(document)
		assert.NilError(t, err)
		assert.Equal(t, len(advice), 0)
	}
}
