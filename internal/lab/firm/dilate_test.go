package firm_test

import (
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
)

func TestADilatedFirmIsStillAccepted(t *testing.T) {
	for _, want := range sizes {
		g := gomega.NewWithT(t)
		f, err := firm.Load(filepath.Join(deploy, want.dir))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		plain, err := firm.Load(filepath.Join(deploy, want.dir))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		const factor = 4
		f.Dilate(factor)
		p, err := firm.Generate(t.TempDir(), f)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = settings.LoadBundle(p.Entries[0].Settings)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for i := range f.Presets {
			g.Expect(settings.CheckPreset(&f.Topology, &f.Presets[i], nil)).To(gomega.Succeed())
			got, old := f.Presets[i].Services[0], plain.Presets[i].Services[0]
			g.Expect(got.Deadline).To(gomega.Equal(factor * old.Deadline))
			// As many requests fit into a deadline as before.
			g.Expect(got.ShiftRate * got.Deadline.Seconds()).To(gomega.BeNumerically("~", old.ShiftRate*old.Deadline.Seconds(), 1e-6))
		}
		g.Expect(f.World.Services[0].ServiceTime).To(gomega.Equal(factor * plain.World.Services[0].ServiceTime))
		g.Expect(f.World.CallerLatency).To(gomega.Equal(factor * plain.World.CallerLatency))
	}
}
