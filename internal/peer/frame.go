package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// frameType identifies the payload of a frame.
type frameType uint8

const (
	frameRequest   frameType = 1
	frameResponse  frameType = 2
	frameChunk     frameType = 3 // part of a body
	frameEnd       frameType = 4 // length and checksum of a body
	frameControl   frameType = 5
	frameKeys      frameType = 6
	frameKeysReply frameType = 7
	frameAbort     frameType = 8 // ends a body that the sender could not read completely
	frameContinue  frameType = 9 // asks for the body of a request with ExpectContinue
)

// A frame consists of its type (1 byte), the length of the payload (4 bytes, big
// endian) and the payload.
const (
	frameHeaderBytes = 5
	// endPayloadBytes is the length of the payload of frameEnd: total length and
	// xxhash64 of the body, 8 bytes each, big endian.
	endPayloadBytes = 16
	// sendChunkBytes is the largest chunk that is sent, maxChunkBytes the largest
	// that is accepted.
	sendChunkBytes = 32 << 10
	maxChunkBytes  = 64 << 10
	// readBufferBytes is the size of the read buffer of each stream.
	readBufferBytes = 4 << 10
)

func appendFrameHeader(b []byte, kind frameType, length int) []byte {
	b = append(b, byte(kind))
	return binary.BigEndian.AppendUint32(b, uint32(length))
}

// appendFrame appends a frame: header and payload.
func appendFrame(b []byte, kind frameType, payload []byte) []byte {
	b = appendFrameHeader(b, kind, len(payload))
	return append(b, payload...)
}

// appendEnd appends the frameEnd of a body with the given length and checksum.
func appendEnd(b []byte, total, checksum uint64) []byte {
	b = appendFrameHeader(b, frameEnd, endPayloadBytes)
	b = binary.BigEndian.AppendUint64(b, total)
	return binary.BigEndian.AppendUint64(b, checksum)
}

// appendBody appends the frames of a body in memory: its chunks and frameEnd.
func appendBody(b, body []byte) []byte {
	for remaining := body; len(remaining) > 0; {
		chunk := remaining[:min(len(remaining), sendChunkBytes)]
		b = appendFrame(b, frameChunk, chunk)
		remaining = remaining[len(chunk):]
	}
	return appendEnd(b, uint64(len(body)), xxhash.Sum64(body))
}

type frameReader struct {
	src *bufio.Reader
}

func newFrameReader(src io.Reader) *frameReader {
	return &frameReader{src: bufio.NewReaderSize(src, readBufferBytes)}
}

// readHeader reads the header of the next frame and returns the type of the
// frame and the length of its payload in bytes.
func (r *frameReader) readHeader() (frameType, int, error) {
	var b [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.src, b[:]); err != nil {
		return 0, 0, interrupted(err)
	}
	length := binary.BigEndian.Uint32(b[1:])
	return frameType(b[0]), int(length), nil
}

// readExpected reads a frame and returns its payload. It fails if the type is not
// want or the payload is longer than limit bytes.
func (r *frameReader) readExpected(want frameType, limit int) ([]byte, error) {
	kind, payload, err := r.readFrame(limit)
	if err != nil {
		return nil, err
	}
	if kind != want {
		return nil, errMalformed.New("got a frame of type %d, expected type %d", kind, want)
	}
	return payload, nil
}

// readFrame reads a frame and returns its type and payload. It fails before it
// allocates memory if the payload is longer than limit bytes.
func (r *frameReader) readFrame(limit int) (frameType, []byte, error) {
	kind, length, err := r.readHeader()
	if err != nil {
		return 0, nil, err
	}
	if length > limit {
		return 0, nil, errOversized.New("frame of type %d has a payload of %d bytes, the limit is %d bytes", kind, length, limit)
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(r.src, payload); err != nil {
		return 0, nil, interrupted(err)
	}
	return kind, payload, nil
}

// expectEOF returns an error if the stream has not ended.
func (r *frameReader) expectEOF() error {
	_, err := r.src.ReadByte()
	if err == nil {
		return errMalformed.New("unexpected data after the last frame of the stream")
	}
	if !errors.Is(err, io.EOF) {
		return interrupted(err)
	}
	return nil
}

// interrupted returns err as an error of the class errInterrupted, for a stream
// that ended before its content was complete. The result never matches io.EOF.
func interrupted(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errInterrupted.Wrap(err)
}

// bodyReader reads a body from its frames. It returns io.EOF only after it has
// verified the length and the checksum.
type bodyReader struct {
	frames *frameReader
	// declared is the length in bytes that the head states, or -1 if unknown.
	declared       int64
	chunkRemaining int // unread bytes of the current chunk
	received       uint64
	checksum       xxhash.Digest
	err            error
}

func newBodyReader(frames *frameReader, declared int64) *bodyReader {
	b := &bodyReader{frames: frames, declared: declared}
	b.checksum.Reset()
	return b
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for b.err == nil && b.chunkRemaining == 0 {
		b.err = b.nextChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.frames.src.Read(p[:min(len(p), b.chunkRemaining)])
	b.chunkRemaining -= n
	b.received += uint64(n)
	_, _ = b.checksum.Write(p[:n])
	if err != nil {
		b.err = interrupted(err)
	}
	return n, b.err
}

// nextChunk reads the header of the next chunk. At the end of a valid body it
// returns io.EOF.
func (b *bodyReader) nextChunk() error {
	kind, length, err := b.frames.readHeader()
	if err != nil {
		return err
	}
	switch kind {
	case frameChunk:
		return b.beginChunk(length)
	case frameEnd:
		return b.verifyEnd(length)
	case frameAbort:
		return errInterrupted.New("peer aborted the body because it could not read it completely")
	default:
		return errMalformed.New("unexpected frame of type %d in a body", kind)
	}
}

func (b *bodyReader) beginChunk(length int) error {
	if length == 0 {
		return errMalformed.New("chunk of 0 bytes in a body")
	}
	if length > maxChunkBytes {
		return errOversized.New("chunk of %d bytes, the limit is %d bytes", length, maxChunkBytes)
	}
	if b.declared >= 0 && int64(b.received)+int64(length) > b.declared {
		return errMalformed.New("body is longer than its declared length of %d bytes", b.declared)
	}
	b.chunkRemaining = length
	return nil
}

// verifyEnd reads the payload of frameEnd, whose header states the given length.
// It returns io.EOF if the length and checksum of the body are correct and the
// stream ends here.
func (b *bodyReader) verifyEnd(length int) error {
	if length != endPayloadBytes {
		return errMalformed.New("end frame has an unexpected payload length of %d bytes", length)
	}
	var p [endPayloadBytes]byte
	if _, err := io.ReadFull(b.frames.src, p[:]); err != nil {
		return interrupted(err)
	}
	total, checksum := binary.BigEndian.Uint64(p[:8]), binary.BigEndian.Uint64(p[8:])
	if total != b.received || checksum != b.checksum.Sum64() {
		return errMalformed.New("received body does not match the length or checksum in its end frame")
	}
	if b.declared >= 0 && int64(total) != b.declared {
		return errMalformed.New("body is shorter than its declared length of %d bytes", b.declared)
	}
	if err := b.frames.expectEOF(); err != nil {
		return err
	}
	return io.EOF
}

// chunkBuffers holds buffers of the size of one sent chunk with its header.
var chunkBuffers = sync.Pool{New: func() any {
	b := make([]byte, frameHeaderBytes+sendChunkBytes)
	return &b
}}

// sendBody writes the body in chunks, followed by frameEnd. If reading the body
// fails, or it does not have the declared length (-1 accepts any length),
// frameAbort is written instead of frameEnd. Only errors of writing to dst are
// returned.
func sendBody(dst io.Writer, body io.Reader, declared int64) error {
	buffer := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buffer)
	var total uint64
	var checksum xxhash.Digest
	checksum.Reset()
	for {
		n, err := body.Read((*buffer)[frameHeaderBytes:])
		if n > 0 {
			total += uint64(n)
			_, _ = checksum.Write((*buffer)[frameHeaderBytes : frameHeaderBytes+n])
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
	_, err := dst.Write(appendEnd(nil, total, checksum.Sum64()))
	return err
}

// sendAbort writes frameAbort, which ends an incomplete body.
func sendAbort(dst io.Writer) error {
	_, err := dst.Write(appendFrameHeader(nil, frameAbort, 0))
	return err
}

// readAllInto reads a body up to its io.EOF and returns its length in bytes. The
// buffer must be longer than the body; otherwise it returns io.ErrShortBuffer.
func readAllInto(body io.Reader, buffer []byte) (int, error) {
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
