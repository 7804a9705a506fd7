package link

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestASessionThatEndsTakesDatagramsOfTheClient(t *testing.T) {
	g := gomega.NewWithT(t)
	near, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { g.Expect(near.Close()).To(gomega.Succeed()); g.Expect(target.Close()).To(gomega.Succeed()) }()
	all := &sessions{idle: 20 * time.Millisecond, byClient: map[string]*session{}}
	there, back := newPipe(0, nil), newPipe(0, nil)
	// The target is silent, as a dead instance is.
	s := all.get(near, target.LocalAddr(), target.LocalAddr().String(), there, back)
	g.Expect(s).NotTo(gomega.BeNil())
	known := func() int {
		all.mu.Lock()
		defer all.mu.Unlock()
		return len(all.byClient)
	}
	g.Eventually(known, 5*time.Second).Should(gomega.BeZero())
	g.Expect(func() { push(s.way, []byte("late"), there) }).NotTo(gomega.Panic())
}
