package steering

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestTrackedObjectsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	u := &upstream{lastSent: make(map[string]time.Time)}
	now := time.Unix(100, 0)
	u.recordObject(now, "old")
	now = now.Add(objectTTL)
	for i := range 2 * maxObjects {
		u.recordObject(now, strconv.Itoa(i))
		g.Expect(len(u.lastSent)).To(gomega.BeNumerically("<=", maxObjects))
	}
	g.Expect(u.hasCached(now, strconv.Itoa(2*maxObjects-1))).To(gomega.BeTrue())
	g.Expect(u.lastSent).NotTo(gomega.HaveKey("old"))
}

func TestSlowdownAndShedRateExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	u := &upstream{}
	for range 10 {
		u.recordSlowdown(now, 6)
		u.recordShed(now, true)
	}
	g.Expect(u.currentSlowdown(now)).To(gomega.BeNumerically(">", 3))
	g.Expect(u.currentShedRate(now)).To(gomega.BeNumerically(">", 0.5))
	later := now.Add(slowdownTTL)
	g.Expect(u.currentSlowdown(later)).To(gomega.Equal(1.0))
	g.Expect(u.currentShedRate(later)).To(gomega.BeZero())
	u.recordSlowdown(later, 1)
	g.Expect(u.currentSlowdown(later)).To(gomega.BeNumerically("~", 1, 0.01), "expired measurements are not included again")
}
