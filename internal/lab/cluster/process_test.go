package cluster

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// state returns the letter of a process's state in /proc.
func state(g *gomega.WithT, p *Process) string {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, rest, _ := strings.Cut(string(data), ") ")
	return rest[:1]
}

func TestAProcessIsFrozenResumedAndKilled(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newProcess(t.TempDir(), "sleeper", "sleep", "600")
	g.Expect(p.Kill()).NotTo(gomega.Succeed())
	g.Expect(p.Start()).To(gomega.Succeed())
	g.Expect(p.Start()).NotTo(gomega.Succeed())
	g.Expect(p.Freeze()).To(gomega.Succeed())
	g.Eventually(func() string { return state(g, p) }, 30*time.Second).Should(gomega.Equal("T"))
	g.Expect(p.Resume()).To(gomega.Succeed())
	g.Eventually(func() string { return state(g, p) }, 30*time.Second).Should(gomega.Equal("S"))
	g.Expect(p.Kill()).To(gomega.Succeed())
	g.Expect(p.Running()).To(gomega.BeFalse())
	g.Expect(p.Start()).To(gomega.Succeed())
	g.Expect(p.end(30 * time.Second)).To(gomega.MatchError(gomega.ContainSubstring("terminated")))
}

func TestAFrozenProcessIsStillEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newProcess(t.TempDir(), "frozen", "sleep", "600")
	g.Expect(p.Start()).To(gomega.Succeed())
	g.Expect(p.Freeze()).To(gomega.Succeed())
	g.Expect(p.end(30 * time.Second)).NotTo(gomega.Succeed())
	g.Expect(p.Running()).To(gomega.BeFalse())
}

func TestAProcessThatEndsByItselfIsNoticed(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newProcess(t.TempDir(), "short", "false")
	g.Expect(p.Start()).To(gomega.Succeed())
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	g.Expect(p.Wait(ctx)).To(gomega.MatchError(gomega.ContainSubstring("exit status 1")))
	g.Expect(p.Running()).To(gomega.BeFalse())
}
