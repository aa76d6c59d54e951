package btbundle_test

import (
	"crypto/ed25519"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bilberrytide/core/btassert"
	"bilberrytide/core/btbundle"
)

// TestMain sets the seed and the number of randomised runs, unless flags set
// them.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefaultFlag("rapid.seed", "0", "1")
	setDefaultFlag("rapid.checks", "100", "15")
	os.Exit(m.Run())
}

func setDefaultFlag(name, unset, value string) {
	if flag.Lookup(name).Value.String() == unset {
		_ = flag.Set(name, value)
	}
}

var start = time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)

// minimalBundle is the shortest bundle that passes the checks.
const minimalBundle = `version = 1
created = 2026-01-31T12:00:00Z

[timeouts]
request = "10s"
request_max = "30s"
heartbeat = "500ms"
target_lease = "2s"
# Line 9.

[idempotency]
retention = "1h"
clock_error = "1s"
lease = "4s"

[retry]
budget_share = 0.2
max_attempts = 3
backoff = "50ms"

[ejection]
max_share = 0.3
failures = 5
slow_factor = 3.0
duration = "10s"

[placement]
skew_weight = 1.0
move_weight = 1.0
interval = "10s"
horizon = "5m"

[[data_centres]]
name = "aarhus"
region = "jylland"

[[entries]]
name = "e1"
host = "edge-1"
data_centre = "aarhus"
address = "127.0.0.1:7001"

[[services]]
name = "lookup"
kind = "plain"
max_body = 1024

[[services.epochs]]
number = 1
since = 2026-01-31T12:00:00Z
homes = ["t1", "t2", "t3"]

[[targets]]
name = "t1"
service = "lookup"
host = "h1"
data_centre = "aarhus"
address = "127.0.0.1:7101"
endpoint = "127.0.0.1:7201"
slots = 4
queue = 8

[[targets]]
name = "t2"
service = "lookup"
host = "h2"
data_centre = "aarhus"
address = "127.0.0.1:7102"
endpoint = "127.0.0.1:7202"
slots = 4
queue = 8

[[targets]]
name = "t3"
service = "lookup"
host = "h3"
data_centre = "aarhus"
address = "127.0.0.1:7103"
endpoint = "127.0.0.1:7203"
slots = 4
queue = 8

[[accounts]]
name = "desk"
key_hashes = ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]
rate = 10.0
burst = 20
concurrency = 8
weight = 1.0
`

// edited returns the minimal bundle with the first occurrence of a text
// replaced.
func edited(old, replacement string) string {
	return strings.Replace(minimalBundle, old, replacement, 1)
}

// version returns the minimal bundle with the given version, and with a comment
// that gives it a digest of its own.
func version(number int, label string) []byte {
	return []byte(edited("version = 1", fmt.Sprintf("version = %d # %s", number, label)))
}

var keyPairs = [3]ed25519.PrivateKey{newKeyPair(0), newKeyPair(1), newKeyPair(2)}

func newKeyPair(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+seed)), ed25519.SeedSize)))
}

func keyPair(i int) ed25519.PrivateKey { return keyPairs[i] }

func public(key ed25519.PrivateKey) btbundle.PublicKey {
	return btbundle.PublicKey(key.Public().(ed25519.PublicKey))
}

func approvers(keys ...ed25519.PrivateKey) btbundle.Approvers {
	a := btbundle.Approvers{Required: len(keys)}
	for i, key := range keys {
		a.Keys = append(a.Keys, btbundle.Approver{Name: fmt.Sprintf("approver-%d", i), Key: public(key)})
	}
	return a
}

// signed returns a document's signed file.
func signed(document []byte, keys ...ed25519.PrivateKey) []byte {
	s := btbundle.Signed{Document: document}
	for _, key := range keys {
		s.Signatures = append(s.Signatures, btbundle.Sign(document, key))
	}
	return s.Bytes()
}

func approve(t testing.TB, document []byte) *btbundle.Approved {
	t.Helper()
	parsed, err := btbundle.ParseSigned(signed(document, keyPair(0)))
	assert.NilError(t, err)
	approved, err := approvers(keyPair(0)).Verify(parsed)
	assert.NilError(t, err)
	return approved
}

func newRegister(seed uint64) *btbundle.Register {
	config := btbundle.DefaultRegisterConfig(approvers(keyPair(0)))
	return btbundle.NewRegister(config, btassert.New(btassert.Panic()), rand.New(rand.NewPCG(seed, 1)))
}
