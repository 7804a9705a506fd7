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

// maker makes one change.
type maker func(*presets.Store, context.Context, presets.Request, *fixture) (presets.Result, error)

func TestTwoOperatorsAtOnce(t *testing.T) {
	use := func(name string) maker {
		return func(s *presets.Store, ctx context.Context, r presets.Request, _ *fixture) (presets.Result, error) {
			return s.Use(ctx, r, name)
		}
	}
	apply := func(name string) maker {
		return func(s *presets.Store, ctx context.Context, r presets.Request, f *fixture) (presets.Result, error) {
			return s.Apply(ctx, r, f.named(name, 77))
		}
	}
	remove := func(name string) maker {
		return func(s *presets.Store, ctx context.Context, r presets.Request, _ *fixture) (presets.Result, error) {
			return s.Remove(ctx, r, name)
		}
	}
	drain := func(zone string) maker {
		return func(s *presets.Store, ctx context.Context, r presets.Request, _ *fixture) (presets.Result, error) {
			return s.AddDrain(ctx, r, settings.Drain{Kind: settings.DrainZone, Name: zone})
		}
	}
	cases := []struct {
		name      string
		ours      maker
		theirs    maker
		ifVersion bool
		class     *errs.Class
	}{
		{"both choose the preset in force", use("peak"), use("ordinary"), false, &presets.Conflict},
		{"both change one preset", apply("peak"), apply("peak"), false, &presets.Conflict},
		{"both drain one zone", drain("west-a"), drain("west-a"), false, &presets.Conflict},
		{"different presets", apply("peak"), apply("night"), false, nil},
		{"a preset and the choice", apply("night"), use("peak"), false, nil},
		{"different things, with a version", apply("night"), use("peak"), true, &presets.Conflict},
		{"one uses what the other removes", use("peak"), remove("peak"), false, &presets.Refused},
		{"no longer valid beside the other", drain("west-a"), drain("south-a"), false, &presets.Refused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				first, err := f.store(f.memory).Apply(t.Context(), request("first"), f.named("peak", 10))
				f.Expect(err).NotTo(gomega.HaveOccurred())
				var once sync.Once
				client := &hooked{Client: f.memory, before: func() {
					once.Do(func() {
						r := presets.Request{Operation: "theirs", Operator: "bob"}
						_, err := c.theirs(f.store(f.memory), t.Context(), r, f)
						f.Expect(err).NotTo(gomega.HaveOccurred())
					})
				}}
				r := request("ours")
				if c.ifVersion {
					r.IfVersion = first.Config.Version
				}
				_, err = c.ours(f.store(client), t.Context(), r, f)
				if c.class == nil {
					f.Expect(err).NotTo(gomega.HaveOccurred())
					f.expectTrail(t.Context(), "first", "theirs", "ours")
					return
				}
				f.Expect(c.class.Has(err)).To(gomega.BeTrue(), "%v", err)
				f.expectTrail(t.Context(), "first", "theirs")
				if c.class == &presets.Conflict {
					f.expectWinner(err, first.Config.Version)
				}
			})
		})
	}
}

func (f *fixture) expectWinner(err error, base int64) {
	var conflict *presets.ConflictError
	f.Expect(errors.As(err, &conflict)).To(gomega.BeTrue())
	f.Expect(conflict.Base).To(gomega.Equal(base))
	f.Expect(conflict.Won).To(gomega.HaveLen(1))
	f.Expect(conflict.Won[0].Operation).To(gomega.Equal("theirs"))
	f.Expect(conflict.Error()).To(gomega.ContainSubstring("by bob"))
}
