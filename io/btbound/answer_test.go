package btbound_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
)

const (
	ok    = "HTTP/1.1 200 OK\r\n"
	body  = "whole"
	sized = "Content-Length: 5\r\n\r\n" + body
	coded = "Transfer-Encoding: chunked\r\n\r\n"
)

// pieces are the sizes in which answers arrive: a violation may begin in any piece.
var pieces = []int{1, 2, 7, 4096}

// serve answers each request on one end of a connection with the next answer, in pieces, and
// closes it after the last one.
func serve(c net.Conn, piece int, answers []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, answer := range answers {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		for len(answer) > 0 {
			n := min(piece, len(answer))
			if _, err := io.WriteString(c, answer[:n]); err != nil {
				return
			}
			answer = answer[n:]
		}
	}
}

// client returns a transport whose connections get these answers, and the number of its
// connections so far.
func client(piece int, answers ...string) (*btbound.Transport, *int) {
	connections := 0
	return btbound.New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		connections++
		near, far := net.Pipe()
		go serve(far, piece, answers)
		return near, nil
	}}), &connections
}

// fetch makes a request and reads the whole answer.
func fetch(tb testing.TB, t *btbound.Transport, method string) (status int, data string, err error) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(tb.Context(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://target/", nil)
	assert.NilError(tb, err)
	answer, err := t.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(read), err
}

// malformed are answers that are refused, by what is wrong with them.
var malformed = map[string]string{
	"blank at the end of a name":         ok + "X : 1\r\n" + sized,
	"tab at the end of a name":           ok + "X\t: 1\r\n" + sized,
	"blank in a name":                    ok + "X Y: 1\r\n" + sized,
	"blank before a name":                ok + " X: 1\r\n" + sized,
	"folded line":                        ok + "X: 1\r\n 2\r\n" + sized,
	"tab before a folded line":           ok + "X: 1\r\n\t2\r\n" + sized,
	"control byte in a name":             ok + "X\x01Y: 1\r\n" + sized,
	"NUL in a name":                      ok + "X\x00: 1\r\n" + sized,
	"DEL in a name":                      ok + "X\x7f: 1\r\n" + sized,
	"high byte in a name":                ok + "X\xe9: 1\r\n" + sized,
	"separator in a name":                ok + "X(1): 1\r\n" + sized,
	"empty name":                         ok + ": 1\r\n" + sized,
	"no colon":                           ok + "X\r\n" + sized,
	"long name":                          ok + strings.Repeat("X", 100) + " : 1\r\n" + sized,
	"control byte in a value":            ok + "X: \x01\r\n" + sized,
	"NUL in a value":                     ok + "X: a\x00\r\n" + sized,
	"DEL in a value":                     ok + "X: \x7f\r\n" + sized,
	"CR in a value":                      ok + "X: a\rb\r\n" + sized,
	"two CR":                             ok + "X: a\r\r\n" + sized,
	"blank before the colon of a coding": ok + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"blank before the colon of a length": ok + "Content-Length : 5\r\n\r\n" + body,
	"unknown coding":                     ok + "Transfer-Encoding: gzip\r\n\r\n" + body,
	"two codings":                        ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"coding twice":                       ok + "Transfer-Encoding: chunked\r\n" + coded + "0\r\n\r\n",
	"coding and length":                  ok + "Content-Length: 5\r\n" + coded + "5\r\nwhole\r\n0\r\n\r\n",
	"coding before HTTP/1.1":             "HTTP/1.0 200 OK\r\n" + coded + "5\r\nwhole\r\n0\r\n\r\n",
	"two lengths":                        ok + "Content-Length: 4\r\n" + sized,
	"list of lengths":                    ok + "Content-Length: 5, 5\r\n\r\n" + body,
	"signed length":                      ok + "Content-Length: +5\r\n\r\n" + body,
	"negative length":                    ok + "Content-Length: -5\r\n\r\n" + body,
	"empty length":                       ok + "Content-Length:\r\n\r\n" + body,
	"length with digits apart":           ok + "Content-Length: 5 0\r\n\r\n" + body,
	"length too large":                   ok + "Content-Length: 99999999999999999999\r\n\r\n" + body,
	"long value of a length":             ok + "Content-Length: 5" + strings.Repeat(" ", 60) + "0\r\n\r\n" + body,
	"body after 204":                     "HTTP/1.1 204 No Content\r\n" + sized,
	"chunks after 204":                   "HTTP/1.1 204 No Content\r\n" + coded + "0\r\n\r\n",
	"body after an informational answer": "HTTP/1.1 103 Early Hints\r\n" + sized + ok + sized,
	"blank in an informational answer":   "HTTP/1.1 103 Early Hints\r\nX : 1\r\n\r\n" + ok + sized,
	"other protocol":                     "HTTP/2.0 200 OK\r\n" + sized,
	"lower case protocol":                "http/1.1 200 OK\r\n" + sized,
	"version of two digits":              "HTTP/1.10 200 OK\r\n" + sized,
	"no version":                         "HTTP/ 200 OK\r\n" + sized,
	"tab before the status":              "HTTP/1.1\t200 OK\r\n" + sized,
	"empty line before the answer":       "\r\n" + ok + sized,
	"blank before the status line":       " " + ok + sized,
	"garbage":                            "garbage\r\n\r\n",
	"control byte in the reason":         "HTTP/1.1 200 O\x01K\r\n" + sized,
	"CR in the reason":                   "HTTP/1.1 200 O\rK\r\n" + sized,
	"blank in a name after the body":     ok + coded + "5\r\nwhole\r\n0\r\nX : 1\r\n\r\n",
	"control byte after the body":        ok + coded + "5\r\nwhole\r\n0\r\nX: \x01\r\n\r\n",
	"folded line after the body":         ok + coded + "5\r\nwhole\r\n0\r\nX: 1\r\n 2\r\n\r\n",
	"no size of a chunk":                 ok + coded + "\r\n0\r\n\r\n",
	"signed size of a chunk":             ok + coded + "+5\r\nwhole\r\n0\r\n\r\n",
	"prefixed size of a chunk":           ok + coded + "0x5\r\nwhole\r\n0\r\n\r\n",
	"blank before the size of a chunk":   ok + coded + " 5\r\nwhole\r\n0\r\n\r\n",
	"size of a chunk too large":          ok + coded + "fffffffffffffffff\r\nwhole\r\n0\r\n\r\n",
	"control byte in an extension":       ok + coded + "5;a\x01\r\nwhole\r\n0\r\n\r\n",
	"CR in an extension":                 ok + coded + "5;a\rb\r\nwhole\r\n0\r\n\r\n",
	"text after a size":                  ok + coded + "5 a\r\nwhole\r\n0\r\n\r\n",
	"LF alone after a size":              ok + coded + "5\nwhole\r\n0\r\n\r\n",
	"LF alone after a chunk":             ok + coded + "5\r\nwhole\n0\r\n\r\n",
	"chunk longer than its size":         ok + coded + "4\r\nwhole\r\n0\r\n\r\n",
}

// statuses are status lines without a valid status.
var statuses = []string{
	"000 x", "001 x", "020 x", "099 x", "600 x", "999 x", "+20 x", "-20 x", "2e2 x", "20 x", "2000 x", " 200 x", "2 0 x", "x", "", "101 x", "200\tx",
}

// TestMalformedAnswersAreRefused guards against an answer of a faulty server that is
// taken for a whole one, with a body that isn't the server's, because net/http reads it.
func TestMalformedAnswersAreRefused(t *testing.T) {
	for name, answer := range malformed {
		t.Run(name, func(t *testing.T) {
			for _, piece := range pieces {
				c, _ := client(piece, answer)
				_, _, err := fetch(t, c, http.MethodGet)
				assert.Assert(t, errors.Is(err, btbound.ErrMalformed), "pieces of %d: %v", piece, err)
			}
		})
	}
}

// TestInvalidStatusIsRefused guards against an answer whose status says nothing, and is
// passed on.
func TestInvalidStatusIsRefused(t *testing.T) {
	for _, status := range statuses {
		for _, piece := range pieces {
			c, _ := client(piece, "HTTP/1.1 "+status+"\r\n"+sized)
			_, _, err := fetch(t, c, http.MethodGet)
			assert.Assert(t, errors.Is(err, btbound.ErrStatus), "%q in pieces of %d: %v", status, piece, err)
		}
	}
}

// TestRefusalNamesTheLine guards against a refused answer whose log line doesn't say why.
func TestRefusalNamesTheLine(t *testing.T) {
	c, _ := client(7, ok+"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n")
	_, _, err := fetch(t, c, http.MethodGet)
	assert.ErrorContains(t, err, `invalid name of a field: "Transfer-Encoding "`)
	c, _ = client(7, "HTTP/1.1 000 x\r\n\r\n")
	_, _, err = fetch(t, c, http.MethodGet)
	assert.ErrorContains(t, err, `"HTTP/1.1 000`)
}

// TestSoundAnswersAreRead guards against refusing answers that RFC 9112 allows, and against
// losing the place at which the next answer begins on a connection.
func TestSoundAnswersAreRead(t *testing.T) {
	const head = http.MethodHead
	cases := []struct {
		name, method, answer, body string
		status                     int
	}{
		{"length", "", ok + sized, body, 200},
		{"same length twice", "", ok + "Content-Length: 5\r\n" + sized, body, 200},
		{"blanks around a length", "", ok + "content-length: \t 5 \t\r\n\r\n" + body, body, 200},
		{"empty", "", ok + "Content-Length: 0\r\n\r\n", "", 200},
		{"chunks", "", ok + coded + "2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n", body, 200},
		{"size with zeros", "", ok + coded + "0005\r\nwhole\r\n000\r\n\r\n", body, 200},
		{"hexadecimal size", "", ok + coded + "A\r\nwholewhole\r\n0\r\n\r\n", body + body, 200},
		{"padded size", "", ok + coded + "5  \r\nwhole\r\n0\r\n\r\n", body, 200},
		{"extension", "", ok + coded + "5;a=\"b\xe9\"\r\nwhole\r\n0;c\r\n\r\n", body, 200},
		{"trailer", "", ok + coded + "5\r\nwhole\r\n0\r\nX: 1\r\nContent-Length: 9\r\n\r\n", body, 200},
		{"no reason", "", "HTTP/1.1 200 \r\n" + sized, body, 200},
		{"status only", "", "HTTP/1.1 200\r\n" + sized, body, 200},
		{"high byte in the reason", "", "HTTP/1.1 200 \xe9\r\n" + sized, body, 200},
		{"LF alone", "", "HTTP/1.1 200 OK\nContent-Length: 5\n\n" + body, body, 200},
		{"empty value", "", ok + "X:\r\nY: \r\n" + sized, body, 200},
		{"high byte in a value", "", ok + "X: \xe9\tz\r\n" + sized, body, 200},
		{"all bytes of a name", "", ok + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + sized, body, 200},
		{"long field", "", ok + "X: " + strings.Repeat("x", 60<<10) + "\r\n" + sized, body, 200},
		{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + ok + sized, body, 200},
		{"204", "", "HTTP/1.1 204 No Content\r\n\r\n", "", 204},
		{"204 of no length", "", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "", 204},
		{"304", "", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "", 304},
		{"head", head, ok + "Content-Length: 5\r\n\r\n", "", 200},
		{"head of chunks", head, ok + coded, "", 200},
		{"599", "", "HTTP/1.1 599 x\r\n" + sized, body, 599},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, piece := range pieces {
				transport, connections := client(piece, c.answer, c.answer)
				for range 2 {
					status, data, err := fetch(t, transport, c.method)
					assert.NilError(t, err, "pieces of %d", piece)
					assert.Equal(t, status, c.status)
					assert.Equal(t, data, c.body)
				}
				assert.Equal(t, *connections, 1)
			}
		})
	}
}

// TestAnswersThatEndTheirConnectionAreRead guards against refusing a body without a length.
func TestAnswersThatEndTheirConnectionAreRead(t *testing.T) {
	for _, answer := range []string{ok + "\r\nwhole\x00\r\n", "HTTP/1.0 200 OK\r\n\r\nwhole\x00\r\n"} {
		for _, piece := range pieces {
			c, _ := client(piece, answer)
			_, data, err := fetch(t, c, http.MethodGet)
			assert.NilError(t, err)
			assert.Equal(t, data, "whole\x00\r\n")
		}
	}
}

// TestBytesAfterAnAnswerReachNoOtherRequest guards against a request that is answered with
// what a faulty server sent after the answer to another one.
func TestBytesAfterAnAnswerReachNoOtherRequest(t *testing.T) {
	for _, surplus := range []string{"garbage", ok + sized, ok + "Content-Length: 5\r\n\r\nother"} {
		c, connections := client(4096, ok+sized+surplus, ok+sized)
		for range 20 {
			_, data, err := fetch(t, c, http.MethodGet)
			assert.NilError(t, err)
			assert.Equal(t, data, body)
		}
		assert.Equal(t, *connections, 20)
	}
}

// TestAnswerCutInsideIsIncomplete guards against an answer that breaks off and looks whole.
func TestAnswerCutInsideIsIncomplete(t *testing.T) {
	for _, whole := range []string{ok + sized, ok + coded + "5\r\nwhole\r\n0\r\nX: 1\r\n\r\n"} {
		for cut := range len(whole) {
			c, _ := client(4096, whole[:cut])
			_, _, err := fetch(t, c, http.MethodGet)
			assert.Assert(t, err != nil, "%q is taken for whole", whole[:cut])
			assert.Assert(t, !errors.Is(err, btbound.ErrMalformed) && !errors.Is(err, btbound.ErrStatus), "%v", err)
		}
	}
}

// FuzzAnswer guards against bytes that are read in one way when they arrive together and in
// another when they arrive one by one.
func FuzzAnswer(f *testing.F) {
	for _, answer := range malformed {
		f.Add(answer)
	}
	for _, status := range statuses {
		f.Add("HTTP/1.1 " + status + "\r\n" + sized)
	}
	f.Add(ok + sized)
	f.Add(ok + coded + "5;a\r\nwhole\r\n0\r\nX: 1\r\n\r\n")
	f.Add("HTTP/1.1 103 x\r\n\r\n" + ok + sized)
	f.Fuzz(func(t *testing.T, answer string) {
		together, _ := client(4096, answer)
		single, _ := client(1, answer)
		status, data, err := fetch(t, together, http.MethodGet)
		singleStatus, singleData, singleErr := fetch(t, single, http.MethodGet)
		assert.Equal(t, err == nil, singleErr == nil, "%v, %v", err, singleErr)
		if err == nil {
			assert.Equal(t, status, singleStatus)
			assert.Equal(t, data, singleData)
		}
	})
}
