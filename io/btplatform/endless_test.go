package btplatform_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/io/btbound"
	"bilberrytide/io/btbound/btendless"
	"bilberrytide/io/btplatform"
)

// TestEndlessAnswers guards against answers of the platform without end: they would fill the
// memory of the process, or hold the call for ever.
func TestEndlessAnswers(t *testing.T) {
	const (
		loopback  = "127.0.0.1"
		okHead    = "HTTP/1.1 200 OK\r\n"
		drip      = 20 * time.Millisecond
		timeout   = 500 * time.Millisecond
		headBytes = (btbound.MaxInformational + 1) * btbound.MaxHeaderBytes
		bodyBytes = 1 << 20
	)
	answers := []struct {
		name   string
		answer btendless.Answer
		limit  int64
	}{
		{"field", btendless.Endless(okHead+"X: ", strings.Repeat("x", 4096), 0), headBytes},
		{"field dripped", btendless.Endless(okHead+"X: ", "x", drip), headBytes},
		{"switch", btendless.Endless("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", "x", drip), headBytes},
		{"body", btendless.Endless(okHead+"Revision: 1\r\n\r\n", strings.Repeat("x", 4096), 0), bodyBytes},
		{"body dripped", btendless.Endless(okHead+"Revision: 1\r\n\r\n", "x", drip), bodyBytes},
	}
	calls := map[string]func(context.Context, *btplatform.Client) error{
		"config": func(ctx context.Context, c *btplatform.Client) error {
			_, _, err := c.Config(ctx, "bundle", 0, 0)
			return err
		},
		"hosts": func(ctx context.Context, c *btplatform.Client) error { _, err := c.Hosts(ctx); return err },
		"weights": func(ctx context.Context, c *btplatform.Client) error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			b, err := c.Weights(ctx, btplatform.Expert{Model: "m1"})
			if err != nil {
				return err
			}
			defer b.Close()
			_, err = io.Copy(io.Discard, b)
			return err
		},
	}
	for name, call := range calls {
		for _, a := range answers {
			t.Run(name+" "+a.name, func(t *testing.T) {
				t.Parallel()
				s := btendless.New(t, loopback, a.answer)
				c := btplatform.New(btplatform.Options{Address: s.Address, Timeout: timeout, MaxValue: bodyBytes, MaxHosts: bodyBytes, MaxWeights: bodyBytes})
				done := make(chan error, 1)
				go func() { done <- call(t.Context(), c) }()
				select {
				case err := <-done:
					assert.Assert(t, err != nil)
				case <-time.After(10 * timeout):
					t.Fatal("the call has not ended")
				}
				s.CheckClosed(t, 5*timeout, a.limit)
			})
		}
	}
}
