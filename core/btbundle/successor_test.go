package btbundle_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/core/btbundle"
	"bilberrytide/core/btbundle/btdraft"
	"bilberrytide/core/btid"
)

func decode(t *testing.T, document []byte) *btbundle.Bundle {
	t.Helper()
	b, err := btbundle.Decode(document)
	assert.NilError(t, err)
	return b
}

// fourthTarget is a target that can replace a removed one.
const fourthTarget = `[[targets]]
name = "t4"
service = "lookup"
host = "h4"
data_centre = "aarhus"
address = "127.0.0.1:7104"
endpoint = "127.0.0.1:7204"
slots = 4
queue = 8

`

// replacedTarget returns the minimal bundle with target t2 replaced by t4.
func replacedTarget() string {
	text := edited("[[accounts]]", fourthTarget+"[[accounts]]")
	at := strings.Index(text, "[[targets]]\nname = \"t2\"")
	end := strings.Index(text, "[[targets]]\nname = \"t3\"")
	return text[:at] + text[end:]
}

// TestDraftAppendsAndPrunesEpochs guards against epochs that are dropped before
// their retention has passed or whose homes are edited: keys that they granted
// could be granted again.
func TestDraftAppendsAndPrunesEpochs(t *testing.T) {
	now := start.Add(time.Hour)
	second, err := btdraft.Next([]byte(minimalBundle), []byte(replacedTarget()), now)
	assert.NilError(t, err)
	old := decode(t, []byte(minimalBundle))
	next := decode(t, second)
	assert.Equal(t, next.Version, btid.BundleVersion(2))
	assert.Equal(t, next.Parent, btbundle.DigestOf([]byte(minimalBundle)))
	assert.Assert(t, next.Created.Equal(now))
	assert.Equal(t, len(next.Services[0].Epochs), 2)
	assert.DeepEqual(t, next.Services[0].CurrentEpoch().Homes, []btid.Target{"t1", "t3", "t4"})
	assert.Equal(t, len(btbundle.CheckSuccessor(old, next.Parent, next)), 0)

	retention := next.Idempotency.EpochRetention()
	third, err := btdraft.Next(second, second, now.Add(retention))
	assert.NilError(t, err)
	assert.Equal(t, len(decode(t, third).Services[0].Epochs), 2, "still within the retention")
	third, err = btdraft.Next(second, second, now.Add(retention+time.Second))
	assert.NilError(t, err)
	assert.Equal(t, len(decode(t, third).Services[0].Epochs), 1)
	assert.Equal(t, len(btbundle.CheckSuccessor(next, btbundle.DigestOf(second), decode(t, third))), 0)

	tooEarly := strings.Replace(string(third), now.Add(retention+time.Second).Format(time.RFC3339), now.Format(time.RFC3339), 1)
	problems := btbundle.CheckSuccessor(next, btbundle.DigestOf(second), decode(t, []byte(tooEarly)))
	assert.Assert(t, cmp.Contains(problems.Error(), "epoch 1 is left out"))
	edited := strings.Replace(string(second), `homes = ["t1", "t2", "t3"]`, `homes = ["t1"]`, 1)
	problems = btbundle.CheckSuccessor(old, btbundle.DigestOf([]byte(minimalBundle)), decode(t, []byte(edited)))
	assert.Assert(t, cmp.Contains(problems.Error(), "epoch 1 has other homes"))
}

// destroyedHost returns the minimal bundle with target t2 replaced by t4 and
// t2's host listed as destroyed.
func destroyedHost() string { return "destroyed_hosts = [\"h2\"]\n" + replacedTarget() }

// TestSuccessorKeepsKeyHomes guards against a next version that lets a key be
// granted twice: by a home that returns under its name elsewhere, by voters
// that disagree on the destroyed homes, or by a smaller clock error.
func TestSuccessorKeepsKeyHomes(t *testing.T) {
	next := func(parent, text string) string {
		draft, err := btdraft.Next([]byte(parent), []byte(text), start.Add(time.Hour))
		assert.NilError(t, err)
		return string(draft)
	}
	lost := next(minimalBundle, destroyedHost())
	assert.Assert(t, cmp.Contains(lost, `destroyed_targets = ["t2"]`))
	removed := next(minimalBundle, replacedTarget())
	readded := strings.Replace(removed, "[[accounts]]", strings.ReplaceAll(fourthTarget, "4\"", "2\"")+"[[accounts]]", 1)
	tests := []struct{ parent, text, old, replacement, want string }{
		{minimalBundle, lost, "", "", ""},
		{minimalBundle, next(minimalBundle, minimalBundle), "", "", ""},
		{minimalBundle, lost, `destroyed_targets = ["t2"]`, ``, `line 1: destroyed_hosts[0]: target "t2" was on host "h2" and is a key home of epoch 1 of service lookup: add it to destroyed_targets`},
		{lost, next(lost, lost), `destroyed_targets = ["t2"]`, ``, `destroyed_targets: "t2" must stay until epoch 1 of service lookup`},
		{removed, next(removed, readded), "", "", `targets[3].name: "t2" is a key home of epoch 1 of service lookup that the parent doesn't list`},
		{minimalBundle, next(minimalBundle, minimalBundle), `host = "h2"`, `host = "h9"`, `line 67: targets[1].host: becomes h9, was h2, but target "t2" is a key home of epoch 1 of service lookup: give what runs there a new name`},
		{minimalBundle, next(minimalBundle, minimalBundle), `7102`, `7109`, `targets[1].address: becomes 127.0.0.1:7109, was 127.0.0.1:7102`},
		{minimalBundle, next(minimalBundle, minimalBundle), `7202`, `7209`, ``},
		{minimalBundle, next(minimalBundle, minimalBundle), `clock_error = "1s"`, `clock_error = "900ms"`, `line 14: idempotency.clock_error: 900ms is under the parent's, which is 1s`},
		{minimalBundle, next(minimalBundle, minimalBundle), `clock_error = "1s"`, `clock_error = "1100ms"`, ``},
	}
	for _, test := range tests {
		t.Run(test.replacement+test.want, func(t *testing.T) {
			text := strings.Replace(test.text, test.old, test.replacement, 1)
			problems := btbundle.CheckSuccessor(decode(t, []byte(test.parent)), btbundle.DigestOf([]byte(test.parent)), decode(t, []byte(text)))
			assert.Equal(t, len(problems) == 0, test.want == "", "%v", problems)
			assert.Assert(t, cmp.Contains(btbundle.Locate([]byte(text), problems).Error(), test.want))
		})
	}
	later, err := btdraft.Next([]byte(lost), []byte(lost), start.Add(100*time.Hour))
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(later), `destroyed_targets = []`), "dropped with its epoch")
}

// TestDraftPreservesOtherText guards against edits of a draft that change lines
// other than version, parent, time and epochs.
func TestDraftPreservesOtherText(t *testing.T) {
	const blocks = "[[services.epochs]]\nnumber = 1\nsince = 2026-01-31T12:00:00Z\nhomes = [\"t1\", \"t2\", \"t3\"]\n"
	inline := strings.Replace(replacedTarget(), "\n"+blocks, "epochs = [ # homes\n{number = 1, since = 2026-01-31T12:00:00Z, homes = [\"t1\", \"t2\", \"t3\"]}]\n", 1)
	for name, draft := range map[string]string{
		"tables":  "# first line\n" + strings.Replace(replacedTarget(), "slots = 4", "slots = 4 # four", 1),
		"inline":  inline,
		"missing": strings.Replace(edited(blocks, ""), "version = 1\ncreated = 2026-01-31T12:00:00Z\n", "# nothing stamped\n", 1),
		"no end":  strings.TrimSuffix(minimalBundle, "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			next, err := btdraft.Next([]byte(minimalBundle), []byte(draft), start.Add(time.Hour))
			assert.NilError(t, err)
			kept := 0
			for line := range strings.Lines(draft) {
				if strings.Contains(string(next), strings.TrimSpace(line)) {
					kept++
				}
			}
			total := strings.Count(strings.TrimSuffix(draft, "\n"), "\n") + 1
			assert.Assert(t, kept >= total-4, "%d of %d lines kept:\n%s", kept, total, next)
			assert.Equal(t, decode(t, next).Version, btid.BundleVersion(2))
		})
	}
	_, err := btdraft.Next([]byte(minimalBundle), []byte("colour = 1\n"), start)
	assert.ErrorContains(t, err, "line 1: colour: unknown key")
	first, err := btdraft.Next(nil, []byte(minimalBundle), start)
	assert.NilError(t, err)
	assert.Equal(t, string(first), minimalBundle)
}

func TestDiffDescribesEffects(t *testing.T) {
	old := decode(t, []byte(minimalBundle))
	second, err := btdraft.Next([]byte(minimalBundle), []byte(destroyedHost()), start)
	assert.NilError(t, err)
	text := strings.Replace(string(second), "rate = 10.0", "rate = 20.0", 1)
	text = strings.Replace(text, `budget_share = 0.2`, `budget_share = 0.1`, 1)
	var lines []string
	for _, c := range btbundle.Diff(old, decode(t, []byte(text))) {
		lines = append(lines, fmt.Sprintf("%s %s", c.Kind, c))
	}
	share := btbundle.MovedShare([]btid.Target{"t1", "t2", "t3"}, []btid.Target{"t1", "t3", "t4"})
	assert.Assert(t, share > 0.3 && share < 0.6, "%v", share)
	assert.DeepEqual(t, lines, []string{
		"added target t4: takes work of service lookup in data centre aarhus, 4 requests at a time",
		"removed target t2: gets no new work of service lookup; requests in flight finish",
		fmt.Sprintf("keys_move service lookup: about %.0f%% of idempotency keys move to another home (epoch 2: [t1 t3 t4], was [t1 t2 t3])", 100*share),
		"changed client account desk: requests a second becomes 20, was 10",
		"added destroyed host h2: what only it stored counts as permanently lost: approve only if it can't come back",
		"added destroyed target t2: is excluded from all majorities of key homes: approve only if its process has exited and its records can't come back",
		"changed retry: budget_share becomes 0.1, was 0.2",
	})
	assert.Equal(t, len(btbundle.Diff(old, old)), 1, "the version must grow")
}

// TestReaderPolicyFailover guards against a service that nobody reads when its
// readers fail, and against more than MaxCount readers when the service itself
// fails.
func TestReaderPolicyFailover(t *testing.T) {
	policy := btbundle.DefaultReaderPolicy()
	readers := func(after time.Duration, lastRead func(i int) time.Time) int {
		var members []btbundle.Reader
		for i := range 50 {
			members = append(members, btbundle.Reader{Name: name(i), LastRead: lastRead(i)})
		}
		count := 0
		for _, m := range members {
			if policy.ShouldRead(start.Add(after), start, m.Name, members) {
				count++
			}
		}
		return count
	}
	never := func(int) time.Time { return time.Time{} }
	recent := func(int) time.Time { return start.Add(time.Hour) }
	assert.Equal(t, readers(0, never), policy.Count)
	assert.Equal(t, readers(policy.FailoverTimeout, never), policy.Count+1, "one standby takes over")
	assert.Equal(t, readers(time.Hour, never), policy.MaxCount, "bounded however long reads fail")
	assert.Equal(t, readers(time.Hour, recent), policy.Count)
	assert.Assert(t, !policy.ShouldRead(start, start, "agent/unlisted", nil))
}
