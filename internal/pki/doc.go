// Package pki issues, checks and loads the TLS certificates and keys of a firm,
// the organization that runs the instances: a certificate authority, and a
// certificate for each declared instance. An instance's certificate carries its
// declared name as a URI subject alternative name. It is used as the client and
// the server certificate between instances, and by the HTTPS listener for
// operators.
package pki

import (
	"crypto/x509"
	"errors"
	"net/url"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("pki")

// Files holds the paths of the PEM files of one instance. The Authority file may
// contain several certificates, so that the old and the new authority are both
// trusted during a rotation.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

const (
	uriScheme = "sycamoreledge"
	uriHost   = "instance"
)

// errNoInstanceName is returned for a certificate without an instance URI.
var errNoInstanceName = errors.New("certificate has no sycamoreledge://instance/NAME subject alternative name")

// instanceURI returns the subject alternative name of an instance.
func instanceURI(name string) *url.URL {
	return &url.URL{Scheme: uriScheme, Host: uriHost, Path: "/" + name}
}

// InstanceName returns the declared name of the instance that the certificate
// was issued to.
func InstanceName(cert *x509.Certificate) (string, error) {
	for _, uri := range cert.URIs {
		if uri.Scheme != uriScheme || uri.Host != uriHost {
			continue
		}
		name := strings.TrimPrefix(uri.Path, "/")
		if name != "" {
			return name, nil
		}
	}
	return "", Error.Wrap(errNoInstanceName)
}
