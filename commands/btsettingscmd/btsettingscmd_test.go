package btsettingscmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/commands/btsettingscmd"
)

func runSettings(args ...string) (string, error) {
	var out bytes.Buffer
	app := kingpin.New("bilberrytide", "").Terminate(nil)
	btsettingscmd.Register(app, &out)
	_, err := app.Parse(append([]string{"settings"}, args...))
	return out.String(), err
}

func TestCheckExamples(t *testing.T) {
	for _, name := range []string{"himal-wave", "faellesrum"} {
		for _, kind := range []string{"entry", "agent"} {
			path := filepath.Join("../../examples", name, kind+".toml")
			out, err := runSettings("check", kind, path)
			assert.NilError(t, err)
			assert.Equal(t, out, path+": valid\n")
			_, err = runSettings("check", kind, path, "--files")
			assert.ErrorIs(t, err, btsettingscmd.ErrRefused, "the examples come without certificates")
			assert.ErrorContains(t, err, filepath.Join("examples", name, "tls"))
		}
	}
}

func TestCheckListsProblems(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.toml")
	assert.NilError(t, os.WriteFile(path, []byte("colour = 1\nname = \"e1\"\n"), 0o600))
	out, err := runSettings("check", "entry", path)
	assert.ErrorIs(t, err, btsettingscmd.ErrRefused)
	assert.Assert(t, cmp.Contains(out, path+": line 1: colour: unknown key\n"))
	out, err = runSettings("check", "entry", path, "--output", "json")
	assert.ErrorIs(t, err, btsettingscmd.ErrRefused)
	assert.Assert(t, cmp.Contains(out, `"key": "colour"`))
	_, err = runSettings("check", "entry", "nowhere.toml")
	assert.ErrorIs(t, err, btsettingscmd.ErrRefused)
}

func TestReference(t *testing.T) {
	out, err := runSettings("reference", "agent")
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(out, "# target = "))
	_, err = runSettings("reference", "king")
	assert.ErrorContains(t, err, "must be one of")
}
