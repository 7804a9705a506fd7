package api_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/work"
)

func TestBodiesStreamWhileTheyArrive(t *testing.T) {
	g := expect(t)
	first, rest := make(chan string, 1), make(chan string, 1)
	_, address := start(t, func(_ context.Context, req *work.Request) *work.Response {
		buf := make([]byte, 5)
		io.ReadFull(req.Body, buf) //nolint:errcheck // checked by its content
		first <- string(buf)
		all, _ := io.ReadAll(req.Body)
		rest <- string(all)
		return ranText("ok")
	}, nil)
	c := dial(t, address)
	c.send(t, "POST /v1/services/scans/x HTTP/1.1\r\nHost: t\r\nContent-Length: 9\r\n\r\nfirst")
	g.Expect(<-first).To(gomega.Equal("first"))
	c.send(t, "rest")
	g.Expect(<-rest).To(gomega.Equal("rest"))
	g.Expect(c.receive("POST").status).To(gomega.Equal(200))
}

func TestCutUploadIsSeenAsCut(t *testing.T) {
	heads := map[string]string{
		"known length": "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 50000),
		"chunked":      "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n",
	}
	for name, text := range heads {
		t.Run(name, func(t *testing.T) {
			g := expect(t)
			errs := make(chan error, 1)
			_, address := start(t, func(_ context.Context, req *work.Request) *work.Response {
				_, err := io.Copy(io.Discard, req.Body)
				errs <- err
				return work.Refuse(work.ReasonCanceled, 0)
			}, nil)
			c := dial(t, address)
			c.send(t, "POST /v1/services/scans/x HTTP/1.1\r\nHost: t\r\n"+text)
			g.Expect(c.Close()).To(gomega.Succeed())
			g.Expect(<-errs).To(gomega.HaveOccurred())
		})
	}
}

func TestStalledUploadEndsWithItsDeadline(t *testing.T) {
	g := expect(t)
	errs := make(chan error, 1)
	_, address := start(t, func(_ context.Context, req *work.Request) *work.Response {
		_, err := io.Copy(io.Discard, req.Body)
		errs <- err
		return work.Refuse(work.ReasonDeadline, 0)
	}, nil)
	c := dial(t, address)
	c.send(t, "POST /v1/services/scans/x HTTP/1.1\r\nHost: t\r\nDeadline-Ms: 2000\r\nContent-Length: 1000\r\n\r\nx")
	var timeout net.Error
	err := <-errs
	g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(gomega.BeTrue(), "%v", err)
}

func TestEarlyAnswerToALongUploadReleasesTheConnection(t *testing.T) {
	heads := map[string]string{
		"known length":  "Content-Length: 1000000000\r\n\r\n" + strings.Repeat("x", 200000),
		"length of 100": "Content-Length: 100\r\n\r\nx",
		"length of 99k": "Content-Length: 99000\r\n\r\nx",
		"chunked":       "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n",
		"continue":      "Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n",
	}
	for name, text := range heads {
		t.Run(name, func(t *testing.T) {
			g := expect(t)
			_, address := start(t, func(context.Context, *work.Request) *work.Response {
				return work.Refuse(work.ReasonQueueFull, 0)
			}, nil)
			c := dial(t, address)
			c.send(t, "POST /v1/services/scans/x HTTP/1.1\r\nHost: t\r\n"+text)
			got := c.receive("POST")
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(429))
			g.Expect(got.close).To(gomega.BeTrue())
			g.Expect(c.closed()).To(gomega.BeTrue())
		})
	}
}

func TestRefusalOfASmallBodyKeepsTheConnection(t *testing.T) {
	g := expect(t)
	_, address := start(t, func(context.Context, *work.Request) *work.Response {
		return work.Refuse(work.ReasonQueueFull, 0)
	}, nil)
	c := dial(t, address)
	for range 3 {
		c.send(t, "POST /v1/services/orders/x HTTP/1.1\r\nHost: t\r\nContent-Length: 5\r\n\r\nhello")
		got := c.receive("POST")
		g.Expect(got.err).NotTo(gomega.HaveOccurred())
		g.Expect(got.status).To(gomega.Equal(429))
	}
}

func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	heads := map[string]string{
		"without body": "\r\n",
		"after a body": "Content-Length: 5\r\n\r\nhello",
	}
	for name, text := range heads {
		t.Run(name, func(t *testing.T) {
			g := expect(t)
			arrived, ended := make(chan bool, 1), make(chan error, 1)
			_, address := start(t, func(ctx context.Context, req *work.Request) *work.Response {
				if req.Body != nil {
					io.Copy(io.Discard, req.Body) //nolint:errcheck // whole in this test
				}
				arrived <- true
				<-ctx.Done()
				ended <- ctx.Err()
				return work.UnknownOutcome(work.ReasonCanceled)
			}, nil)
			c := dial(t, address)
			c.send(t, "POST /v1/services/status/x HTTP/1.1\r\nHost: t\r\n"+text)
			<-arrived
			g.Expect(c.Close()).To(gomega.Succeed())
			g.Expect(<-ended).To(gomega.MatchError(context.Canceled), "and not the deadline")
		})
	}
}

func TestStalledBodyOfAnUnservedRequestDoesNotHoldTheConnection(t *testing.T) {
	for _, target := range []string{"/v1/keys?service=orders", "/v1/services/none/x", "/nothing"} {
		t.Run(target, func(t *testing.T) {
			g := expect(t)
			_, address := start(t, nil, nil)
			c := dial(t, address)
			c.send(t, "POST "+target+" HTTP/1.1\r\nHost: t\r\nContent-Length: 100\r\n\r\nx")
			got := c.receive("POST")
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(c.closed()).To(gomega.BeTrue())
		})
	}
}
