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
	// holdKnown and holdUnknown bound, in bytes, the answers that are read
	// whole before the first byte is sent, for known and unknown lengths. A
	// failure within them is told to the caller in words.
	holdKnown   = 64 << 10
	holdUnknown = 1 << 20
	// chunkBytes is the size of the pieces in which longer answers are sent.
	chunkBytes = 32 << 10
)

const (
	minFinalStatus = 200
	maxStatus      = 999
)

var (
	// errBroken means that an answer failed after its beginning was sent.
	errBroken = errors.New("answer is broken off")
	// errNotWhole means that an answer failed before anything was sent.
	errNotWhole = errors.New("answer cannot be read whole")
)

var chunkPool = sync.Pool{New: func() any {
	buf := make([]byte, chunkBytes)
	return &buf
}}

// writeAnswer sends the status and the body of an upstream's answer, below the
// header fields already set. An incomplete answer never looks complete: after
// errNotWhole nothing was sent, after any other error the connection must be
// broken.
func writeAnswer(w http.ResponseWriter, r *http.Request, answer *work.Response) error {
	if answer.Status < minFinalStatus || answer.Status > maxStatus {
		return errNotWhole
	}
	if bodyless(r, answer.Status) {
		return writeHeaderOnly(w, answer)
	}
	if answer.Body == nil {
		return writeHeld(w, answer.Status, nil)
	}
	if answer.Length > holdKnown {
		return writeKnown(w, answer)
	}
	return writeShort(w, r, answer)
}

// bodyless reports whether an answer has no body by the rules of HTTP.
func bodyless(r *http.Request, status int) bool {
	return r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

func writeHeaderOnly(w http.ResponseWriter, answer *work.Response) error {
	if answer.Length > 0 {
		setLength(w, answer.Length)
	}
	w.WriteHeader(answer.Status)
	return nil
}

func setLength(w http.ResponseWriter, length int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
}

// writeShort reads up to the bounds before it sends anything.
func writeShort(w http.ResponseWriter, r *http.Request, answer *work.Response) error {
	var held bytes.Buffer
	limit := int64(holdUnknown)
	if answer.Length >= 0 {
		limit = answer.Length
		held.Grow(int(answer.Length) + bytes.MinRead)
	}
	n, err := io.Copy(&held, io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return errNotWhole
	}
	if answer.Length >= 0 && n != answer.Length {
		return errNotWhole
	}
	if n <= limit {
		return writeHeld(w, answer.Status, held.Bytes())
	}
	if !r.ProtoAtLeast(1, 1) {
		return errNotWhole // its end could not be told from a failure
	}
	return writeChunked(w, answer, held.Bytes())
}

func writeHeld(w http.ResponseWriter, status int, body []byte) error {
	setLength(w, int64(len(body)))
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

// writeKnown sends a body of known length. The last piece leaves only after
// the source has ended properly, since a checksum may fail at its very end.
func writeKnown(w http.ResponseWriter, answer *work.Response) error {
	setLength(w, answer.Length)
	sent := int64(0)
	err := copyPieces(answer.Body, func(piece []byte, last bool) error {
		if sent == 0 {
			w.WriteHeader(answer.Status)
		}
		sent += int64(len(piece))
		if last != (sent == answer.Length) {
			return errBroken
		}
		return sendPiece(w, piece)
	})
	if err != nil && sent == 0 {
		return errNotWhole
	}
	return err
}

// writeChunked sends what was held and then the rest. The end mark is sent by
// the server when the handler returns, and not when it breaks the connection.
func writeChunked(w http.ResponseWriter, answer *work.Response, held []byte) error {
	w.WriteHeader(answer.Status)
	if err := sendPiece(w, held); err != nil {
		return err
	}
	return copyPieces(answer.Body, func(piece []byte, _ bool) error {
		return sendPiece(w, piece)
	})
}

// sendPiece sends bytes at once. The peer has one write timeout to take them.
func sendPiece(w http.ResponseWriter, piece []byte) error {
	extendWrite(w)
	if _, err := w.Write(piece); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// copyPieces passes the source on in pieces, one behind: a piece is passed on
// only once the following read succeeded, so that the last one comes with the
// knowledge that the source ended properly.
func copyPieces(source io.Reader, send func(piece []byte, last bool) error) error {
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
