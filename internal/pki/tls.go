package pki

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// Protocol is the application protocol (ALPN) between instances. It includes the
// protocol version, so that instances with different versions do not connect.
const Protocol = "sycamoreledge/1"

// errPeerNotAllowed is returned for a valid certificate of an instance that is not
// declared, or that is not the instance dialed.
var errPeerNotAllowed = errors.New("peer certificate is valid, but its instance is not allowed on this connection")

// PeerServer returns the TLS configuration of a listener for other instances. It
// accepts a connection only if the client's certificate was issued by the
// authority and carries a declared name. It offers the given application
// protocols (ALPN).
func (s *Source) PeerServer(declared func(name string) bool, protocols ...string) *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.peerConfig(protocols, declared), nil
	}
	return config
}

// PeerClient returns the TLS configuration for one connection to the peer with
// the given declared name. Call it for each connection, so that rotated keys are
// used. The peer is identified by its declared name, not by its address.
func (s *Source) PeerClient(peer string, protocols ...string) *tls.Config {
	return s.peerConfig(protocols, func(name string) bool { return name == peer })
}

// peerConfig returns the configuration for one connection, with the current
// credentials.
func (s *Source) peerConfig(protocols []string, allowed func(string) bool) *tls.Config {
	creds := s.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		Certificates:           []tls.Certificate{creds.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// The host name is not verified, because the address may be translated
		// (NAT) on the way. VerifyConnection checks the chain and the declared
		// name instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, creds.roots, s.options.Now(), allowed)
		},
	}
}

// verifyPeer checks the certificate chain, validity, key usage and declared name
// of the peer.
func verifyPeer(state tls.ConnectionState, roots *x509.CertPool, now time.Time, allowed func(string) bool) error {
	name, err := verifyChain(state, roots, now)
	if err != nil {
		return err
	}
	if !allowed(name) {
		return Error.Wrap(fmt.Errorf("%w: %q", errPeerNotAllowed, name))
	}
	return nil
}

// verifyChain verifies the peer's certificate chain and returns the declared name
// in its certificate.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool, now time.Time) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", Error.New("peer presented no certificate")
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: newCertPool(state.PeerCertificates[1:]),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return "", Error.Wrap(err)
	}
	return InstanceName(leaf)
}

// PeerName returns the declared name of the peer on a connection made with
// PeerServer or PeerClient.
func PeerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", Error.New("peer presented no certificate")
	}
	return InstanceName(state.PeerCertificates[0])
}

// OperatorServer returns the TLS configuration of the HTTPS listener for
// operators. It presents the instance's certificate and requests no client
// certificate.
func (s *Source) OperatorServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current().certificate, nil
		},
	}
}

// OperatorClient returns the TLS configuration for operators' connections to an
// instance. It trusts every instance with a certificate of the authority in the
// file, whatever its address, because the address may be translated (NAT) on the
// way.
func OperatorClient(authority string) (*tls.Config, error) {
	roots, err := loadAuthorities(authority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := verifyChain(state, roots, time.Now())
			return err
		},
	}, nil
}
