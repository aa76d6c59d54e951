package btbundlecmd_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/commands/btbundlecmd"
)

const example = "../../examples/himal-wave/bundle.toml"

// runBundle runs one "bundle" command and returns what it printed.
func runBundle(args ...string) (string, error) {
	var out bytes.Buffer
	app := kingpin.New("bilberrytide", "").Terminate(nil)
	btbundlecmd.Register(app, &out)
	_, err := app.Parse(append([]string{"bundle"}, args...))
	return out.String(), err
}

func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	out, err := runBundle(args...)
	assert.NilError(t, err, "%v", args)
	return out
}

func assertRefused(t *testing.T, text string, args ...string) {
	t.Helper()
	_, err := runBundle(args...)
	assert.Assert(t, errors.Is(err, btbundlecmd.ErrRefused), "%v: %v", args, err)
	assert.ErrorContains(t, err, text)
}

func TestExamplesPassCheck(t *testing.T) {
	for _, name := range []string{"himal-wave", "faellesrum"} {
		out := mustRun(t, "check", "../../examples/"+name+"/bundle.toml")
		assert.Assert(t, cmp.Contains(out, "19 targets"))
		assert.Assert(t, cmp.Contains(out, "10 client accounts"))
		assert.Assert(t, !strings.Contains(out, "advice"), out)
	}
}

func TestRollout(t *testing.T) {
	folder := t.TempDir()
	in := func(name string) string { return filepath.Join(folder, name) }
	var key struct{ Key string }
	assert.NilError(t, json.Unmarshal([]byte(mustRun(t, "keygen", "--name", "anna", "--out", in("anna.key"), "--output", "json")), &key))
	info, err := os.Stat(in("anna.key"))
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))

	mustRun(t, "new", "--draft", example, "--out", in("1.toml"))
	assertRefused(t, "no private key", "approve", in("1.toml"), "--key", example, "--first", "--out", in("1.signed"))
	mustRun(t, "approve", in("1.toml"), "--key", in("anna.key"), "--first", "--out", in("1.signed"))
	assert.Assert(t, cmp.Contains(mustRun(t, "verify", in("1.signed"), "--approver", "anna="+key.Key), "signed by anna"))

	text, err := os.ReadFile(in("1.toml"))
	assert.NilError(t, err)
	edited := withoutTarget(t, string(text), "pages-2")
	edited = strings.Replace(edited, "skew_weight = 8.0", "skew_weight = 9.0", 1)
	assert.NilError(t, os.WriteFile(in("edited.toml"), []byte(edited), 0o600))
	assertRefused(t, "append an epoch without it", "diff", in("1.signed"), in("edited.toml"))

	mustRun(t, "new", "--from", in("1.signed"), "--draft", in("edited.toml"), "--out", in("2.toml"))
	diff := mustRun(t, "diff", in("1.signed"), in("2.toml"))
	for _, text := range []string{
		"target pages-2: gets no new work of service booking-pages",
		"of idempotency keys move to another home (epoch 2: [pages-1 pages-3], was [pages-1 pages-2 pages-3])",
		"placement: skew_weight becomes 9, was 8",
	} {
		assert.Assert(t, cmp.Contains(diff, text))
	}
	assert.Assert(t, !strings.Contains(diff, "unfit"), diff)
	assert.Assert(t, cmp.Contains(mustRun(t, "check", in("2.toml")), "advice"), "two homes are even")

	mustRun(t, "approve", in("2.toml"), "--key", in("anna.key"), "--in-force", in("1.signed"), "--out", in("2.signed"))
	assertRefused(t, "already signed", "approve", in("2.signed"), "--key", in("anna.key"), "--in-force", in("1.signed"), "--out", in("3.signed"))
	assertRefused(t, "make this version anew", "approve", in("2.toml"), "--key", in("anna.key"), "--in-force", example, "--out", in("3.signed"))
	assertRefused(t, "file exists", "new", "--from", in("1.signed"), "--out", in("2.toml"))
	assert.Assert(t, cmp.Contains(mustRun(t, "show", in("2.signed")), "[pages-1 pages-3]"))

	signed, err := os.ReadFile(in("2.signed"))
	assert.NilError(t, err)
	tampered := strings.Replace(string(signed), "skew_weight = 9.0", "skew_weight = 1.0", 1)
	assert.NilError(t, os.WriteFile(in("tampered"), []byte(tampered), 0o600))
	assertRefused(t, "either was changed", "verify", in("tampered"), "--approver", "anna="+key.Key)
	assertRefused(t, "0 of the known approvers", "verify", in("2.toml"), "--approver", "anna="+key.Key)
	assertRefused(t, "want NAME=KEY", "verify", in("2.toml"), "--approver", "anna")
}

// withoutTarget returns the bundle's text without the table of one target.
func withoutTarget(t *testing.T, text, name string) string {
	t.Helper()
	at := strings.Index(text, "[[targets]]\nname = \""+name+"\"")
	assert.Assert(t, at >= 0)
	end := at + strings.Index(text[at:], "\n\n") + 2
	return text[:at] + text[end:]
}

func TestCheckListsProblemsAsJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.toml")
	assert.NilError(t, os.WriteFile(path, []byte("version = \"x\"\ncolour = 1\n"), 0o600))
	out, err := runBundle("check", path, "--output", "json")
	assert.ErrorIs(t, err, btbundlecmd.ErrRefused)
	var result struct {
		Valid    bool
		Problems []struct {
			Line int
			Key  string
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &result))
	assert.Equal(t, len(result.Problems), 2)
	assert.Equal(t, result.Problems[1].Key, "colour")
	assert.Equal(t, result.Problems[1].Line, 2)
}

func TestUsageErrorIsNotRefusal(t *testing.T) {
	for _, args := range [][]string{{"new", "--out", "x"}, {"approve", "x", "--key", "k", "--out", "y"}, {"check"}, {"check", "x", "--output", "xml"}} {
		_, err := runBundle(args...)
		assert.Assert(t, err != nil && !errors.Is(err, btbundlecmd.ErrRefused), "%v: %v", args, err)
	}
	assertRefused(t, "no such file", "check", "nowhere.toml")
	assertRefused(t, "make it anew with bundle new", "approve", example, "--key", example, "--first", "--out", "never")
}
