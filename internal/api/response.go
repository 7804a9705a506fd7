package api

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"sycamoreledge.example/internal/work"
)

const (
	// maxBufferedKnown and maxBufferedUnknown are the sizes, in bytes, up to which
	// responses of known and unknown length are buffered in full before the first
	// byte is sent. If reading such a response fails, the caller still gets a
	// complete error response.
	maxBufferedKnown   = 64 << 10
	maxBufferedUnknown = 1 << 20
	// chunkBytes is the size of the chunks in which longer responses are sent.
	chunkBytes = 32 << 10
)

const (
	minFinalStatus = 200
	maxStatus      = 999
)

var (
	// errTruncated means that a response failed after part of it was sent.
	errTruncated = errors.New("upstream response has the wrong length; aborting after part of it was sent")
	// errIncomplete means that a response failed before any of it was sent.
	errIncomplete = errors.New("upstream response is invalid or incomplete; none of it was sent")
)

var chunkPool = sync.Pool{New: func() any {
	buf := make([]byte, chunkBytes)
	return &buf
}}

// writeResponse sends the status and body of an upstream's response; the header
// fields must have been set. An incomplete response must not look complete to the
// caller: after errIncomplete nothing has been sent, and after any other error the
// connection must be closed.
func writeResponse(w http.ResponseWriter, r *http.Request, resp *work.Response) error {
	if resp.Status < minFinalStatus || resp.Status > maxStatus {
		return errIncomplete
	}
	if hasNoBody(r, resp.Status) {
		return writeHeaderOnly(w, resp)
	}
	if resp.Body == nil {
		return writeComplete(w, resp.Status, nil)
	}
	if resp.Length > maxBufferedKnown {
		return writeKnownLength(w, resp)
	}
	return writeBuffered(w, r, resp)
}

// hasNoBody reports whether HTTP defines the response to have no body.
func hasNoBody(r *http.Request, status int) bool {
	return r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

func writeHeaderOnly(w http.ResponseWriter, resp *work.Response) error {
	if resp.Length > 0 {
		setContentLength(w, resp.Length)
	}
	w.WriteHeader(resp.Status)
	return nil
}

func setContentLength(w http.ResponseWriter, length int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
}

// writeBuffered buffers a response before it sends anything. A response of unknown
// length that exceeds maxBufferedUnknown is then sent in chunks.
func writeBuffered(w http.ResponseWriter, r *http.Request, resp *work.Response) error {
	var buffered bytes.Buffer
	limit := int64(maxBufferedUnknown)
	if resp.Length >= 0 {
		limit = resp.Length
		buffered.Grow(int(resp.Length) + bytes.MinRead)
	}
	n, err := io.Copy(&buffered, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return errIncomplete
	}
	if resp.Length >= 0 && n != resp.Length {
		return errIncomplete
	}
	if n <= limit {
		return writeComplete(w, resp.Status, buffered.Bytes())
	}
	if !r.ProtoAtLeast(1, 1) {
		return errIncomplete // without chunked encoding, its end looks like an aborted connection
	}
	return writeChunked(w, resp, buffered.Bytes())
}

func writeComplete(w http.ResponseWriter, status int, body []byte) error {
	setContentLength(w, int64(len(body)))
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

// writeKnownLength sends a body of known length. The last chunk is sent only after
// the source returned io.EOF, since its checksum is verified at the end.
func writeKnownLength(w http.ResponseWriter, resp *work.Response) error {
	setContentLength(w, resp.Length)
	sent := int64(0)
	err := copyChunks(resp.Body, func(chunk []byte, isLast bool) error {
		if sent == 0 {
			w.WriteHeader(resp.Status)
		}
		sent += int64(len(chunk))
		if isLast != (sent == resp.Length) {
			return errTruncated
		}
		return sendChunk(w, chunk)
	})
	if err != nil && sent == 0 {
		return errIncomplete
	}
	return err
}

// writeChunked sends the buffered part and then the rest. The HTTP server sends the
// final chunk when the handler returns, but not when the handler aborts.
func writeChunked(w http.ResponseWriter, resp *work.Response, buffered []byte) error {
	w.WriteHeader(resp.Status)
	if err := sendChunk(w, buffered); err != nil {
		return err
	}
	return copyChunks(resp.Body, func(chunk []byte, _ bool) error {
		return sendChunk(w, chunk)
	})
}

// sendChunk writes and flushes a chunk, for which it extends the write deadline.
func sendChunk(w http.ResponseWriter, chunk []byte) error {
	extendWriteDeadline(w)
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// copyChunks copies the source in chunks, one read behind: a chunk is passed on only
// after the following read succeeded, so that the last one is passed on only if the
// source ended with io.EOF.
func copyChunks(source io.Reader, send func(chunk []byte, isLast bool) error) error {
	current, next := chunkPool.Get().(*[]byte), chunkPool.Get().(*[]byte)
	defer func() {
		chunkPool.Put(current)
		chunkPool.Put(next)
	}()
	filled := 0
	for {
		n, err := source.Read(*next)
		if n > 0 {
			if filled > 0 {
				if err := send((*current)[:filled], false); err != nil {
					return err
				}
			}
			current, next, filled = next, current, n
		}
		if err == io.EOF {
			return send((*current)[:filled], true)
		}
		if err != nil {
			return err
		}
	}
}
