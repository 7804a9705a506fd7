package baseline

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

// back is an upstream that counts and may shed or break its requests.
type back struct {
	*httptest.Server
	count  atomic.Int32
	shed   atomic.Bool
	breaks atomic.Bool
	load   atomic.Value
	state  atomic.Value
}

func newBack(t *testing.T) *back {
	b := &back{}
	b.load.Store(`{"busy":0,"slots":1}`)
	b.state.Store(`{"state":"live"}`)
	b.Server = httptest.NewServer(b)
	t.Cleanup(b.Close)
	return b
}

// ServeHTTP answers reports and work.
func (b *back) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		fmt.Fprint(w, b.state.Load())
		return
	case "/load":
		fmt.Fprint(w, b.load.Load())
		return
	}
	b.count.Add(1)
	if b.breaks.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if b.shed.Load() {
		w.Header().Set("Work-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprint(w, "done")
}

// newProxy returns a proxy with the upstreams in its region; it is not running.
func newProxy(t *testing.T, kind work.Kind, backs ...*back) *Proxy {
	pool := settings.Pool{Zone: "a"}
	for i, b := range backs {
		address := strings.TrimPrefix(b.URL, "http://")
		pool.Upstreams = append(pool.Upstreams, settings.Upstream{Name: fmt.Sprint(i), Address: address, Slots: 1})
	}
	p := &firm.Plan{
		Topology: settings.Topology{
			Regions:  []settings.Region{{Name: "r", Zones: []settings.Zone{{Name: "a"}}}},
			Services: []settings.Service{{Name: "s", Kind: kind, Pools: []settings.Pool{pool}}},
		},
		Entries: []firm.Entry{{Instance: settings.Instance{Name: "e"}, Zone: "a"}},
	}
	x, err := New(p, "e")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return x
}

// start lets workers run without the watch of the reports.
func start(t *testing.T, x *Proxy) {
	for range x.workers {
		go x.work(t.Context())
	}
}

func ask(x *Proxy, deadline string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/v1/services/s/items/n", nil)
	r.Header.Set(headerDeadline, deadline)
	rec := httptest.NewRecorder()
	x.Handler().ServeHTTP(rec, r)
	return rec
}

func TestRequestsGoRoundTheLiveUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two, gone := newBack(t), newBack(t), newBack(t)
	gone.state.Store(`{"state":"leaving"}`)
	x := newProxy(t, work.Lookup, one, two, gone)
	g.Expect(x.workers).To(gomega.Equal(generous * 3))
	for _, m := range x.pools["s"].members {
		x.pools["s"].look(t.Context(), http.DefaultClient, m)
	}
	start(t, x)
	for range 6 {
		g.Expect(ask(x, "30000").Header().Get(headerOutcome)).To(gomega.Equal("run"))
	}
	g.Expect([]int32{one.count.Load(), two.count.Load(), gone.count.Load()}).To(gomega.Equal([]int32{3, 3, 0}))
}

func TestReportsAreTrustedUntilTheNextOne(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newBack(t), newBack(t)
	one.load.Store(`{"busy":1,"slots":1}`)
	x := newProxy(t, work.Lookup, one, two)
	p := x.pools["s"]
	p.look(t.Context(), http.DefaultClient, p.members[0])
	one.load.Store(`{"busy":0,"slots":1}`)
	start(t, x)
	for range 4 {
		ask(x, "30000")
	}
	g.Expect(one.count.Load()).To(gomega.BeZero())
	p.look(t.Context(), http.DefaultClient, p.members[0])
	ask(x, "30000")
	ask(x, "30000")
	g.Expect(one.count.Load()).To(gomega.Equal(int32(1)))
}

func TestShedWorkGoesToTheNextUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newBack(t), newBack(t)
	one.shed.Store(true)
	x := newProxy(t, work.Order, one, two)
	start(t, x)
	rec := ask(x, "30000")
	g.Expect(rec.Header().Get(headerOutcome)).To(gomega.Equal("run"))
	g.Expect(rec.Header().Get(headerUpstream)).To(gomega.Equal("1"))
	two.shed.Store(true)
	g.Expect(ask(x, "50").Header().Get(headerOutcome)).To(gomega.Equal("not-run"))
}

func TestOnlyLookupsAreRepeatedAfterABreak(t *testing.T) {
	for kind, attempts := range map[work.Kind]int32{work.Order: 1, work.Lookup: lookupAttempts} {
		g := gomega.NewWithT(t)
		one := newBack(t)
		one.breaks.Store(true)
		x := newProxy(t, kind, one)
		start(t, x)
		g.Expect(ask(x, "30000").Header().Get(headerOutcome)).To(gomega.Equal("unknown"))
		g.Expect(one.count.Load()).To(gomega.Equal(attempts), string(kind))
	}
}

func TestAFullQueueRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newProxy(t, work.Lookup, newBack(t))
	for range maxQueue {
		x.queue <- &job{}
	}
	g.Expect(ask(x, "30000").Header().Get(headerReason)).To(gomega.Equal(string(work.ReasonQueueFull)))
}

func TestTheEntriesOfTheZoneAreListedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newProxy(t, work.Lookup, newBack(t))
	x.plan.Entries = append([]firm.Entry{{Instance: settings.Instance{Name: "f", Callers: "127.0.0.1:2"}, Zone: "z"}}, x.plan.Entries...)
	rec := httptest.NewRecorder()
	x.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/entries?service=s", nil))
	g.Expect(rec.Body.String()).To(gomega.MatchRegexp(`"name":"e".*"name":"f"`))
	g.Expect(maxAge).To(gomega.BeNumerically("<=", 5*time.Second))
}

func TestAnotherRegionServesWhenNoneIsLiveHere(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := newBack(t), newBack(t)
	near.state.Store(`{"state":"leaving"}`)
	x := newProxy(t, work.Order, near)
	target := x.pools["s"].members[0].target
	target.Address = strings.TrimPrefix(far.URL, "http://")
	x.far["s"] = &pool{members: []*member{{target: target, live: true}}}
	start(t, x)
	ask(x, "5000")
	x.pools["s"].look(t.Context(), http.DefaultClient, x.pools["s"].members[0])
	ask(x, "5000")
	g.Expect([]int32{near.count.Load(), far.count.Load()}).To(gomega.Equal([]int32{1, 1}))
}

func TestARequestIsRefusedWhenItsTimeEndsInTheQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	one := newBack(t)
	x := newProxy(t, work.Order, one)
	g.Expect(ask(x, "50").Header().Get(headerReason)).To(gomega.Equal(string(work.ReasonDeadline)))
	start(t, x)
	g.Expect(ask(x, "5000").Header().Get(headerOutcome)).To(gomega.Equal("run"))
	g.Expect(one.count.Load()).To(gomega.Equal(int32(1)), "the one that was refused is not run")
}

func TestReportsAreNotTrustedAfterARoundOfRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newBack(t), newBack(t)
	one.load.Store(`{"busy":1,"slots":1}`)
	two.shed.Store(true)
	x := newProxy(t, work.Order, one, two)
	x.pools["s"].look(t.Context(), http.DefaultClient, x.pools["s"].members[0])
	start(t, x)
	g.Expect(ask(x, "5000").Header().Get(headerUpstream)).To(gomega.Equal("0"))
	g.Expect(two.count.Load()).To(gomega.BeNumerically(">=", 2), "the first round asked the other one alone")
}
