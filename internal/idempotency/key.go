// Package idempotency executes a request with an idempotency key at most once.
// Each key has a home: the one run of an instance that may execute requests
// with that key. A key issued by the system names its home; for a key that the
// caller chose, a claim on the platform determines the home. The home stores
// outcomes and replays them in response to repeated requests.
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

// Error is the class of all errors of this package.
var Error = errs.Class("idempotency")

// MaxKeyBytes is the largest size of a key, in bytes.
const MaxKeyBytes = 512

const (
	issuedPrefix = "sl1-" // the digit is the version of the key format
	randomBytes  = 16
	macBytes     = sha256.Size
	maxNameBytes = 255
)

var (
	errForged = Error.New("idempotency key rejected: it was not issued by this system")
	// errUnknownSecret means that the secret that signed the key is not configured
	// here. The key may be genuine and signed with a secret that has since
	// been rotated out.
	errUnknownSecret = Error.New("idempotency key cannot be verified: its signing secret is not configured")
)

// Secret is a named HMAC secret that authenticates issued keys.
type Secret struct {
	ID    string
	Value []byte
}

// IssuedKey holds the fields encoded in an issued key.
type IssuedKey struct {
	Home    control.Identity
	Service string
	Expires time.Time
}

// Issuer issues and verifies keys. It is safe for concurrent use.
type Issuer struct {
	home        control.Identity
	keyLifetime time.Duration
	secrets     []Secret
}

// NewIssuer returns an issuer whose keys name home, one run of an instance, and
// expire after keyLifetime. Keys are signed with the first secret and verified
// with any of them. It fails when there is no secret, when a secret has an ID
// that is empty or longer than 255 bytes or a value shorter than 32 bytes, and
// when the name of the instance is longer than 255 bytes.
func NewIssuer(home control.Identity, keyLifetime time.Duration, secrets []Secret) (*Issuer, error) {
	if len(secrets) == 0 {
		return nil, Error.New("no signing secret is configured; at least one is required")
	}
	for _, s := range secrets {
		if len(s.ID) == 0 || len(s.ID) > maxNameBytes || len(s.Value) < sha256.Size {
			return nil, Error.New("signing secret %q is malformed: expected an ID of 1 to 255 bytes and a value of at least 32 bytes", s.ID)
		}
	}
	if len(home.Instance) > maxNameBytes {
		return nil, Error.New("the instance name is longer than 255 bytes")
	}
	return &Issuer{home: home, keyLifetime: keyLifetime, secrets: secrets}, nil
}

// Issue returns a new key for a service and the time at which it expires.
func (i *Issuer) Issue(service string) (string, time.Time, error) {
	if len(service) == 0 || len(service) > maxNameBytes {
		return "", time.Time{}, Error.New("service name %q is malformed: expected 1 to 255 bytes", service)
	}
	expires := time.Now().Add(i.keyLifetime).Truncate(time.Millisecond)
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
	payload = append(payload, computeMAC(i.secrets[0].Value, payload)...)
	return issuedPrefix + base64.RawURLEncoding.EncodeToString(payload), expires, nil
}

// IsIssued reports whether a key has the prefix of keys issued by the system. It
// does not verify the key.
func IsIssued(key string) bool { return strings.HasPrefix(key, issuedPrefix) }

// Verify authenticates an issued key and returns its fields. It does not check
// the expiry time.
func (i *Issuer) Verify(key string) (IssuedKey, error) {
	encoded, ok := strings.CutPrefix(key, issuedPrefix)
	if !ok || len(key) > MaxKeyBytes {
		return IssuedKey{}, errForged
	}
	payload, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(payload) < macBytes {
		return IssuedKey{}, errForged
	}
	signed, sum := payload[:len(payload)-macBytes], payload[len(payload)-macBytes:]
	id, rest, ok := cutName(signed)
	if !ok {
		return IssuedKey{}, errForged
	}
	secret := i.secret(id)
	if secret == nil {
		return IssuedKey{}, errUnknownSecret
	}
	if !hmac.Equal(sum, computeMAC(secret, signed)) {
		return IssuedKey{}, errForged
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

// parseKey decodes the authenticated fields that follow the secret ID.
func parseKey(b []byte) (IssuedKey, error) {
	const fixedBytes = 16
	if len(b) < fixedBytes {
		return IssuedKey{}, errForged
	}
	var k IssuedKey
	k.Expires = time.UnixMilli(int64(binary.BigEndian.Uint64(b)))
	k.Home.Incarnation = binary.BigEndian.Uint64(b[8:])
	var ok bool
	if k.Home.Instance, b, ok = cutName(b[fixedBytes:]); !ok {
		return IssuedKey{}, errForged
	}
	if k.Service, b, ok = cutName(b); !ok || len(b) != randomBytes {
		return IssuedKey{}, errForged
	}
	return k, nil
}

func computeMAC(secret, payload []byte) []byte {
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
