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

func TestDecodeAuthenticatesSender(t *testing.T) {
	self := registration("a", "n1")
	sent := message{
		kind: digest, name: "a", sequence: 5, digestVersion: 6,
		report: Report{State: Serving, PlatformUnreachable: true, PlatformAnswered: true, Revisions: [TopicCount]int64{3, 1 << 40, 0, 9}},
		entries: []digestEntry{
			{incarnation: 7, report: Report{State: Serving, PlatformUnreachable: true}},
			{incarnation: 1 << 60, report: Report{State: Leaving, PlatformAnswered: true}, silent: true},
		},
	}
	sentHeartbeat := sent
	sentHeartbeat.kind, sentHeartbeat.entries = heartbeat, nil
	valid := encode(&self, sent)
	corrupted := func(at int) []byte {
		b := append([]byte(nil), valid...)
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
		{"digest", valid, &sent},
		{"heartbeat", encode(&self, sentHeartbeat), &sentHeartbeat},
		{"another kind", corrupted(1), nil},
		{"another state", corrupted(statusOffset), nil},
		{"longer name", corrupted(nameLengthOffset), nil},
		{"another sequence", corrupted(sequenceOffset + 7), nil},
		{"another revision", corrupted(revisionsOffset + 3), nil},
		{"another entry", corrupted(nameOffset + 1), nil},
		{"another version", corrupted(0), nil},
		{"truncated", valid[:len(valid)-1], nil},
		{"without an entry", append(append([]byte(nil), valid[:nameOffset+1]...), valid[len(valid)-tagSize:]...), nil},
		{"empty", nil, nil},
		{"another run", encode(&otherRun, sent), nil},
		{"another secret", encode(&otherSecret, sent), nil},
		{"not registered", encode(&Registration{Name: "x"}, sent), nil},
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
	parts, err := splitBundle(bundled)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(parts).To(gomega.HaveLen(4))
	g.Expect(parts[3]).To(gomega.Equal(bytes.Repeat([]byte{4}, 300)))
	for _, length := range []int{len(bundled) - 1, bundleHeaderSize + 1, bundleHeaderSize + lengthSize + 5} {
		_, err := splitBundle(bundled[:length])
		g.Expect(err).To(gomega.HaveOccurred(), "%d bytes", length)
	}
}

func TestPeerLivenessAcrossSilenceAndRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	table := NewTable()
	table.Register(now, registration("a", "n1"))
	peers := table.Peers(now)
	g.Expect(peers[0].Alive).To(gomega.BeTrue(), "a newly registered peer counts as alive")
	g.Expect(table.LivenessChanges(now)).To(gomega.HaveLen(1), "a new peer is a change, also after a call of Peers")
	g.Expect(table.LivenessChanges(now)).To(gomega.BeEmpty())
	now = now.Add(registrationGrace + 1)
	g.Expect(table.LivenessChanges(now)).To(gomega.HaveLen(1), "no datagram within the grace period")
	table.RecordHeartbeat(now, "a", Report{State: Serving})
	before, after := now.Add(missedIntervals*MinSendInterval-1), now.Add(missedIntervals*MinSendInterval+1)
	g.Expect(table.Peers(before)[0].Alive).To(gomega.BeTrue())
	g.Expect(table.LivenessChanges(before)).To(gomega.HaveLen(1))
	g.Expect(table.Peers(after)[0].Alive).To(gomega.BeFalse())
	g.Expect(table.LivenessChanges(after)).To(gomega.HaveLen(1))
	next := registration("a", "n1")
	next.Incarnation++
	table.Register(now.Add(time.Minute), next)
	peers = table.Peers(now.Add(time.Minute))
	g.Expect(peers[0].Alive).To(gomega.BeTrue(), "a new run counts as alive again")
	g.Expect(peers[0].State).To(gomega.Equal(Starting))
	table.Remove("a")
	g.Expect(table.Peers(now)).To(gomega.BeEmpty())
}

// TestFrozenPeerIsDetectedInTime guards against slow and false detection of failures. Callers
// wait for a frozen instance, a few seconds in all, so peers must exclude it within 1.5 s, but
// not because two of its datagrams are lost.
func TestFrozenPeerIsDetectedInTime(t *testing.T) {
	const detectionLimit = 1500 * time.Millisecond
	g := gomega.NewWithT(t)
	began := time.Unix(100, 0)
	table := NewTable()
	for i := range 8 {
		table.Register(began, registration(string(rune('a'+i)), "n1"))
	}
	alive := func(now time.Time) bool {
		return slices.ContainsFunc(table.Peers(now), func(p Peer) bool { return p.Name == "a" && p.Alive })
	}
	table.RecordHeartbeat(began, "a", Report{State: Serving})
	g.Expect(alive(began.Add(3*MinSendInterval-1))).To(gomega.BeTrue(), "two lost datagrams are no failure")
	g.Expect(alive(began.Add(detectionLimit))).To(gomega.BeFalse())
	table.RecordHeartbeat(began.Add(detectionLimit), "a", Report{State: Serving})
	g.Expect(alive(began.Add(detectionLimit))).To(gomega.BeTrue(), "a heartbeat makes it alive again")
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

func TestSelectWatchers(t *testing.T) {
	g := gomega.NewWithT(t)
	var peers []Peer
	for i := range 12 {
		r := registration(fmt.Sprintf("i%d", i), fmt.Sprintf("z%d", i%3))
		peers = append(peers, Peer{Registration: r, Report: Report{State: Serving}, Alive: true})
	}
	first := SelectWatchers(TopicUpstreams, peers, 2)
	g.Expect(first).To(gomega.HaveLen(2))
	zoneOf := func(name string) string {
		for _, p := range peers {
			if p.Name == name {
				return p.Place.Zone
			}
		}
		return ""
	}
	g.Expect(zoneOf(first[0])).NotTo(gomega.Equal(zoneOf(first[1])))
	for i := range peers {
		switch peers[i].Name {
		case first[0]:
			peers[i].Alive = false
		case first[1]:
			peers[i].PlatformUnreachable = true
		}
	}
	second := SelectWatchers(TopicUpstreams, peers, 2)
	g.Expect(second).To(gomega.HaveLen(2))
	g.Expect(second).NotTo(gomega.ContainElement(gomega.BeElementOf(first)))
	for i := range peers {
		peers[i].Alive = i == 4
		peers[i].PlatformUnreachable = false
	}
	g.Expect(SelectWatchers(TopicUpstreams, peers, 2)).To(gomega.Equal([]string{"i4"}))
	for i := range peers {
		peers[i].Alive, peers[i].PlatformUnreachable = true, true
	}
	g.Expect(SelectWatchers(TopicUpstreams, peers, 2)).To(gomega.HaveLen(2), "watchers must detect when the platform answers again")
}

func object(key string, version int64) platform.Object {
	return platform.Object{Key: key, Version: version, Value: []byte(`1`)}
}

func TestChangeLog(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	_, ok := l.Since(0, 0)
	g.Expect(ok).To(gomega.BeFalse(), "before the first snapshot")
	l.Replace([]platform.Object{object("a", 3), object("b", 4)}, 10, false)
	l.Append([]platform.Change{{Object: object("c", 12)}}, 12, false)
	l.Append([]platform.Change{{Object: object("a", 3), Deleted: true}}, 15, false)
	l.Append([]platform.Change{{Object: object("x", 1)}}, 14, false)

	set, ok := l.Since(12, 12)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(set).To(gomega.Equal(ChangeSet{Revision: 15, Changes: []platform.Change{{Object: object("a", 3), Deleted: true}}}))
	set, _ = l.Since(10, 10)
	g.Expect(set.Changes).To(gomega.HaveLen(2))
	set, _ = l.Since(99, 99)
	g.Expect(set).To(gomega.Equal(ChangeSet{Revision: 99, Changes: []platform.Change{}}), "nothing is newer, and the revision does not decrease")
	set, _ = l.Since(9, 9)
	g.Expect(set.Full).To(gomega.BeTrue())
	g.Expect(set.Changes).To(gomega.ConsistOf(platform.Change{Object: object("b", 4)}, platform.Change{Object: object("c", 12)}))

	for i := range int64(2 * maxLoggedChanges) {
		l.Append([]platform.Change{{Object: object("d", 100+i)}}, 100+i, false)
	}
	g.Expect(l.changeCount).To(gomega.BeNumerically("<=", maxLoggedChanges))
	set, _ = l.Since(50, 50)
	g.Expect(set.Full).To(gomega.BeTrue(), "the log does not reach back to revision 50")
	g.Expect(set.Changes).To(gomega.HaveLen(3))
}

func TestChangeLogReplaceAfterCompaction(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	l.Replace([]platform.Object{object("a", 3), object("b", 4), object("c", 5)}, 10, false)
	l.Append([]platform.Change{{Object: object("d", 12)}}, 12, false)
	// The platform has compacted the history: a was deleted, b was updated, e was created.
	l.Replace([]platform.Object{object("b", 20), object("c", 5), object("d", 12), object("e", 21)}, 30, false)

	set, ok := l.Since(12, 12)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(set.Full).To(gomega.BeFalse(), "a peer that is up to date with the log needs the differences only")
	g.Expect(set.Revision).To(gomega.Equal(int64(30)))
	g.Expect(set.Changes).To(gomega.ConsistOf(
		platform.Change{Object: object("a", 3), Deleted: true},
		platform.Change{Object: object("b", 20)}, platform.Change{Object: object("e", 21)}))
	l.Replace([]platform.Object{object("b", 20), object("c", 5), object("d", 12), object("e", 21)}, 40, false)
	set, _ = l.Since(30, 30)
	g.Expect(set).To(gomega.Equal(ChangeSet{Revision: 40, Skipped: true, Changes: []platform.Change{}}), "the snapshot has no differences")
	set, _ = l.Since(10, 10)
	g.Expect(set.Changes).To(gomega.HaveLen(4), "the log still reaches back to revision 10")
	l.Replace([]platform.Object{object("a", 3)}, 7, false)
	set, _ = l.Since(1, 1)
	g.Expect(set.Full).To(gomega.BeTrue(), "a snapshot older than the log starts a new log")
	g.Expect(set.Changes).To(gomega.HaveLen(1))
}

func TestIsolated(t *testing.T) {
	g := gomega.NewWithT(t)
	peer := func(alive, cut, inTouch bool, state State) Peer {
		return Peer{Alive: alive, Report: Report{State: state, PlatformUnreachable: cut, PlatformAnswered: inTouch}}
	}
	noContact, silent, leaving := peer(true, false, false, Serving), peer(false, false, true, Serving), peer(false, false, true, Leaving)
	cases := []struct {
		name     string
		peers    []Peer
		isolated bool
	}{
		{"no peers yet", []Peer{noContact}, false},
		{"most are silent", []Peer{noContact, noContact, silent, silent, silent}, true},
		{"most are silent, and it reaches the platform", []Peer{peer(true, false, true, Serving), silent, silent, silent}, false},
		{"most are silent, and a peer reaches the platform", []Peer{noContact, peer(true, false, true, Serving), silent, silent, silent}, false},
		{"half are silent", []Peer{noContact, noContact, silent, silent}, false},
		{"the platform is down for all", []Peer{peer(true, true, false, Serving), peer(true, true, false, Serving), silent}, false},
		{"most have left", []Peer{noContact, leaving, leaving, leaving}, false},
	}
	for _, c := range cases {
		g.Expect(Isolated(c.peers)).To(gomega.Equal(c.isolated), c.name)
	}
}

func TestChangeLogLastChange(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewChangeLog()
	g.Expect(l.LastChange()).To(gomega.BeZero())
	l.Replace([]platform.Object{object("a", 3), object("b", 4)}, 10, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(4)), "the revision of the last change, not of the read")
	paged := NewChangeLog()
	paged.Replace([]platform.Object{object("a", 3), object("b", 14)}, 10, false)
	g.Expect(paged.LastChange()).To(gomega.Equal(int64(10)), "b was read by a later call, and the log may not be complete up to 14")
	l.Append([]platform.Change{{Object: object("c", 12)}}, 15, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(12)))
	set, _ := l.Since(10, 10)
	g.Expect(set.Revision).To(gomega.Equal(int64(15)), "the set is complete up to the revision of the read")
	set, _ = l.Since(12, 12)
	g.Expect(set.Changes).To(gomega.BeEmpty())
	l.Append([]platform.Change{{Object: object("a", 3), Deleted: true}}, 20, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(20)), "a deletion counts with the revision of the read")
	l.Replace([]platform.Object{object("b", 4), object("c", 12)}, 30, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(20)), "the snapshot has no differences")
	l.Replace([]platform.Object{object("b", 33), object("c", 12)}, 40, false)
	g.Expect(l.LastChange()).To(gomega.Equal(int64(33)))
	set, _ = l.Since(30, 30)
	g.Expect(set.Changes).To(gomega.ConsistOf(platform.Change{Object: object("b", 33)}))
}

func TestPeerSyncFetch(t *testing.T) {
	g := gomega.NewWithT(t)
	server := registration("a", "n1")
	serving := NewPeerSync(&server, NewTable())
	httpServer := httptest.NewServer(serving)
	defer httpServer.Close()
	server.Peers = strings.TrimPrefix(httpServer.URL, "http://")
	table := NewTable()
	fetching := NewPeerSync(&Registration{Name: "b"}, table)

	_, err := fetching.Fetch(context.Background(), "a", TopicUpstreams, 1, 1)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("not registered")))
	table.Register(time.Now(), server)
	_, err = fetching.Fetch(context.Background(), "a", TopicUpstreams, 1, 1)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("503")))
	serving.Logs[TopicUpstreams].Replace([]platform.Object{object("u", 2)}, 5, false)
	set, err := fetching.Fetch(context.Background(), "a", TopicUpstreams, 1, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(set.Full).To(gomega.BeTrue())
	g.Expect(set.Revision).To(gomega.Equal(int64(5)))
	g.Expect(string(set.Changes[0].Object.Value)).To(gomega.Equal("1"))

	server.Secret = []byte("another run's secret")
	_, err = fetching.Fetch(context.Background(), "a", TopicUpstreams, 1, 1)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("authenticator")))
}
