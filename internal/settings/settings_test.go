package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// editTestdata returns the content of a file in testdata with the first occurrence
// of old replaced by new. It fails the test when old does not occur.
func editTestdata(t *testing.T, name, old, new string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		t.Fatalf("%s does not contain %q", name, old)
	}
	return strings.Replace(string(data), old, new, 1)
}

func writeTempFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func loadTopology(t *testing.T) *settings.Topology {
	t.Helper()
	topo, err := settings.LoadTopology("testdata/topology.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return topo
}

func TestLoadBundleAppliesDefaultsAndResolvesPaths(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := settings.LoadBundle("testdata/settings.yaml")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(b.Settings.Control.Lease).To(gomega.Equal(1500 * time.Millisecond))
	g.Expect(b.Settings.Platform.Timeout).To(gomega.Equal(2 * time.Second))
	g.Expect(b.Settings.Traffic.MaxKeyBytes).To(gomega.Equal(int64(256 << 20)))
	g.Expect(b.Settings.Log.Level).To(gomega.Equal("info"))
	g.Expect(b.Settings.TLS.Key).To(gomega.Equal("testdata/e1-key.pem"))
	g.Expect(b.Preset.Service("status").DispatchTimeout).To(gomega.Equal(1500 * time.Millisecond))
	g.Expect(b.Keys[0].ID).To(gomega.Equal("b"))
	g.Expect(b.Keys).To(gomega.HaveLen(2))
	name, ok := settings.FindOperator(b.Operators, "secret")
	g.Expect(name).To(gomega.Equal("ada"))
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = settings.FindOperator(b.Operators, "guess")
	g.Expect(ok).To(gomega.BeFalse())
}

// invalidEdit is an edit that makes a valid file invalid, with the position and
// message of the expected error.
type invalidEdit struct {
	name     string
	old, new string
	line     int
	message  string
}

func expectFileError(t *testing.T, f invalidEdit, err error) {
	t.Helper()
	g := gomega.NewWithT(t)
	var ferr *settings.FileError
	g.Expect(errors.As(err, &ferr)).To(gomega.BeTrue(), "got %v", err)
	g.Expect(settings.Error.Has(err)).To(gomega.BeTrue())
	g.Expect(ferr.Message).To(gomega.ContainSubstring(f.message))
	g.Expect(ferr.Line).To(gomega.Equal(f.line), ferr.Error())
	g.Expect(ferr.Source).To(gomega.ContainSubstring("^"), ferr.Error())
}

func TestLoadRejectsInvalidSettings(t *testing.T) {
	faults := []invalidEdit{
		{"unknown key", "preset: preset.yaml", "presett: preset.yaml", 3, `unknown field "presett"`},
		{"duplicate key", "preset: preset.yaml", "instance: e2", 3, "instance"},
		{"missing value", "key_secret: keys.txt\n", "", 1, "key_secret: a value is required"},
		{"bad address", "127.0.0.1:9000", "localhost", 5, "not an address"},
		{"malformed", "platform:", "platform: [", 6, "must be specified"},
		{"bad duration", "127.0.0.1:9000", "127.0.0.1:9000\n  timeout: 5 sec", 6, `"5 sec" is not a duration`},
		{"number as duration", "127.0.0.1:9000", "127.0.0.1:9000\n  timeout: 5", 6, `"5" is not a duration`},
		{"low duration", "127.0.0.1:9000", "127.0.0.1:9000\n  timeout: 1ms", 6, "at least 10ms"},
		{"level", "instance: e1", "instance: e1\nlog: {level: loud}", 2, "not one of: debug, info, warn, error"},
		{"lease below three heartbeats", "instance: e1", "instance: e1\ncontrol: {lease: 600ms}", 2, "shorter than three heartbeats"},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			_, err := settings.Load(writeTempFile(t, editTestdata(t, "settings.yaml", f.old, f.new)))
			expectFileError(t, f, err)
		})
	}
}

func TestLoadRequiresExactlyOneDocument(t *testing.T) {
	for _, content := range []string{"", "# nothing\n", "---\n---\na: b\n", "a: b\n---\na: c\n", "- a\n", "\x00"} {
		g := gomega.NewWithT(t)
		_, err := settings.Load(writeTempFile(t, content))
		g.Expect(settings.Error.Has(err)).To(gomega.BeTrue(), "content %q gives %v", content, err)
	}
}

func TestLoadBundleRejectsUndeclaredNames(t *testing.T) {
	faults := []invalidEdit{
		{"instance", "instance: e1", "instance: e9", 1, "instance e9 is not declared"},
		{"address map", "instance: e1", "instance: e1\naddress_map:\n  10.9.9.9:1: 127.0.0.1:1", 3, "10.9.9.9:1 is not declared"},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			dir := t.TempDir()
			g := gomega.NewWithT(t)
			g.Expect(os.CopyFS(dir, os.DirFS("testdata"))).To(gomega.Succeed())
			path := filepath.Join(dir, "settings.yaml")
			g.Expect(os.WriteFile(path, []byte(editTestdata(t, "settings.yaml", f.old, f.new)), 0o600)).To(gomega.Succeed())
			_, err := settings.LoadBundle(path)
			expectFileError(t, f, err)
		})
	}
}

func TestLoadTopologyRejectsInvalidTopologies(t *testing.T) {
	faults := []invalidEdit{
		{"instance twice", "name: e3", "name: e1", 11, "instance e1 is declared twice"},
		{"zone twice", "name: east-b", "name: east-a", 9, "zone east-a is declared twice"},
		{"region twice", "name: west", "name: east", 12, "region east is declared twice"},
		{"address twice", "127.0.0.1:8002", "127.0.0.1:7001", 30, "address 127.0.0.1:7001 is declared twice"},
		{"upstream twice", "name: s4", "name: s1", 36, "upstream s1 is declared twice"},
		{"pool in unknown zone", "zone: south-a", "zone: north-a", 34, "zone north-a is not declared"},
		{"pool twice", "zone: south-a", "zone: west-a", 34, "pool of zone west-a is declared twice"},
		{"kind", "kind: lookup", "kind: query", 22, "not one of: lookup, order, upload"},
		{"no slots", "slots: 5", "slots: 0", 27, "above 0"},
		{"link to unknown region", "[east, west]", "[east, north]", 38, "region north is not declared"},
		{"link to itself", "[east, west]", "[east, east]", 38, "two different regions"},
		{"link twice", "[east, south]", "[west, east]", 39, "the link is declared twice"},
		{"link of three", "[east, west]", "[east, west, south]", 38, "must have 2 items"},
		{"block", "10.1.0.0/16", "10.1.0.0/99", 41, "not an address block"},
		{"block in unknown zone", "zone: east-a}", "zone: north-a}", 41, "zone north-a is not declared"},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			_, err := settings.LoadTopology(writeTempFile(t, editTestdata(t, "topology.yaml", f.old, f.new)))
			expectFileError(t, f, err)
		})
	}
}

func TestParsePresetRejectsInvalidPresets(t *testing.T) {
	faults := []invalidEdit{
		{"name", "name: ordinary", "name: a/b", 1, "may only have letters"},
		{"headroom", "headroom: 0.2", "headroom: 1.5", 2, "must be below 1"},
		{"unknown zone", "headroom: 0.2", "drained_zones: [north]", 2, "zone north is not declared"},
		{"unknown service", "name: status", "name: stock", 4, "service stock is not declared"},
		{"dispatch over deadline", "dispatch_timeout: 1500ms", "dispatch_timeout: 3s", 6, "longer than the deadline"},
		{"unknown link", "[west, east]", "[west, south]", 14, "no link between west and south"},
		{"cap over rate", "cap: 200", "cap: 300", 14, "above the link's rate of 280"},
		{"shift over headroom", "shift_rate: 100", "shift_rate: 201", 11, "region"},
		{"drains over half", "headroom: 0.2", "drained_zones: [west-a, south-a]", 2, "take 20 slots away and leave 10"},
		{"drained region without shift", "shift_rate: 100", "shift_rate: 0\ndrained_zones: [west-a]", 11, "keeps its requests from leaving"},
	}
	topo := loadTopology(t)
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			content := editTestdata(t, "preset.yaml", f.old, f.new)
			if f.name == "drained region without shift" {
				content = strings.Replace(editTestdata(t, "preset.yaml", "shift_rate: 100", "shift_rate: 0"), "headroom: 0.2", "drained_zones: [west-a]", 1)
			}
			_, err := settings.ParsePreset("preset.yaml", []byte(content), topo)
			expectFileError(t, f, err)
		})
	}
}

func TestOrdersCannotBeHedged(t *testing.T) {
	g := gomega.NewWithT(t)
	topo := loadTopology(t)
	topo.Services[0].Kind = work.Order
	topo.Services[0].ServiceTime = 20 * time.Millisecond
	_, err := settings.LoadPreset("testdata/preset.yaml", topo)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("cannot be hedged")))
}

func TestCheckPresetCountsDrains(t *testing.T) {
	zone := func(name string) settings.Drain {
		return settings.Drain{Kind: settings.DrainZone, Name: name}
	}
	upstream := func(name string) settings.Drain {
		return settings.Drain{Kind: settings.DrainUpstream, Name: name}
	}
	cases := []struct {
		name   string
		drains []settings.Drain
		ok     bool
	}{
		{"none", nil, true},
		{"one zone", []settings.Drain{zone("west-a")}, true},
		{"one region and an upstream", []settings.Drain{zone("west-a"), upstream("s1")}, true},
		{"two regions", []settings.Drain{zone("west-a"), zone("south-a")}, false},
		{"two regions by upstreams", []settings.Drain{upstream("s3"), upstream("s4")}, false},
	}
	topo := loadTopology(t)
	preset, err := settings.LoadPreset("testdata/preset.yaml", topo)
	if err != nil {
		t.Fatal(err)
	}
	preset.Services[0].ShiftRate = 50
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			err := settings.CheckPreset(topo, preset, c.drains)
			g.Expect(err == nil).To(gomega.Equal(c.ok), "%v", err)
		})
	}
}

func TestLoadKeySecretsRejectsInvalidFiles(t *testing.T) {
	faults := []invalidEdit{
		{"no colon", "b: 02", "b 02", 2, "form id: secret"},
		{"short", "b: 02", "b: ", 2, "64 hexadecimal digits"},
		{"twice", "b: 02", "a: 02", 3, "id a is listed twice"},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := settings.LoadKeySecrets(writeTempFile(t, editTestdata(t, "keys.txt", f.old, f.new)))
			var ferr *settings.FileError
			g.Expect(errors.As(err, &ferr)).To(gomega.BeTrue())
			g.Expect(ferr.Message).To(gomega.ContainSubstring(f.message))
			g.Expect(ferr.Message).NotTo(gomega.ContainSubstring("0202"))
			g.Expect(ferr.Line).To(gomega.Equal(f.line))
		})
	}
}

func TestLoadOperatorsRejectsInvalidFiles(t *testing.T) {
	faults := []invalidEdit{
		{"unknown key", "name: ada", "user: ada", 1, `unknown field "user"`},
		{"short digest", "2bb8", "", 2, "must have 64"},
		{"twice", "- name: ada", "- name: ada\n  token_sha256: " + strings.Repeat("ab", 32) + "\n- name: ada", 3, "operator ada is listed twice"},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			_, err := settings.LoadOperators(writeTempFile(t, editTestdata(t, "operators.yaml", f.old, f.new)))
			expectFileError(t, f, err)
		})
	}
}

func TestTopologyQueries(t *testing.T) {
	g := gomega.NewWithT(t)
	topo := loadTopology(t)
	g.Expect(topo.ZoneOf("e3")).To(gomega.Equal("east-b"))
	g.Expect(topo.ZoneOf("nobody")).To(gomega.BeEmpty())
	g.Expect(topo.RegionOf("west-a")).To(gomega.Equal("west"))
	g.Expect(topo.NextZoneInRegion("east-a")).To(gomega.Equal("east-b"))
	g.Expect(topo.NextZoneInRegion("east-b")).To(gomega.Equal("east-a"))
	g.Expect(topo.NextZoneInRegion("west-a")).To(gomega.BeEmpty())
	g.Expect(topo.InstancesOfRegion("east")).To(gomega.Equal(3))
	g.Expect(topo.Peers("e1")).To(gomega.HaveLen(3))
	g.Expect(topo.Pool(work.PoolID{Service: "status", Zone: "west-a"}).Upstreams[0].Name).To(gomega.Equal("s3"))
	g.Expect(topo.Pool(work.PoolID{Service: "status", Zone: "north"})).To(gomega.BeNil())
	g.Expect(topo.PoolIDs()).To(gomega.HaveLen(4))
	g.Expect(topo.Link("west", "east").BytesPerSecond()).To(gomega.Equal(35e6))
	g.Expect(topo.Link("west", "east").OneWay()).To(gomega.Equal(35 * time.Millisecond))
	g.Expect(topo.HasUpstream("s4")).To(gomega.BeTrue())
}
