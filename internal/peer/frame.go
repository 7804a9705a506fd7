package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// frameType says what a frame holds.
type frameType uint8

const (
	frameRequest   frameType = 1
	frameResponse  frameType = 2
	frameChunk     frameType = 3 // part of a body
	frameEnd       frameType = 4 // length and checksum of a body
	frameControl   frameType = 5
	frameKeys      frameType = 6
	frameKeysReply frameType = 7
	frameAbort     frameType = 8 // the body could not be read whole
	frameContinue  frameType = 9 // the body of a held request is wanted
)

// A frame is its type (1 byte), the length of the payload (4 bytes, big
// endian) and the payload.
const (
	frameHeaderBytes = 5
	// endBytes is the payload of frameEnd: total length and xxhash64 of the
	// body, 8 bytes each, big endian.
	endBytes = 16
	// sendChunkBytes is the body in one sent chunk, maxChunkBytes the most that
	// is accepted.
	sendChunkBytes = 32 << 10
	maxChunkBytes  = 64 << 10
	// readBufferBytes is the size of the buffer before each received stream.
	readBufferBytes = 4 << 10
)

// appendFrameHeader appends the header of a frame.
func appendFrameHeader(b []byte, kind frameType, length int) []byte {
	b = append(b, byte(kind))
	return binary.BigEndian.AppendUint32(b, uint32(length))
}

// appendFrame appends a whole frame.
func appendFrame(b []byte, kind frameType, payload []byte) []byte {
	b = appendFrameHeader(b, kind, len(payload))
	return append(b, payload...)
}

// appendEnd appends the frame that ends a body.
func appendEnd(b []byte, total, sum uint64) []byte {
	b = appendFrameHeader(b, frameEnd, endBytes)
	b = binary.BigEndian.AppendUint64(b, total)
	return binary.BigEndian.AppendUint64(b, sum)
}

// appendBody appends a body that is in memory, with its end.
func appendBody(b, body []byte) []byte {
	for rest := body; len(rest) > 0; {
		part := rest[:min(len(rest), sendChunkBytes)]
		b = appendFrame(b, frameChunk, part)
		rest = rest[len(part):]
	}
	return appendEnd(b, uint64(len(body)), xxhash.Sum64(body))
}

// frameReader reads frames from a stream.
type frameReader struct {
	src *bufio.Reader
}

func newFrameReader(src io.Reader) *frameReader {
	return &frameReader{src: bufio.NewReaderSize(src, readBufferBytes)}
}

// header reads the header of the next frame.
func (r *frameReader) header() (frameType, int, error) {
	var b [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.src, b[:]); err != nil {
		return 0, 0, cut(err)
	}
	length := binary.BigEndian.Uint32(b[1:])
	return frameType(b[0]), int(length), nil
}

// frame reads a whole frame of the wanted type with at most limit bytes.
func (r *frameReader) frame(want frameType, limit int) ([]byte, error) {
	kind, payload, err := r.next(limit)
	if err != nil {
		return nil, err
	}
	if kind != want {
		return nil, errMalformed.New("frame of type %d in place of %d", kind, want)
	}
	return payload, nil
}

// next reads a whole frame with at most limit bytes.
func (r *frameReader) next(limit int) (frameType, []byte, error) {
	kind, length, err := r.header()
	if err != nil {
		return 0, nil, err
	}
	if length > limit {
		return 0, nil, errOversized.New("frame of type %d with %d bytes, limit %d", kind, length, limit)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r.src, payload); err != nil {
		return 0, nil, cut(err)
	}
	return kind, payload, nil
}

// finish checks that nothing follows.
func (r *frameReader) finish() error {
	_, err := r.src.ReadByte()
	if err == nil {
		return errMalformed.New("data after the last frame")
	}
	if !errors.Is(err, io.EOF) {
		return cut(err)
	}
	return nil
}

// cut returns the error of a stream that ended too early. It is never io.EOF.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errCut.Wrap(err)
}

// bodyReader reads a body from its frames. It returns io.EOF only after it has
// verified length and checksum.
type bodyReader struct {
	frames *frameReader
	// declared is the length in the head, or -1.
	declared int64
	rest     int // unread bytes of the present chunk
	total    uint64
	sum      xxhash.Digest
	err      error
}

func newBodyReader(frames *frameReader, declared int64) *bodyReader {
	b := &bodyReader{frames: frames, declared: declared}
	b.sum.Reset()
	return b
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for b.err == nil && b.rest == 0 {
		b.err = b.chunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.frames.src.Read(p[:min(len(p), b.rest)])
	b.rest -= n
	b.total += uint64(n)
	_, _ = b.sum.Write(p[:n])
	if err != nil {
		b.err = cut(err)
	}
	return n, b.err
}

// chunk reads the header of the next chunk, or the end of the body.
func (b *bodyReader) chunk() error {
	kind, length, err := b.frames.header()
	if err != nil {
		return err
	}
	switch kind {
	case frameChunk:
		return b.begin(length)
	case frameEnd:
		return b.end(length)
	case frameAbort:
		return errCut.New("peer could not send the body whole")
	default:
		return errMalformed.New("frame of type %d in a body", kind)
	}
}

func (b *bodyReader) begin(length int) error {
	if length == 0 {
		return errMalformed.New("empty chunk")
	}
	if length > maxChunkBytes {
		return errOversized.New("chunk of %d bytes, limit %d", length, maxChunkBytes)
	}
	if b.declared >= 0 && int64(b.total)+int64(length) > b.declared {
		return errMalformed.New("body longer than its declared %d bytes", b.declared)
	}
	b.rest = length
	return nil
}

// end verifies the whole body and returns io.EOF.
func (b *bodyReader) end(length int) error {
	if length != endBytes {
		return errMalformed.New("end frame of %d bytes", length)
	}
	var p [endBytes]byte
	if _, err := io.ReadFull(b.frames.src, p[:]); err != nil {
		return cut(err)
	}
	total, sum := binary.BigEndian.Uint64(p[:8]), binary.BigEndian.Uint64(p[8:])
	if total != b.total || sum != b.sum.Sum64() {
		return errMalformed.New("length or checksum of the body is wrong")
	}
	if b.declared >= 0 && int64(total) != b.declared {
		return errMalformed.New("body shorter than its declared %d bytes", b.declared)
	}
	if err := b.frames.finish(); err != nil {
		return err
	}
	return io.EOF
}

// chunkBuffers holds buffers for one chunk with its header.
var chunkBuffers = sync.Pool{New: func() any {
	b := make([]byte, frameHeaderBytes+sendChunkBytes)
	return &b
}}

// sendBody writes the body in chunks, with its end. For a body that fails or
// has not the declared length (-1 for any) it writes an abort in place of the
// end. It returns failures of the stream alone.
func sendBody(dst io.Writer, body io.Reader, declared int64) error {
	buffer := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buffer)
	var total uint64
	var sum xxhash.Digest
	sum.Reset()
	for {
		n, err := body.Read((*buffer)[frameHeaderBytes:])
		if n > 0 {
			total += uint64(n)
			_, _ = sum.Write((*buffer)[frameHeaderBytes : frameHeaderBytes+n])
			appendFrameHeader((*buffer)[:0], frameChunk, n)
			if _, err := dst.Write((*buffer)[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return sendAbort(dst)
		}
	}
	if declared >= 0 && total != uint64(declared) {
		return sendAbort(dst)
	}
	_, err := dst.Write(appendEnd(nil, total, sum.Sum64()))
	return err
}

// sendAbort ends a body that is not whole.
func sendAbort(dst io.Writer) error {
	_, err := dst.Write(appendFrameHeader(nil, frameAbort, 0))
	return err
}

// readWhole reads a body up to its io.EOF into a buffer that must be larger
// than the body.
func readWhole(body io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := body.Read(buffer[n:])
		n += m
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
	return n, io.ErrShortBuffer
}
