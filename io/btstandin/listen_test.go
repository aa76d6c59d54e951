package btstandin_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btstandin"
)

// Scripts find stand-ins with assigned ports by the printed lines and the address
// file, so both must list every listener, in order and ready to accept requests.
func TestServeReportsItsAddresses(t *testing.T) {
	name := filepath.Join(t.TempDir(), "addresses")
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	listener := btstandin.Listener{Name: "p1", Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: newPlain(t)}
	stopped := make(chan error)
	go func() {
		stopped <- btstandin.Serve(ctx, []btstandin.Listener{listener, listener}, name, writer)
	}()
	lines := bufio.NewScanner(reader)
	var addresses []string
	for range 2 {
		assert.Assert(t, lines.Scan())
		address, ok := strings.CutPrefix(lines.Text(), "listening p1 ")
		assert.Assert(t, ok, "line %q", lines.Text())
		addresses = append(addresses, address)
	}
	for _, address := range addresses {
		r, err := http.Get("http://" + address + "/")
		assert.NilError(t, err)
		assert.Equal(t, r.StatusCode, http.StatusOK)
		assert.NilError(t, r.Body.Close())
	}
	cancel()
	assert.NilError(t, <-stopped)
	written, err := os.ReadFile(name)
	assert.NilError(t, err)
	assert.Equal(t, string(written), strings.Join(addresses, "\n")+"\n")
}
