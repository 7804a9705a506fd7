// Package pki makes, checks and loads the keys of a firm: an authority, and a
// certificate for each declared instance. The certificate carries the declared
// name of the instance in a URI, and serves both ends of a connection between
// instances as well as the HTTPS listener for operators.
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

// Files names the PEM files of one instance. Authority may hold several
// certificates, so that an old and a new authority are both trusted during a
// rotation.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

const (
	uriScheme = "sycamoreledge"
	uriHost   = "instance"
)

// errNoName is returned for a certificate that names no instance.
var errNoName = errors.New("certificate names no instance")

// instanceURI is the subject alternative name of an instance.
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
	return "", Error.Wrap(errNoName)
}
