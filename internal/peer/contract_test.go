package peer_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/peer"
	"sycamoreledge.example/internal/work"
)

// contract is the test suite that every Transport must pass, by subtest name.
var contract = map[string]func(*testing.T, gomega.Gomega, network){
	"request and response arrive unchanged":              testRoundTrip,
	"a refusal is passed through":                        testRefusalPassedThrough,
	"bodies of all sizes arrive complete":                testBodySizes,
	"concurrent requests get their own responses":        testConcurrentRequests,
	"a failing request body fails in the handler":        testRequestBodyFails,
	"a request body of the wrong length fails":           testRequestBodyLengthMismatch,
	"a failing response body fails at the sender":        testResponseBodyFails,
	"a refusal arrives before the body is sent":          testRefusalBeforeBody,
	"cancellation reaches the handler":                   testCancellation,
	"closing the response body early cancels":            testResponseClosedEarly,
	"the deadline reaches the handler":                   testDeadline,
	"a passed deadline is refused":                       testPassedDeadline,
	"a refusal leaves a large body unread":               testLargeBodyRefused,
	"a large body arrives complete when it is read":      testLargeBodyRead,
	"a handler that ignores its deadline does not block": testHandlerIgnoresDeadline,
	"an unknown peer is unreachable":                     testUnknownPeer,
	"a cut before the request gives not run":             testCutBeforeRequest,
	"a cut while the request runs gives unknown":         testCutWhileRunning,
	"a lost response gives unknown":                      testResponseLost,
	"a cut during a response body fails the body":        testCutResponseBody,
	"a cut during a request body fails the body":         testCutRequestBody,
	"requests run again after a cut is healed":           testCutHealed,
	"requests run again after a peer restart":            testPeerRestart,
	"a key handover is acknowledged":                     testKeyHandover,
	"a refused key handover is an error":                 testKeyHandoverRefused,
	"control messages of all sizes arrive":               testControlSizes,
	"a control message with a wrong sender is dropped":   testWrongSender,
}

func TestContract(t *testing.T) {
	fixtures := map[string]func(*testing.T) network{"memory": newMemoryFixture, "quic": newQUICFixture}
	for name, fixture := range fixtures {
		t.Run(name, func(t *testing.T) {
			for title, check := range contract {
				t.Run(title, func(t *testing.T) {
					t.Parallel()
					check(t, gomega.NewWithT(t), fixture(t))
				})
			}
		})
	}
}

// startPair starts node b with the function as its handler and node a as the
// sender of requests, which it returns.
func startPair(n network, serveWork func(context.Context, peer.Role, *work.Request) *work.Response) peer.Transport {
	n.start("b", 1, handler{serve: serveWork})
	return n.start("a", 1, handler{})
}

func echo(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	return textResponse(string(data))
}

func testRoundTrip(_ *testing.T, g gomega.Gomega, n network) {
	handled := make(chan work.Request, 1)
	a := startPair(n, func(_ context.Context, role peer.Role, req *work.Request) *work.Response {
		g.Expect(role).To(gomega.Equal(peer.RoleHome))
		handled <- *req
		resp := textResponse("answer")
		resp.Status, resp.Upstream, resp.Explain = 201, "u1", "because"
		resp.Header = http.Header{"X-Two": {"1", "2"}, "X-Bytes": {"\xff\xfe"}}
		return resp
	})
	sent := lookupRequest(nil, 0)
	sent.Kind, sent.Key, sent.Origin, sent.Queue = work.Order, "k", "zone-1", true
	sent.Pool = work.PoolID{Service: "status", Zone: "zone-2"}
	sent.Header = http.Header{"Accept": {"text/plain"}, "X-Bytes": {"\xe9"}}
	start := time.Now()
	resp := a.Do(context.Background(), "b", peer.RoleHome, sent)
	elapsed := time.Since(start)

	g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
	received := <-handled
	// The remaining time is transmitted in place of the deadline, which shifts by at
	// most the time of the transfer.
	g.Expect(received.Deadline).To(gomega.BeTemporally(">=", sent.Deadline.Add(-time.Millisecond)))
	g.Expect(received.Deadline).To(gomega.BeTemporally("<=", sent.Deadline.Add(elapsed)))
	expected := *sent
	expected.Sender, expected.Deadline = "a", received.Deadline
	g.Expect(received).To(gomega.Equal(expected))

	g.Expect(resp.Status).To(gomega.Equal(201))
	g.Expect(resp.Header).To(gomega.Equal(http.Header{"X-Two": {"1", "2"}, "X-Bytes": {"\xff\xfe"}}))
	g.Expect([]string{resp.Upstream, resp.Explain}).To(gomega.Equal([]string{"u1", "because"}))
	g.Expect(resp.Length).To(gomega.Equal(int64(6)))
	expectBody(g, resp, "answer")
}

func expectBody(g gomega.Gomega, resp *work.Response, want string) {
	g.Expect(resp.Body).NotTo(gomega.BeNil(), "outcome %v, reason %s", resp.Outcome, resp.Reason)
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.Body.Close()).To(gomega.Succeed())
	g.Expect(string(data) == want).To(gomega.BeTrue(), "unexpected response body of %d bytes, expected %d bytes", len(data), len(want))
}

func testRefusalPassedThrough(_ *testing.T, g gomega.Gomega, n network) {
	refusal := &work.Response{
		Outcome: work.NotRun, Reason: work.ReasonQueueFull, RetryAfter: 3 * time.Second, Explain: "full",
	}
	a := startPair(n, func(context.Context, peer.Role, *work.Request) *work.Response { return refusal })
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(resp).To(gomega.Equal(refusal))
}

// opaqueReader hides the type of a reader, so that its content does not count as
// in memory and is sent in chunks.
type opaqueReader struct{ io.Reader }

func testBodySizes(_ *testing.T, g gomega.Gomega, n network) {
	a := startPair(n, func(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
		data, err := io.ReadAll(req.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp := textResponse(string(data))
		if req.Length < 0 {
			resp.Length = -1
		}
		return resp
	})
	for _, size := range []int{0, 1, 300, 32 << 10, 32<<10 + 1, 64 << 10, 64<<10 + 1, 3 << 20} {
		body := make([]byte, size)
		_, _ = rand.Read(body)
		for _, length := range []int64{int64(size), -1} {
			for _, reader := range []io.Reader{bytes.NewReader(body), opaqueReader{bytes.NewReader(body)}} {
				for _, kind := range []work.Kind{work.Lookup, work.Upload} {
					_, _ = seekStart(reader)
					req := lookupRequest(reader, length)
					req.Kind = kind
					resp := a.Do(context.Background(), "b", peer.RolePool, req)
					g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
					expectBody(g, resp, string(body))
				}
			}
		}
	}
}

func seekStart(r io.Reader) (int64, error) {
	if o, ok := r.(opaqueReader); ok {
		r = o.Reader
	}
	return r.(io.Seeker).Seek(0, io.SeekStart)
}

func testConcurrentRequests(_ *testing.T, g gomega.Gomega, n network) {
	a := startPair(n, echo)
	var requests sync.WaitGroup
	failures := make([]string, 200)
	for i := range failures {
		requests.Go(func() {
			want := strings.Repeat(fmt.Sprint(i, " "), 100)
			resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader(want), -1))
			if resp.Body == nil {
				failures[i] = string(resp.Reason)
				return
			}
			data, err := io.ReadAll(resp.Body)
			if err != nil || string(data) != want {
				failures[i] = fmt.Sprint("wrong or incomplete response body, error ", err)
			}
		})
	}
	requests.Wait()
	g.Expect(strings.Join(failures, "")).To(gomega.BeEmpty())
}

var errBodyRead = errors.New("body read failed on purpose")

// failingBody returns a body that fails with errBodyRead after size bytes.
func failingBody(size int) io.Reader {
	return io.MultiReader(bytes.NewReader(make([]byte, size)), failingReader{})
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBodyRead }

func testRequestBodyFails(_ *testing.T, g gomega.Gomega, n network) {
	readErr := make(chan error, 1)
	a := startPair(n, func(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
		_, err := io.ReadAll(req.Body)
		readErr <- err
		return work.Refuse(work.ReasonBadRequest, 0)
	})
	for _, size := range []int{0, 100, 200 << 10} {
		resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(failingBody(size), -1))
		g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonBadRequest))
		g.Expect(<-readErr).To(gomega.HaveOccurred())
	}
}

func testRequestBodyLengthMismatch(_ *testing.T, g gomega.Gomega, n network) {
	readErr := make(chan error, 1)
	a := startPair(n, func(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
		_, err := io.ReadAll(req.Body)
		readErr <- err
		return work.Refuse(work.ReasonBadRequest, 0)
	})
	for _, declared := range []int64{0, 9, 11} {
		a.Do(context.Background(), "b", peer.RolePool, lookupRequest(strings.NewReader("0123456789"), declared))
		g.Eventually(readErr, testTimeout).Should(gomega.Receive(gomega.HaveOccurred()), "declared %d", declared)
	}
}

func testResponseBodyFails(_ *testing.T, g gomega.Gomega, n network) {
	responses := make(chan *work.Response, 1)
	a := startPair(n, func(context.Context, peer.Role, *work.Request) *work.Response { return <-responses })
	check := func(body io.Reader, length int64) {
		responses <- &work.Response{Outcome: work.Run, Status: 200, Length: length, Body: io.NopCloser(body)}
		expectIncomplete(g, a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0)))
	}
	for _, size := range []int{0, 100, 200 << 10} {
		check(failingBody(size), -1)
		check(failingBody(size), int64(size)+1)
		check(bytes.NewReader(make([]byte, size)), int64(size)+1)
		check(bytes.NewReader(make([]byte, size+1)), int64(size))
	}
}

// expectIncomplete expects an unknown outcome, or a body that fails at each read.
func expectIncomplete(g gomega.Gomega, resp *work.Response) {
	if resp.Outcome == work.Unknown {
		return
	}
	g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
	g.Expect(resp.Body).NotTo(gomega.BeNil())
	_, err := io.ReadAll(resp.Body)
	g.Expect(err).To(gomega.HaveOccurred())
	_, rereadErr := resp.Body.Read(make([]byte, 1))
	g.Expect(rereadErr).To(gomega.And(gomega.HaveOccurred(), gomega.Not(gomega.MatchError(io.EOF))))
}

func testRefusalBeforeBody(t *testing.T, g gomega.Gomega, n network) {
	a := startPair(n, func(context.Context, peer.Role, *work.Request) *work.Response {
		return work.Refuse(work.ReasonQueueFull, time.Second)
	})
	reader, writer := io.Pipe()
	t.Cleanup(func() { _ = writer.Close() })
	req := lookupRequest(reader, -1)
	req.Kind = work.Upload
	resp := a.Do(context.Background(), "b", peer.RolePool, req)
	g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
	g.Expect(resp.Reason).To(gomega.Equal(work.ReasonQueueFull))
}

// startBlockingPair starts a pair whose handler blocks until its context ends. The
// channels receive the start of the handler and the error of its context.
func startBlockingPair(n network) (peer.Transport, chan struct{}, chan error) {
	started, ended := make(chan struct{}, 1), make(chan error, 1)
	a := startPair(n, func(ctx context.Context, _ peer.Role, _ *work.Request) *work.Response {
		started <- struct{}{}
		<-ctx.Done()
		ended <- ctx.Err()
		return work.UnknownOutcome(work.ReasonCanceled)
	})
	return a, started, ended
}

func testCancellation(_ *testing.T, g gomega.Gomega, n network) {
	a, started, ended := startBlockingPair(n)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	resp := a.Do(ctx, "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
	g.Expect(resp.Reason).To(gomega.Equal(work.ReasonCanceled))
	g.Eventually(ended, testTimeout).Should(gomega.Receive(gomega.MatchError(context.Canceled)))

	resp = a.Do(ctx, "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
	g.Expect(resp.Reason).To(gomega.Equal(work.ReasonCanceled))
}

func testResponseClosedEarly(_ *testing.T, g gomega.Gomega, n network) {
	reader, writer := io.Pipe()
	a := startPair(n, func(context.Context, peer.Role, *work.Request) *work.Response {
		return &work.Response{Outcome: work.Run, Status: 200, Length: -1, Body: reader}
	})
	go func() { _, _ = writer.Write([]byte("begin")) }()
	resp := a.Do(context.Background(), "b", peer.RolePool, lookupRequest(nil, 0))
	g.Expect(resp.Outcome).To(gomega.Equal(work.Run), "reason %s", resp.Reason)
	_, err := io.ReadFull(resp.Body, make([]byte, 5))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.Body.Close()).To(gomega.Succeed())
	g.Eventually(func() error {
		_, err := writer.Write([]byte("more"))
		return err
	}, testTimeout).Should(gomega.MatchError(io.ErrClosedPipe))
}

func testDeadline(_ *testing.T, g gomega.Gomega, n network) {
	a, _, ended := startBlockingPair(n)
	req := lookupRequest(nil, 0)
	req.Deadline = time.Now().Add(shortTimeout)
	resp := a.Do(context.Background(), "b", peer.RolePool, req)
	g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
	g.Eventually(ended, testTimeout).Should(gomega.Receive(gomega.MatchError(context.DeadlineExceeded)))
}

func testHandlerIgnoresDeadline(t *testing.T, g gomega.Gomega, n network) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	n.setTiming(shortIdleTiming)
	a := startPair(n, func(context.Context, peer.Role, *work.Request) *work.Response {
		<-release
		return textResponse("late")
	})
	req := lookupRequest(nil, 0)
	req.Deadline = time.Now().Add(shortTimeout)
	resp := a.Do(context.Background(), "b", peer.RolePool, req)
	g.Expect(resp).To(gomega.Equal(work.UnknownOutcome(work.ReasonDeadline)))
}

func testPassedDeadline(_ *testing.T, g gomega.Gomega, n network) {
	a, _, _ := startBlockingPair(n)
	req := lookupRequest(nil, 0)
	req.Deadline = time.Now().Add(-time.Millisecond)
	resp := a.Do(context.Background(), "b", peer.RolePool, req)
	g.Expect(resp).To(gomega.Equal(work.Refuse(work.ReasonDeadline, 0)))
}

// continueBodyBytes is larger than the largest body sent without frameContinue.
const continueBodyBytes = 1 << 20

type countingReader struct {
	io.Reader
	reads atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	r.reads.Add(1)
	return r.Reader.Read(p)
}

func uploadRequest(body io.Reader) *work.Request {
	req := lookupRequest(body, continueBodyBytes)
	req.Kind = work.Upload
	return req
}

func testLargeBodyRefused(_ *testing.T, g gomega.Gomega, n network) {
	n.start("b", 1, handler{serve: func(context.Context, peer.Role, *work.Request) *work.Response {
		return work.Refuse(work.ReasonQueueFull, time.Second)
	}})
	a := n.start("a", 1, handler{})
	body := &countingReader{Reader: bytes.NewReader(make([]byte, continueBodyBytes))}
	resp := a.Do(context.Background(), "b", peer.RolePool, uploadRequest(body))
	g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
	g.Expect(resp.Reason).To(gomega.Equal(work.ReasonQueueFull))
	g.Expect(body.reads.Load()).To(gomega.BeZero())
}

func testLargeBodyRead(_ *testing.T, g gomega.Gomega, n network) {
	sent := bytes.Repeat([]byte("0123456789abcdef"), continueBodyBytes/16)
	n.start("b", 1, handler{serve: func(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
		got, err := io.ReadAll(req.Body)
		if err != nil || !bytes.Equal(got, sent) {
			return work.Refuse(work.ReasonBadRequest, 0)
		}
		return &work.Response{Outcome: work.Run, Status: 200}
	}})
	a := n.start("a", 1, handler{})
	resp := a.Do(context.Background(), "b", peer.RolePool, uploadRequest(&countingReader{Reader: bytes.NewReader(sent)}))
	g.Expect(resp.Outcome).To(gomega.Equal(work.Run), "%+v", resp)
}
