package pki

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = time.Second

// Source holds the TLS credentials of one instance and reloads the files after a
// change, so that keys can be rotated without a restart. If a reload fails, the
// error is passed to OnReload and the previous credentials stay in use. It is
// safe for concurrent use.
type Source struct {
	files   Files
	options Options

	mu        sync.Mutex
	lastCheck time.Time
	versions  fileVersions
	loaded    *credentials
}

// Options configures a Source. The zero value is usable.
type Options struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// OnReload is called after each attempt to load changed files, with nil on
	// success or the error that prevented the reload. It may be nil.
	OnReload func(error)
}

// credentials are the contents of one consistent set of files.
type credentials struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// fileVersion identifies a version of a file, to detect changes.
type fileVersion struct {
	modified time.Time
	size     int64
}

// fileVersions holds the versions of the authority, certificate and key files. A
// file without a readable status has the zero value.
type fileVersions [3]fileVersion

// NewSource loads the files. It returns an error if one cannot be read or parsed,
// if the key does not match the certificate, or if the certificate names no
// instance.
func NewSource(files Files, options Options) (*Source, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Source{files: files, options: options, lastCheck: options.Now()}
	s.versions = statFiles(files)
	initial, err := loadCredentials(files)
	if err != nil {
		return nil, err
	}
	s.loaded = initial
	return s, nil
}

// Name returns the declared name in the instance's certificate.
func (s *Source) Name() (string, error) {
	return InstanceName(s.current().certificate.Leaf)
}

// Expires returns the end of the validity period of the instance's certificate.
func (s *Source) Expires() time.Time {
	return s.current().certificate.Leaf.NotAfter
}

// Derive returns a secret for the given purpose, derived from the instance's
// private key, so that only a holder of the key can compute it. It stays the same
// across restarts until the key is rotated.
func (s *Source) Derive(purpose string) ([sha256.Size]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(s.current().certificate.PrivateKey)
	if err != nil {
		return [sha256.Size]byte{}, Error.Wrap(err)
	}
	return sha256.Sum256(append([]byte(purpose+"\x00"), der...)), nil
}

// current returns the latest credentials that loaded without an error.
func (s *Source) current() *credentials {
	active, attempted, err := s.refresh()
	if attempted && s.options.OnReload != nil {
		s.options.OnReload(err)
	}
	return active
}

// refresh reloads the files if they changed. It returns the credentials now in
// use, whether a reload was attempted, and the error that made it fail.
func (s *Source) refresh() (active *credentials, attempted bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if now.Sub(s.lastCheck) < reloadInterval {
		return s.loaded, false, nil
	}
	s.lastCheck = now
	versions := statFiles(s.files)
	if versions == s.versions {
		return s.loaded, false, nil
	}
	s.versions = versions
	fresh, err := loadCredentials(s.files)
	if err != nil {
		return s.loaded, true, err
	}
	s.loaded = fresh
	return s.loaded, true, nil
}

func statFiles(files Files) fileVersions {
	var s fileVersions
	for i, path := range []string{files.Authority, files.Certificate, files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			continue
		}
		s[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return s
}

// loadCredentials reads the three files and checks that the key matches the
// certificate and that the certificate names an instance.
func loadCredentials(files Files) (*credentials, error) {
	authorities, err := loadAuthorities(files.Authority)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := InstanceName(certificate.Leaf); err != nil {
		return nil, err
	}
	return &credentials{certificate: certificate, roots: authorities}, nil
}

func loadAuthorities(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	certs, err := parseCertificates(data)
	if err != nil {
		return nil, err
	}
	return newCertPool(certs), nil
}
