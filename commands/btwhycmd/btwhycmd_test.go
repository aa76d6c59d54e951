package btwhycmd_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/commands/btwhycmd"
)

const log = `  0.1 edge-1 {"msg":"target_added","process":"edge-1","target":"i-1","service":"s"}
not json
  0.2 edge-1 {"msg":"request served","process":"edge-1","request":"r-0","target":"i-1","service":"s"}
  0.3 edge-1 {"msg":"target passed over","process":"edge-1","target":"i-1","service":"s","reason":"target_lost"}
  0.4 edge-2 {"msg":"target passed over","process":"edge-2","target":"i-1","service":"s"}
  0.5 edge-1 {"msg":"request failed","process":"edge-1","request":"r-1","target":"i-1","service":"s","cause":"target_lost"}
`

func run(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	app := kingpin.New("bilberrytide", "")
	app.Terminate(nil)
	btwhycmd.Register(app, &out)
	_, err := app.Parse(append([]string{"why"}, arguments...))
	return out.String(), err
}

// The context of a request must hold only lines of the same process about the
// request's target or service, because the clocks of processes differ.
func TestWhyShowsContextOfRequest(t *testing.T) {
	file := filepath.Join(t.TempDir(), "edge.log")
	assert.NilError(t, os.WriteFile(file, []byte(log), 0o600))
	out, err := run(t, "r-1", file)
	assert.NilError(t, err)
	assert.Equal(t, out, `    {"msg":"target_added","process":"edge-1","target":"i-1","service":"s"}
    {"msg":"target passed over","process":"edge-1","target":"i-1","service":"s","reason":"target_lost"}
{"msg":"request failed","process":"edge-1","request":"r-1","target":"i-1","service":"s","cause":"target_lost"}
`)
	_, err = run(t, "r-2", file)
	assert.ErrorIs(t, err, btwhycmd.ErrNotFound)
	_, err = run(t, "r-1", file+".none")
	assert.ErrorContains(t, err, ".none")
}

// A request that is sent again gets a new identifier but keeps its fingerprint, so a
// search by identifier alone would miss its other attempts.
func TestWhyFindsAllAttempts(t *testing.T) {
	const tries = `{"msg":"request retried","process":"edge-1","request":"r-1","fingerprint":"0a"}
{"msg":"request failed","process":"edge-2","request":"r-2","fingerprint":"0a"}
{"msg":"request failed","process":"edge-2","request":"r-3","fingerprint":"0b"}
`
	file := filepath.Join(t.TempDir(), "edge.log")
	assert.NilError(t, os.WriteFile(file, []byte(tries), 0o600))
	out, err := run(t, "0a", file)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(out, "\n"), 2)
	assert.Assert(t, !strings.Contains(out, "r-3"))
}

// Guards against an operator who can't learn which targets a request skipped and until
// when: the request's line names them, and the lines of their rests come before it.
func TestWhyShowsRestsOfSkippedTargets(t *testing.T) {
	const rests = `{"msg":"target rests","process":"edge-1","target":"i-1","service":"s","for_ms":3000,"evidence":"r-0"}
{"msg":"target leaving","process":"edge-1","target":"i-2","service":"s","served_for_ms":2000,"evidence":"r-0"}
{"msg":"request refused","process":"edge-1","request":"r-1","service":"s","reason":"target_resting","resting":["i-1 1.2s"],"resting_count":1,"leaving":["i-2 0s"],"leaving_count":1}
`
	file := filepath.Join(t.TempDir(), "edge.log")
	assert.NilError(t, os.WriteFile(file, []byte(rests), 0o600))
	out, err := run(t, "r-1", file)
	assert.NilError(t, err)
	for _, want := range []string{`"msg":"target rests"`, `"msg":"target leaving"`, `"resting":["i-1 1.2s"]`, `"leaving":["i-2 0s"]`} {
		assert.Assert(t, strings.Contains(out, want), "%s is missing in:\n%s", want, out)
	}
}
