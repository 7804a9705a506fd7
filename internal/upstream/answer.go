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

// bufferLimit is the largest answer that is read and verified before its
// outcome is reported, in bytes.
const bufferLimit = 1 << 20

const digestPrefix = "sha-256=:"

var (
	errDigest = Error.New("the answer does not match its digest")
	errCut    = Error.New("the answer was cut")
)

// receive reads an answer of up to bufferLimit bytes whole. A larger one is
// streamed, and its reader fails at the end when it is not whole. The second
// result reports whether it is streamed.
func receive(method string, resp *http.Response) (*work.Response, bool) {
	body, err := verified(method, resp)
	if err != nil {
		resp.Body.Close()
		return work.UnknownOutcome(work.ReasonUpstreamBroken), false
	}
	out := &work.Response{
		Outcome: work.Run,
		Status:  resp.StatusCode,
		Header:  answerHeader(resp.Header),
		Length:  resp.ContentLength,
	}
	head, err := io.ReadAll(io.LimitReader(body, bufferLimit+1))
	if err != nil {
		resp.Body.Close()
		return work.UnknownOutcome(work.ReasonUpstreamBroken), false
	}
	if len(head) <= bufferLimit {
		resp.Body.Close()
		out.Length = int64(len(head))
		if method == http.MethodHead {
			out.Length = resp.ContentLength
		}
		out.Body = io.NopCloser(bytes.NewReader(head))
		return out, false
	}
	out.Body = &joined{Reader: io.MultiReader(bytes.NewReader(head), body), Closer: resp.Body}
	return out, true
}

// joined reads from one value and closes another.
type joined struct {
	io.Reader
	io.Closer
}

// answerHeader returns the header without what belongs to the connection.
func answerHeader(header http.Header) http.Header {
	out := header.Clone()
	hop.StripFraming(out)
	return out
}

// verified returns a reader of the answer that checks its length and digest. An
// answer whose end can't be told from a cut is refused.
func verified(method string, resp *http.Response) (io.Reader, error) {
	want, err := digest(resp.Header.Get(HeaderDigest))
	if err != nil {
		return nil, err
	}
	if method == http.MethodHead {
		return resp.Body, nil
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !framed && want == nil {
		return nil, errCut
	}
	if want == nil {
		return resp.Body, nil
	}
	return &digestReader{source: resp.Body, sum: sha256.New(), want: want}, nil
}

// digest parses a Content-Digest field. It returns nil when there is no
// SHA-256 digest in it.
func digest(field string) ([]byte, error) {
	for part := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), digestPrefix)
		if !ok {
			continue
		}
		value, ok = strings.CutSuffix(value, ":")
		if !ok {
			return nil, errDigest
		}
		sum, err := base64.StdEncoding.DecodeString(value)
		if err != nil || len(sum) != sha256.Size {
			return nil, errDigest
		}
		return sum, nil
	}
	return nil, nil
}

// digestReader fails at the end of its source when the digest differs.
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
		return n, errDigest
	}
	return n, err
}
