package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/work"
)

// seedStreams returns the seed inputs of the fuzzer: well-formed streams, an
// oversized frame and an empty stream.
func seedStreams(t testing.TB) [][]byte {
	t.Helper()
	req := &work.Request{Service: "status", Kind: work.Lookup, Body: bytes.NewReader(nil), Length: 5}
	head, err := encMode.Marshal(newRequestHead(RolePool, req, 1))
	if err != nil {
		t.Fatal(err)
	}
	respHead, err := encMode.Marshal(newResponseHead(work.Refuse(work.ReasonQueueFull, 1)))
	if err != nil {
		t.Fatal(err)
	}
	message, err := encMode.Marshal(control.Message{From: "a", Heartbeat: &control.Heartbeat{}})
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{
		appendBody(appendFrame(nil, frameRequest, head), []byte("hello")),
		appendFrame(nil, frameResponse, respHead),
		appendFrame(nil, frameControl, message),
		appendFrame(appendFrame(nil, frameRequest, head), frameAbort, nil),
		{byte(frameRequest), 0xff, 0xff, 0xff, 0xff},
		{},
	}
}

// FuzzStream reads arbitrary bytes as a stream: nothing may panic or exceed the
// limits, and a body that was read up to io.EOF must be the same after it is sent
// and read again.
func FuzzStream(f *testing.F) {
	for _, seed := range seedStreams(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 12
		frames := newFrameReader(iotest.OneByteReader(bytes.NewReader(data)))
		kind, payload, err := frames.readFrame(limit)
		if err != nil {
			expectRefusal(t, err)
			return
		}
		if len(payload) > limit {
			t.Fatalf("payload of %d bytes exceeds the limit but was accepted", len(payload))
		}
		parsePayload(t, kind, payload)
		body, err := io.ReadAll(newBodyReader(frames, -1))
		if err != nil {
			expectRefusal(t, err)
			return
		}
		expectRoundTrip(t, body)
	})
}

// parsePayload decodes a payload as its frame type demands.
func parsePayload(t *testing.T, kind frameType, payload []byte) {
	var msg control.Message
	var err error
	switch kind {
	case frameRequest:
		_, err = parseRequestHead(payload)
	case frameResponse:
		_, err = parseResponseHead(payload)
	case frameKeys:
		_, err = parseKeyHandoverHead(payload, 1<<20)
	default:
		err = decode(payload, &msg)
	}
	if err != nil {
		expectRefusal(t, err)
	}
}

// expectRefusal checks that the error belongs to a class of refused or incomplete
// input and does not match io.EOF.
func expectRefusal(t *testing.T, err error) {
	t.Helper()
	if errors.Is(err, io.EOF) {
		t.Fatalf("error of refused input matches io.EOF, the end of a body: %v", err)
	}
	if !errMalformed.Has(err) && !errOversized.Has(err) && !errVersion.Has(err) && !errInterrupted.Has(err) {
		t.Fatalf("error does not belong to a class of refused input: %v", err)
	}
}

// expectRoundTrip sends the body and reads it back. Without its last byte, reading
// the encoded body must fail.
func expectRoundTrip(t *testing.T, body []byte) {
	t.Helper()
	var encoded bytes.Buffer
	if err := sendBody(&encoded, bytes.NewReader(body), int64(len(body))); err != nil {
		t.Fatal(err)
	}
	decoded, err := io.ReadAll(newBodyReader(newFrameReader(bytes.NewReader(encoded.Bytes())), int64(len(body))))
	if err != nil || !bytes.Equal(decoded, body) {
		t.Fatalf("body differs after sending and reading, or reading failed: %v", err)
	}
	truncated := encoded.Bytes()[:encoded.Len()-1]
	if _, err := io.ReadAll(newBodyReader(newFrameReader(bytes.NewReader(truncated)), -1)); err == nil {
		t.Fatal("truncated body was accepted as complete")
	}
}
