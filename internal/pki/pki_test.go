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

var startTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// instanceFiles are the PEM files of one instance in a temporary directory.
type instanceFiles struct {
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

func newInstanceFiles(t *testing.T, authority *pki.Authority, name string, now time.Time) instanceFiles {
	t.Helper()
	dir := t.TempDir()
	k := instanceFiles{authority: authority, Files: pki.Files{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}}
	k.writeAuthorities(t, authority)
	k.issueCertificate(t, authority, name, now)
	return k
}

func (k instanceFiles) writeAuthorities(t *testing.T, authorities ...*pki.Authority) {
	t.Helper()
	var bundle []byte
	for _, authority := range authorities {
		bundle = append(bundle, authority.Pair().Certificate...)
	}
	if err := os.WriteFile(k.Authority, bundle, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (k instanceFiles) issueCertificate(t *testing.T, authority *pki.Authority, name string, now time.Time) {
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
	authority := newAuthority(t, startTime)
	other := newAuthority(t, startTime)
	cases := []struct {
		name   string
		modify func(t *testing.T, k instanceFiles)
		now    time.Time
		expect []pki.Problem
	}{
		{name: "valid files", now: startTime},
		{name: "expires soon", now: startTime.Add(pki.CertificateLifetime - time.Hour), expect: []pki.Problem{pki.ExpiresSoon}},
		{name: "expired", now: startTime.Add(pki.CertificateLifetime + time.Hour), expect: []pki.Problem{pki.Expired}},
		{
			name: "authority expired too", now: startTime.Add(pki.AuthorityLifetime + time.Hour),
			expect: []pki.Problem{pki.Expired, pki.Expired},
		},
		{
			name: "clock one hour slow", now: startTime.Add(-time.Hour),
			expect: []pki.Problem{pki.NotYetValid, pki.NotYetValid},
		},
		{
			name: "wrong authority", now: startTime,
			modify: func(t *testing.T, k instanceFiles) { k.writeAuthorities(t, other) },
			expect: []pki.Problem{pki.WrongAuthority},
		},
		{
			name: "two authorities during a rotation", now: startTime,
			modify: func(t *testing.T, k instanceFiles) { k.writeAuthorities(t, other, authority) },
		},
		{
			name: "key of another certificate", now: startTime,
			modify: func(t *testing.T, k instanceFiles) {
				pair, _ := authority.Issue("a", nil, startTime)
				_ = os.WriteFile(k.Key, pair.Key, 0o600)
			},
			expect: []pki.Problem{pki.KeyMismatch},
		},
		{
			name: "issued to another instance", now: startTime,
			modify: func(t *testing.T, k instanceFiles) { k.issueCertificate(t, authority, "b", startTime) },
			expect: []pki.Problem{pki.WrongName},
		},
		{
			name: "key readable by others", now: startTime,
			modify: func(_ *testing.T, k instanceFiles) { _ = os.Chmod(k.Key, 0o644) },
			expect: []pki.Problem{pki.FileMode},
		},
		{
			name: "key missing", now: startTime,
			modify: func(_ *testing.T, k instanceFiles) { _ = os.Remove(k.Key) },
			expect: []pki.Problem{pki.Unreadable},
		},
		{
			name: "certificate is not PEM", now: startTime,
			modify: func(_ *testing.T, k instanceFiles) { _ = os.WriteFile(k.Certificate, []byte("x"), 0o600) },
			expect: []pki.Problem{pki.Unreadable},
		},
		{
			name: "an instance's certificate as the authority", now: startTime,
			modify: func(_ *testing.T, k instanceFiles) {
				pair, _ := authority.Issue("a", nil, startTime)
				_ = os.WriteFile(k.Authority, pair.Certificate, 0o600)
			},
			expect: []pki.Problem{pki.WrongAuthority, pki.WrongAuthority},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			k := newInstanceFiles(t, authority, "a", startTime)
			if c.modify != nil {
				c.modify(t, k)
			}
			var problems []pki.Problem
			for _, finding := range pki.Check(k.Files, "a", c.now) {
				problems = append(problems, finding.Problem)
			}
			g.Expect(problems).To(gomega.Equal(c.expect))
		})
	}
}

func TestWrittenFilesAreReadableByOwnerOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	k := newInstanceFiles(t, newAuthority(t, startTime), "a", startTime)
	for _, path := range []string{k.Certificate, k.Key} {
		info, err := os.Stat(path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(info.Mode().Perm()).To(gomega.Equal(os.FileMode(0o600)))
	}
}

func TestParseAuthoritySelectsCertificateMatchingKey(t *testing.T) {
	g := gomega.NewWithT(t)
	older, newer := newAuthority(t, startTime), newAuthority(t, startTime)
	bundle := append(append([]byte{}, older.Pair().Certificate...), newer.Pair().Certificate...)
	parsed, err := pki.ParseAuthority(pki.Pair{Certificate: bundle, Key: newer.Pair().Key})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	k := newInstanceFiles(t, newer, "a", startTime)
	k.issueCertificate(t, parsed, "a", startTime)
	g.Expect(pki.Check(k.Files, "a", startTime)).To(gomega.BeEmpty())

	_, err = pki.ParseAuthority(pki.Pair{Certificate: older.Pair().Certificate, Key: newer.Pair().Key})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("no CA certificate in the file matches")))
}

// handshake connects a client with a server and returns both errors.
func handshake(client, server *tls.Config) (clientErr, serverErr error) {
	clientConn, serverConn := net.Pipe()
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(serverConn, server)
		done <- conn.Handshake()
		_ = serverConn.Close()
	}()
	conn := tls.Client(clientConn, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		// In TLS 1.3 the server verifies the client's certificate after the
		// client's handshake has completed; the read waits for the result.
		_, _ = conn.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	return clientErr, <-done
}

func newSource(t *testing.T, k instanceFiles, now *time.Time) *pki.Source {
	t.Helper()
	source, err := pki.NewSource(k.Files, pki.Options{Now: func() time.Time { return *now }})
	if err != nil {
		t.Fatal(err)
	}
	return source
}

func TestPeerHandshakeVerifiesAuthorityNameAndProtocol(t *testing.T) {
	authority := newAuthority(t, startTime)
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
		{name: "valid certificates", now: startTime, dialed: "b", declared: "a", authority: authority, protocol: pki.Protocol},
		{
			name: "another instance answers", now: startTime, dialed: "c", declared: "a", authority: authority,
			protocol: pki.Protocol, clientFail: `its instance is not allowed on this connection: "b"`, serverFail: "bad certificate",
		},
		{
			name: "caller with an undeclared name", now: startTime, dialed: "b", declared: "x", authority: authority,
			protocol: pki.Protocol, serverFail: `its instance is not allowed on this connection: "a"`,
		},
		{
			name: "caller with a certificate of another authority", now: startTime, dialed: "b", declared: "a",
			authority: newAuthority(t, startTime), protocol: pki.Protocol,
			clientFail: "unknown authority", serverFail: "bad certificate",
		},
		{
			name: "different protocol version", now: startTime, dialed: "b", declared: "a", authority: authority,
			protocol: "sycamoreledge/2", clientFail: "no application protocol", serverFail: "unsupported application protocols",
		},
		{
			name: "expired", now: startTime.Add(pki.CertificateLifetime + time.Hour), dialed: "b", declared: "a",
			authority: authority, protocol: pki.Protocol, clientFail: "expired", serverFail: "bad certificate",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := c.now
			client := newSource(t, newInstanceFiles(t, c.authority, "a", startTime), &now)
			server := newSource(t, newInstanceFiles(t, authority, "b", startTime), &now)
			declared := func(name string) bool { return name == c.declared }
			clientErr, serverErr := handshake(
				client.PeerClient(c.dialed, c.protocol), server.PeerServer(declared, pki.Protocol))
			expectError(g, clientErr, c.clientFail)
			expectError(g, serverErr, c.serverFail)
		})
	}
}

func expectError(g gomega.Gomega, err error, text string) {
	if text == "" {
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return
	}
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(text)))
}

func TestAuthorityRotationWithoutRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	now := startTime
	older, newer := newAuthority(t, startTime), newAuthority(t, startTime)
	a, b := newInstanceFiles(t, older, "a", startTime), newInstanceFiles(t, older, "b", startTime)
	client, server := newSource(t, a, &now), newSource(t, b, &now)
	allowAll := func(string) bool { return true }
	serverConfig := server.PeerServer(allowAll, pki.Protocol)
	connect := func() {
		clientErr, serverErr := handshake(client.PeerClient("b", pki.Protocol), serverConfig)
		g.Expect(clientErr).NotTo(gomega.HaveOccurred())
		g.Expect(serverErr).NotTo(gomega.HaveOccurred())
	}
	steps := []func(){
		func() {},
		func() { a.writeAuthorities(t, older, newer); b.writeAuthorities(t, older, newer) },
		func() { a.issueCertificate(t, newer, "a", startTime) },
		func() { b.issueCertificate(t, newer, "b", startTime) },
		func() { a.writeAuthorities(t, newer); b.writeAuthorities(t, newer) },
	}
	for _, step := range steps {
		step()
		now = now.Add(2 * time.Second)
		connect()
	}

	retired := newSource(t, newInstanceFiles(t, older, "a", startTime), &now)
	_, serverErr := handshake(retired.PeerClient("b", pki.Protocol), serverConfig)
	g.Expect(serverErr).To(gomega.HaveOccurred())
}

func TestFailedReloadKeepsPreviousCredentials(t *testing.T) {
	g := gomega.NewWithT(t)
	now := startTime
	k := newInstanceFiles(t, newAuthority(t, startTime), "a", startTime)
	var reports []error
	var source *pki.Source
	source, err := pki.NewSource(k.Files, pki.Options{
		Now: func() time.Time { return now },
		// OnReload may call methods of the source: the source must not hold its
		// lock during the call.
		OnReload: func(err error) { reports = append(reports, err, instanceNameError(source)) },
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

func instanceNameError(source *pki.Source) error {
	_, err := source.Name()
	return err
}

func TestOperatorClientTrustsOnlyItsAuthority(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	authority := newAuthority(t, now)
	k := newInstanceFiles(t, authority, "a", now)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	// The listener is wrapped with TLS here, because StartTLS would add httptest's
	// own certificate.
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

	otherConfig, err := pki.OperatorClient(newInstanceFiles(t, newAuthority(t, now), "a", now).Authority)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	otherClient := &http.Client{Transport: &http.Transport{TLSClientConfig: otherConfig}}
	response, err = otherClient.Get(url)
	if err == nil {
		response.Body.Close()
	}
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("unknown authority")))
}
