package pki

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// reloadInterval is the shortest time between two looks at the files.
const reloadInterval = time.Second

// Source holds the keys of one instance and reads the files again when they
// changed, so that keys are rotated without a restart. Files that cannot be
// used are reported and the former keys stay in use. It is safe for concurrent
// use.
type Source struct {
	files   Files
	options Options

	mu      sync.Mutex
	checked time.Time
	stamp   stamp
	keys    *keys
}

// Options adjusts a Source. The zero value is usable.
type Options struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// OnReload is called after each attempt to load changed files, with nil
	// or the reason why they were not taken. It may be nil.
	OnReload func(error)
}

// keys is one consistent set of loaded files.
type keys struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

type stamp [3]fileStamp

// NewSource loads the files. It fails when they cannot be used together.
func NewSource(files Files, options Options) (*Source, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Source{files: files, options: options, checked: options.Now()}
	s.stamp = readStamp(files)
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	s.keys = loaded
	return s, nil
}

// Name returns the declared name in the instance's certificate.
func (s *Source) Name() (string, error) {
	return InstanceName(s.current().certificate.Leaf)
}

// Expires returns when the instance's certificate ceases to be valid.
func (s *Source) Expires() time.Time {
	return s.current().certificate.Leaf.NotAfter
}

// Derive returns a secret that only the holder of the instance's private key
// can compute. It stays the same over restarts until the key is rotated.
func (s *Source) Derive(purpose string) ([sha256.Size]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(s.current().certificate.PrivateKey)
	if err != nil {
		return [sha256.Size]byte{}, Error.Wrap(err)
	}
	return sha256.Sum256(append([]byte(purpose+"\x00"), der...)), nil
}

// current returns the newest usable keys.
func (s *Source) current() *keys {
	present, tried, err := s.refresh()
	if tried && s.options.OnReload != nil {
		s.options.OnReload(err)
	}
	return present
}

// refresh loads the files if they changed. It reports whether it tried, and the
// reason why they were not taken.
func (s *Source) refresh() (present *keys, tried bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if now.Sub(s.checked) < reloadInterval {
		return s.keys, false, nil
	}
	s.checked = now
	found := readStamp(s.files)
	if found == s.stamp {
		return s.keys, false, nil
	}
	s.stamp = found
	loaded, err := load(s.files)
	if err != nil {
		return s.keys, true, err
	}
	s.keys = loaded
	return s.keys, true, nil
}

func readStamp(files Files) stamp {
	var s stamp
	for i, path := range []string{files.Authority, files.Certificate, files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			continue
		}
		s[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return s
}

// load reads the three files and checks that certificate and key belong
// together and that the certificate names an instance.
func load(files Files) (*keys, error) {
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
	return &keys{certificate: certificate, authorities: authorities}, nil
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
	return newPool(certs), nil
}
