package btquarantine_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btquarantine"
)

func content() btquarantine.Content {
	return btquarantine.Content{Account: "acme", Method: "POST", Host: "a.example", URI: "/x?y", Body: []byte("body")}
}

func ExampleContent_Fingerprint() {
	f := content().Fingerprint()
	fmt.Println(f == content().Fingerprint(), len(f.String()))
	// Output: true 32
}

// TestFingerprintCoversEachPart guards against different requests that share a
// fingerprint.
func TestFingerprintCoversEachPart(t *testing.T) {
	changes := map[string]func(*btquarantine.Content){
		"account": func(c *btquarantine.Content) { c.Account = "other" },
		"method":  func(c *btquarantine.Content) { c.Method = "PUT" },
		"host":    func(c *btquarantine.Content) { c.Host = "b.example" },
		"uri":     func(c *btquarantine.Content) { c.URI = "/x?z" },
		"body":    func(c *btquarantine.Content) { c.Body = nil },
		"border":  func(c *btquarantine.Content) { c.Host, c.URI = "a.example/x", "?y" },
	}
	for name, change := range changes {
		c := content()
		change(&c)
		assert.Assert(t, c.Fingerprint() != content().Fingerprint(), name)
	}
}

// BenchmarkFingerprint measures a request of 1 KB.
func BenchmarkFingerprint(b *testing.B) {
	c := content()
	c.Body = make([]byte, 1<<10)
	for b.Loop() {
		c.Fingerprint()
	}
}
