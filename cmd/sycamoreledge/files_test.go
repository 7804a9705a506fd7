package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/settings"
)

func TestKeysInitIssueAndCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := filepath.Join(t.TempDir(), "keys")
	got := execute(t, "keys", "init", "--dir", dir, "--firm", "Lantern Mount")
	g.Expect(got.code).To(gomega.Equal(exitOK), got.stderr)
	got = execute(t, "keys", "issue", "e1", "--dir", dir, "--host", "127.0.0.1")
	g.Expect(got.code).To(gomega.Equal(exitOK), got.stderr)

	files := pki.Files{
		Authority:   filepath.Join(dir, authorityFile),
		Certificate: filepath.Join(dir, "e1.pem"),
		Key:         filepath.Join(dir, "e1.key"),
	}
	g.Expect(pki.Check(files, "e1", time.Now())).To(gomega.BeEmpty())
	_, err := settings.LoadKeySecrets(filepath.Join(dir, secretFile))
	g.Expect(err).NotTo(gomega.HaveOccurred())

	got = execute(t, "keys", "init", "--dir", dir, "--firm", "Lantern Mount")
	g.Expect(got.code).To(gomega.Equal(exitFailed))
	g.Expect(got.stderr).To(gomega.ContainSubstring("already exists"))
	g.Expect(pki.Check(files, "e1", time.Now())).To(gomega.BeEmpty(), "the existing authority must not be replaced")

	got = execute(t, "keys", "issue", "e2", "--dir", dir)
	g.Expect(got.code).To(gomega.Equal(exitUsage), "neither --host nor --topology is given")
}

func TestOperatorsAdd(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	file, tokenFile := filepath.Join(dir, "operators.yaml"), filepath.Join(dir, "ada.token")
	got := execute(t, "operators", "add", "ada", "--file", file, "--token-file", tokenFile)
	g.Expect(got.code).To(gomega.Equal(exitOK), got.stderr)
	got = execute(t, "operators", "add", "bo", "--file", file, "-o", "json")
	g.Expect(got.code).To(gomega.Equal(exitOK), got.stderr)
	g.Expect(got.stdout).To(gomega.MatchRegexp(`"token": "[0-9a-f]{64}"`))

	list, err := settings.LoadOperators(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	token, err := os.ReadFile(tokenFile)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	name, ok := settings.FindOperator(list, strings.TrimSpace(string(token)))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(name).To(gomega.Equal("ada"))
	info, err := os.Stat(tokenFile)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(info.Mode().Perm()).To(gomega.BeEquivalentTo(0o600))

	got = execute(t, "operators", "add", "ada", "--file", file)
	g.Expect(got.code).To(gomega.Equal(exitFailed))
	g.Expect(got.stderr).To(gomega.ContainSubstring("already has an operator ada"))
}

const validPreset = `name: peak
headroom: 0.2
drained_zones: [east-a]
services:
  - name: status
    deadline: 2s
    dispatch_timeout: 1s
    queue: 100
links:
  - between: [east, west]
    cap: 140
`

func TestPresetShowOutputIsValidPresetFile(t *testing.T) {
	g := gomega.NewWithT(t)
	preset, err := settings.ParsePreset("peak.yaml", []byte(validPreset), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	startFakeAPI(t, 200, map[string]any{"GET /v1/presets/peak": wire.Preset{Preset: *preset}})
	got := execute(t, "preset", "show", "peak")
	g.Expect(got.code).To(gomega.Equal(exitOK), got.stderr)
	parsed, err := settings.ParsePreset("shown.yaml", []byte(got.stdout), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred(), got.stdout)
	g.Expect(parsed).To(gomega.Equal(preset))
}

func TestInvalidPresetFileErrorNamesLine(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", strings.Replace(validPreset, "queue", "quue", 1), "peak.yaml:8"},
		{"wrong type", strings.Replace(validPreset, "0.2", "much", 1), "peak.yaml:2"},
		{"out of range", strings.Replace(validPreset, "0.2", "1.5", 1), "peak.yaml:2"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := startFakeAPI(t, 200, nil)
			file := filepath.Join(t.TempDir(), "peak.yaml")
			writeFile(t, file, tc.text)
			got := execute(t, "preset", "apply", "-f", file)
			g.Expect(got.code).To(gomega.Equal(exitFailed))
			g.Expect(got.stderr).To(gomega.ContainSubstring(tc.want))
			g.Expect(f.calls.Load()).To(gomega.BeZero(), "an invalid preset must not be sent")
		})
	}
}

func TestSettingsCheckReportsInvalidFile(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	writeFile(t, file, "instance: e1\ntopolgy: t.yaml\n")
	got := execute(t, "settings", "check", file)
	g.Expect(got.code).To(gomega.Equal(exitFailed))
	g.Expect(got.stderr).To(gomega.ContainSubstring("settings.yaml:2"))
	got = execute(t, "settings", "check", filepath.Join(t.TempDir(), "none.yaml"))
	g.Expect(got.code).To(gomega.Equal(exitFailed))
}

// newFirm writes the settings, topology, preset and keys of a small firm with the
// commands that README describes. It returns the settings file of one instance.
func newFirm(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"topology.yaml", "preset.yaml"} {
		text, err := os.ReadFile(filepath.Join("../../internal/settings/testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, filepath.Join(dir, name), string(text))
	}
	keys := filepath.Join(dir, "keys")
	for _, args := range [][]string{
		{"keys", "init", "--dir", keys, "--firm", "Example"},
		{"keys", "issue", "--dir", keys, "--topology", filepath.Join(dir, "topology.yaml")},
		{"operators", "add", "ada", "--file", filepath.Join(dir, "operators.yaml"), "--token-file", filepath.Join(dir, "ada.token")},
	} {
		if got := execute(t, args...); got.code != exitOK {
			t.Fatal(got.stderr)
		}
	}
	file := filepath.Join(dir, "e1.yaml")
	writeFile(t, file, `instance: e1
topology: topology.yaml
preset: preset.yaml
platform: {address: "127.0.0.1:7900"}
tls: {authority: keys/authority.pem, certificate: keys/e1.pem, key: keys/e1.key}
key_secret: keys/idempotency.secret
operators: operators.yaml
`)
	return file
}

func TestSettingsCheckOfCompleteFirm(t *testing.T) {
	g := gomega.NewWithT(t)
	file := newFirm(t)
	got := execute(t, "settings", "check", file)
	g.Expect(got.code).To(gomega.Equal(exitOK), got.stderr)
	g.Expect(got.stdout).To(gomega.ContainSubstring("instance e1 of example"))
	g.Expect(got.stderr).To(gomega.BeEmpty())
	got = execute(t, "keys", "check", file)
	g.Expect(got.stdout).To(gomega.ContainSubstring("are valid"))

	text, err := os.ReadFile(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	writeFile(t, file, strings.Replace(string(text), "keys/e1.pem", "keys/e2.pem", 1))
	got = execute(t, "settings", "check", file)
	g.Expect(got.code).To(gomega.Equal(exitFailed))
	g.Expect(got.stderr).To(gomega.ContainSubstring("wrong_name"))
}
