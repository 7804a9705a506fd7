package presets_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/presets"
	"sycamoreledge.example/internal/settings"
)

// changeFunc makes one change through a store.
type changeFunc func(*presets.Store, context.Context, presets.Request, *fixture) (presets.Result, error)

func TestConcurrentChangesByTwoOperators(t *testing.T) {
	use := func(name string) changeFunc {
		return func(s *presets.Store, ctx context.Context, r presets.Request, _ *fixture) (presets.Result, error) {
			return s.Use(ctx, r, name)
		}
	}
	apply := func(name string) changeFunc {
		return func(s *presets.Store, ctx context.Context, r presets.Request, f *fixture) (presets.Result, error) {
			return s.Apply(ctx, r, f.presetNamed(name, 77))
		}
	}
	remove := func(name string) changeFunc {
		return func(s *presets.Store, ctx context.Context, r presets.Request, _ *fixture) (presets.Result, error) {
			return s.Remove(ctx, r, name)
		}
	}
	drain := func(zone string) changeFunc {
		return func(s *presets.Store, ctx context.Context, r presets.Request, _ *fixture) (presets.Result, error) {
			return s.AddDrain(ctx, r, settings.Drain{Kind: settings.DrainZone, Name: zone})
		}
	}
	cases := []struct {
		name      string
		ours      changeFunc
		theirs    changeFunc
		ifVersion bool
		wantClass *errs.Class
	}{
		{"both put a preset in force", use("peak"), use("ordinary"), false, &presets.Conflict},
		{"both replace the same preset", apply("peak"), apply("peak"), false, &presets.Conflict},
		{"both drain the same zone", drain("west-a"), drain("west-a"), false, &presets.Conflict},
		{"different presets", apply("peak"), apply("night"), false, nil},
		{"one creates a preset, the other puts another in force", apply("night"), use("peak"), false, nil},
		{"different targets, with IfVersion", apply("night"), use("peak"), true, &presets.Conflict},
		{"one puts in force the preset that the other removes", use("peak"), remove("peak"), false, &presets.Refused},
		{"no longer valid after the other change", drain("west-a"), drain("south-a"), false, &presets.Refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				first, err := f.store(f.memory).Apply(t.Context(), newRequest("first"), f.presetNamed("peak", 10))
				f.Expect(err).NotTo(gomega.HaveOccurred())
				var once sync.Once
				client := &hookedClient{Client: f.memory, beforePut: func() {
					once.Do(func() {
						r := presets.Request{Operation: "theirs", Operator: "bob"}
						_, err := c.theirs(f.store(f.memory), t.Context(), r, f)
						f.Expect(err).NotTo(gomega.HaveOccurred())
					})
				}}
				r := newRequest("ours")
				if c.ifVersion {
					r.IfVersion = first.Config.Version
				}
				_, err = c.ours(f.store(client), t.Context(), r, f)
				if c.wantClass == nil {
					f.Expect(err).NotTo(gomega.HaveOccurred())
					f.expectAuditTrail(t.Context(), "first", "theirs", "ours")
					return
				}
				f.Expect(c.wantClass.Has(err)).To(gomega.BeTrue(), "%v", err)
				f.expectAuditTrail(t.Context(), "first", "theirs")
				if c.wantClass == &presets.Conflict {
					f.expectConflictWithTheirs(err, first.Config.Version)
				}
			})
		})
	}
}

func (f *fixture) expectConflictWithTheirs(err error, base int64) {
	var conflict *presets.ConflictError
	f.Expect(errors.As(err, &conflict)).To(gomega.BeTrue())
	f.Expect(conflict.Base).To(gomega.Equal(base))
	f.Expect(conflict.PrecedingChanges).To(gomega.HaveLen(1))
	f.Expect(conflict.PrecedingChanges[0].Operation).To(gomega.Equal("theirs"))
	f.Expect(conflict.Error()).To(gomega.ContainSubstring("by bob"))
}
