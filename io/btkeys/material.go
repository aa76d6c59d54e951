package btkeys

import (
	"crypto"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"time"
)

// Files names the three PEM files that a process is given.
type Files struct {
	// Certificate is the process's own certificate.
	Certificate string
	// Key is the process's private key, PKCS 8.
	Key string
	// Authority holds the authority's certificates; two while one replaces the
	// other.
	Authority string
}

// Material is what was read from the files at one time. It never changes.
type Material struct {
	// Identity is the process's own.
	Identity Identity
	// Generation counts the readings that brought something new, from 1.
	Generation uint64
	// NotAfter is when the process's own certificate, or the last of the
	// authority's, expires: the earlier of the two.
	NotAfter time.Time

	certificate *tls.Certificate
	pool        *x509.CertPool
	digest      [sha256.Size]byte
}

// SecretKey derives a 32 byte secret from the private key, so that a process
// that starts again with the same key arrives at the same secret.
func (m *Material) SecretKey(label string) ([sha256.Size]byte, error) {
	var secret [sha256.Size]byte
	raw, err := x509.MarshalPKCS8PrivateKey(m.certificate.PrivateKey)
	if err != nil {
		return secret, fmt.Errorf("%w: %w", ErrFiles, err)
	}
	derived, err := hkdf.Key(sha256.New, raw, nil, label, len(secret))
	if err != nil {
		return secret, fmt.Errorf("%w: %w", ErrFiles, err)
	}
	copy(secret[:], derived)
	return secret, nil
}

func readMaterial(f Files) (*Material, error) {
	digest := sha256.New()
	var data [3][]byte
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrFiles, err)
		}
		data[i] = raw
		_, _ = fmt.Fprintf(digest, "%d\n", len(raw))
		_, _ = digest.Write(raw)
	}
	certificate, err := tls.X509KeyPair(data[0], data[1])
	if err != nil {
		return nil, fmt.Errorf("%w: %s with %s: %w", ErrFiles, f.Certificate, f.Key, err)
	}
	pool, last, err := parseAuthority(f.Authority, data[2])
	if err != nil {
		return nil, err
	}
	id, err := ParseIdentity(certificate.Leaf.Subject.CommonName)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrFiles, f.Certificate, err)
	}
	m := &Material{Identity: id, NotAfter: certificate.Leaf.NotAfter, certificate: &certificate, pool: pool}
	if last.Before(m.NotAfter) {
		m.NotAfter = last
	}
	digest.Sum(m.digest[:0])
	return m, nil
}

// parseAuthority also returns the expiry of the authority that lasts longest.
func parseAuthority(name string, data []byte) (*x509.CertPool, time.Time, error) {
	pool := x509.NewCertPool()
	var last time.Time
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, last, fmt.Errorf("%w: %s: %w", ErrFiles, name, err)
		}
		pool.AddCert(certificate)
		if certificate.NotAfter.After(last) {
			last = certificate.NotAfter
		}
	}
	if last.IsZero() {
		return nil, last, fmt.Errorf("%w: %s: no certificate", ErrFiles, name)
	}
	return pool, last, nil
}

// ReadCertificate reads the first certificate of a PEM file. The error wraps
// ErrFiles and names the file.
func ReadCertificate(name string) (*x509.Certificate, error) {
	block, err := readBlock(name, blockCertificate)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(block)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrFiles, name, err)
	}
	return certificate, nil
}

func readKey(name string) (crypto.Signer, error) {
	block, err := readBlock(name, blockKey)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(block)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrFiles, name, err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("%w: %s: a %T can't sign", ErrFiles, name, key)
	}
	return signer, nil
}

func readBlock(name, kind string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFiles, err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, fmt.Errorf("%w: %s: no PEM block %q", ErrFiles, name, kind)
	}
	return block.Bytes, nil
}
