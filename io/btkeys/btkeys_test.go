package btkeys_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"bilberrytide/io/btkeys"
)

var (
	start = time.Now()
	entry = btkeys.Identity{Role: btkeys.Entry, Name: "e1"}
	agent = btkeys.Identity{Role: btkeys.Agent, Name: "t1"}
)

func ExampleParseIdentity() {
	id, err := btkeys.ParseIdentity("agent/engine-3")
	fmt.Println(id.Role, id.Name, err)
	_, err = btkeys.ParseIdentity("king/engine-3")
	fmt.Println(err)
	// Output:
	// agent engine-3 <nil>
	// wrong identity: role "king" is neither "entry" nor "agent"
}

func newAuthority(t *testing.T) *btkeys.Authority {
	t.Helper()
	a, err := btkeys.NewAuthority("test", start, 365*24*time.Hour)
	assert.NilError(t, err)
	return a
}

func issue(t *testing.T, a *btkeys.Authority, id btkeys.Identity, folder string, validity time.Duration) btkeys.Files {
	t.Helper()
	issued, err := a.Issue(id, start, validity)
	assert.NilError(t, err)
	files, err := issued.Write(folder)
	assert.NilError(t, err)
	return files
}

func newSource(t *testing.T, o btkeys.Options) *btkeys.Source {
	t.Helper()
	s, err := btkeys.New(o)
	assert.NilError(t, err)
	return s
}

// handshake runs one TLS handshake over loopback and returns both sides' errors.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.Check(t, listener.Close()) }()
	done := make(chan error, 1)
	go func() {
		b, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		err = tls.Server(b, server).HandshakeContext(context.Background())
		_ = b.Close()
		done <- err
	}()
	a, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	c := tls.Client(a, client)
	clientErr = c.HandshakeContext(context.Background())
	if clientErr == nil {
		// In TLS 1.3 the client learns that its certificate was refused when it reads.
		_, _ = c.Read(make([]byte, 1))
	}
	_ = a.Close()
	return clientErr, <-done
}

// TestHandshakes guards against a handshake that succeeds with another identity, another authority's
// certificate, an expired certificate or no client certificate.
func TestHandshakes(t *testing.T) {
	authority, otherAuthority := newAuthority(t), newAuthority(t)
	source := func(a *btkeys.Authority, id btkeys.Identity) *btkeys.Source {
		return newSource(t, btkeys.Options{Files: issue(t, a, id, t.TempDir(), time.Hour)})
	}
	late := func() time.Time { return start.Add(2 * time.Hour) }
	expired := newSource(t, btkeys.Options{Files: issue(t, authority, agent, t.TempDir(), time.Hour), Now: late})

	client, server := handshake(t, source(authority, entry).ClientTLS(agent), source(authority, agent).ServerTLS())
	assert.NilError(t, client)
	assert.NilError(t, server)
	client, _ = handshake(t, source(authority, entry).ClientTLS(agent), source(authority, entry).ServerTLS())
	assert.ErrorIs(t, client, btkeys.ErrIdentity)
	client, _ = handshake(t, source(authority, entry).ClientTLS(agent), source(otherAuthority, agent).ServerTLS())
	assert.ErrorIs(t, client, btkeys.ErrUntrusted)
	_, server = handshake(t, source(authority, entry).ClientTLS(agent), expired.ServerTLS())
	assert.ErrorIs(t, server, btkeys.ErrUntrusted)
	_, server = handshake(t, &tls.Config{InsecureSkipVerify: true}, source(authority, agent).ServerTLS())
	assert.Assert(t, server != nil, "a client without a certificate")
}

// TestReloadKeepsUsableMaterial guards against a reload that replaces usable material by a
// certificate without its key, or by one of another identity.
func TestReloadKeepsUsableMaterial(t *testing.T) {
	a := newAuthority(t)
	folder := t.TempDir()
	registry := metrics.NewRegistry()
	files := issue(t, a, entry, folder, time.Hour)
	s := newSource(t, btkeys.Options{Files: files, Registry: registry})
	changed, err := s.Reload()
	assert.NilError(t, err)
	assert.Assert(t, !changed)

	// A new certificate with the old key, as a reader may see them during a rotation.
	key, err := os.ReadFile(files.Key)
	assert.NilError(t, err)
	issue(t, a, entry, folder, time.Hour)
	newKey, err := os.ReadFile(files.Key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.Key, key, 0o600))
	_, err = s.Reload()
	assert.ErrorIs(t, err, btkeys.ErrFiles)
	assert.Equal(t, s.Current().Generation, uint64(1))

	assert.NilError(t, os.WriteFile(files.Key, newKey, 0o600))
	changed, err = s.Reload()
	assert.NilError(t, err)
	assert.Assert(t, changed)
	assert.Equal(t, s.Current().Generation, uint64(2))
	assert.Equal(t, metrics.GetOrRegisterCounter(btkeys.MetricReloaded, registry).Count(), int64(1))

	// Files of another identity at the same paths.
	other := issue(t, a, agent, t.TempDir(), time.Hour)
	assert.NilError(t, os.Rename(other.Key, files.Key))
	assert.NilError(t, os.Rename(other.Certificate, files.Certificate))
	_, err = s.Reload()
	assert.ErrorIs(t, err, btkeys.ErrIdentity)
	assert.Equal(t, s.Identity(), entry)
}

// TestWarnsBeforeExpiryOnceADay guards against an expiry without a warning, and against a
// warning at every reload.
func TestWarnsBeforeExpiryOnceADay(t *testing.T) {
	var log bytes.Buffer
	now := start
	registry := metrics.NewRegistry()
	s := newSource(t, btkeys.Options{
		Files:    issue(t, newAuthority(t), entry, t.TempDir(), 30*24*time.Hour),
		Registry: registry,
		Log:      slog.New(slog.NewTextHandler(&log, nil)),
		Now:      func() time.Time { return now },
	})
	warnings := func() int { return bytes.Count(log.Bytes(), []byte("expires soon")) }
	assert.Equal(t, warnings(), 0)
	now = start.Add(15*24*time.Hour + time.Hour)
	for range 5 {
		_, err := s.Reload()
		assert.NilError(t, err)
		now = now.Add(5 * time.Hour)
	}
	assert.Equal(t, warnings(), 1)
	assert.Equal(t, metrics.GetOrRegisterGauge(btkeys.MetricDaysLeft, registry).Value(), int64(14))
	now = now.Add(24 * time.Hour)
	_, err := s.Reload()
	assert.NilError(t, err)
	assert.Equal(t, warnings(), 2)
}

// TestUnusableFilesAreNamed guards against an error that doesn't name the unusable file.
func TestUnusableFilesAreNamed(t *testing.T) {
	good := issue(t, newAuthority(t), entry, t.TempDir(), time.Hour)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	assert.NilError(t, os.WriteFile(empty, nil, 0o600))
	for i := range 3 {
		files := good
		*[]*string{&files.Certificate, &files.Key, &files.Authority}[i] = empty
		_, err := btkeys.New(btkeys.Options{Files: files})
		assert.ErrorIs(t, err, btkeys.ErrFiles)
		assert.Assert(t, cmp.Contains(err.Error(), "empty.pem"))
	}
}

// TestCertificateNeverOutlivesItsAuthority guards against a certificate that seems valid after its
// authority has expired.
func TestCertificateNeverOutlivesItsAuthority(t *testing.T) {
	a := newAuthority(t)
	files := issue(t, a, entry, t.TempDir(), 10*365*24*time.Hour)
	certificate, err := btkeys.ReadCertificate(files.Certificate)
	assert.NilError(t, err)
	authority, err := btkeys.ReadCertificate(files.Authority)
	assert.NilError(t, err)
	assert.Equal(t, certificate.NotAfter, authority.NotAfter)
}

// TestSecretKeyComesFromThePrivateKey guards against a secret that changes with a restart,
// or that is the same for two labels or two private keys.
func TestSecretKeyComesFromThePrivateKey(t *testing.T) {
	a := newAuthority(t)
	files := issue(t, a, entry, t.TempDir(), time.Hour)
	secret := func(f btkeys.Files, label string) [32]byte {
		key, err := newSource(t, btkeys.Options{Files: f}).Current().SecretKey(label)
		assert.NilError(t, err)
		return key
	}
	assert.Equal(t, secret(files, "a"), secret(files, "a"))
	assert.Assert(t, secret(files, "a") != secret(files, "b"))
	assert.Assert(t, secret(files, "a") != secret(issue(t, a, entry, t.TempDir(), time.Hour), "a"))
}
