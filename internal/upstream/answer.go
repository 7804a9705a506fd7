package upstream

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"hash"
	"io"
	"net/http"
	"strings"

	"sycamoreledge.example/internal/hop"
	"sycamoreledge.example/internal/work"
)

// maxBufferedBytes is the largest response body that is read and verified before
// the outcome is reported. Larger ones are streamed.
const maxBufferedBytes = 1 << 20

const digestPrefix = "sha-256=:"

var (
	errDigestMismatch = Error.New("response body does not match its Content-Digest, or the digest is malformed")
	errTruncated      = Error.New("response has neither a length, chunked encoding nor a digest: a truncation could not be detected")
)

// readResponse buffers a response body of up to maxBufferedBytes. A larger one is
// streamed, and its reader fails at the end when the body is truncated or does not
// match its digest. The second result reports whether the body is streamed.
func readResponse(method string, resp *http.Response) (*work.Response, bool) {
	body, err := verifyingReader(method, resp)
	if err != nil {
		resp.Body.Close()
		return work.UnknownOutcome(work.ReasonUpstreamBroken), false
	}
	response := &work.Response{
		Outcome: work.Run,
		Status:  resp.StatusCode,
		Header:  endToEndHeader(resp.Header),
		Length:  resp.ContentLength,
	}
	buffered, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if err != nil {
		resp.Body.Close()
		return work.UnknownOutcome(work.ReasonUpstreamBroken), false
	}
	if len(buffered) <= maxBufferedBytes {
		resp.Body.Close()
		response.Length = int64(len(buffered))
		if method == http.MethodHead {
			response.Length = resp.ContentLength
		}
		response.Body = io.NopCloser(bytes.NewReader(buffered))
		return response, false
	}
	response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(buffered), body), Closer: resp.Body}
	return response, true
}

// prefixedBody reads the buffered prefix and the rest of a body, and closes the body.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// endToEndHeader returns a copy of the header without hop-by-hop and framing fields.
func endToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	hop.StripFraming(out)
	return out
}

// verifyingReader returns a reader of the body that checks its digest, if there is
// one. It fails for a body without both framing and digest, because the end of
// such a body can't be distinguished from a truncation.
func verifyingReader(method string, resp *http.Response) (io.Reader, error) {
	want, err := parseDigest(resp.Header.Get(HeaderDigest))
	if err != nil {
		return nil, err
	}
	if method == http.MethodHead {
		return resp.Body, nil
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !framed && want == nil {
		return nil, errTruncated
	}
	if want == nil {
		return resp.Body, nil
	}
	return &digestReader{source: resp.Body, sum: sha256.New(), want: want}, nil
}

// parseDigest parses a Content-Digest field. It returns nil when the field
// contains no SHA-256 digest.
func parseDigest(field string) ([]byte, error) {
	for part := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), digestPrefix)
		if !ok {
			continue
		}
		value, ok = strings.CutSuffix(value, ":")
		if !ok {
			return nil, errDigestMismatch
		}
		sum, err := base64.StdEncoding.DecodeString(value)
		if err != nil || len(sum) != sha256.Size {
			return nil, errDigestMismatch
		}
		return sum, nil
	}
	return nil, nil
}

// digestReader fails at the end of its source when the digest does not match.
type digestReader struct {
	source io.Reader
	sum    hash.Hash
	want   []byte
}

// Read implements io.Reader.
func (d *digestReader) Read(p []byte) (int, error) {
	n, err := d.source.Read(p)
	d.sum.Write(p[:n])
	if err != io.EOF {
		return n, err
	}
	if subtle.ConstantTimeCompare(d.sum.Sum(nil), d.want) != 1 {
		return n, errDigestMismatch
	}
	return n, err
}
