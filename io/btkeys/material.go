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

// Files are the paths of the three PEM files that a process reads.
type Files struct {
	// Certificate is the process's own certificate.
	Certificate string
	// Key is the process's private key, in PKCS #8.
	Key string
	// Authority holds the certificates of the trusted authorities: two while one
	// authority replaces the other.
	Authority string
}

// Material is the content of the files as read at one time. It is immutable.
type Material struct {
	// Identity is the identity in the process's certificate.
	Identity Identity
	// Generation starts at 1 and increases whenever changed files are loaded.
	Generation uint64
	// NotAfter is the earlier of two times: when the process's certificate expires, and
	// when the last of the authority's certificates expires.
	NotAfter time.Time

	certificate *tls.Certificate
	pool        *x509.CertPool
	digest      [sha256.Size]byte
}

// SecretKey derives a secret of 32 bytes from the private key and the label. A process
// that restarts with the same private key gets the same secret.
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
	pool, authorityExpiry, err := parseAuthority(f.Authority, data[2])
	if err != nil {
		return nil, err
	}
	id, err := ParseIdentity(certificate.Leaf.Subject.CommonName)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrFiles, f.Certificate, err)
	}
	m := &Material{Identity: id, NotAfter: certificate.Leaf.NotAfter, certificate: &certificate, pool: pool}
	if authorityExpiry.Before(m.NotAfter) {
		m.NotAfter = authorityExpiry
	}
	digest.Sum(m.digest[:0])
	return m, nil
}

// parseAuthority returns the authority's certificates and when the last of them expires.
func parseAuthority(name string, data []byte) (*x509.CertPool, time.Time, error) {
	pool := x509.NewCertPool()
	var latestExpiry time.Time
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, latestExpiry, fmt.Errorf("%w: %s: %w", ErrFiles, name, err)
		}
		pool.AddCert(certificate)
		if certificate.NotAfter.After(latestExpiry) {
			latestExpiry = certificate.NotAfter
		}
	}
	if latestExpiry.IsZero() {
		return nil, latestExpiry, fmt.Errorf("%w: %s: no certificate", ErrFiles, name)
	}
	return pool, latestExpiry, nil
}

// ReadCertificate reads the first certificate of a PEM file. The error wraps
// ErrFiles and names the file.
func ReadCertificate(name string) (*x509.Certificate, error) {
	block, err := readPEM(name, blockCertificate)
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
	block, err := readPEM(name, blockKey)
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

func readPEM(name, kind string) ([]byte, error) {
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
