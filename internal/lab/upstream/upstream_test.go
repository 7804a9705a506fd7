package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/answer"
	"sycamoreledge.example/internal/lab/firm"
	"sycamoreledge.example/internal/settings"
)

const seed = 7

// plain takes exactly 20 ms to 40 ms and more, without stragglers.
var plain = firm.World{Services: []firm.ServiceTime{{Name: "orders", ServiceTime: 40 * time.Millisecond}}}

// fixture is an upstream of two slots outside any listener.
func fixture(w firm.World) (*Upstream, *records) {
	rec := &records{}
	u := settings.Upstream{Name: "orders-1", Slots: 2}
	return newUpstream(u, settings.Pool{Zone: "east-a"}, "orders", w, seed, rec), rec
}

// ask runs a request to its end; an aborted answer has the code 0.
func ask(ctx context.Context, u *Upstream, key string, body io.Reader, header ...string) (rec *httptest.ResponseRecorder) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/items/n1?size=300", body)
	r.Header.Set(HeaderKey, key)
	r.Header.Set(HeaderRequestID, "id-"+key)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	rec = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			rec.Code = 0
		}
	}()
	u.ServeHTTP(rec, r)
	return rec
}

func TestWorkIsRunAndAnsweredWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		u, rec := fixture(plain)
		resp := ask(t.Context(), u, "k1", strings.NewReader("film"))
		g.Expect(resp.Code).To(gomega.Equal(http.StatusOK))
		g.Expect(resp.Header().Get(HeaderRequestID)).To(gomega.Equal("id-k1"))
		body := resp.Body.Bytes()
		g.Expect(answer.Check("n1", answer.Digest([]byte("film")), 300, body)).To(gomega.Succeed())
		g.Expect(resp.Header().Get(HeaderDigest)).To(gomega.Equal(answer.ContentDigest(body)))
		g.Expect(rec.list()).To(gomega.HaveLen(1))
		got := rec.list()[0]
		g.Expect(got.End).To(gomega.Equal(Done))
		g.Expect(got.Bytes).To(gomega.Equal(int64(4)))
		g.Expect(u.Counts().Busy).To(gomega.Equal(0))
	})
}

func TestRequestsBeyondTheSlotsAreCountedAndShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		u, rec := fixture(plain)
		codes := make(chan int, 3)
		for i := range 3 {
			go func() { codes <- ask(t.Context(), u, strconv.Itoa(i), nil).Code }()
		}
		synctest.Wait()
		g.Expect(<-codes).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(<-codes + <-codes).To(gomega.Equal(2 * http.StatusOK))
		c := u.Counts()
		g.Expect(c.Over).To(gomega.Equal(int64(1)))
		g.Expect(c.Peak).To(gomega.Equal(2))
		g.Expect(rec.list()).To(gomega.HaveLen(2))
	})
}

func TestCancellationFreesTheSlotAndCountsAsAnEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		u, rec := fixture(plain)
		u.SetFault(Fault{Mute: true})
		ctx, cancel := context.WithCancel(t.Context())
		codes := make(chan int, 1)
		go func() { codes <- ask(ctx, u, "k1", nil).Code }()
		time.Sleep(time.Minute)
		g.Expect(u.Counts().Busy).To(gomega.Equal(1))
		cancel()
		g.Expect(<-codes).To(gomega.Equal(0))
		g.Expect(u.Counts().Busy).To(gomega.Equal(0))
		g.Expect(rec.list()[0].End).To(gomega.Equal(Canceled))
		g.Expect(rec.list()[0].Effect()).To(gomega.BeTrue())
	})
}

func TestDeafWorkGoesOnWithoutCountingAsOverTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		u, rec := fixture(plain)
		u.SetFault(Fault{Deaf: true, Late: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 {
			go ask(ctx, u, "deaf", nil)
		}
		synctest.Wait()
		cancel()
		synctest.Wait()
		u.SetFault(Fault{})
		g.Expect(ask(t.Context(), u, "k3", nil).Code).To(gomega.Equal(http.StatusOK))
		g.Expect(u.Counts().Over).To(gomega.BeZero())
		time.Sleep(2 * time.Hour)
		g.Expect(u.Counts().Busy).To(gomega.BeZero())
		g.Expect(rec.list()[0].End).To(gomega.Equal(Done))
	})
}

func TestRefusalsProveThatTheWorkDidNotRun(t *testing.T) {
	cases := []struct {
		name   string
		fault  Fault
		header []string
	}{
		{"shed", Fault{Shed: true}, nil},
		{"deadline passed", Fault{}, []string{HeaderDeadline, "1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				u, rec := fixture(plain)
				u.SetFault(c.fault)
				resp := ask(t.Context(), u, "k1", nil, c.header...)
				g.Expect(resp.Code).To(gomega.Equal(http.StatusServiceUnavailable))
				g.Expect(resp.Header().Get(HeaderNotRun)).To(gomega.Equal("true"))
				g.Expect(resp.Header().Get(HeaderRequestID)).To(gomega.Equal("id-k1"))
				g.Expect(u.Counts().Shed).To(gomega.Equal(int64(1)))
				g.Expect(rec.list()).To(gomega.BeEmpty())
			})
		})
	}
}

// cutBody fails after a few bytes.
type cutBody struct{ sent bool }

func (c *cutBody) Read(b []byte) (int, error) {
	if c.sent {
		return 0, io.ErrUnexpectedEOF
	}
	c.sent = true
	return copy(b, "fil"), nil
}

func TestABodyThatIsCutHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		u, rec := fixture(plain)
		g.Expect(ask(t.Context(), u, "k1", &cutBody{}).Code).To(gomega.Equal(0))
		g.Expect(rec.list()[0].Effect()).To(gomega.BeFalse())
		g.Expect(u.Counts().Cut).To(gomega.Equal(int64(1)))
		g.Expect(u.Counts().Busy).To(gomega.BeZero())
	})
}

func TestHalfAnAnswerIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		u, rec := fixture(plain)
		u.SetFault(Fault{Half: true})
		resp := ask(t.Context(), u, "k1", nil)
		g.Expect(resp.Code).To(gomega.Equal(0))
		g.Expect(resp.Body.Len()).To(gomega.Equal(150))
		g.Expect(rec.list()[0].End).To(gomega.Equal(Done))
	})
}

func TestNewWorkIsRecordedOnlyAfterTheGraceOfALeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		u, _ := fixture(plain)
		u.SetFault(Fault{Leaving: true, HealthLag: time.Second})
		time.Sleep(LeavingGrace + time.Second)
		ask(t.Context(), u, "k1", nil)
		g.Expect(u.Counts().AfterLeaving).To(gomega.BeZero())
		ask(t.Context(), u, "k2", nil)
		g.Expect(u.Counts().AfterLeaving).To(gomega.Equal(int64(1)))
	})
}

func TestReportsLagAndLie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		u, _ := fixture(plain)
		health := func() string {
			w := httptest.NewRecorder()
			u.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/healthz", nil))
			return strings.TrimSpace(w.Body.String())
		}
		g.Expect(health()).To(gomega.Equal(`{"state":"live"}`))
		u.SetFault(Fault{Leaving: true, HealthLag: time.Second})
		g.Expect(health()).To(gomega.Equal(`{"state":"live"}`))
		time.Sleep(time.Second)
		g.Expect(health()).To(gomega.Equal(`{"state":"leaving"}`))
		u.SetFault(Fault{Leaving: true, HealthLies: true})
		g.Expect(health()).To(gomega.Equal(`{"state":"live"}`))
	})
}

func TestServiceTimesRepeatWithTheSeed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := firm.ServiceTime{ServiceTime: 20 * time.Millisecond, StragglerShare: 0.01, StragglerFactor: 20, ColdRequests: 5, ColdFactor: 3}
	now := time.Now()
	draw := func(seed uint64) (all []time.Duration) {
		x := newTimes("u", seed, s, firm.Neighbours{}, now)
		for range 5000 {
			all = append(all, x.next(now))
		}
		return all
	}
	first := draw(seed)
	g.Expect(draw(seed)).To(gomega.Equal(first))
	g.Expect(draw(seed + 1)).NotTo(gomega.Equal(first))
	var sum time.Duration
	for _, d := range first {
		sum += d
	}
	mean := sum / time.Duration(len(first))
	g.Expect(mean).To(gomega.BeNumerically("~", 24*time.Millisecond, 3*time.Millisecond))
}
