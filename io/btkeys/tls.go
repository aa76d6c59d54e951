package btkeys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// ServerTLS returns the configuration for accepting connections. It requires TLS 1.3 and
// a client certificate signed by the authority in force. PeerIdentity returns the
// client's identity from the connection's state.
func (s *Source) ServerTLS(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.Current().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := s.verify(state, x509.ExtKeyUsageClientAuth)
			return err
		},
	}
}

// ClientTLS returns the configuration for dialling the peer with the identity want. A
// peer with another identity is refused with ErrIdentity.
func (s *Source) ClientTLS(want Identity, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		SessionTicketsDisabled: true,
		// Certificates contain an identity, not a host name. VerifyConnection
		// therefore replaces the standard check: it verifies the chain and compares
		// the identity.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.Current().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			got, err := s.verify(state, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			if got != want {
				return fmt.Errorf("%w: peer is %s instead of %s", ErrIdentity, got, want)
			}
			return nil
		},
	}
}

// PeerIdentity returns the identity in the certificate of a verified peer. The
// error wraps ErrIdentity or ErrUntrusted.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, fmt.Errorf("%w: the peer sent none", ErrUntrusted)
	}
	return ParseIdentity(state.PeerCertificates[0].Subject.CommonName)
}

func (s *Source) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	id, err := PeerIdentity(state)
	if err != nil {
		return Identity{}, err
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.Current().pool,
		Intermediates: intermediates,
		CurrentTime:   s.options.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, fmt.Errorf("%w: %s: %w", ErrUntrusted, id, err)
	}
	return id, nil
}
