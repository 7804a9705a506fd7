package pki_test

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/pki"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// kit is a directory with the files of one instance.
type kit struct {
	pki.Files
	authority *pki.Authority
}

func newAuthority(t *testing.T, now time.Time) *pki.Authority {
	t.Helper()
	authority, err := pki.NewAuthority("firm", now)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func newKit(t *testing.T, authority *pki.Authority, name string, now time.Time) kit {
	t.Helper()
	dir := t.TempDir()
	k := kit{authority: authority, Files: pki.Files{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}}
	k.trust(t, authority)
	k.issue(t, authority, name, now)
	return k
}

func (k kit) trust(t *testing.T, authorities ...*pki.Authority) {
	t.Helper()
	var bundle []byte
	for _, authority := range authorities {
		bundle = append(bundle, authority.Pair().Certificate...)
	}
	if err := os.WriteFile(k.Authority, bundle, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (k kit) issue(t *testing.T, authority *pki.Authority, name string, now time.Time) {
	t.Helper()
	pair, err := authority.Issue(name, []string{"127.0.0.1"}, now)
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.Write(k.Certificate, k.Key); err != nil {
		t.Fatal(err)
	}
}

func TestCheckFindings(t *testing.T) {
	authority := newAuthority(t, start)
	other := newAuthority(t, start)
	cases := []struct {
		name   string
		spoil  func(t *testing.T, k kit)
		now    time.Time
		expect []pki.Problem
	}{
		{name: "sound", now: start},
		{name: "expires soon", now: start.Add(pki.CertificateLifetime - time.Hour), expect: []pki.Problem{pki.ExpiresSoon}},
		{name: "expired", now: start.Add(pki.CertificateLifetime + time.Hour), expect: []pki.Problem{pki.Expired}},
		{
			name: "authority expired too", now: start.Add(pki.AuthorityLifetime + time.Hour),
			expect: []pki.Problem{pki.Expired, pki.Expired},
		},
		{
			name: "clock far behind", now: start.Add(-time.Hour),
			expect: []pki.Problem{pki.NotYetValid, pki.NotYetValid},
		},
		{
			name: "wrong authority", now: start,
			spoil:  func(t *testing.T, k kit) { k.trust(t, other) },
			expect: []pki.Problem{pki.WrongAuthority},
		},
		{
			name: "two authorities during a rotation", now: start,
			spoil: func(t *testing.T, k kit) { k.trust(t, other, authority) },
		},
		{
			name: "key of another certificate", now: start,
			spoil: func(t *testing.T, k kit) {
				pair, _ := authority.Issue("a", nil, start)
				_ = os.WriteFile(k.Key, pair.Key, 0o600)
			},
			expect: []pki.Problem{pki.KeyMismatch},
		},
		{
			name: "issued to another instance", now: start,
			spoil:  func(t *testing.T, k kit) { k.issue(t, authority, "b", start) },
			expect: []pki.Problem{pki.WrongName},
		},
		{
			name: "key readable by others", now: start,
			spoil:  func(_ *testing.T, k kit) { _ = os.Chmod(k.Key, 0o644) },
			expect: []pki.Problem{pki.FileMode},
		},
		{
			name: "key missing", now: start,
			spoil:  func(_ *testing.T, k kit) { _ = os.Remove(k.Key) },
			expect: []pki.Problem{pki.Unreadable},
		},
		{
			name: "certificate is no PEM", now: start,
			spoil:  func(_ *testing.T, k kit) { _ = os.WriteFile(k.Certificate, []byte("x"), 0o600) },
			expect: []pki.Problem{pki.Unreadable},
		},
		{
			name: "an instance's certificate as the authority", now: start,
			spoil: func(_ *testing.T, k kit) {
				pair, _ := authority.Issue("a", nil, start)
				_ = os.WriteFile(k.Authority, pair.Certificate, 0o600)
			},
			expect: []pki.Problem{pki.WrongAuthority, pki.WrongAuthority},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			k := newKit(t, authority, "a", start)
			if c.spoil != nil {
				c.spoil(t, k)
			}
			var problems []pki.Problem
			for _, finding := range pki.Check(k.Files, "a", c.now) {
				problems = append(problems, finding.Problem)
			}
			g.Expect(problems).To(gomega.Equal(c.expect))
		})
	}
}

func TestWrittenFilesAreForTheirOwnerAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	k := newKit(t, newAuthority(t, start), "a", start)
	for _, path := range []string{k.Certificate, k.Key} {
		info, err := os.Stat(path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(info.Mode().Perm()).To(gomega.Equal(os.FileMode(0o600)))
	}
}

func TestParseAuthorityFindsTheCertificateOfTheKey(t *testing.T) {
	g := gomega.NewWithT(t)
	older, newer := newAuthority(t, start), newAuthority(t, start)
	bundle := append(append([]byte{}, older.Pair().Certificate...), newer.Pair().Certificate...)
	parsed, err := pki.ParseAuthority(pki.Pair{Certificate: bundle, Key: newer.Pair().Key})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	k := newKit(t, newer, "a", start)
	k.issue(t, parsed, "a", start)
	g.Expect(pki.Check(k.Files, "a", start)).To(gomega.BeEmpty())

	_, err = pki.ParseAuthority(pki.Pair{Certificate: older.Pair().Certificate, Key: newer.Pair().Key})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("no authority certificate")))
}

// handshake connects a client with a server and returns both errors.
func handshake(client, server *tls.Config) (clientErr, serverErr error) {
	left, right := net.Pipe()
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(right, server)
		done <- conn.Handshake()
		_ = right.Close()
	}()
	conn := tls.Client(left, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		// The server's verdict on the client's certificate comes after the
		// client's handshake.
		_, _ = conn.Read(make([]byte, 1))
	}
	_ = left.Close()
	return clientErr, <-done
}

func newSource(t *testing.T, k kit, now *time.Time) *pki.Source {
	t.Helper()
	source, err := pki.NewSource(k.Files, pki.Options{Now: func() time.Time { return *now }})
	if err != nil {
		t.Fatal(err)
	}
	return source
}

func TestPeersProveTheirNames(t *testing.T) {
	authority := newAuthority(t, start)
	cases := []struct {
		name       string
		now        time.Time
		dialed     string
		declared   string
		authority  *pki.Authority
		protocol   string
		clientFail string
		serverFail string
	}{
		{name: "sound", now: start, dialed: "b", declared: "a", authority: authority, protocol: pki.Protocol},
		{
			name: "another instance answers", now: start, dialed: "c", declared: "a", authority: authority,
			protocol: pki.Protocol, clientFail: `not a declared instance: "b"`, serverFail: "bad certificate",
		},
		{
			name: "undeclared caller", now: start, dialed: "b", declared: "x", authority: authority,
			protocol: pki.Protocol, serverFail: `not a declared instance: "a"`,
		},
		{
			name: "caller of another authority", now: start, dialed: "b", declared: "a",
			authority: newAuthority(t, start), protocol: pki.Protocol,
			clientFail: "unknown authority", serverFail: "bad certificate",
		},
		{
			name: "other version", now: start, dialed: "b", declared: "a", authority: authority,
			protocol: "sycamoreledge/2", clientFail: "no application protocol", serverFail: "unsupported application protocols",
		},
		{
			name: "expired", now: start.Add(pki.CertificateLifetime + time.Hour), dialed: "b", declared: "a",
			authority: authority, protocol: pki.Protocol, clientFail: "expired", serverFail: "bad certificate",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := c.now
			client := newSource(t, newKit(t, c.authority, "a", start), &now)
			server := newSource(t, newKit(t, authority, "b", start), &now)
			declared := func(name string) bool { return name == c.declared }
			clientErr, serverErr := handshake(
				client.PeerClient(c.dialed, c.protocol), server.PeerServer(declared, pki.Protocol))
			expectFailure(g, clientErr, c.clientFail)
			expectFailure(g, serverErr, c.serverFail)
		})
	}
}

func expectFailure(g gomega.Gomega, err error, text string) {
	if text == "" {
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return
	}
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(text)))
}

func TestRotationWithoutRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	older, newer := newAuthority(t, start), newAuthority(t, start)
	a, b := newKit(t, older, "a", start), newKit(t, older, "b", start)
	client, server := newSource(t, a, &now), newSource(t, b, &now)
	everyone := func(string) bool { return true }
	serverConfig := server.PeerServer(everyone, pki.Protocol)
	connect := func() {
		clientErr, serverErr := handshake(client.PeerClient("b", pki.Protocol), serverConfig)
		g.Expect(clientErr).NotTo(gomega.HaveOccurred())
		g.Expect(serverErr).NotTo(gomega.HaveOccurred())
	}
	steps := []func(){
		func() {},
		func() { a.trust(t, older, newer); b.trust(t, older, newer) },
		func() { a.issue(t, newer, "a", start) },
		func() { b.issue(t, newer, "b", start) },
		func() { a.trust(t, newer); b.trust(t, newer) },
	}
	for _, step := range steps {
		step()
		now = now.Add(2 * time.Second)
		connect()
	}

	stranger := newSource(t, newKit(t, older, "a", start), &now)
	_, serverErr := handshake(stranger.PeerClient("b", pki.Protocol), serverConfig)
	g.Expect(serverErr).To(gomega.HaveOccurred())
}

func TestUnusableFilesKeepTheFormerKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	k := newKit(t, newAuthority(t, start), "a", start)
	var reports []error
	var source *pki.Source
	source, err := pki.NewSource(k.Files, pki.Options{
		Now: func() time.Time { return now },
		// The report may use the source.
		OnReload: func(err error) { reports = append(reports, err, nameError(source)) },
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(k.Key, []byte("broken"), 0o600)).To(gomega.Succeed())
	now = now.Add(2 * time.Second)
	name, err := source.Name()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(name).To(gomega.Equal("a"))
	g.Expect(reports).To(gomega.HaveLen(2))
	g.Expect(reports[0]).To(gomega.HaveOccurred())
	g.Expect(reports[1]).NotTo(gomega.HaveOccurred())
}

func nameError(source *pki.Source) error {
	_, err := source.Name()
	return err
}

func TestOperatorsReachOnlyTheirAuthority(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	authority := newAuthority(t, now)
	k := newKit(t, authority, "a", now)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	// The listener is wrapped here because StartTLS adds a certificate of its own.
	server.Listener = tls.NewListener(server.Listener, newSource(t, k, &now).OperatorServer())
	server.Start()
	t.Cleanup(server.Close)
	url := strings.Replace(server.URL, "http:", "https:", 1)

	config, err := pki.OperatorClient(k.Authority)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	t.Cleanup(client.CloseIdleConnections)
	response, err := client.Get(url)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusNoContent))

	strange, err := pki.OperatorClient(newKit(t, newAuthority(t, now), "a", now).Authority)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	refused := &http.Client{Transport: &http.Transport{TLSClientConfig: strange}}
	response, err = refused.Get(url)
	if err == nil {
		response.Body.Close()
	}
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("unknown authority")))
}
