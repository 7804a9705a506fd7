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

// Version is the protocol version. Each message head contains it, and each
// handshake contains it as part of the application protocol (ALPN).
const Version = 1

// Application protocols (ALPN) of the connections between two instances. Uploads
// and key handovers use a separate connection, so that short requests share
// neither flow control nor congestion control with large bodies.
const (
	protocolShort = pki.Protocol
	protocolBulk  = "sycamoreledge-bulk/1"
)

// connClass distinguishes connections for short requests from those for bulk
// transfers.
type connClass uint8

const (
	classShort connClass = iota
	classBulk
	classCount
)

func (c connClass) protocol() string {
	if c == classBulk {
		return protocolBulk
	}
	return protocolShort
}

func connClassOf(kind work.Kind) connClass {
	if kind == work.Upload {
		return classBulk
	}
	return classShort
}

// Stream error codes. A reset with codeRefused, codeVersion or codeMalformed
// proves that the stream was not handled.
const (
	codeRefused   quic.StreamErrorCode = 1
	codeVersion   quic.StreamErrorCode = 2
	codeMalformed quic.StreamErrorCode = 3
	// codeBodyFailed resets a stream whose body could not be sent or read
	// completely.
	codeBodyFailed quic.StreamErrorCode = 4
	// codeCanceled resets a stream whose sender canceled the exchange.
	codeCanceled quic.StreamErrorCode = 5
	// codeNotNeeded tells the sender to stop sending a body that is no longer
	// needed.
	codeNotNeeded quic.StreamErrorCode = 6
)

// Connection error codes.
const (
	// codeUnused closes a connection without open streams. A stream that the
	// peer opened concurrently was not handled.
	codeUnused   quic.ApplicationErrorCode = 1
	codeShutdown quic.ApplicationErrorCode = 2
	// codeNotDeclared closes a connection right after its handshake, because the
	// peer is not a declared instance.
	codeNotDeclared quic.ApplicationErrorCode = 3
)

// expectsContinue reports whether the sender of a request holds the body back
// until the peer's handler reads it, so that after a refusal the unread body can
// be sent to another peer. Bodies of up to replay.Limit bytes are buffered by the
// sender for this purpose and sent at once.
func expectsContinue(body io.Reader, length int64) bool {
	return body != nil && (length < 0 || length > replay.Limit)
}

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Classes of refused or incomplete input, within Error. errInterrupted, whose text
// in error messages is "cut", stands for a stream that ended before its content was
// complete.
var (
	errMalformed   = errs.Class("malformed")
	errOversized   = errs.Class("oversized")
	errVersion     = errs.Class("version")
	errInterrupted = errs.Class("cut")
)

// requestHead is the payload of frameRequest, the first frame of a request.
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
	Remaining time.Duration       `cbor:"11,keyasint"` // time until the deadline
	Key       string              `cbor:"12,keyasint,omitempty"`
	Pool      work.PoolID         `cbor:"13,keyasint"`
	Origin    string              `cbor:"14,keyasint,omitempty"`
	Queue     bool                `cbor:"15,keyasint,omitempty"`
	// ExpectContinue states that the sender waits for frameContinue before it
	// sends the body.
	ExpectContinue bool `cbor:"16,keyasint,omitempty"`
}

// responseHead is the payload of frameResponse, the first frame of a response.
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

// keyHandoverHead is the payload of frameKeys, the first frame of a handover of
// idempotency keys. The encoded keys follow as a body of Length bytes.
type keyHandoverHead struct {
	Version     uint16 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Length      int64  `cbor:"3,keyasint"`
}

// keyHandoverReply acknowledges a handover, or refuses it if Error is set.
type keyHandoverReply struct {
	Version uint16 `cbor:"1,keyasint"`
	Error   string `cbor:"2,keyasint,omitempty"`
}

// Limits of decoded CBOR values.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecMode returns a mode that accepts strings with invalid UTF-8, because
// header values of callers and upstreams may contain any bytes.
func mustDecMode() cbor.DecMode {
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

// decode decodes a CBOR value. Its errors are of the class errMalformed.
func decode(data []byte, value any) error {
	if err := decMode.Unmarshal(data, value); err != nil {
		// The cause is not wrapped, since it may be io.EOF, which callers take as
		// the end of a body.
		return errMalformed.New("%v", err)
	}
	return nil
}

// checkVersion returns an error of the class errVersion for a version other than
// Version.
func checkVersion(version uint16) error {
	if version != Version {
		return errVersion.New("peer sent protocol version %d, expected %d", version, Version)
	}
	return nil
}

// newRequestHead returns the head of a request whose deadline is remaining away.
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
		head.ExpectContinue = expectsContinue(req.Body, req.Length)
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
		return nil, errMalformed.New("unknown role %d in request head", head.Role)
	}
	switch head.Kind {
	case work.Lookup, work.Order, work.Upload:
	default:
		return nil, errMalformed.New("unknown kind %q in request head", head.Kind)
	}
	if head.Service == "" || head.Remaining <= 0 || head.Length < -1 {
		return nil, errMalformed.New("request head without a service, without remaining time, or with an invalid body length")
	}
	return &head, nil
}

// request returns the request without its body. Its deadline is the remaining
// time after now.
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
		return nil, errMalformed.New("response head with an unknown outcome or an invalid body length")
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
