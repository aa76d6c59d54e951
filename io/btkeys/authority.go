package btkeys

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	// DefaultAuthorityValidity is how long a new authority is valid.
	DefaultAuthorityValidity = 5 * 365 * 24 * time.Hour
	// DefaultValidity is how long an issued certificate is valid.
	DefaultValidity = 90 * 24 * time.Hour

	// clockSkewTolerance is how far before its issue a certificate's validity starts, for
	// hosts whose clock is slow.
	clockSkewTolerance = 10 * time.Minute

	serialBits = 127

	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"

	authorityCertificateFile = "ca.pem"
	authorityKeyFile         = "ca.key"

	modeSecret    fs.FileMode = 0o600
	modePublic    fs.FileMode = 0o644
	modeDirectory fs.FileMode = 0o700
)

// Authority is the certificate authority that signs the certificates of one fleet's
// processes. The operator must keep its key off the hosts of the fleet.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority creates an authority with a new key, valid from now for the given duration.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority key: %w", err)
	}
	template, err := newTemplate(name, now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	if err != nil {
		return nil, fmt.Errorf("authority certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, fmt.Errorf("authority certificate: %w", err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// LoadAuthority reads an authority's certificate and key. The error wraps
// ErrFiles and names the file.
func LoadAuthority(certificateFile, keyFile string) (*Authority, error) {
	certificate, err := ReadCertificate(certificateFile)
	if err != nil {
		return nil, err
	}
	if !certificate.IsCA {
		return nil, fmt.Errorf("%w: %s: not an authority's certificate", ErrFiles, certificateFile)
	}
	key, err := readKey(keyFile)
	if err != nil {
		return nil, err
	}
	if !equalPublicKeys(certificate.PublicKey, key.Public()) {
		return nil, fmt.Errorf("%w: %s is not the key of %s", ErrFiles, keyFile, certificateFile)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue creates a key and a certificate for the identity, which is valid for servers and
// clients. The certificate never expires after the authority's.
func (a *Authority) Issue(id Identity, now time.Time, validity time.Duration) (*Issued, error) {
	if err := id.Validate(); err != nil {
		return nil, err
	}
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("key of %s: %w", id, err)
	}
	template, err := newTemplate(id.String(), now, validity)
	if err != nil {
		return nil, err
	}
	if template.NotAfter.After(a.certificate.NotAfter) {
		template.NotAfter = a.certificate.NotAfter
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, public, a.key)
	if err != nil {
		return nil, fmt.Errorf("certificate of %s: %w", id, err)
	}
	return &Issued{identity: id, certificate: raw, key: key, authority: a.certificate.Raw}, nil
}

// Write writes the authority to ca.pem and ca.key (mode 0600) in the folder and returns
// the two paths. It returns an error that wraps ErrFiles if either file exists.
func (a *Authority) Write(folder string) (certificateFile, keyFile string, err error) {
	certificateFile = filepath.Join(folder, authorityCertificateFile)
	keyFile = filepath.Join(folder, authorityKeyFile)
	for _, name := range []string{certificateFile, keyFile} {
		if _, err := os.Lstat(name); !errors.Is(err, fs.ErrNotExist) {
			return "", "", fmt.Errorf("%w: %s exists already", ErrFiles, name)
		}
	}
	if err := writeKey(keyFile, a.key); err != nil {
		return "", "", err
	}
	return certificateFile, keyFile, writePEM(certificateFile, blockCertificate, a.certificate.Raw, modePublic)
}

// Issued is a process's new certificate and key, which Write stores.
type Issued struct {
	identity    Identity
	certificate []byte
	key         crypto.Signer
	authority   []byte
}

// Write writes the certificate, the key (mode 0600) and the authority's certificate to the
// folder, replacing earlier files, and returns their paths. A Source that reads a new
// file together with an old one refuses the pair and keeps the earlier material until
// both files are new.
func (i *Issued) Write(folder string) (Files, error) {
	base := string(i.identity.Role) + "-" + i.identity.Name
	files := Files{
		Certificate: filepath.Join(folder, base+".pem"),
		Key:         filepath.Join(folder, base+".key"),
		Authority:   filepath.Join(folder, authorityCertificateFile),
	}
	if err := writeKey(files.Key, i.key); err != nil {
		return Files{}, err
	}
	if err := writePEM(files.Authority, blockCertificate, i.authority, modePublic); err != nil {
		return Files{}, err
	}
	return files, writePEM(files.Certificate, blockCertificate, i.certificate, modePublic)
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	if validity <= 0 {
		return nil, fmt.Errorf("%w: validity %s is not positive", ErrFiles, validity)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(validity),
	}, nil
}

func equalPublicKeys(a, b crypto.PublicKey) bool {
	key, ok := a.(interface{ Equal(crypto.PublicKey) bool })
	return ok && key.Equal(b)
}

func writeKey(name string, key crypto.Signer) error {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrFiles, name, err)
	}
	return writePEM(name, blockKey, raw, modeSecret)
}

// writePEM writes a PEM file and replaces an earlier one atomically, so that a reader
// never sees a partial file.
func writePEM(name, kind string, raw []byte, mode fs.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(name), modeDirectory); err != nil {
		return fmt.Errorf("%w: %w", ErrFiles, err)
	}
	file, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return fmt.Errorf("%w: %w", ErrFiles, err)
	}
	err = errors.Join(
		file.Chmod(mode),
		pem.Encode(file, &pem.Block{Type: kind, Bytes: raw}),
		file.Close(),
	)
	if err == nil {
		err = os.Rename(file.Name(), name)
	}
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrFiles, name, errors.Join(err, os.Remove(file.Name())))
	}
	return nil
}
