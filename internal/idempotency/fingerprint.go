package idempotency

import (
	"crypto/sha256"
	"hash"
	"io"

	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/work"
)

// fingerprint identifies the content of a request, to detect different requests
// with the same key. The hash of a body larger than replay.Limit is known only
// once the body has been read to its end.
type fingerprint struct {
	Valid    bool     `cbor:"1,keyasint"`
	HeadHash [32]byte `cbor:"2,keyasint"` // hash of method, path and the buffered part of the body
	Large    bool     `cbor:"3,keyasint"`
	Length   int64    `cbor:"4,keyasint"` // declared length of a large body, or -1
	BodyHash [32]byte `cbor:"5,keyasint"` // hash of a large body, zero until known
}

// bufferedRequest is a request whose body has been buffered up to replay.Limit.
type bufferedRequest struct {
	req         *work.Request
	body        *replay.Body
	fingerprint fingerprint
	bodyHasher  *hashingReader
}

// bufferRequest buffers the body up to replay.Limit and computes the
// fingerprint.
func bufferRequest(req *work.Request) (*bufferedRequest, error) {
	buffered := &bufferedRequest{req: req, body: replay.New(req.Body)}
	if err := buffered.body.Fill(); err != nil {
		return nil, Error.Wrap(err)
	}
	h := sha256.New()
	_, _ = io.WriteString(h, req.Method+"\x00"+req.Path+"\x00")
	h.Write(buffered.body.Buffered())
	h.Sum(buffered.fingerprint.HeadHash[:0])
	buffered.fingerprint.Valid = true
	if _, small := buffered.body.Shared(); !small {
		buffered.fingerprint.Large = true
		buffered.fingerprint.Length = req.Length
	}
	return buffered, nil
}

// hashingRequest returns a copy of the request for one attempt. The body of the
// copy starts at the beginning; a large one is hashed while it is read.
func (b *bufferedRequest) hashingRequest() *work.Request {
	if b.req.Body == nil {
		return b.req
	}
	reader, _ := b.body.Next()
	req := *b.req
	req.Body = reader
	if b.fingerprint.Large {
		b.bodyHasher = &hashingReader{source: reader, hash: sha256.New(), expectedBytes: b.req.Length}
		req.Body = b.bodyHasher
	}
	return &req
}

// hashUnreadBody reads a large body that no attempt has read, to complete the
// fingerprint.
func (b *bufferedRequest) hashUnreadBody() error {
	if !b.fingerprint.Large || b.bodyHasher != nil {
		return nil
	}
	_, err := io.Copy(io.Discard, b.hashingRequest().Body)
	return err
}

// finalFingerprint returns the fingerprint, including the hash of a large body
// if that body has been read to its end.
func (b *bufferedRequest) finalFingerprint() fingerprint {
	result := b.fingerprint
	if b.bodyHasher != nil && b.bodyHasher.complete {
		b.bodyHasher.hash.Sum(result.BodyHash[:0])
	}
	return result
}

// hashingReader hashes the bytes that are read through it.
type hashingReader struct {
	source        io.Reader
	hash          hash.Hash
	expectedBytes int64 // or -1 if unknown
	readBytes     int64
	complete      bool
}

// Read implements io.Reader.
func (r *hashingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.hash.Write(p[:n])
	r.readBytes += int64(n)
	r.complete = r.complete || err == io.EOF || r.readBytes == r.expectedBytes
	return n, err
}

// differs reports whether two requests with the same key are known to differ
// without comparing the hashes of large bodies.
func (f fingerprint) differs(other fingerprint) bool {
	return f.Valid && other.Valid &&
		(f.HeadHash != other.HeadHash || f.Large != other.Large || f.Length != other.Length)
}
