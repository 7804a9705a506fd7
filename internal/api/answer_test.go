package api_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/api"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/work"
)

// brokenBody gives some bytes and then the error.
func brokenBody(n int, err error) io.Reader {
	return io.MultiReader(bytes.NewReader(bytes.Repeat([]byte("x"), n)), failing{err})
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

var errSource = errors.New("source failed")

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// answerShapes are all the ways in which an answer is sent: by its length, by
// whether that is known, and by the version of HTTP.
var answerShapes = []struct {
	name   string
	size   int // bytes that the source gives
	length int64
	proto  string
}{
	{"empty, known", 0, 0, "HTTP/1.1"},
	{"short, known", 10, 10, "HTTP/1.1"},
	{"held bound, known", 64 * kilobyte, 64 * kilobyte, "HTTP/1.1"},
	{"long, known", 3 * megabyte, 3 * megabyte, "HTTP/1.1"},
	{"long, known, HTTP/1.0", 3 * megabyte, 3 * megabyte, "HTTP/1.0"},
	{"empty, unknown", 0, -1, "HTTP/1.1"},
	{"short, unknown", 10 * kilobyte, -1, "HTTP/1.1"},
	{"held bound, unknown", megabyte, -1, "HTTP/1.1"},
	{"long, unknown", 3 * megabyte, -1, "HTTP/1.1"},
	{"short, unknown, HTTP/1.0", 10 * kilobyte, -1, "HTTP/1.0"},
}

func TestWholeAnswersArriveWhole(t *testing.T) {
	for _, tc := range answerShapes {
		t.Run(tc.name, func(t *testing.T) {
			g := expect(t)
			body := bytes.Repeat([]byte("0123456789abcdef"), tc.size/16+1)[:tc.size]
			_, address := start(t, func(context.Context, *work.Request) *work.Response {
				return ran(bytes.NewReader(body), tc.length)
			}, nil)
			got := exchange(t, address, "GET /v1/services/status/x "+tc.proto)
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(http.StatusOK))
			g.Expect(got.header.Get("Outcome")).To(gomega.Equal("run"))
			g.Expect(bytes.Equal(got.body, body)).To(gomega.BeTrue(), "%d bytes of %d", len(got.body), len(body))
		})
	}
}

// TestCutAnswersNeverLookWhole breaks every shape of answer at its beginning,
// in the middle and at its very end, where only the error says that the
// checksum was wrong.
func TestCutAnswersNeverLookWhole(t *testing.T) {
	for _, tc := range answerShapes {
		for _, at := range []struct {
			name string
			size int
		}{{"at once", 0}, {"in the middle", tc.size / 2}, {"at the end", tc.size}} {
			t.Run(tc.name+", "+at.name, func(t *testing.T) {
				g := expect(t)
				events := event.Discard()
				_, address := start(t, func(context.Context, *work.Request) *work.Response {
					return ran(brokenBody(at.size, errSource), tc.length)
				}, func(o *api.CallersOptions) { o.Events = events })
				c := dial(t, address)
				c.send(t, "GET /v1/services/status/x "+tc.proto+"\r\nHost: test\r\n\r\n")
				got := c.receive(http.MethodGet)
				if got.err != nil {
					g.Expect(events.Count(event.AnswerCut)).To(gomega.BeEquivalentTo(1))
					g.Expect(c.closed()).To(gomega.BeTrue())
					return
				}
				g.Expect(got.header.Get("Outcome")).To(gomega.Equal("unknown"))
				g.Expect(got.header.Get("Outcome-Reason")).To(gomega.Equal("upstream_broken"))
				g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
			})
		}
	}
}

func TestWrongLengthsNeverLookWhole(t *testing.T) {
	cases := []struct {
		name   string
		size   int
		length int64
	}{
		{"short, too few", 9, 10},
		{"short, too many", 11, 10},
		{"long, too few", 2 * megabyte, 2*megabyte + 1},
		{"long, too many", 2*megabyte + 1, 2 * megabyte},
		{"long, far too many", 4 * megabyte, 2 * megabyte},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := expect(t)
			_, address := start(t, func(context.Context, *work.Request) *work.Response {
				return ran(bytes.NewReader(make([]byte, tc.size)), tc.length)
			}, nil)
			got := exchange(t, address, "GET /v1/services/status/x HTTP/1.1")
			whole := got.err == nil && got.header.Get("Outcome") == "run"
			g.Expect(whole).To(gomega.BeFalse())
		})
	}
}

func TestUnknownLengthToHTTP10IsToldInWords(t *testing.T) {
	g := expect(t)
	_, address := start(t, func(context.Context, *work.Request) *work.Response {
		return ran(bytes.NewReader(make([]byte, 2*megabyte)), -1)
	}, nil)
	got := exchange(t, address, "GET /v1/services/status/x HTTP/1.0")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
}

func TestAnswersWithoutBody(t *testing.T) {
	cases := []struct {
		name, method string
		status       int
		length       int64
		wantLength   string
	}{
		{"HEAD keeps the length", http.MethodHead, 200, 1234, "1234"},
		{"204", http.MethodGet, 204, 0, ""},
		{"304", http.MethodGet, 304, 0, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := expect(t)
			_, address := start(t, func(context.Context, *work.Request) *work.Response {
				r := ran(http.NoBody, tc.length)
				r.Status = tc.status
				return r
			}, nil)
			c := dial(t, address)
			for range 2 { // the connection stays usable
				c.send(t, tc.method+" /v1/services/status/x HTTP/1.1\r\nHost: test\r\n\r\n")
				got := c.receive(tc.method)
				g.Expect(got.err).NotTo(gomega.HaveOccurred())
				g.Expect(got.status).To(gomega.Equal(tc.status))
				g.Expect(got.header.Get("Content-Length")).To(gomega.Equal(tc.wantLength))
			}
		})
	}
}

func TestInvalidStatusOfAnUpstreamIsBroken(t *testing.T) {
	for _, status := range []int{0, 101, 1000} {
		g := expect(t)
		_, address := start(t, func(context.Context, *work.Request) *work.Response {
			r := ranText("x")
			r.Status = status
			return r
		}, nil)
		got := exchange(t, address, "GET /v1/services/status/x HTTP/1.1")
		g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
	}
}

func TestHeaderOfAnAnswer(t *testing.T) {
	g := expect(t)
	_, address := start(t, func(context.Context, *work.Request) *work.Response {
		r := ranText("x")
		r.Header = http.Header{
			"Set-Cookie": {"a=1; Path=/a", "a=2; Path=/b"}, "X-Own": {"1", "2"}, "Retry-After": {"7"},
			"Connection": {"X-Secret"}, "X-Secret": {"s"}, "Transfer-Encoding": {"chunked"},
			"Outcome": {"not-run"}, "Upstream": {"forged"}, "Content-Length": {"99"}, "Work-Not-Run": {"true"},
		}
		return r
	}, nil)
	got := exchange(t, address, "GET /v1/services/status/x HTTP/1.1")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.header["Set-Cookie"]).To(gomega.Equal([]string{"a=1; Path=/a", "a=2; Path=/b"}))
	g.Expect(got.header["X-Own"]).To(gomega.Equal([]string{"1", "2"}))
	g.Expect(got.header.Get("Retry-After")).To(gomega.Equal("7"))
	g.Expect(got.header["Outcome"]).To(gomega.Equal([]string{"run"}))
	g.Expect(got.header["Upstream"]).To(gomega.Equal([]string{"u1"}))
	for _, name := range []string{"X-Secret", "Connection", "Work-Not-Run", "Content-Type"} {
		g.Expect(got.header).NotTo(gomega.HaveKey(name))
	}
	g.Expect(string(got.body)).To(gomega.Equal("x"))
}

func TestOutcomesAsStatusAndHeader(t *testing.T) {
	cases := []struct {
		response *work.Response
		status   int
		retry    string // Retry-After and Retry-After-Ms
	}{
		{work.Refuse(work.ReasonHeadroom, 0), 503, "1 50"},
		{work.Refuse(work.ReasonNoUpstream, 1200e6), 503, "2 1200"},
		{work.Refuse(work.ReasonQueueFull, 80e6), 429, "1 80"},
		{work.Refuse(work.ReasonShiftCap, 0), 429, "1 50"},
		{work.Refuse(work.ReasonLinkCap, 0), 429, "1 50"},
		{work.Refuse(work.ReasonBadRequest, 0), 400, " "},
		{work.Refuse(work.ReasonKeyInvalid, 0), 400, " "},
		{work.Refuse(work.ReasonUnknownService, 0), 404, " "},
		{work.Refuse(work.ReasonKeyConflict, 0), 409, " "},
		{work.Refuse(work.ReasonKeyExpired, 0), 410, " "},
		{work.UnknownOutcome(work.ReasonDeadline), 504, " "},
		{work.UnknownOutcome(work.ReasonHomeUnreachable), 504, " "},
		{work.UnknownOutcome(work.ReasonUpstreamBroken), 502, " "},
		{work.UnknownOutcome(work.ReasonPeerBroken), 502, " "},
		{work.UnknownOutcome(work.ReasonKeyConflict), 409, " "},
		{work.UnknownOutcome(work.ReasonKeyExpired), 410, " "},
	}
	for _, tc := range cases {
		t.Run(string(tc.response.Reason), func(t *testing.T) {
			g := expect(t)
			_, address := start(t, func(context.Context, *work.Request) *work.Response { return tc.response }, nil)
			got := exchange(t, address, "GET /v1/services/status/x HTTP/1.1")
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(tc.status))
			g.Expect(got.header.Get("Outcome")).To(gomega.Equal(tc.response.Outcome.String()))
			g.Expect(got.header.Get("Outcome-Reason")).To(gomega.Equal(string(tc.response.Reason)))
			g.Expect(got.header.Get("Request-Id")).To(gomega.MatchRegexp("^[0-9a-f]{32}$"))
			retry := strings.Join([]string{got.header.Get("Retry-After"), got.header.Get("Retry-After-Ms")}, " ")
			g.Expect(retry).To(gomega.Equal(tc.retry))
			g.Expect(string(got.body)).To(gomega.ContainSubstring(`"reason":"` + string(tc.response.Reason) + `"`))
		})
	}
}
