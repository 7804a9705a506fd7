package platformsim_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/platformsim"
	"sycamoreledge.example/internal/platform"
)

// send runs one request against the handler without a socket.
func send(s *platformsim.Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

func TestStatuses(t *testing.T) {
	s := platformsim.New(platformsim.Config{WatchWait: time.Nanosecond})
	steps := []struct {
		name   string
		method string
		path   string
		body   string
		header []string
		status int
	}{
		{"missing", "GET", "/v1/objects/a/b", "", nil, 404},
		{"unconditional", "PUT", "/v1/objects/a/b", "x", nil, 400},
		{"both conditions", "PUT", "/v1/objects/a/b", "x", []string{"If-Match", `"1"`, "If-None-Match", "*"}, 400},
		{"create", "PUT", "/v1/objects/a/b", "x", []string{"If-None-Match", "*"}, 201},
		{"create again", "PUT", "/v1/objects/a/b", "x", []string{"If-None-Match", "*"}, 412},
		{"update", "PUT", "/v1/objects/a/b", "y", []string{"If-Match", `"1"`}, 200},
		{"late update", "PUT", "/v1/objects/a/b", "y", []string{"If-Match", `"1"`}, 412},
		{"too large", "PUT", "/v1/objects/a/b", strings.Repeat("x", platform.MaxValueBytes+1), []string{"If-Match", `"2"`}, 413},
		{"watch without news", "GET", "/v1/watch/a/b?after=2", "", nil, 204},
		{"watch without version", "GET", "/v1/watch/a/b", "", nil, 400},
		{"unconditional delete", "DELETE", "/v1/objects/a/b", "", nil, 400},
		{"delete", "DELETE", "/v1/objects/a/b", "", []string{"If-Match", `"2"`}, 204},
		{"unknown knob", "POST", "/lab/faults", `{"up":true}`, nil, 400},
		{"down", "POST", "/lab/faults", `{"down":true}`, nil, 200},
		{"while down", "GET", "/v1/objects/a/b", "", nil, 503},
	}
	for _, step := range steps {
		g := gomega.NewWithT(t)
		w := send(s, step.method, step.path, step.body, step.header...)
		g.Expect(w.Code).To(gomega.Equal(step.status), "%s: %s", step.name, w.Body)
	}
}

func TestRatesAreLimitedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := platformsim.New(platformsim.Config{ReadRate: 40, WriteRate: 8})
		refused := 0
		for range 15 {
			if send(s, "GET", "/v1/objects/a", "").Code == http.StatusTooManyRequests {
				refused++
			}
		}
		g.Expect(refused).To(gomega.Equal(5), "a quarter of a second's reads may come at once")
		time.Sleep(50 * time.Millisecond) // fake time
		g.Expect(send(s, "GET", "/v1/objects/a", "").Code).To(gomega.Equal(http.StatusNotFound))
		var stats platformsim.Stats
		g.Expect(json.Unmarshal(send(s, "GET", "/lab/stats", "").Body.Bytes(), &stats)).To(gomega.Succeed())
		g.Expect(stats).To(gomega.Equal(platformsim.Stats{Reads: 16, Throttled: 5}))
	})
}

func TestWaitingWatchCountsAsOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := platformsim.New(platformsim.Config{})
		done := make(chan int)
		go func() { done <- send(s, "GET", "/v1/watch/a?after=0", "").Code }()
		synctest.Wait()
		g.Expect(s.Stats()).To(gomega.Equal(platformsim.Stats{Reads: 1, Watches: 1, Waiting: 1}))
		send(s, "PUT", "/v1/objects/a", "x", "If-None-Match", "*")
		g.Expect(<-done).To(gomega.Equal(http.StatusOK))
		g.Expect(s.Stats().Waiting).To(gomega.BeZero())
	})
}

func TestListOfInstancesLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := platformsim.New(platformsim.Config{})
		g.Expect(send(s, "PUT", "/lab/instances", `[{"name":"e1","state":"live"}]`).Code).To(gomega.Equal(http.StatusNoContent))
		time.Sleep(platformsim.DefaultLag - time.Millisecond) // fake time
		g.Expect(send(s, "GET", "/v1/instances", "").Body.String()).To(gomega.MatchJSON(`[]`))
		s.SetInstances([]platform.Instance{{Name: "e1", State: platform.InstanceLeaving}})
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(send(s, "GET", "/v1/instances", "").Body.String()).To(gomega.ContainSubstring(`"live"`))
		time.Sleep(platformsim.DefaultLag)
		synctest.Wait()
		g.Expect(send(s, "GET", "/v1/instances", "").Body.String()).To(gomega.ContainSubstring(`"leaving"`))
	})
}
