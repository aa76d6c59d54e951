package btkeyscmd_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/commands/btkeyscmd"
	"bilberrytide/io/btkeys"
)

func run(args ...string) (string, error) {
	var out bytes.Buffer
	app := kingpin.New("bilberrytide", "").Terminate(nil)
	btkeyscmd.Register(app, &out)
	_, err := app.Parse(append([]string{"keys"}, args...))
	return out.String(), err
}

// Guards against private keys that others can read, an authority that is replaced by
// mistake, and issued files that a process can't load.
func TestIssueWithNewAuthority(t *testing.T) {
	folder := t.TempDir()
	ca, key := filepath.Join(folder, "ca.pem"), filepath.Join(folder, "ca.key")
	_, err := run("ca", "--out", folder)
	assert.NilError(t, err)
	_, err = run("ca", "--out", folder)
	assert.ErrorIs(t, err, btkeys.ErrFiles, "an authority must not be replaced")

	_, err = run("issue", "--role", "entry", "--name", "e1", "--ca-cert", ca, "--ca-key", key, "--out", folder)
	assert.NilError(t, err)
	secret := filepath.Join(folder, "entry-e1.key")
	for _, name := range []string{key, secret} {
		info, err := os.Stat(name)
		assert.NilError(t, err)
		assert.Equal(t, info.Mode().Perm(), fs.FileMode(0o600))
	}
	certificate := filepath.Join(folder, "entry-e1.pem")
	source, err := btkeys.New(btkeys.Options{Files: btkeys.Files{Certificate: certificate, Key: secret, Authority: ca}})
	assert.NilError(t, err)
	assert.Equal(t, source.Identity().String(), "entry/e1")

	out, err := run("show", certificate, ca)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(out, "process entry/e1, signed by bilberrytide"))
	assert.Assert(t, cmp.Contains(out, "authority bilberrytide"))
	assert.Assert(t, cmp.Contains(out, "(89 days left)"))
}

func TestBadArguments(t *testing.T) {
	folder := t.TempDir()
	_, err := run("ca", "--out", folder)
	assert.NilError(t, err)
	ca, key := filepath.Join(folder, "ca.pem"), filepath.Join(folder, "ca.key")
	cases := map[string][]string{
		"role":     {"issue", "--role", "king", "--name", "e1", "--ca-cert", ca, "--ca-key", key, "--out", folder},
		"name":     {"issue", "--role", "entry", "--name", "E1", "--ca-cert", ca, "--ca-key", key, "--out", folder},
		"key":      {"issue", "--role", "entry", "--name", "e1", "--ca-cert", ca, "--ca-key", ca, "--out", folder},
		"validity": {"issue", "--role", "entry", "--name", "e1", "--ca-cert", ca, "--ca-key", key, "--out", folder, "--validity", "-1s"},
		"file":     {"show", key},
	}
	for name, args := range cases {
		_, err := run(args...)
		assert.Assert(t, err != nil, name)
	}
}
