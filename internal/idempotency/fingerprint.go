package idempotency

import (
	"crypto/sha256"
	"hash"
	"io"

	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/work"
)

// fingerprint tells requests under one key apart. For a body beyond
// replay.Limit the sum of the whole is known once it was read.
type fingerprint struct {
	Set    bool     `cbor:"1,keyasint"`
	Head   [32]byte `cbor:"2,keyasint"` // method, path and the first bytes
	Large  bool     `cbor:"3,keyasint"`
	Length int64    `cbor:"4,keyasint"` // of a large body, or -1
	Whole  [32]byte `cbor:"5,keyasint"` // of a large body, zero until known
}

// prepared is a request whose body was read as far as it is buffered.
type prepared struct {
	req   *work.Request
	body  *replay.Body
	print fingerprint
	whole *hashingReader
}

// prepare reads the first bytes of the body and takes the fingerprint.
func prepare(req *work.Request) (*prepared, error) {
	p := &prepared{req: req, body: replay.New(req.Body)}
	if err := p.body.Fill(); err != nil {
		return nil, Error.Wrap(err)
	}
	h := sha256.New()
	_, _ = io.WriteString(h, req.Method+"\x00"+req.Path+"\x00")
	h.Write(p.body.Buffered())
	h.Sum(p.print.Head[:0])
	p.print.Set = true
	if _, small := p.body.Shared(); !small {
		p.print.Large = true
		p.print.Length = req.Length
	}
	return p, nil
}

// attempt returns the request with a body that hashes what is read of it.
func (p *prepared) attempt() *work.Request {
	if p.req.Body == nil {
		return p.req
	}
	reader, _ := p.body.Next()
	req := *p.req
	req.Body = reader
	if p.print.Large {
		p.whole = &hashingReader{source: reader, sum: sha256.New(), length: p.req.Length}
		req.Body = p.whole
	}
	return &req
}

// drain reads a large body that is not run, for its fingerprint.
func (p *prepared) drain() error {
	if !p.print.Large || p.whole != nil {
		return nil
	}
	_, err := io.Copy(io.Discard, p.attempt().Body)
	return err
}

// final returns the fingerprint with the sum of a large body, if it was read to
// its end.
func (p *prepared) final() fingerprint {
	print := p.print
	if p.whole != nil && p.whole.ended {
		p.whole.sum.Sum(print.Whole[:0])
	}
	return print
}

// hashingReader hashes what is read through it.
type hashingReader struct {
	source io.Reader
	sum    hash.Hash
	length int64 // expected, or -1
	read   int64
	ended  bool
}

// Read implements io.Reader.
func (r *hashingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.sum.Write(p[:n])
	r.read += int64(n)
	r.ended = r.ended || err == io.EOF || r.read == r.length
	return n, err
}

// differs reports whether two requests under one key are known to differ
// without reading a large body.
func (f fingerprint) differs(other fingerprint) bool {
	return f.Set && other.Set &&
		(f.Head != other.Head || f.Large != other.Large || f.Length != other.Length)
}
