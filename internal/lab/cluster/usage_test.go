package cluster

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestUsageIsReadFromTheLineOfTheKernel(t *testing.T) {
	g := gomega.NewWithT(t)
	u, err := parseUsage(" S 1 2 3 4 5 6 7 8 9 10 150 50 13 14 15 16 17 18 19 20 3 22")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(u.Processor).To(gomega.Equal(2 * time.Second))
	g.Expect(u.Memory % 3).To(gomega.BeZero())
	_, err = parseUsage(" S 1 2")
	g.Expect(err).To(gomega.HaveOccurred())
}

func TestUsageOfARunningProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newProcess(t.TempDir(), "sleeper", "sleep", "600")
	_, err := p.Usage()
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(p.Start()).To(gomega.Succeed())
	memory := func() (int64, error) {
		u, err := p.Usage()
		return u.Memory, err
	}
	g.Eventually(memory, 30*time.Second).Should(gomega.BeNumerically(">", 0))
	g.Expect(p.Kill()).To(gomega.Succeed())
}
