package pki

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// Protocol is the application protocol (ALPN) between instances. It carries
// the version: instances of another version do not connect.
const Protocol = "sycamoreledge/1"

// errNotDeclared is returned for a sound certificate of an unknown instance.
var errNotDeclared = errors.New("peer is not a declared instance")

// PeerServer returns the configuration of a listener for other instances. It
// takes a connection only from an instance with a certificate of the authority
// whose name is declared. It offers the given application protocols.
func (s *Source) PeerServer(declared func(name string) bool, protocols ...string) *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.peer(protocols, declared), nil
	}
	return config
}

// PeerClient returns the configuration to connect to the peer with the given
// declared name. Take a new one for each connection, so that rotated keys are
// used. The peer is known by its name and not by its address.
func (s *Source) PeerClient(peer string, protocols ...string) *tls.Config {
	return s.peer(protocols, func(name string) bool { return name == peer })
}

// peer returns a configuration for one connection with the present keys.
func (s *Source) peer(protocols []string, allowed func(string) bool) *tls.Config {
	keys := s.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		Certificates:           []tls.Certificate{keys.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		// The name is checked below in place of a host name, which is an
		// address that networks may translate.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, keys.authorities, s.options.Now(), allowed)
		},
	}
}

// verifyPeer checks chain, validity, key usage and name of the other side.
func verifyPeer(state tls.ConnectionState, roots *x509.CertPool, now time.Time, allowed func(string) bool) error {
	name, err := verifyChain(state, roots, now)
	if err != nil {
		return err
	}
	if !allowed(name) {
		return Error.Wrap(fmt.Errorf("%w: %q", errNotDeclared, name))
	}
	return nil
}

// verifyChain returns the name of the instance that the other side proved to
// be.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool, now time.Time) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", Error.New("peer sent no certificate")
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: newPool(state.PeerCertificates[1:]),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return "", Error.Wrap(err)
	}
	return InstanceName(leaf)
}

// PeerName returns the declared name of the other side of a connection made
// with PeerServer or PeerClient.
func PeerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", Error.New("peer sent no certificate")
	}
	return InstanceName(state.PeerCertificates[0])
}

// OperatorServer returns the configuration of the HTTPS listener for
// operators. It shows the instance's certificate and asks for none.
func (s *Source) OperatorServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current().certificate, nil
		},
	}
}

// OperatorClient returns the configuration with which operators reach an
// instance. It trusts any instance of the authority in the file, whatever its
// address, since operators may come through networks that translate it.
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
