package fleet

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/platform"
)

func registration(name, zone string) Registration {
	return Registration{
		Name: name, Place: deployment.Place{Zone: zone, Region: zone[:1]}, Requests: name + ":1", Peers: name + ":2",
		Incarnation: 7, Secret: []byte("secret of " + name),
	}
}

func TestDatagramsProveTheirSender(t *testing.T) {
	self := registration("a", "n1")
	said := message{
		kind: digest, name: "a", sequence: 5, edition: 6,
		report: Report{State: Serving, Cut: true, InTouch: true, Revisions: [Topics]int64{3, 1 << 40, 0, 9}},
		entries: []entry{
			{incarnation: 7, report: Report{State: Serving, Cut: true}},
			{incarnation: 1 << 60, report: Report{State: Leaving, InTouch: true}, silent: true},
		},
	}
	beat := said
	beat.kind, beat.entries = heartbeat, nil
	good := encode(&self, said)
	changed := func(at int) []byte {
		b := append([]byte(nil), good...)
		b[at] ^= 1
		return b
	}
	otherRun, otherSecret := self, self
	otherRun.Incarnation = 8
	otherSecret.Secret = []byte("guess")
	cases := []struct {
		name string
		data []byte
		want *message
	}{
		{"digest", good, &said},
		{"heartbeat", encode(&self, beat), &beat},
		{"another kind", changed(1), nil},
		{"another state", changed(statusAt), nil},
		{"longer name", changed(nameLengthAt), nil},
		{"another sequence", changed(sequenceAt + 7), nil},
		{"another revision", changed(revisionsAt + 3), nil},
		{"another entry", changed(nameAt + 1), nil},
		{"another version", changed(0), nil},
		{"cut short", good[:len(good)-1], nil},
		{"without an entry", append(append([]byte(nil), good[:nameAt+1]...), good[len(good)-proofSize:]...), nil},
		{"empty", nil, nil},
		{"another run", encode(&otherRun, said), nil},
		{"another secret", encode(&otherSecret, said), nil},
		{"not registered", encode(&Registration{Name: "x"}, said), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got, err := decode(c.data, func(name string) (Registration, bool) { return self, name == "a" })
			if c.want == nil {
				g.Expect(err).To(gomega.HaveOccurred())
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got).To(gomega.Equal(*c.want))
		})
	}
}

func TestBundles(t *testing.T) {
	g := gomega.NewWithT(t)
	var bundled []byte
	for n := byte(1); ; n++ {
		next, ok := appendToBundle(bundled, bytes.Repeat([]byte{n}, 300))
		if !ok {
			break
		}
		bundled = next
	}
	g.Expect(len(bundled)).To(gomega.BeNumerically("<=", maxDatagram))
	g.Expect(isBundle(bundled)).To(gomega.BeTrue())
	parts, err := unbundle(bundled)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(parts).To(gomega.HaveLen(4))
	g.Expect(parts[3]).To(gomega.Equal(bytes.Repeat([]byte{4}, 300)))
	for _, length := range []int{len(bundled) - 1, bundleHead + 1, bundleHead + lengthBytes + 5} {
		_, err := unbundle(bundled[:length])
		g.Expect(err).To(gomega.HaveOccurred(), "%d bytes", length)
	}
}

func TestSilentPeersFailAndReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	table := NewTable()
	table.Register(now, registration("a", "n1"))
	peers := table.Peers(now)
	g.Expect(peers[0].Alive).To(gomega.BeTrue(), "a peer that has just registered")
	g.Expect(table.Changed(now)).To(gomega.HaveLen(1), "whoever looked at the peers before")
	g.Expect(table.Changed(now)).To(gomega.BeEmpty())
	now = now.Add(introduction + 1)
	g.Expect(table.Changed(now)).To(gomega.HaveLen(1), "no datagram since")
	table.Heard(now, "a", Report{State: Serving})
	before, after := now.Add(silence*Interval-1), now.Add(silence*Interval+1)
	g.Expect(table.Peers(before)[0].Alive).To(gomega.BeTrue())
	g.Expect(table.Changed(before)).To(gomega.HaveLen(1))
	g.Expect(table.Peers(after)[0].Alive).To(gomega.BeFalse())
	g.Expect(table.Changed(after)).To(gomega.HaveLen(1))
	next := registration("a", "n1")
	next.Incarnation++
	table.Register(now.Add(time.Minute), next)
	peers = table.Peers(now.Add(time.Minute))
	g.Expect(peers[0].Alive).To(gomega.BeTrue(), "a new run")
	g.Expect(peers[0].State).To(gomega.Equal(Starting))
	table.Remove("a")
	g.Expect(table.Peers(now)).To(gomega.BeEmpty())
}

// TestFrozenPeersAreLeftOutSoon is an instance that stands still while callers wait on
// it. They wait some seconds in all, so the others must leave it out within 1.5 s, but
// not for two datagrams that are lost.
func TestFrozenPeersAreLeftOutSoon(t *testing.T) {
	const within = 1500 * time.Millisecond
	g := gomega.NewWithT(t)
	began := time.Unix(100, 0)
	table := NewTable()
	for i := range 8 {
		table.Register(began, registration(string(rune('a'+i)), "n1"))
	}
	alive := func(now time.Time) bool {
		return slices.ContainsFunc(table.Peers(now), func(p Peer) bool { return p.Name == "a" && p.Alive })
	}
	table.Heard(began, "a", Report{State: Serving})
	g.Expect(alive(began.Add(3*Interval-1))).To(gomega.BeTrue(), "two were lost")
	g.Expect(alive(began.Add(within))).To(gomega.BeFalse())
	table.Heard(began.Add(within), "a", Report{State: Serving})
	g.Expect(alive(began.Add(within))).To(gomega.BeTrue(), "it is back")
}

func TestNearest(t *testing.T) {
	a1, a2, b1 := registration("a1", "nx"), registration("a2", "ny"), registration("b1", "sx")
	all := []Registration{a1, a2, b1}
	cases := []struct {
		zone, region string
		want         string
	}{{"nx", "n", "a1"}, {"nz", "n", "a1 a2"}, {"q", "q", "a1 a2 b1"}, {"sx", "s", "b1"}}
	for _, c := range cases {
		var names []string
		for _, r := range Nearest(deployment.Place{Zone: c.zone, Region: c.region}, all) {
			names = append(names, r.Name)
		}
		gomega.NewWithT(t).Expect(strings.Join(names, " ")).To(gomega.Equal(c.want), c.zone)
	}
	gomega.NewWithT(t).Expect(Nearest(deployment.Place{}, nil)).To(gomega.BeEmpty())
}

func TestWatchersAreFewAliveAndApart(t *testing.T) {
	g := gomega.NewWithT(t)
	var peers []Peer
	for i := range 12 {
		r := registration(fmt.Sprintf("i%d", i), fmt.Sprintf("z%d", i%3))
		peers = append(peers, Peer{Registration: r, Report: Report{State: Serving}, Alive: true})
	}
	first := Watchers(TopicUpstreams, peers, 2)
	g.Expect(first).To(gomega.HaveLen(2))
	place := func(name string) string {
		for _, p := range peers {
			if p.Name == name {
				return p.Place.Zone
			}
		}
		return ""
	}
	g.Expect(place(first[0])).NotTo(gomega.Equal(place(first[1])))
	for i := range peers {
		switch peers[i].Name {
		case first[0]:
			peers[i].Alive = false
		case first[1]:
			peers[i].Cut = true
		}
	}
	second := Watchers(TopicUpstreams, peers, 2)
	g.Expect(second).To(gomega.HaveLen(2))
	g.Expect(second).NotTo(gomega.ContainElement(gomega.BeElementOf(first)))
	for i := range peers {
		peers[i].Alive = i == 4
		peers[i].Cut = false
	}
	g.Expect(Watchers(TopicUpstreams, peers, 2)).To(gomega.Equal([]string{"i4"}))
	for i := range peers {
		peers[i].Alive, peers[i].Cut = true, true
	}
	g.Expect(Watchers(TopicUpstreams, peers, 2)).To(gomega.HaveLen(2), "somebody must find out when the platform is back")
}

func object(key string, version int64) platform.Object {
	return platform.Object{Key: key, Version: version, Value: []byte(`1`)}
}

func TestChangeLog(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	_, ok := l.Since(0)
	g.Expect(ok).To(gomega.BeFalse(), "before the first snapshot")
	l.Replace([]platform.Object{object("a", 3), object("b", 4)}, 10, false)
	l.Append([]platform.Change{{Object: object("c", 12)}}, 12, false)
	l.Append([]platform.Change{{Object: object("a", 3), Deleted: true}}, 15, false)
	l.Append([]platform.Change{{Object: object("x", 1)}}, 14, false)

	news, ok := l.Since(12)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(news).To(gomega.Equal(News{Revision: 15, Changes: []platform.Change{{Object: object("a", 3), Deleted: true}}}))
	news, _ = l.Since(10)
	g.Expect(news.Changes).To(gomega.HaveLen(2))
	news, _ = l.Since(99)
	g.Expect(news).To(gomega.Equal(News{Revision: 99, Changes: []platform.Change{}}), "nothing newer, and never back")
	news, _ = l.Since(9)
	g.Expect(news.Full).To(gomega.BeTrue())
	g.Expect(news.Changes).To(gomega.ConsistOf(platform.Change{Object: object("b", 4)}, platform.Change{Object: object("c", 12)}))

	for i := range int64(2 * maxLogged) {
		l.Append([]platform.Change{{Object: object("d", 100+i)}}, 100+i, false)
	}
	g.Expect(l.size).To(gomega.BeNumerically("<=", maxLogged))
	news, _ = l.Since(50)
	g.Expect(news.Full).To(gomega.BeTrue(), "the log does not reach back")
	g.Expect(news.Changes).To(gomega.HaveLen(3))
}

func TestChangeLogSurvivesDroppedHistory(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	l.Replace([]platform.Object{object("a", 3), object("b", 4), object("c", 5)}, 10, false)
	l.Append([]platform.Change{{Object: object("d", 12)}}, 12, false)
	// The platform has dropped the history: a is gone, b was written anew, e is new.
	l.Replace([]platform.Object{object("b", 20), object("c", 5), object("d", 12), object("e", 21)}, 30, false)

	news, ok := l.Since(12)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(news.Full).To(gomega.BeFalse(), "a peer that knew all needs the differences only")
	g.Expect(news.Revision).To(gomega.Equal(int64(30)))
	g.Expect(news.Changes).To(gomega.ConsistOf(
		platform.Change{Object: object("a", 3), Deleted: true},
		platform.Change{Object: object("b", 20)}, platform.Change{Object: object("e", 21)}))
	l.Replace([]platform.Object{object("b", 20), object("c", 5), object("d", 12), object("e", 21)}, 40, false)
	news, _ = l.Since(30)
	g.Expect(news).To(gomega.Equal(News{Revision: 40, Changes: []platform.Change{}}), "nothing changed")
	news, _ = l.Since(10)
	g.Expect(news.Changes).To(gomega.HaveLen(4), "the log still reaches back")
	l.Replace([]platform.Object{object("a", 3)}, 7, false)
	news, _ = l.Since(1)
	g.Expect(news.Full).To(gomega.BeTrue(), "a platform that went back begins a new log")
	g.Expect(news.Changes).To(gomega.HaveLen(1))
}

func TestIsolation(t *testing.T) {
	g := gomega.NewWithT(t)
	peer := func(alive, cut, inTouch bool, state State) Peer {
		return Peer{Alive: alive, Report: Report{State: state, Cut: cut, InTouch: inTouch}}
	}
	alone, silent, left := peer(true, false, false, Serving), peer(false, false, true, Serving), peer(false, false, true, Leaving)
	cases := []struct {
		name     string
		peers    []Peer
		isolated bool
	}{
		{"alone from the start", []Peer{alone}, false},
		{"most are silent", []Peer{alone, alone, silent, silent, silent}, true},
		{"most are silent, and it reaches the platform", []Peer{peer(true, false, true, Serving), silent, silent, silent}, false},
		{"most are silent, and a peer reaches the platform", []Peer{alone, peer(true, false, true, Serving), silent, silent, silent}, false},
		{"half are silent", []Peer{alone, alone, silent, silent}, false},
		{"the platform is down for all", []Peer{peer(true, true, false, Serving), peer(true, true, false, Serving), silent}, false},
		{"most have left", []Peer{alone, left, left, left}, false},
	}
	for _, c := range cases {
		g.Expect(Isolated(c.peers)).To(gomega.Equal(c.isolated), c.name)
	}
}

func TestLastChangeOfALog(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	g.Expect(l.LastChange()).To(gomega.BeZero())
	l.Replace([]platform.Object{object("a", 3), object("b", 4)}, 10, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(4)), "not that of the reading")
	pages := NewChangeLog()
	pages.Replace([]platform.Object{object("a", 3), object("b", 14)}, 10, false)
	g.Expect(pages.LastChange()).To(gomega.Equal(int64(10)), "b came with a later call, and the log may not be complete up to 14")
	l.Append([]platform.Change{{Object: object("c", 12)}}, 15, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(12)))
	news, _ := l.Since(10)
	g.Expect(news.Revision).To(gomega.Equal(int64(15)), "it is complete up to the reading all the same")
	news, _ = l.Since(12)
	g.Expect(news.Changes).To(gomega.BeEmpty())
	l.Append([]platform.Change{{Object: object("a", 3), Deleted: true}}, 20, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(20)), "a deletion is as late as its reading at most")
	l.Replace([]platform.Object{object("b", 4), object("c", 12)}, 30, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(20)), "nothing changed")
	l.Replace([]platform.Object{object("b", 33), object("c", 12)}, 40, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(33)))
	news, _ = l.Since(30)
	g.Expect(news.Changes).To(gomega.ConsistOf(platform.Change{Object: object("b", 33)}))
}

func TestNewsFromPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	teller := registration("a", "n1")
	told := NewNewsroom(&teller, NewTable())
	server := httptest.NewServer(told)
	defer server.Close()
	teller.Peers = strings.TrimPrefix(server.URL, "http://")
	table := NewTable()
	asker := NewNewsroom(&Registration{Name: "b"}, table)

	_, err := asker.Ask(context.Background(), "a", TopicUpstreams, 1)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("not registered")))
	table.Register(time.Now(), teller)
	_, err = asker.Ask(context.Background(), "a", TopicUpstreams, 1)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("503")))
	told.Logs[TopicUpstreams].Replace([]platform.Object{object("u", 2)}, 5, false)
	news, err := asker.Ask(context.Background(), "a", TopicUpstreams, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(news.Full).To(gomega.BeTrue())
	g.Expect(news.Revision).To(gomega.Equal(int64(5)))
	g.Expect(string(news.Changes[0].Object.Value)).To(gomega.Equal("1"))

	teller.Secret = []byte("another run's secret")
	_, err = asker.Ask(context.Background(), "a", TopicUpstreams, 1)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("authenticator")))
}
