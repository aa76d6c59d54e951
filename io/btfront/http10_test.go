package btfront_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btcall"
	"bilberrytide/io/btfront"
	"bilberrytide/io/btmetric"
)

const (
	getHTTP10 = "GET / HTTP/1.0\r\n\r\n"
	// largeBytes is more than the sockets on both sides hold, smallBytes less than the server's
	// buffers.
	largeBytes = 8 << 20
	smallBytes = 100
)

// readHTTP10 sends a request of HTTP/1.0 and returns the body of the answer. The error is nil if
// the connection ended in order.
func readHTTP10(t *testing.T, address netip.AddrPort) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(longTime)))
	_, err = io.WriteString(c, getHTTP10)
	assert.NilError(t, err)
	answer, err := io.ReadAll(c)
	_, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	return string(body), err
}

// writePart writes a part of an answer that has no length.
func writePart(w http.ResponseWriter, size int) {
	_, _ = io.WriteString(w, strings.Repeat("x", size))
	_ = http.NewResponseController(w).Flush()
}

// TestCutAnswersOfHTTP10AreReset guards against a part of an answer that a caller of HTTP/1.0
// takes for all of it, because its connection ends in order.
func TestCutAnswersOfHTTP10AreReset(t *testing.T) {
	for _, size := range []int{smallBytes, 64 << 10} {
		for name, cut := range map[string]func(w http.ResponseWriter, h *http.Server){
			"aborted":  func(http.ResponseWriter, *http.Server) { panic(http.ErrAbortHandler) },
			"panicked": func(http.ResponseWriter, *http.Server) { panic("failed") },
			"server closed": func(w http.ResponseWriter, h *http.Server) {
				_ = h.Close()
			},
			"write failed": func(w http.ResponseWriter, _ *http.Server) {
				_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
				_, _ = io.WriteString(w, strings.Repeat("x", largeBytes))
			},
			"flush failed": func(w http.ResponseWriter, _ *http.Server) {
				_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
				_, _ = io.WriteString(w, "x")
			},
		} {
			t.Run(fmt.Sprint(name, "/", size), func(t *testing.T) {
				var h *http.Server
				var s *server
				s, h = newServerFor(t, btfront.Options{}, func(w http.ResponseWriter, _ *http.Request) {
					writePart(w, size)
					cut(w, h)
				})
				h.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)
				body, err := readHTTP10(t, s.address)
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%d bytes, %v", len(body), err)
			})
		}
	}
}

// TestWholeAnswersOfHTTP10EndInOrder guards against a whole answer that its caller takes for cut,
// or of which it doesn't get the end.
func TestWholeAnswersOfHTTP10EndInOrder(t *testing.T) {
	for _, size := range []int{0, smallBytes, 64 << 10, largeBytes} {
		for name, write := range map[string]func(w http.ResponseWriter){
			"at once":   func(w http.ResponseWriter) { _, _ = io.WriteString(w, strings.Repeat("x", size)) },
			"in pieces": func(w http.ResponseWriter) { writePart(w, size/2); writePart(w, size-size/2) },
		} {
			t.Run(fmt.Sprint(name, "/", size), func(t *testing.T) {
				s, _ := newServerFor(t, btfront.Options{}, func(w http.ResponseWriter, _ *http.Request) { write(w) })
				for range 10 {
					body, err := readHTTP10(t, s.address)
					assert.NilError(t, err)
					assert.Equal(t, len(body), size)
				}
			})
		}
	}
}

// TestIdleConnectionOfHTTP10EndsInOrder guards against a reset of a connection whose answers were
// whole.
func TestIdleConnectionOfHTTP10EndsInOrder(t *testing.T) {
	s, h := newServerFor(t, btfront.Options{}, serveBody)
	c := s.dial()
	for range 2 {
		c.send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
		c.expect(http.StatusOK, "0 bytes")
	}
	assert.NilError(t, h.Close())
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// killedServer is set in the environment of the process that a test kills.
const killedServer = "BTFRONT_KILLED_SERVER"

// TestMain runs the tests, or the process of one.
func TestMain(m *testing.M) {
	if os.Getenv(killedServer) == "" {
		os.Exit(m.Run())
	}
	serveUntilKilled()
}

// serveUntilKilled writes its address and begins an answer to each request.
func serveUntilKilled() {
	front := btfront.New(btfront.Options{Clock: time.Now, Meter: btmetric.New(nil), Log: slog.New(slog.DiscardHandler)})
	h := &http.Server{ReadHeaderTimeout: longTime, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writePart(w, smallBytes)
		time.Sleep(longTime)
	})}
	front.Configure(h)
	listener, err := btcall.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err == nil {
		fmt.Println(listener.Addr())
		err = front.Serve(h, listener)
	}
	fmt.Println(err)
}

// TestAnswerOfAKilledProcessIsReset guards against a part of an answer that a caller of HTTP/1.0
// takes for all of it, because the kernel ends the connections of a killed process in order.
func TestAnswerOfAKilledProcessIsReset(t *testing.T) {
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), killedServer+"=1")
	output, err := process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill() })
	var address string
	_, err = fmt.Fscanln(output, &address)
	assert.NilError(t, err)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(longTime)))
	_, err = io.WriteString(c, getHTTP10)
	assert.NilError(t, err)
	head := make([]byte, smallBytes)
	_, err = io.ReadFull(c, head)
	assert.NilError(t, err)
	assert.NilError(t, process.Process.Kill())
	_ = process.Wait()
	_, err = io.ReadAll(c)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
