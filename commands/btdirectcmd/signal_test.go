package btdirectcmd_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"

	"bilberrytide/commands/btdirectcmd"
	btadapter "bilberrytide/platform"
	"bilberrytide/platform/btmock"
)

// childVariable makes the test's own program run an entry.
const childVariable = "BTDIRECTCMD_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	app := kingpin.New("test", "")
	btdirectcmd.Register(app, os.Stdout)
	if _, err := app.Parse([]string{"direct", "entry"}); err != nil {
		os.Exit(1)
	}
}

// host is a loopback address that only this package's tests use.
const host = "127.0.9.1"

// freeAddress returns an address with a port that was free just now.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	assert.NilError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// startEntry starts an entry as a process and returns the address of its readiness check.
func startEntry(t *testing.T, output io.Writer) (process *exec.Cmd, ready string) {
	t.Helper()
	readyAddress := freeAddress(t)
	ready = readyAddress.String()
	path := filepath.Join(t.TempDir(), "settings.toml")
	settings := btmock.EntryAddresses{Front: freeAddress(t), Ready: readyAddress, Peer: freeAddress(t), Store: freeAddress(t)}.SettingsFile()
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	process = exec.Command(os.Args[0])
	process.Env = append(os.Environ(), childVariable+"=1", btadapter.SettingsVariable+"="+path)
	process.Stdout, process.Stderr = output, os.Stderr
	assert.NilError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	for range 500 {
		if check(ready) == nil {
			return process, ready
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the entry doesn't answer")
	return nil, ""
}

// check sends a readiness check and returns an error if there is no answer.
func check(ready string) error {
	answer, err := http.Get("http://" + ready + btadapter.PathReady)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// Guards against a process that ends, with all its requests, because nobody reads its log
// any more: a write to a closed pipe at stdout raises SIGPIPE.
func TestProcessOutlivesTheReaderOfItsLog(t *testing.T) {
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	process, ready := startEntry(t, writer)
	assert.NilError(t, writer.Close())
	assert.NilError(t, reader.Close())
	for range 5 {
		// The reload is logged.
		assert.NilError(t, process.Process.Signal(syscall.SIGHUP))
		time.Sleep(50 * time.Millisecond)
		assert.NilError(t, check(ready))
	}
	assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, process.Wait())
}

// Guards against a signal during a planned stop that ends the process before the stop does.
func TestFurtherSignalsDoNotShortenAStop(t *testing.T) {
	process, ready := startEntry(t, io.Discard)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM} {
		assert.NilError(t, process.Process.Signal(s))
		time.Sleep(300 * time.Millisecond)
		assert.NilError(t, check(ready))
	}
	assert.NilError(t, process.Wait())
	assert.Equal(t, process.ProcessState.ExitCode(), 0)
}
