package firm_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/settings"
)

const deploy = "../../../deploy"

// size is what the firms state about themselves.
type size struct {
	dir       string
	upstreams map[string]int
	slots     map[string]int
	region    time.Duration
	zone      time.Duration
	rate      float64
}

var sizes = []size{
	{"lantern-mount", map[string]int{"status": 14, "orders": 12, "scans": 12},
		map[string]int{"status": 5, "orders": 3, "scans": 3}, 35 * time.Millisecond, time.Millisecond, 280},
	{"wijesekera", map[string]int{"patterns": 16, "ledger": 12, "artwork": 12},
		map[string]int{"patterns": 6, "ledger": 3, "artwork": 3}, 20 * time.Millisecond, 500 * time.Microsecond, 4000},
}

func TestFirmsHaveTheirDeclaredSizes(t *testing.T) {
	for _, want := range sizes {
		t.Run(want.dir, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f, err := firm.Load(filepath.Join(deploy, want.dir))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(f.Topology.Regions).To(gomega.HaveLen(3))
			zones := firm.Zones(&f.Topology)
			g.Expect(zones).To(gomega.HaveLen(6))
			g.Expect(instances(&f.Topology)).To(gomega.Equal(8))
			for _, s := range f.Topology.Services {
				g.Expect(s.Pools).To(gomega.HaveLen(6))
				n := 0
				for _, p := range s.Pools {
					n += len(p.Upstreams)
					for _, u := range p.Upstreams {
						g.Expect(u.Slots).To(gomega.Equal(want.slots[s.Name]))
					}
				}
				g.Expect(n).To(gomega.Equal(want.upstreams[s.Name]))
			}
			g.Expect(firm.Latency(&f.Topology, &f.World, zones[0], zones[1])).To(gomega.Equal(want.zone))
			g.Expect(firm.Latency(&f.Topology, &f.World, zones[0], zones[5])).To(gomega.Equal(want.region))
			g.Expect(f.Topology.Links).To(gomega.HaveLen(3))
			for _, l := range f.Topology.Links {
				g.Expect(l.Rate).To(gomega.Equal(want.rate))
			}
			g.Expect(f.Presets).To(gomega.HaveLen(4))
			for _, p := range f.Presets {
				g.Expect(p.Services).To(gomega.HaveLen(len(f.Topology.Services)))
				for _, l := range p.Links {
					g.Expect(l.Cap).To(gomega.BeNumerically("<", want.rate))
				}
			}
		})
	}
}

func TestGenerateMapsEveryServerOfAnotherZoneToAForward(t *testing.T) {
	g := gomega.NewWithT(t)
	f, err := firm.Load(filepath.Join(deploy, "lantern-mount"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	declared := f.Topology.Regions[0].Zones[0].Instances[0].Callers

	p, err := firm.Generate(t.TempDir(), f)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.Topology.Regions[0].Zones[0].Instances[0].Callers).To(gomega.Equal(declared))

	again, err := firm.ReadPlan(p.Dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(p))

	seen := map[string]bool{}
	for _, fw := range p.Forwards {
		g.Expect(fw.From).NotTo(gomega.Equal(fw.To))
		key := fw.Network + fw.Listen
		g.Expect(seen[key]).To(gomega.BeFalse(), key)
		seen[key] = true
	}
	const servers = 8 + 14 + 12 + 12 + 1
	g.Expect(p.Forwards).To(gomega.HaveLen(servers * 5))
}

func instances(t *settings.Topology) int {
	n := 0
	for _, r := range t.Regions {
		for _, z := range r.Zones {
			n += len(z.Instances)
		}
	}
	return n
}

func TestTheDaemonTakesEveryGeneratedSettingsFile(t *testing.T) {
	for _, want := range sizes {
		t.Run(want.dir, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f, err := firm.Load(filepath.Join(deploy, want.dir))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			p, err := firm.Generate(t.TempDir(), f)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for _, e := range p.Entries {
				bundle, err := settings.LoadBundle(e.Settings)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(bundle.Settings.Instance).To(gomega.Equal(e.Name))
				name, ok := settings.FindOperator(bundle.Operators, p.Tokens["first"])
				g.Expect(ok).To(gomega.BeTrue())
				g.Expect(name).To(gomega.Equal("first"))
				files := pki.Files{Authority: bundle.Settings.TLS.Authority, Certificate: bundle.Settings.TLS.Certificate, Key: bundle.Settings.TLS.Key}
				keys, err := pki.NewSource(files, pki.Options{})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(keys.Name()).To(gomega.Equal(e.Name))
			}
			topo, err := settings.LoadTopology(filepath.Join(deploy, want.dir, "topology.yaml"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for _, preset := range f.Presets {
				_, err := settings.LoadPreset(filepath.Join(deploy, want.dir, "presets", preset.Name+".yaml"), topo)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
		})
	}
}

func TestEveryZoneMayBeDrainedOnAnOrdinaryDay(t *testing.T) {
	for _, want := range sizes {
		f, err := firm.Load(filepath.Join(deploy, want.dir))
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		for _, preset := range f.Presets {
			if preset.Name != "ordinary" && preset.Name != "peak" {
				// The others drain zones of their own.
				continue
			}
			for _, zone := range firm.Zones(&f.Topology) {
				t.Run(want.dir+"/"+preset.Name+"/"+zone, func(t *testing.T) {
					drains := []settings.Drain{{Kind: settings.DrainZone, Name: zone}}
					gomega.NewWithT(t).Expect(settings.CheckPreset(&f.Topology, &preset, drains)).To(gomega.Succeed())
				})
			}
		}
	}
}
