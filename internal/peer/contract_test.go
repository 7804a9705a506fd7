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

// contract is the suite that every Transport must pass.
var contract = map[string]func(*testing.T, gomega.Gomega, network){
	"request and response arrive unchanged":        testUnchanged,
	"refusals pass through":                        testRefusal,
	"bodies of all sizes arrive whole":             testBodies,
	"concurrent requests get their own answers":    testConcurrent,
	"a request body that fails is not whole":       testRequestBodyFails,
	"a request body of another length fails":       testRequestBodyLength,
	"a response body that fails is not whole":      testResponseBodyFails,
	"a refusal comes before the body is sent":      testEarlyRefusal,
	"cancellation reaches the handler":             testCancellation,
	"closing the response early cancels":           testCloseEarly,
	"the deadline reaches the handler":             testDeadline,
	"a passed deadline is refused":                 testPassedDeadline,
	"a refusal leaves a large body unread":         testHeldBodyRefused,
	"a large body arrives whole when it is read":   testHeldBodyRead,
	"a handler that overstays holds nobody up":     testOverstay,
	"an unknown peer is unreachable":               testUnknownPeer,
	"a cut before the request proves not run":      testCutBefore,
	"a cut while the request runs leaves unknown":  testCutWhileRunning,
	"a lost answer leaves unknown":                 testLostAnswer,
	"a cut in a response body fails the body":      testCutResponseBody,
	"a cut in a request body fails the body":       testCutRequestBody,
	"a healed cut is forgotten":                    testHeal,
	"a restarted peer is reached again":            testRestart,
	"keys are handed over with acknowledgement":    testKeys,
	"refused keys are an error":                    testRefusedKeys,
	"control messages of all sizes arrive":         testControl,
	"a control message with a wrong sender is not": testWrongSender,
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

// serve starts a as the sender and b with the function.
func serve(n network, f func(context.Context, peer.Role, *work.Request) *work.Response) peer.Transport {
	n.start("b", 1, handler{serve: f})
	return n.start("a", 1, handler{})
}

func echo(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
	data, err := io.ReadAll(req.Body)
	if err != nil {
		return work.Refuse(work.ReasonBadRequest, 0)
	}
	return text(string(data))
}

func testUnchanged(_ *testing.T, g gomega.Gomega, n network) {
	got := make(chan work.Request, 1)
	a := serve(n, func(_ context.Context, role peer.Role, req *work.Request) *work.Response {
		g.Expect(role).To(gomega.Equal(peer.RoleHome))
		got <- *req
		resp := text("answer")
		resp.Status, resp.Upstream, resp.Explain = 201, "u1", "because"
		resp.Header = http.Header{"X-Two": {"1", "2"}, "X-Bytes": {"\xff\xfe"}}
		return resp
	})
	sent := lookup(nil, 0)
	sent.Kind, sent.Key, sent.Origin, sent.Queue = work.Order, "k", "zone-1", true
	sent.Pool = work.PoolID{Service: "status", Zone: "zone-2"}
	sent.Header = http.Header{"Accept": {"text/plain"}, "X-Bytes": {"\xe9"}}
	began := time.Now()
	resp := a.Do(context.Background(), "b", peer.RoleHome, sent)
	took := time.Since(began)

	g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
	received := <-got
	// The rest of the time arrives, less what the way took.
	g.Expect(received.Deadline).To(gomega.BeTemporally(">=", sent.Deadline.Add(-time.Millisecond)))
	g.Expect(received.Deadline).To(gomega.BeTemporally("<=", sent.Deadline.Add(took)))
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
	g.Expect(string(data) == want).To(gomega.BeTrue(), "got %d bytes, want %d", len(data), len(want))
}

func testRefusal(_ *testing.T, g gomega.Gomega, n network) {
	refusal := &work.Response{
		Outcome: work.NotRun, Reason: work.ReasonQueueFull, RetryAfter: 3 * time.Second, Explain: "full",
	}
	a := serve(n, func(context.Context, peer.Role, *work.Request) *work.Response { return refusal })
	resp := a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0))
	g.Expect(resp).To(gomega.Equal(refusal))
}

// opaque hides the type of a reader, so that it is not sent as one in memory.
type opaque struct{ io.Reader }

func testBodies(_ *testing.T, g gomega.Gomega, n network) {
	a := serve(n, func(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
		data, err := io.ReadAll(req.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp := text(string(data))
		if req.Length < 0 {
			resp.Length = -1
		}
		return resp
	})
	for _, size := range []int{0, 1, 300, 32 << 10, 32<<10 + 1, 64 << 10, 64<<10 + 1, 3 << 20} {
		body := make([]byte, size)
		_, _ = rand.Read(body)
		for _, length := range []int64{int64(size), -1} {
			for _, reader := range []io.Reader{bytes.NewReader(body), opaque{bytes.NewReader(body)}} {
				for _, kind := range []work.Kind{work.Lookup, work.Upload} {
					_, _ = seekStart(reader)
					req := lookup(reader, length)
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
	if o, ok := r.(opaque); ok {
		r = o.Reader
	}
	return r.(io.Seeker).Seek(0, io.SeekStart)
}

func testConcurrent(_ *testing.T, g gomega.Gomega, n network) {
	a := serve(n, echo)
	var all sync.WaitGroup
	answers := make([]string, 200)
	for i := range answers {
		all.Go(func() {
			want := strings.Repeat(fmt.Sprint(i, " "), 100)
			resp := a.Do(context.Background(), "b", peer.RolePool, lookup(strings.NewReader(want), -1))
			if resp.Body == nil {
				answers[i] = string(resp.Reason)
				return
			}
			data, err := io.ReadAll(resp.Body)
			if err != nil || string(data) != want {
				answers[i] = fmt.Sprint("wrong answer ", err)
			}
		})
	}
	all.Wait()
	g.Expect(strings.Join(answers, "")).To(gomega.BeEmpty())
}

var errBody = errors.New("body broke")

// broken returns some bytes and then fails.
func broken(size int) io.Reader {
	return io.MultiReader(bytes.NewReader(make([]byte, size)), failing{})
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errBody }

func testRequestBodyFails(_ *testing.T, g gomega.Gomega, n network) {
	readErr := make(chan error, 1)
	a := serve(n, func(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
		_, err := io.ReadAll(req.Body)
		readErr <- err
		return work.Refuse(work.ReasonBadRequest, 0)
	})
	for _, size := range []int{0, 100, 200 << 10} {
		resp := a.Do(context.Background(), "b", peer.RolePool, lookup(broken(size), -1))
		g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
		g.Expect(resp.Reason).To(gomega.Equal(work.ReasonBadRequest))
		g.Expect(<-readErr).To(gomega.HaveOccurred())
	}
}

func testRequestBodyLength(_ *testing.T, g gomega.Gomega, n network) {
	readErr := make(chan error, 1)
	a := serve(n, func(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
		_, err := io.ReadAll(req.Body)
		readErr <- err
		return work.Refuse(work.ReasonBadRequest, 0)
	})
	for _, declared := range []int64{0, 9, 11} {
		a.Do(context.Background(), "b", peer.RolePool, lookup(strings.NewReader("0123456789"), declared))
		g.Eventually(readErr, testTimeout).Should(gomega.Receive(gomega.HaveOccurred()), "declared %d", declared)
	}
}

func testResponseBodyFails(_ *testing.T, g gomega.Gomega, n network) {
	responses := make(chan *work.Response, 1)
	a := serve(n, func(context.Context, peer.Role, *work.Request) *work.Response { return <-responses })
	check := func(body io.Reader, length int64) {
		responses <- &work.Response{Outcome: work.Run, Status: 200, Length: length, Body: io.NopCloser(body)}
		expectNotWhole(g, a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0)))
	}
	for _, size := range []int{0, 100, 200 << 10} {
		check(broken(size), -1)
		check(broken(size), int64(size)+1)
		check(bytes.NewReader(make([]byte, size)), int64(size)+1)
		check(bytes.NewReader(make([]byte, size+1)), int64(size))
	}
}

// expectNotWhole accepts an unknown outcome, or a body that fails.
func expectNotWhole(g gomega.Gomega, resp *work.Response) {
	if resp.Outcome == work.Unknown {
		return
	}
	g.Expect(resp.Outcome).To(gomega.Equal(work.Run))
	g.Expect(resp.Body).NotTo(gomega.BeNil())
	_, err := io.ReadAll(resp.Body)
	g.Expect(err).To(gomega.HaveOccurred())
	_, again := resp.Body.Read(make([]byte, 1))
	g.Expect(again).To(gomega.And(gomega.HaveOccurred(), gomega.Not(gomega.MatchError(io.EOF))))
}

func testEarlyRefusal(t *testing.T, g gomega.Gomega, n network) {
	a := serve(n, func(context.Context, peer.Role, *work.Request) *work.Response {
		return work.Refuse(work.ReasonQueueFull, time.Second)
	})
	reader, writer := io.Pipe()
	t.Cleanup(func() { _ = writer.Close() })
	req := lookup(reader, -1)
	req.Kind = work.Upload
	resp := a.Do(context.Background(), "b", peer.RolePool, req)
	g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
	g.Expect(resp.Reason).To(gomega.Equal(work.ReasonQueueFull))
}

// hold starts a request that the handler holds until its context ends.
func hold(n network) (peer.Transport, chan struct{}, chan error) {
	started, ended := make(chan struct{}, 1), make(chan error, 1)
	a := serve(n, func(ctx context.Context, _ peer.Role, _ *work.Request) *work.Response {
		started <- struct{}{}
		<-ctx.Done()
		ended <- ctx.Err()
		return work.Uncertain(work.ReasonCanceled)
	})
	return a, started, ended
}

func testCancellation(_ *testing.T, g gomega.Gomega, n network) {
	a, started, ended := hold(n)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	resp := a.Do(ctx, "b", peer.RolePool, lookup(nil, 0))
	g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
	g.Expect(resp.Reason).To(gomega.Equal(work.ReasonCanceled))
	g.Eventually(ended, testTimeout).Should(gomega.Receive(gomega.MatchError(context.Canceled)))

	resp = a.Do(ctx, "b", peer.RolePool, lookup(nil, 0))
	g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
	g.Expect(resp.Reason).To(gomega.Equal(work.ReasonCanceled))
}

func testCloseEarly(_ *testing.T, g gomega.Gomega, n network) {
	reader, writer := io.Pipe()
	a := serve(n, func(context.Context, peer.Role, *work.Request) *work.Response {
		return &work.Response{Outcome: work.Run, Status: 200, Length: -1, Body: reader}
	})
	go func() { _, _ = writer.Write([]byte("begin")) }()
	resp := a.Do(context.Background(), "b", peer.RolePool, lookup(nil, 0))
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
	a, _, ended := hold(n)
	req := lookup(nil, 0)
	req.Deadline = time.Now().Add(shortTimeout)
	resp := a.Do(context.Background(), "b", peer.RolePool, req)
	g.Expect(resp.Outcome).To(gomega.Equal(work.Unknown))
	g.Eventually(ended, testTimeout).Should(gomega.Receive(gomega.MatchError(context.DeadlineExceeded)))
}

func testOverstay(t *testing.T, g gomega.Gomega, n network) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	n.setTiming(noticing)
	a := serve(n, func(context.Context, peer.Role, *work.Request) *work.Response {
		<-release
		return text("late")
	})
	req := lookup(nil, 0)
	req.Deadline = time.Now().Add(shortTimeout)
	resp := a.Do(context.Background(), "b", peer.RolePool, req)
	g.Expect(resp).To(gomega.Equal(work.Uncertain(work.ReasonDeadline)))
}

func testPassedDeadline(_ *testing.T, g gomega.Gomega, n network) {
	a, _, _ := hold(n)
	req := lookup(nil, 0)
	req.Deadline = time.Now().Add(-time.Millisecond)
	resp := a.Do(context.Background(), "b", peer.RolePool, req)
	g.Expect(resp).To(gomega.Equal(work.Refuse(work.ReasonDeadline, 0)))
}

// heldBody is larger than what is sent without being asked for.
const heldBody = 1 << 20

// countingReader counts reads.
type countingReader struct {
	io.Reader
	reads atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	r.reads.Add(1)
	return r.Reader.Read(p)
}

func upload(body io.Reader) *work.Request {
	req := lookup(body, heldBody)
	req.Kind = work.Upload
	return req
}

func testHeldBodyRefused(_ *testing.T, g gomega.Gomega, n network) {
	n.start("b", 1, handler{serve: func(context.Context, peer.Role, *work.Request) *work.Response {
		return work.Refuse(work.ReasonQueueFull, time.Second)
	}})
	a := n.start("a", 1, handler{})
	body := &countingReader{Reader: bytes.NewReader(make([]byte, heldBody))}
	resp := a.Do(context.Background(), "b", peer.RolePool, upload(body))
	g.Expect(resp.Outcome).To(gomega.Equal(work.NotRun))
	g.Expect(resp.Reason).To(gomega.Equal(work.ReasonQueueFull))
	g.Expect(body.reads.Load()).To(gomega.BeZero())
}

func testHeldBodyRead(_ *testing.T, g gomega.Gomega, n network) {
	sent := bytes.Repeat([]byte("0123456789abcdef"), heldBody/16)
	n.start("b", 1, handler{serve: func(_ context.Context, _ peer.Role, req *work.Request) *work.Response {
		got, err := io.ReadAll(req.Body)
		if err != nil || !bytes.Equal(got, sent) {
			return work.Refuse(work.ReasonBadRequest, 0)
		}
		return &work.Response{Outcome: work.Run, Status: 200}
	}})
	a := n.start("a", 1, handler{})
	resp := a.Do(context.Background(), "b", peer.RolePool, upload(&countingReader{Reader: bytes.NewReader(sent)}))
	g.Expect(resp.Outcome).To(gomega.Equal(work.Run), "%+v", resp)
}
