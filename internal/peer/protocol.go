package peer

import (
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/replay"
	"sycamoreledge.example/internal/work"
)

// Version is the version of the messages. It stands in each head and, as part
// of the application protocol, in each handshake.
const Version = 1

// Application protocols (ALPN) of the connections between two instances. Large
// bodies travel on a connection of their own, so that short requests share
// neither flow control nor congestion control with them.
const (
	protocolShort = pki.Protocol
	protocolBulk  = "sycamoreledge-bulk/1"
)

// class selects the connection that a stream belongs to.
type class uint8

const (
	classShort class = iota
	classBulk
	classCount
)

func (c class) protocol() string {
	if c == classBulk {
		return protocolBulk
	}
	return protocolShort
}

func classOf(kind work.Kind) class {
	if kind == work.Upload {
		return classBulk
	}
	return classShort
}

// Stream error codes. A stream that was reset with one of the first three was
// not handled.
const (
	codeRefused   quic.StreamErrorCode = 1
	codeVersion   quic.StreamErrorCode = 2
	codeMalformed quic.StreamErrorCode = 3
	// codeBroken ends a body that could not be sent or read whole.
	codeBroken quic.StreamErrorCode = 4
	// codeCanceled ends a stream whose sender gave up.
	codeCanceled quic.StreamErrorCode = 5
	// codeDone stops the sending of a body that is no longer needed.
	codeDone quic.StreamErrorCode = 6
)

// Connection error codes.
const (
	// codeIdle closes a connection with no stream in use: a stream that was
	// opened at the same time was not handled.
	codeIdle     quic.ApplicationErrorCode = 1
	codeShutdown quic.ApplicationErrorCode = 2
	// codeUnwanted refuses a connection right after its handshake.
	codeUnwanted quic.ApplicationErrorCode = 3
)

// holds reports whether the body of a request waits until the peer reads it, so
// that a refusal leaves it whole for another peer. Smaller bodies are kept by the
// sender for that.
func holds(body io.Reader, length int64) bool {
	return body != nil && (length < 0 || length > replay.Limit)
}

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Classes of refused input, within Error.
var (
	errMalformed = errs.Class("malformed")
	errOversized = errs.Class("oversized")
	errVersion   = errs.Class("version")
	errCut       = errs.Class("cut")
)

// requestHead opens a request.
type requestHead struct {
	Version   uint16              `cbor:"1,keyasint"`
	Role      Role                `cbor:"2,keyasint"`
	ID        string              `cbor:"3,keyasint"`
	Service   string              `cbor:"4,keyasint"`
	Kind      work.Kind           `cbor:"5,keyasint"`
	Method    string              `cbor:"6,keyasint"`
	Path      string              `cbor:"7,keyasint"`
	Header    map[string][]string `cbor:"8,keyasint,omitempty"`
	Length    int64               `cbor:"9,keyasint"`
	HasBody   bool                `cbor:"10,keyasint,omitempty"`
	Remaining time.Duration       `cbor:"11,keyasint"` // until the deadline
	Key       string              `cbor:"12,keyasint,omitempty"`
	Pool      work.PoolID         `cbor:"13,keyasint"`
	Origin    string              `cbor:"14,keyasint,omitempty"`
	Queue     bool                `cbor:"15,keyasint,omitempty"`
	// Hold says that the body follows only after frameContinue.
	Hold bool `cbor:"16,keyasint,omitempty"`
}

// responseHead opens a response.
type responseHead struct {
	Version    uint16              `cbor:"1,keyasint"`
	Outcome    work.Outcome        `cbor:"2,keyasint"`
	Reason     work.Reason         `cbor:"3,keyasint,omitempty"`
	Status     int                 `cbor:"4,keyasint,omitempty"`
	Header     map[string][]string `cbor:"5,keyasint,omitempty"`
	HasBody    bool                `cbor:"6,keyasint,omitempty"`
	Length     int64               `cbor:"7,keyasint,omitempty"`
	RetryAfter time.Duration       `cbor:"8,keyasint,omitempty"`
	Upstream   string              `cbor:"9,keyasint,omitempty"`
	Explain    string              `cbor:"10,keyasint,omitempty"`
}

// keysHead opens a handover of idempotency keys; the value follows as a body.
type keysHead struct {
	Version     uint16 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Length      int64  `cbor:"3,keyasint"`
}

// keysReply acknowledges a handover, or refuses it with an error.
type keysReply struct {
	Version uint16 `cbor:"1,keyasint"`
	Error   string `cbor:"2,keyasint,omitempty"`
}

// Bounds of decoded CBOR values.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecoding accepts strings that are not UTF-8, because header values of
// callers and upstreams need not be.
func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		UTF8:             cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decode reads a CBOR value.
func decode(data []byte, value any) error {
	if err := decoding.Unmarshal(data, value); err != nil {
		// The cause is not wrapped: it may be io.EOF, which ends bodies.
		return errMalformed.New("%v", err)
	}
	return nil
}

// checkVersion refuses messages of another version.
func checkVersion(version uint16) error {
	if version != Version {
		return errVersion.New("peer speaks version %d, not %d", version, Version)
	}
	return nil
}

// newRequestHead describes the request with the time that remains for it.
func newRequestHead(role Role, req *work.Request, remaining time.Duration) requestHead {
	head := requestHead{
		Version:   Version,
		Role:      role,
		ID:        req.ID,
		Service:   req.Service,
		Kind:      req.Kind,
		Method:    req.Method,
		Path:      req.Path,
		Header:    req.Header,
		Remaining: remaining,
		Key:       req.Key,
		Pool:      req.Pool,
		Origin:    req.Origin,
		Queue:     req.Queue,
	}
	if req.Body != nil {
		head.HasBody = true
		head.Length = req.Length
		head.Hold = holds(req.Body, req.Length)
	}
	return head
}

// parseRequestHead decodes and validates the head of a request.
func parseRequestHead(data []byte) (*requestHead, error) {
	var head requestHead
	if err := decode(data, &head); err != nil {
		return nil, err
	}
	if err := checkVersion(head.Version); err != nil {
		return nil, err
	}
	if head.Role != RolePool && head.Role != RoleHome {
		return nil, errMalformed.New("unknown role %d", head.Role)
	}
	switch head.Kind {
	case work.Lookup, work.Order, work.Upload:
	default:
		return nil, errMalformed.New("unknown kind %q", head.Kind)
	}
	if head.Service == "" || head.Remaining <= 0 || head.Length < -1 {
		return nil, errMalformed.New("incomplete request head")
	}
	return &head, nil
}

// request returns the request that the peer asks to be run.
func (h *requestHead) request(sender string, now time.Time) *work.Request {
	return &work.Request{
		ID:       h.ID,
		Service:  h.Service,
		Kind:     h.Kind,
		Method:   h.Method,
		Path:     h.Path,
		Header:   h.Header,
		Length:   h.Length,
		Deadline: now.Add(h.Remaining),
		Key:      h.Key,
		Pool:     h.Pool,
		Origin:   h.Origin,
		Sender:   sender,
		Queue:    h.Queue,
	}
}

// newResponseHead describes the response.
func newResponseHead(resp *work.Response) responseHead {
	return responseHead{
		Version:    Version,
		Outcome:    resp.Outcome,
		Reason:     resp.Reason,
		Status:     resp.Status,
		Header:     resp.Header,
		HasBody:    resp.Body != nil,
		Length:     resp.Length,
		RetryAfter: resp.RetryAfter,
		Upstream:   resp.Upstream,
		Explain:    resp.Explain,
	}
}

// parseResponseHead decodes and validates the head of a response.
func parseResponseHead(data []byte) (*responseHead, error) {
	var head responseHead
	if err := decode(data, &head); err != nil {
		return nil, err
	}
	if err := checkVersion(head.Version); err != nil {
		return nil, err
	}
	if head.Outcome < work.Run || head.Outcome > work.Unknown || head.Length < -1 {
		return nil, errMalformed.New("invalid response head")
	}
	return &head, nil
}

// response returns the response without its body.
func (h *responseHead) response() *work.Response {
	return &work.Response{
		Outcome:    h.Outcome,
		Reason:     h.Reason,
		Status:     h.Status,
		Header:     h.Header,
		Length:     h.Length,
		RetryAfter: h.RetryAfter,
		Upstream:   h.Upstream,
		Explain:    h.Explain,
	}
}
