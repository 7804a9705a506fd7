// Package answer derives the bytes of an upstream's answer from the request,
// so that a caller can tell whether an answer is whole and its own.
package answer

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of answers that do not belong to their request.
var Error = errs.Class("answer")

// MaxSize bounds the size of an answer in bytes.
const MaxSize = 1 << 20

// EmptyDigest is the digest of a request without a body.
var EmptyDigest = Digest(nil)

// Digest returns the SHA-256 of a body in hexadecimal digits.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// ContentDigest returns the value of the Content-Digest header of a body.
func ContentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// Body returns the answer to the request with the nonce whose body had the
// digest: both in a first line, then bytes that depend on them, size in all.
func Body(nonce, digest string, size int) []byte {
	head := nonce + " " + digest + "\n"
	size = max(len(head), min(size, MaxSize))
	out := append(make([]byte, 0, size+8), head...)
	source := rand.NewPCG(xxhash.Sum64String(nonce), xxhash.Sum64String(digest))
	for len(out) < size {
		out = binary.LittleEndian.AppendUint64(out, source.Uint64())
	}
	return out[:size]
}

// Check reports why body is not the answer to the request, or nil.
func Check(nonce, digest string, size int, body []byte) error {
	want := Body(nonce, digest, size)
	if bytes.Equal(want, body) {
		return nil
	}
	if len(body) < len(want) && bytes.HasPrefix(want, body) {
		return Error.New("cut after %d of %d bytes", len(body), len(want))
	}
	line, _, _ := bytes.Cut(body, []byte("\n"))
	if len(line) > 200 {
		line = line[:200]
	}
	return Error.New("answer of another request: got %q, want %q", line, nonce+" "+digest)
}
