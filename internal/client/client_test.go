package client_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/settings"
)

const token = "token of the test"

// fakeInstance is a fake operators' API that records the requests it receives.
type fakeInstance struct {
	*httptest.Server
	requests []*http.Request
	bodies   []string
}

func newFakeInstance(t *testing.T, status int, response any) *fakeInstance {
	t.Helper()
	i := &fakeInstance{}
	i.Server = httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		i.requests = append(i.requests, r)
		i.bodies = append(i.bodies, string(body))
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(response) //nolint:errcheck // the client would notice
	}))
	t.Cleanup(i.Close)
	return i
}

// trustServer returns a configuration that trusts all test servers, since they have the
// same certificate.
func trustServer(i *fakeInstance) *tls.Config {
	roots := x509.NewCertPool()
	roots.AddCert(i.Certificate())
	return &tls.Config{RootCAs: roots}
}

func newClient(t *testing.T, trusted *tls.Config, endpoints ...string) *client.Client {
	t.Helper()
	c, err := client.New(client.Options{Endpoints: endpoints, Token: token, TLS: trusted})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

// closedEndpoint returns the address of a port on which nothing listens.
func closedEndpoint(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	return ln.Addr().String()
}

func TestNextEndpointIsTriedAfterServerErrors(t *testing.T) {
	conflict := wire.Error{Code: wire.CodeConflict, Message: "another change was first"}
	down := wire.Error{Code: wire.CodeUnavailable, Message: "the platform is unreachable"}
	ok := wire.Changed{Version: 7, InForce: "peak"}
	cases := []struct {
		name          string
		first, second int
		response      any
		wantSecond    int // requests at the second instance
		wantCode      string
	}{
		{"success is final", 200, 200, ok, 0, ""},
		{"conflict is final", 409, 200, conflict, 0, wire.CodeConflict},
		{"rejection is final", 403, 200, wire.Error{Code: wire.CodeUnauthorized}, 0, wire.CodeUnauthorized},
		{"first unavailable", 503, 200, down, 1, ""},
		{"both unavailable", 503, 503, down, 1, wire.CodeUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			second := any(ok)
			if tc.second != 200 {
				second = tc.response
			}
			a, b := newFakeInstance(t, tc.first, tc.response), newFakeInstance(t, tc.second, second)
			c := newClient(t, trustServer(a), a.URL, b.URL)
			changed, err := c.Use(t.Context(), client.Change{Operation: "op"}, "peak")
			g.Expect(b.requests).To(gomega.HaveLen(tc.wantSecond))
			if tc.wantCode == "" {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(changed.Version).To(gomega.BeEquivalentTo(7))
				return
			}
			var apiErr *client.APIError
			g.Expect(err).To(gomega.BeAssignableToTypeOf(apiErr))
			g.Expect(err.(*client.APIError).Answer.Code).To(gomega.Equal(tc.wantCode))
		})
	}
}

func TestNextEndpointGetsTheSameOperationID(t *testing.T) {
	g := gomega.NewWithT(t)
	live := newFakeInstance(t, 200, wire.Changed{Version: 3})
	c := newClient(t, trustServer(live), closedEndpoint(t), live.URL)
	change := client.Change{Operation: client.NewOperation(), IfVersion: 2}
	_, err := c.Drain(t.Context(), change, settings.Drain{Kind: settings.DrainZone, Name: "z1"}, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sent := live.requests[0]
	g.Expect(sent.Header.Get(wire.HeaderOperation)).To(gomega.Equal(change.Operation))
	g.Expect(sent.Header.Get(wire.HeaderIfVersion)).To(gomega.Equal("2"))
	g.Expect(sent.Header.Get("Authorization")).To(gomega.Equal("Bearer " + token))
	g.Expect(live.bodies[0]).To(gomega.MatchJSON(`{"kind":"zone","name":"z1"}`))
}

func TestAllEndpointsUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newClient(t, nil, closedEndpoint(t), closedEndpoint(t))
	_, err := c.Status(t.Context(), false)
	g.Expect(client.Unreachable.Has(err)).To(gomega.BeTrue(), "%v", err)
	g.Expect(err.Error()).To(gomega.ContainSubstring("connection refused"))
}

func TestUnknownAuthorityIsUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	live := newFakeInstance(t, 200, wire.Status{})
	c := newClient(t, nil, live.URL)
	_, err := c.Status(t.Context(), false)
	g.Expect(client.Unreachable.Has(err)).To(gomega.BeTrue())
	g.Expect(live.requests).To(gomega.BeEmpty(), "the credential must not be sent")
}

func TestUnresponsiveInstanceIsSkippedBeforeTheTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = silent.Close() })
	live := newFakeInstance(t, 200, wire.Status{Instance: "e2"})
	const timeout = time.Minute // far longer than the timeouts for opening a connection
	c, err := client.New(client.Options{
		Endpoints: []string{silent.Addr().String(), live.URL}, Token: token, TLS: trustServer(live), Timeout: timeout,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	start := time.Now()
	status, err := c.Status(t.Context(), false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status.Instance).To(gomega.Equal("e2"))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", timeout))
}

func TestNoThirdInstanceIsTriedAfterTwoServerErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	down := wire.Error{Code: wire.CodeUnavailable, Message: "the platform is unreachable"}
	a, b, third := newFakeInstance(t, 503, down), newFakeInstance(t, 503, down), newFakeInstance(t, 503, down)
	c := newClient(t, trustServer(a), a.URL, closedEndpoint(t), b.URL, third.URL)
	_, err := c.Use(t.Context(), client.Change{Operation: "op"}, "peak")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(b.requests).To(gomega.HaveLen(1))
	g.Expect(third.requests).To(gomega.BeEmpty())
}

func TestConflictDetail(t *testing.T) {
	g := gomega.NewWithT(t)
	want := wire.Conflict{Base: 8, Current: 9, Won: []settings.AuditRecord{{Operator: "ada"}}}
	detail, err := json.Marshal(want)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	live := newFakeInstance(t, 409, wire.Error{Code: wire.CodeConflict, Message: "m", Detail: detail})
	c := newClient(t, trustServer(live), live.URL)
	_, err = c.Use(context.Background(), client.Change{Operation: "op"}, "calm")
	got, ok := err.(*client.APIError).Conflict()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(got).To(gomega.Equal(want))
}

func TestLeaveIsSentToTheLeavingInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newFakeInstance(t, 200, wire.Leaving{Instance: "e2", State: "leaving"})
	status := wire.Status{Entries: []wire.EntryStatus{{Name: "e2", Operators: target.Listener.Addr().String()}}}
	asked := newFakeInstance(t, 200, status)
	c := newClient(t, trustServer(asked), asked.URL)
	_, err := c.Leave(t.Context(), client.Change{Operation: "op"}, "e2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(target.requests[0].URL.Path).To(gomega.Equal("/v1/leave"))
	_, err = c.Leave(t.Context(), client.Change{Operation: "op"}, "e9")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(`"e9"`)))
}

func TestInvalidOptions(t *testing.T) {
	cases := map[string]client.Options{
		"no endpoint":  {},
		"no port":      {Endpoints: []string{"127.0.0.1"}},
		"plain http":   {Endpoints: []string{"http://127.0.0.1:80"}},
		"no authority": {Endpoints: []string{"127.0.0.1:80"}, CAFile: "/does/not/exist"},
	}
	for name, opts := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := client.New(opts)
			gomega.NewWithT(t).Expect(client.Error.Has(err)).To(gomega.BeTrue())
		})
	}
}
