package api_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/api"
	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/presets"
	"sycamoreledge.example/internal/settings"
)

func TestPresetFromApplyToHistory(t *testing.T) {
	b := newOperatorsFixture(t, nil)
	c := b.client(operatorToken)
	applied, err := c.Apply(t.Context(), operation("op1"), "peak", []byte(peakPreset))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	used, err := c.Use(t.Context(), operation("op2"), "peak")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(used.Version).To(gomega.BeNumerically(">", applied.Version))
	drained, err := c.Drain(t.Context(), operation("op3"), settings.Drain{Kind: settings.DrainUpstream, Name: "s1"}, false)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(drained.Drains).To(gomega.HaveLen(1))

	list, err := c.Presets(t.Context())
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(*list).To(gomega.Equal(wire.Presets{Version: drained.Version, InForce: "peak", Names: []string{"ordinary", "peak"}}))
	shown, err := c.Preset(t.Context(), "peak")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(shown.Preset.Headroom).To(gomega.Equal(0.1))
	_, err = c.Preset(t.Context(), "none")
	b.expectCode(err, http.StatusNotFound, wire.CodeNotFound)

	history, err := c.History(t.Context(), 2)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(history.Records).To(gomega.HaveLen(2))
	b.Expect(history.Records[0].Operation).To(gomega.Equal("op3"), "the newest record must be first")
	b.Expect(history.Records[1].Operator).To(gomega.Equal("ada"), "the name must come from the credential")
	b.Expect(b.events.Count(event.ChangeApplied)).To(gomega.BeEquivalentTo(3))
}

func TestRepeatedOperationHasOneEffect(t *testing.T) {
	b := newOperatorsFixture(t, nil)
	c := b.client(operatorToken)
	first, err := c.Apply(t.Context(), operation("op1"), "peak", []byte(peakPreset))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := c.Apply(t.Context(), operation("op1"), "peak", []byte(peakPreset))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(again.Repeated).To(gomega.BeTrue())
	b.Expect(again.Version).To(gomega.Equal(first.Version))
}

func TestChangeErrors(t *testing.T) {
	unknownZone := settings.Drain{Kind: settings.DrainZone, Name: "nowhere"}
	cases := []struct {
		name   string
		faults platform.Faults
		change func(c *client.Client) error
		status int
		code   string
		event  event.ID
	}{
		{"unknown preset", platform.Faults{}, func(c *client.Client) error {
			_, err := c.Use(t.Context(), operation("op"), "none")
			return err
		}, 422, wire.CodeRefused, event.ChangeRefused},
		{"unknown zone", platform.Faults{}, func(c *client.Client) error {
			_, err := c.Drain(t.Context(), operation("op"), unknownZone, false)
			return err
		}, 422, wire.CodeRefused, event.ChangeRefused},
		{"unknown kind of drain", platform.Faults{}, func(c *client.Client) error {
			_, err := c.Drain(t.Context(), operation("op"), settings.Drain{Kind: "moon", Name: "x"}, false)
			return err
		}, 400, wire.CodeBadRequest, event.ChangeRefused},
		{"preset names an unknown service", platform.Faults{}, func(c *client.Client) error {
			_, err := c.Apply(t.Context(), operation("op"), "peak", []byte("name: peak\nheadroom: 0.1\nservices:\n  - {name: none, deadline: 1s, dispatch_timeout: 1s, queue: 1}\n"))
			return err
		}, 422, wire.CodeInvalidPreset, event.ChangeRefused},
		{"preset name differs from the path", platform.Faults{}, func(c *client.Client) error {
			_, err := c.Apply(t.Context(), operation("op"), "calm", []byte(peakPreset))
			return err
		}, 400, wire.CodeBadRequest, event.ChangeRefused},
		{"no operation id", platform.Faults{}, func(c *client.Client) error {
			_, err := c.Use(t.Context(), operation(""), "ordinary")
			return err
		}, 400, wire.CodeBadRequest, event.ID(0)},
		{"older version expected", platform.Faults{}, func(c *client.Client) error {
			if _, err := c.Apply(t.Context(), operation("first"), "peak", []byte(peakPreset)); err != nil {
				return err
			}
			if _, err := c.Use(t.Context(), operation("second"), "peak"); err != nil {
				return err
			}
			_, err := c.Use(t.Context(), client.Change{Operation: "third", IfVersion: 1}, "ordinary")
			return err
		}, 409, wire.CodeConflict, event.ChangeConflict},
		{"platform down", platform.Faults{Down: true}, func(c *client.Client) error {
			_, err := c.Use(t.Context(), operation("op"), "ordinary")
			return err
		}, 503, wire.CodeUnavailable, event.OperatorFailed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newOperatorsFixture(t, func(_ *operatorsFixture, o *api.OperatorsOptions) {
				if tc.faults.Down { // the store retries until its timeout
					o.Presets.(*presets.Store).Timeout = 200 * time.Millisecond
				}
			})
			b.memory.SetFaults(tc.faults)
			err := tc.change(b.client(operatorToken))
			b.expectCode(err, tc.status, tc.code)
			if tc.event != 0 {
				b.Expect(b.events.Count(tc.event)).To(gomega.BeEquivalentTo(1))
			}
			if tc.status == http.StatusConflict {
				conflict, ok := b.apiError(err).Conflict()
				b.Expect(ok).To(gomega.BeTrue())
				b.Expect(conflict.Won[len(conflict.Won)-1].Operation).To(gomega.Equal("second"))
			}
		})
	}
}

func TestRepeatAfterUncertainOutcomeReturnsTheResult(t *testing.T) {
	b := newOperatorsFixture(t, func(_ *operatorsFixture, o *api.OperatorsOptions) {
		o.Presets = uncertainOnce{o.Presets, new(atomic.Bool)}
	})
	c := b.client(operatorToken)
	_, err := c.Use(t.Context(), operation("op1"), "ordinary")
	b.expectCode(err, http.StatusGatewayTimeout, wire.CodeUncertain)
	b.Expect(b.events.Count(event.ChangeUncertain)).To(gomega.BeEquivalentTo(1))
	again, err := c.Use(t.Context(), operation("op1"), "ordinary")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(again.Repeated).To(gomega.BeTrue())
}

// uncertainOnce executes every Use, but returns an uncertain outcome for the first
// one that succeeds.
type uncertainOnce struct {
	api.PresetStore
	outcomeLost *atomic.Bool
}

func (u uncertainOnce) Use(ctx context.Context, req presets.Request, name string) (presets.Result, error) {
	result, err := u.PresetStore.Use(ctx, req, name)
	if err == nil && u.outcomeLost.CompareAndSwap(false, true) {
		return presets.Result{}, presets.Uncertain.New("the response was lost")
	}
	return result, err
}

func TestReadsWorkWithoutThePlatform(t *testing.T) {
	b := newOperatorsFixture(t, nil)
	c := b.client(operatorToken)
	_, err := c.Apply(t.Context(), operation("op1"), "peak", []byte(peakPreset))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.memory.SetFaults(platform.Faults{Down: true})
	list, err := c.Presets(t.Context())
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(list.Names).To(gomega.ContainElement("peak"))
	history, err := c.History(t.Context(), 10)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(history.Records).To(gomega.HaveLen(1))
}

func TestResponsesNeverShowAnOlderVersion(t *testing.T) {
	b := newOperatorsFixture(t, func(_ *operatorsFixture, o *api.OperatorsOptions) {
		o.OnChange = nil // the control loop does not receive the change
	})
	before := b.config.Load()
	c := b.client(operatorToken)
	changed, err := c.Apply(t.Context(), operation("op1"), "peak", []byte(peakPreset))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(changed.Version).To(gomega.BeNumerically(">", before.Version))
	_, err = c.Status(t.Context(), false)
	b.expectCode(err, http.StatusServiceUnavailable, wire.CodeNotReady)
	_, err = c.Presets(t.Context())
	b.expectCode(err, http.StatusServiceUnavailable, wire.CodeNotReady)

	newer := *before
	newer.Version = changed.Version
	b.config.Store(&newer)
	status, err := c.Status(t.Context(), false)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(status.ConfigVersion).To(gomega.Equal(changed.Version))
}

func TestStatusAndExplanation(t *testing.T) {
	b := newOperatorsFixture(t, func(_ *operatorsFixture, o *api.OperatorsOptions) {
		o.Explain = func() []string { return []string{"upstream s1 is suspect"} }
	})
	c := b.client(operatorToken)
	status, err := c.Status(t.Context(), true)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(status.Preset).To(gomega.Equal("ordinary"))
	b.Expect(status.Entries[0].Operators).To(gomega.Equal("127.0.0.1:7002"), "the address must come from the topology")
	b.Expect(status.Pools[0].Owners[0].Adopted).To(gomega.BeTrue())
	b.Expect(status.Explain).To(gomega.ContainElements(
		gomega.ContainSubstring("e3 in east-b does not answer"),
		gomega.ContainSubstring("status@east-b is adopted"),
		gomega.ContainSubstring("zone west-a: no owner for the pools of status"),
		"upstream s1 is suspect",
	))
	status, err = c.Status(t.Context(), false)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(status.Explain).To(gomega.BeEmpty())
}

func TestLeaveRequestsGracefulStop(t *testing.T) {
	b := newOperatorsFixture(t, nil)
	post := func(token string) int {
		secure, err := pki.OperatorClient(b.path("ca.pem"))
		b.Expect(err).NotTo(gomega.HaveOccurred())
		req, err := http.NewRequest(http.MethodPost, "https://"+b.address+"/v1/leave", nil)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: secure}}).Do(req)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(resp.Body.Close()).To(gomega.Succeed())
		return resp.StatusCode
	}
	b.Expect(post("wrong")).To(gomega.Equal(http.StatusUnauthorized))
	b.Expect(b.leaveRequests.Load()).To(gomega.BeZero())
	b.Expect(post(operatorToken)).To(gomega.Equal(http.StatusAccepted))
	b.Expect(b.leaveRequests.Load()).To(gomega.BeEquivalentTo(1))
}

func TestRefusedCredentialsAreLimited(t *testing.T) {
	var now atomic.Int64
	b := newOperatorsFixture(t, func(_ *operatorsFixture, o *api.OperatorsOptions) {
		o.Now = func() time.Time { return time.Unix(now.Load(), 0) }
	})
	wrong, right := b.client("wrong"), b.client(operatorToken)
	for i := range 10 {
		_, err := wrong.Presets(t.Context())
		b.expectCode(err, http.StatusUnauthorized, wire.CodeUnauthorized)
		b.Expect(b.events.Count(event.OperatorRefused)).To(gomega.BeEquivalentTo(i + 1))
	}
	_, err := wrong.Presets(t.Context())
	b.expectCode(err, http.StatusTooManyRequests, wire.CodeTooManyRefusals)
	b.Expect(b.events.Count(event.OperatorLimited)).To(gomega.BeEquivalentTo(1))
	now.Add(2)
	_, err = right.Presets(t.Context())
	b.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestCommandPanicIsReportedAndLogged(t *testing.T) {
	b := newOperatorsFixture(t, func(_ *operatorsFixture, o *api.OperatorsOptions) {
		o.Explain = func() []string { panic("test panic") }
	})
	c := b.client(operatorToken)
	_, err := c.Status(t.Context(), true)
	b.expectCode(err, http.StatusInternalServerError, wire.CodeInternal)
	b.Expect(b.events.Count(event.HandlerPanic)).To(gomega.BeEquivalentTo(1))
	_, err = c.Status(t.Context(), false)
	b.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestOversizedChangeIsRefused(t *testing.T) {
	b := newOperatorsFixture(t, nil)
	large := append([]byte(peakPreset), bytes.Repeat([]byte("# large\n"), 200_000)...)
	_, err := b.client(operatorToken).Apply(t.Context(), operation("op"), "peak", large)
	b.Expect(err).To(gomega.HaveOccurred())
	b.Expect(b.config.Load().Presets).NotTo(gomega.HaveKey("peak"))
	b.Expect(b.events.Count(event.OperatorCommand)).To(gomega.BeZero())
}

func TestPlainHTTPIsRejected(t *testing.T) {
	b := newOperatorsFixture(t, nil)
	got := roundTrip(t, b.address, "GET /v1/status HTTP/1.1", "Authorization: Bearer "+operatorToken)
	b.Expect(got.err != nil || got.status == http.StatusBadRequest).To(gomega.BeTrue(), fmt.Sprint(got))
	b.Expect(b.events.Count(event.OperatorRefused)).To(gomega.BeZero())
}
