// Package idempotency runs a request with an idempotency key at most once. A key
// issued by the system names its home, the one run of an instance that may run
// it; a caller's own key gets its home by a claim on the platform. The home
// keeps outcomes and answers repeats with them.
package idempotency

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/control"
)

// Error is the class of errors of this package.
var Error = errs.Class("idempotency")

// MaxKeyBytes is the largest size of a key, in bytes.
const MaxKeyBytes = 512

const (
	issuedPrefix = "sl1-" // with the version of the format
	randomBytes  = 16
	macBytes     = sha256.Size
	maxNameBytes = 255
)

var (
	errForged = Error.New("the key was not issued by the system")
	// errSecret means that the secret of the key is not known here, so that
	// the key may have been issued with one that was rotated out.
	errSecret = Error.New("the secret of the key is not known")
)

// Secret authenticates issued keys.
type Secret struct {
	ID    string
	Value []byte
}

// Key is what an issued key says.
type Key struct {
	Home    control.Identity
	Service string
	Expires time.Time
}

// Issuer issues and verifies keys. It is safe for concurrent use.
type Issuer struct {
	home    control.Identity
	life    time.Duration
	secrets []Secret
}

// NewIssuer returns an issuer for one run of an instance. Keys are issued with
// the first secret and verified with all of them.
func NewIssuer(home control.Identity, life time.Duration, secrets []Secret) (*Issuer, error) {
	if len(secrets) == 0 {
		return nil, Error.New("there is no secret")
	}
	for _, s := range secrets {
		if len(s.ID) == 0 || len(s.ID) > maxNameBytes || len(s.Value) < sha256.Size {
			return nil, Error.New("secret %q is malformed", s.ID)
		}
	}
	if len(home.Instance) > maxNameBytes {
		return nil, Error.New("the name of the instance is too long")
	}
	return &Issuer{home: home, life: life, secrets: secrets}, nil
}

// Issue returns a new key for a service and when it expires.
func (i *Issuer) Issue(service string) (string, time.Time, error) {
	if len(service) == 0 || len(service) > maxNameBytes {
		return "", time.Time{}, Error.New("service %q is malformed", service)
	}
	expires := time.Now().Add(i.life).Truncate(time.Millisecond)
	payload := make([]byte, 0, 128)
	payload = appendName(payload, i.secrets[0].ID)
	payload = binary.BigEndian.AppendUint64(payload, uint64(expires.UnixMilli()))
	payload = binary.BigEndian.AppendUint64(payload, i.home.Incarnation)
	payload = appendName(payload, i.home.Instance)
	payload = appendName(payload, service)
	var random [randomBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(random[:])
	payload = append(payload, random[:]...)
	payload = append(payload, mac(i.secrets[0].Value, payload)...)
	return issuedPrefix + base64.RawURLEncoding.EncodeToString(payload), expires, nil
}

// IsIssued reports whether a key claims to have been issued by the system.
func IsIssued(key string) bool { return strings.HasPrefix(key, issuedPrefix) }

// Verify returns what an issued key says. An expired key is no error.
func (i *Issuer) Verify(key string) (Key, error) {
	text, ok := strings.CutPrefix(key, issuedPrefix)
	if !ok || len(key) > MaxKeyBytes {
		return Key{}, errForged
	}
	payload, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(payload) < macBytes {
		return Key{}, errForged
	}
	signed, sum := payload[:len(payload)-macBytes], payload[len(payload)-macBytes:]
	id, rest, ok := cutName(signed)
	if !ok {
		return Key{}, errForged
	}
	secret := i.secret(id)
	if secret == nil {
		return Key{}, errSecret
	}
	if !hmac.Equal(sum, mac(secret, signed)) {
		return Key{}, errForged
	}
	return parseKey(rest)
}

func (i *Issuer) secret(id string) []byte {
	for _, s := range i.secrets {
		if s.ID == id {
			return s.Value
		}
	}
	return nil
}

// parseKey reads the fields after the name of the secret.
func parseKey(b []byte) (Key, error) {
	const fixed = 16
	if len(b) < fixed {
		return Key{}, errForged
	}
	var k Key
	k.Expires = time.UnixMilli(int64(binary.BigEndian.Uint64(b)))
	k.Home.Incarnation = binary.BigEndian.Uint64(b[8:])
	var ok bool
	if k.Home.Instance, b, ok = cutName(b[fixed:]); !ok {
		return Key{}, errForged
	}
	if k.Service, b, ok = cutName(b); !ok || len(b) != randomBytes {
		return Key{}, errForged
	}
	return k, nil
}

func mac(secret, payload []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(payload)
	return h.Sum(nil)
}

func appendName(b []byte, name string) []byte {
	b = append(b, byte(len(name)))
	return append(b, name...)
}

func cutName(b []byte) (string, []byte, bool) {
	if len(b) == 0 || len(b)-1 < int(b[0]) {
		return "", nil, false
	}
	n := int(b[0])
	return string(b[1 : 1+n]), b[1+n:], true
}
