package btstagescmd_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/commands/btstagescmd"
	"bilberrytide/core/btstage"
)

func run(t *testing.T, log string, arguments ...string) (string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "edge.log")
	assert.NilError(t, os.WriteFile(file, []byte(log), 0o600))
	var out strings.Builder
	app := kingpin.New("bilberrytide", "")
	app.Terminate(nil)
	btstagescmd.Register(app, &out)
	_, err := app.Parse(append([]string{"stages", file}, arguments...))
	return out.String(), err
}

const log = `started
{"time":"2026-01-02T03:04:04.1Z","msg":"request served","service":"llm","sample":3,"begin_ms":100}
{"time":"2026-01-02T03:04:04.2Z","msg":"request refused","service":"llm","request":"a","group_wait_ms":500}
{"time":"2026-01-02T03:04:07.1Z","msg":"request served","service":"llm","sample":2,"late":true,"place_wait_ms":800,"begin_ms":300,"longest_pause_ms":90}
{"time":"2026-01-02T03:04:07.2Z","msg":"request served","service":"pages","sample":9}
`

// A sampled line counts for as many requests as it stands for, refused requests are
// counted apart, and lines of other services are left out.
func TestStagesPrintsCountsAndMedians(t *testing.T) {
	out, err := run(t, log, "--service", "llm")
	assert.NilError(t, err)
	assert.Equal(t, out, "time          in_time  late  refused  failed  group_wait_ms  place_wait_ms  begin_ms  longest_pause_ms  \n"+
		"03:04:04.000  3        0     1        0       0              0              100       0                 ##############################..........\n"+
		"03:04:06.000  0        2     0        0       0              800            300       90                ++++++++++++++++++++\n")
}

// A malformed line must be reported with its file and number, and a log without the
// end of a request must not look like an idle period.
func TestStagesRejectsMalformedAndEmptyLogs(t *testing.T) {
	_, err := run(t, log+`{"time":"2026-01-02T03:04:08Z","msg":"request served","begin_ms":-1}`)
	assert.ErrorIs(t, err, btstage.ErrMalformed)
	assert.ErrorContains(t, err, "edge.log: line 6")
	_, err = run(t, "started\n")
	assert.ErrorIs(t, err, btstagescmd.ErrNoRequestEnd)
}
