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

// seedFrames are well-formed streams, from which the fuzzer starts.
func seedFrames(t testing.TB) [][]byte {
	t.Helper()
	req := &work.Request{Service: "status", Kind: work.Lookup, Body: bytes.NewReader(nil), Length: 5}
	head, err := encoding.Marshal(newRequestHead(RolePool, req, 1))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := encoding.Marshal(newResponseHead(work.Refuse(work.ReasonQueueFull, 1)))
	if err != nil {
		t.Fatal(err)
	}
	message, err := encoding.Marshal(control.Message{From: "a", Heartbeat: &control.Heartbeat{}})
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{
		appendBody(appendFrame(nil, frameRequest, head), []byte("hello")),
		appendFrame(nil, frameResponse, answer),
		appendFrame(nil, frameControl, message),
		appendFrame(appendFrame(nil, frameRequest, head), frameAbort, nil),
		{byte(frameRequest), 0xff, 0xff, 0xff, 0xff},
		{},
	}
}

// FuzzStream reads any bytes as a stream: nothing may panic or allocate beyond
// the limits, and a body that reports io.EOF must encode to the same bytes.
func FuzzStream(f *testing.F) {
	for _, seed := range seedFrames(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 12
		frames := newFrameReader(iotest.OneByteReader(bytes.NewReader(data)))
		kind, payload, err := frames.next(limit)
		if err != nil {
			expectRefusal(t, err)
			return
		}
		if len(payload) > limit {
			t.Fatalf("frame of %d bytes passed the limit", len(payload))
		}
		parsePayload(t, kind, payload)
		body, err := io.ReadAll(newBodyReader(frames, -1))
		if err != nil {
			expectRefusal(t, err)
			return
		}
		expectSameBody(t, body)
	})
}

// parsePayload decodes a payload in the ways in which it may be taken.
func parsePayload(t *testing.T, kind frameType, payload []byte) {
	var msg control.Message
	var err error
	switch kind {
	case frameRequest:
		_, err = parseRequestHead(payload)
	case frameResponse:
		_, err = parseResponseHead(payload)
	case frameKeys:
		_, err = parseKeysHead(payload, 1<<20)
	default:
		err = decode(payload, &msg)
	}
	if err != nil {
		expectRefusal(t, err)
	}
}

// expectRefusal checks that the error belongs to a class that peers are told.
func expectRefusal(t *testing.T, err error) {
	t.Helper()
	if errors.Is(err, io.EOF) {
		t.Fatalf("a refusal looks like the end of a body: %v", err)
	}
	if !errMalformed.Has(err) && !errOversized.Has(err) && !errVersion.Has(err) && !errCut.Has(err) {
		t.Fatalf("error without a class: %v", err)
	}
}

// expectSameBody sends the body anew and reads it back, whole and cut.
func expectSameBody(t *testing.T, body []byte) {
	t.Helper()
	var wire bytes.Buffer
	if err := sendBody(&wire, bytes.NewReader(body), int64(len(body))); err != nil {
		t.Fatal(err)
	}
	again, err := io.ReadAll(newBodyReader(newFrameReader(bytes.NewReader(wire.Bytes())), int64(len(body))))
	if err != nil || !bytes.Equal(again, body) {
		t.Fatalf("body changed on its way: %v", err)
	}
	cutWire := wire.Bytes()[:wire.Len()-1]
	if _, err := io.ReadAll(newBodyReader(newFrameReader(bytes.NewReader(cutWire)), -1)); err == nil {
		t.Fatal("a cut body passed as whole")
	}
}
