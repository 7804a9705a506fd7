package main

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/settings"
)

// result is the exit code and the output of a command.
type result struct {
	code           int
	stdout, stderr string
}

func execute(t *testing.T, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(t.Context(), args, strings.NewReader(""), &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

// fakeAPI is a fake of the operators' API. It answers each call with the status,
// and with the body set for the method and path.
type fakeAPI struct {
	*httptest.Server
	status int
	bodies map[string]any
	calls  atomic.Int64
}

// startFakeAPI starts a fake API and sets the environment variables with which
// commands connect to it.
func startFakeAPI(t *testing.T, status int, answers map[string]any) *fakeAPI {
	t.Helper()
	f := &fakeAPI{status: status, bodies: answers}
	f.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		w.WriteHeader(f.status)
		json.NewEncoder(w).Encode(f.bodies[r.Method+" "+r.URL.Path]) //nolint:errcheck // the client sees it
	}))
	dir := t.TempDir()
	f.TLS = writeInstanceKeys(t, dir)
	f.StartTLS()
	t.Cleanup(f.Close)
	t.Setenv("SYCAMORELEDGE_ENDPOINT", f.Listener.Addr().String())
	t.Setenv("SYCAMORELEDGE_AUTHORITY", filepath.Join(dir, authorityFile))
	t.Setenv(tokenVariable, "secret")
	return f
}

// writeInstanceKeys creates the keys of a firm with one instance in the directory
// and returns the instance's TLS configuration.
func writeInstanceKeys(t *testing.T, dir string) *tls.Config {
	t.Helper()
	for _, args := range [][]string{
		{"keys", "init", "--dir", dir, "--firm", "test"},
		{"keys", "issue", "e1", "--dir", dir, "--host", "127.0.0.1"},
	} {
		if got := execute(t, args...); got.code != exitOK {
			t.Fatal(got.stderr)
		}
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "e1.pem"), filepath.Join(dir, "e1.key"))
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func apiError(code, message string, detail any) wire.Error {
	raw, err := json.Marshal(detail)
	if err != nil {
		panic(err)
	}
	return wire.Error{Code: code, Message: message, Detail: raw}
}

func TestExitCodes(t *testing.T) {
	conflict := wire.Conflict{Base: 6, Current: 7, Won: []settings.AuditRecord{{Operator: "ada", Action: "use", Detail: "peak"}}}
	use := "POST /v1/in-force"
	cases := []struct {
		name       string
		status     int
		answer     any
		args       []string
		code       int
		wantStderr string
	}{
		{"done", 200, wire.Changed{InForce: "peak", Version: 7}, []string{"preset", "use", "peak"}, exitOK, ""},
		{"unknown command", 200, nil, []string{"shift"}, exitUsage, "--help"},
		{"missing argument", 200, nil, []string{"preset", "use"}, exitUsage, "<name>"},
		{"unknown output format", 200, nil, []string{"version", "-o", "xml"}, exitUsage, "table"},
		{"undo of a planned stop", 200, nil, []string{"drain", "entry", "e1", "--undo"}, exitUsage, "cannot be undone"},
		{"refused", 422, apiError(wire.CodeRefused, "headroom of east would be gone", nil), []string{"preset", "use", "peak"}, exitRefused, "headroom of east"},
		{"credential refused", 401, apiError(wire.CodeUnauthorized, "the credential is not valid", nil), []string{"preset", "use", "peak"}, exitRefused, "credential"},
		{"conflict shows the earlier change", 409, apiError(wire.CodeConflict, "version 6 has been replaced", conflict), []string{"preset", "use", "peak"}, exitConflict, "operator ada: use peak"},
		{"platform unreachable", 503, apiError(wire.CodeUnavailable, "no answer", nil), []string{"preset", "use", "peak"}, exitUnreachable, "no answer"},
		{"outcome unknown", 504, apiError(wire.CodeUncertain, "lost", nil), []string{"preset", "use", "peak", "--operation", "op7"}, exitUnreachable, "--operation op7"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			startFakeAPI(t, tc.status, map[string]any{use: tc.answer})
			got := execute(t, tc.args...)
			g.Expect(got.code).To(gomega.Equal(tc.code), got.stderr)
			g.Expect(got.stderr).To(gomega.ContainSubstring(tc.wantStderr))
		})
	}
}

func TestUnreachableInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ln.Close()).To(gomega.Succeed())
	t.Setenv(tokenVariable, "secret")
	got := execute(t, "preset", "use", "peak", "--operation", "op1", "--endpoint", ln.Addr().String())
	g.Expect(got.code).To(gomega.Equal(exitUnreachable))
	g.Expect(got.stderr).To(gomega.ContainSubstring("may have taken effect"))
}

func TestMissingEndpointOrTokenIsUsageError(t *testing.T) {
	g := gomega.NewWithT(t)
	got := execute(t, "status")
	g.Expect(got.code).To(gomega.Equal(exitUsage))
	g.Expect(got.stderr).To(gomega.ContainSubstring("--endpoint"))
	got = execute(t, "status", "--endpoint", "127.0.0.1:1")
	g.Expect(got.code).To(gomega.Equal(exitUsage))
	g.Expect(got.stderr).To(gomega.ContainSubstring("--token-file"))
}

func TestClientSettingsFile(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFakeAPI(t, 200, map[string]any{"GET /v1/presets": wire.Presets{Names: []string{"calm"}, InForce: "calm", Version: 3}})
	authority := os.Getenv("SYCAMORELEDGE_AUTHORITY")
	dir := filepath.Dir(authority)
	for _, name := range []string{"SYCAMORELEDGE_ENDPOINT", "SYCAMORELEDGE_AUTHORITY", tokenVariable} {
		g.Expect(os.Unsetenv(name)).To(gomega.Succeed())
	}
	writeFile(t, filepath.Join(dir, "ada.token"), "secret\n")
	file := filepath.Join(dir, "client.yaml")
	writeFile(t, file, "endpoints: [\""+f.Listener.Addr().String()+"\"]\nauthority: authority.pem\ntoken_file: ada.token\n")
	got := execute(t, "preset", "list", "--client-settings", file)
	g.Expect(got.code).To(gomega.Equal(exitOK), got.stderr)
	g.Expect(got.stdout).To(gomega.MatchRegexp(`\* +calm`))

	writeFile(t, file, "endpoints: []\ntokn: x\n")
	got = execute(t, "preset", "list", "--client-settings", file)
	g.Expect(got.code).To(gomega.Equal(exitFailed))
	g.Expect(got.stderr).To(gomega.ContainSubstring("tokn"))
}

func TestStatusOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	status := wire.Status{
		Instance: "e1", Zone: "east-a", Region: "east", State: "serving", ConfigVersion: 9, Preset: "peak",
		Drains:  []settings.Drain{{Kind: settings.DrainZone, Name: "west-b"}},
		Entries: []wire.EntryStatus{{Name: "e2", Zone: "east-b", State: "serving"}},
		Pools: []wire.PoolStatus{
			{Service: "status", Zone: "east-a", Owners: []wire.PoolOwner{{Instance: "e1", Busy: 7, Slots: 70, Queued: 2, AgeMs: 15}}},
			{Service: "orders", Zone: "east-b"},
		},
		Explain: []string{"status@east-b is adopted: its zone is silent"},
	}
	startFakeAPI(t, 200, map[string]any{"GET /v1/status": status})
	got := execute(t, "status", "--explain")
	g.Expect(got.code).To(gomega.Equal(exitOK), got.stderr)
	g.Expect(got.stdout).To(gomega.MatchRegexp(`status@east-a +e1 +7 +70 +90% +2 +15ms`))
	g.Expect(got.stdout).To(gomega.MatchRegexp(`orders@east-b +none`))
	g.Expect(got.stdout).To(gomega.MatchRegexp(`e2 +east-b +failed`))
	g.Expect(got.stdout).To(gomega.ContainSubstring("drain of zone west-b"))
	g.Expect(got.stdout).To(gomega.ContainSubstring("its zone is silent"))

	var decoded wire.Status
	got = execute(t, "status", "-o", "json")
	g.Expect(json.Unmarshal([]byte(got.stdout), &decoded)).To(gomega.Succeed())
	g.Expect(decoded).To(gomega.Equal(status))
}

func TestPresetUseWaitsForAllReachableInstances(t *testing.T) {
	changed := wire.Changed{InForce: "peak", Version: 9}
	cases := []struct {
		name    string
		entries []wire.EntryStatus
		limit   string
		code    int
		stderr  string
	}{
		{"in force at all live instances", []wire.EntryStatus{{Name: "e1", Alive: true, ConfigVersion: 9}, {Name: "e2", ConfigVersion: 3}}, "30s", exitOK, ""},
		{"not in force at a live instance", []wire.EntryStatus{{Name: "e1", Alive: true, ConfigVersion: 8}}, "2s", exitNotInForce, "e1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			startFakeAPI(t, 200, map[string]any{
				"POST /v1/in-force": changed,
				"GET /v1/status":    wire.Status{ConfigVersion: 9, Entries: tc.entries},
			})
			got := execute(t, "preset", "use", "peak", "--wait", "--wait-limit", tc.limit)
			g.Expect(got.code).To(gomega.Equal(tc.code), got.stderr)
			g.Expect(got.stderr).To(gomega.ContainSubstring(tc.stderr))
		})
	}
}

func TestCommandHelpShowsExamplesAndExitCodes(t *testing.T) {
	for path := range examples {
		t.Run("help of "+path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got := execute(t, append(strings.Fields(path), "--help")...)
			g.Expect(got.code).To(gomega.Equal(exitOK))
			g.Expect(got.stdout).To(gomega.ContainSubstring(examples[path]))
			g.Expect(got.stdout).To(gomega.ContainSubstring("Exit codes"))
		})
	}
}
