package btsettings_test

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/io/btsettings"
)

const entrySettings = `name = "e1"
host = "edge-1"
data_centre = "aarhus"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"

[platform]
address = "127.0.0.1:9000"

[[approvers.keys]]
name = "anna"
key = "bAK8+uNUKDNBTUWP5DkgIbZ+Gi0/YCzJz06yHM9NSPE="

[tls]
ca = "ca.pem"
cert = "/etc/e1.pem"
key = "e1.key"

[log]
level = "warn"
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestLoadEntry checks defaults, values of the file and relative paths, and that CheckFiles names
// the key of a missing file.
func TestLoadEntry(t *testing.T) {
	path := writeSettings(t, entrySettings)
	s, err := btsettings.LoadEntry(path)
	assert.NilError(t, err)
	assert.Equal(t, s.BalancerLag.Duration, 5*time.Second)
	assert.Equal(t, s.Approvers.Required, 1)
	assert.Equal(t, s.Log, btsettings.Log{Level: slog.LevelWarn, Format: btsettings.Text})
	assert.Equal(t, s.TLS.CA, filepath.Join(filepath.Dir(path), "ca.pem"))
	assert.Equal(t, s.TLS.Cert, "/etc/e1.pem")
	err = s.TLS.CheckFiles()
	assert.ErrorIs(t, err, btsettings.ErrTLSFile)
	assert.ErrorContains(t, err, "tls.cert: open /etc/e1.pem")
}

// TestLoadListsEveryProblem guards against settings errors that lack the file, line or
// key, and against a load that stops at the first problem.
func TestLoadListsEveryProblem(t *testing.T) {
	tests := []struct{ old, replacement, want string }{
		{old: `name = "e1"`, replacement: `name = "E 1"`, want: `line 1: name: malformed name`},
		{old: `host = "edge-1"`, replacement: ``, want: `host: is missing`},
		{old: `host = "edge-1"`, replacement: `hots = "edge-1"`, want: `line 2: hots: unknown key`},
		{old: `"127.0.0.1:0"`, replacement: `"127.0.0.1"`, want: `line 4: listen: not an ip:port`},
		{old: `:9000`, replacement: `:0`, want: `line 8: platform.address: 127.0.0.1:0 needs a port over 0`},
		{old: `key = "bAK8`, replacement: `key = "A`, want: `line 12: approvers.keys[0].key: approvers refused: a public key is 32 bytes`},
		{old: "[[approvers.keys]]", replacement: "[approvers]\nrequired = 2\n[[approvers.keys]]", want: `line 10: approvers: approvers refused: 2 signatures are required of 1 keys`},
		{old: `"warn"`, replacement: `"loud"`, want: `line 20: log.level: `},
		{old: `level = "warn"`, replacement: `format = "xml"`, want: `line 20: log.format: "xml" must be "text" or "json"`},
		{old: `[log]`, replacement: "[status]\nlisten = \"10.0.0.1:9\"\n[log]", want: `line 20: status.listen: 10.0.0.1:9 is not on loopback`},
		{old: `[platform]`, replacement: "watch = 8\n[platform]", want: `line 7: watch: unknown key`},
		{old: `[platform]`, replacement: "[[peers]]\nname = \"agent/t1\"\naddress = \"10.0.0.1:7\"\n[platform]", want: `line 8: peers[0].name: "agent/t1" is no entry's identity`},
		{old: `[platform]`, replacement: "[[peers]]\nname = \"entry/e2\"\n[platform]", want: `line 7: peers[0].address: needs an ip:port`},
	}
	for _, test := range tests {
		t.Run(test.replacement, func(t *testing.T) {
			path := writeSettings(t, strings.Replace(entrySettings, test.old, test.replacement, 1))
			_, err := btsettings.LoadEntry(path)
			var listed *btsettings.Error
			assert.Assert(t, errors.As(err, &listed), "%v", err)
			assert.Assert(t, cmp.Contains(err.Error(), path+": "+test.want))
		})
	}
	_, err := btsettings.LoadAgent(writeSettings(t, "peer_listen = \"x\"\ncolour = 1\n[log]\nlevel = \"loud\"\n"))
	var listed *btsettings.Error
	assert.Assert(t, errors.As(err, &listed))
	assert.Equal(t, len(listed.Problems), 3, "%v", err)
	_, err = btsettings.LoadAgent("nowhere.toml")
	assert.ErrorIs(t, err, btsettings.ErrRead)
}

// TestCompletedReferenceIsValid guards against a reference that isn't a valid settings
// file once its required keys are set.
func TestCompletedReferenceIsValid(t *testing.T) {
	values := map[string]string{"name": "x", "target": "x", "host": "h", "data_centre": "d", "listen": "127.0.0.1:0",
		"peer_listen": "127.0.0.1:0", "address": "127.0.0.1:9", "ca": "a", "cert": "b", "key": "c"}
	for _, kind := range []btsettings.Kind{btsettings.EntryKind, btsettings.AgentKind} {
		text := btsettings.Reference(kind)
		for key, value := range values {
			text = strings.Replace(text, "\n# "+key+" = \"\"\n", fmt.Sprintf("\n%s = %q\n", key, value), 1)
		}
		text += "\n[[approvers.keys]]\nname = \"anna\"\nkey = \"bAK8+uNUKDNBTUWP5DkgIbZ+Gi0/YCzJz06yHM9NSPE=\"\n"
		var err error
		if kind == btsettings.EntryKind {
			_, err = btsettings.LoadEntry(writeSettings(t, text))
		} else {
			_, err = btsettings.LoadAgent(writeSettings(t, text))
		}
		assert.NilError(t, err, "%s", text)
	}
}
