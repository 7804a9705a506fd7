// Package instances keeps one record on the platform for each declared
// instance. A starting instance learns from it whether its former run stopped
// cleanly, and picks an incarnation that no former run has used.
package instances

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/platform"
)

// Error classes. Callers tell them apart with Class.Has.
var (
	// Unreachable means that the platform did not settle the update, which may
	// have taken effect.
	Unreachable = errs.Class("platform unreachable")
	// Replaced means that another run of the instance has started since.
	Replaced = errs.Class("replaced")
	// Corrupt means that the record cannot be read.
	Corrupt = errs.Class("corrupt object")
)

// Run is what is known of one run of an instance.
type Run struct {
	Incarnation uint64 `json:"incarnation"`
	// Clean is set when the run stopped as planned and handed over what it held.
	Clean bool `json:"clean"`
}

// record is the object of one instance.
type record struct {
	Last Run `json:"last"`
	// Former is the run before the last, and Nonce identifies the start of the
	// last: with them a start whose answer was lost is found again.
	Former Run    `json:"former"`
	Nonce  string `json:"nonce"`
}

// Timing of the retries.
const (
	retryMin = 20 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

const prefix = "instances/"

func key(name string) string { return prefix + name }

// Name returns the name of the record of an instance: those of a zone stand
// together, so that one call lists them.
func Name(zone, instance string) string { return zone + "/" + instance }

// Start records a new run of an instance. It returns the former run, which is
// zero when there was none, and the incarnation of the new one: the proposed
// one, or the next after the former when that is higher.
func Start(ctx context.Context, client platform.Client, name string, proposed uint64) (former Run, incarnation uint64, err error) {
	u := &updater{client: client, name: name}
	nonce := rand.Text()
	for {
		r, err := u.read(ctx)
		if err == nil && r.Nonce == nonce {
			return r.Former, r.Last.Incarnation, nil
		}
		if err == nil {
			former = r.Last
			incarnation = max(proposed, former.Incarnation+1)
			err = u.write(ctx, record{Last: Run{Incarnation: incarnation}, Former: former, Nonce: nonce})
		}
		if err == nil {
			return former, incarnation, nil
		}
		if err := u.retry(ctx, err); err != nil {
			return Run{}, 0, err
		}
	}
}

// Stop records that a run has stopped cleanly.
func Stop(ctx context.Context, client platform.Client, name string, incarnation uint64) error {
	u := &updater{client: client, name: name}
	for {
		r, err := u.read(ctx)
		if err == nil && r.Last.Incarnation > incarnation {
			return Replaced.New("%s runs as incarnation %d", name, r.Last.Incarnation)
		}
		if err == nil && r.Last == (Run{Incarnation: incarnation, Clean: true}) {
			return nil
		}
		if err == nil {
			err = u.stop(ctx, r, incarnation)
		}
		if err == nil {
			return nil
		}
		if err := u.retry(ctx, err); err != nil {
			return err
		}
	}
}

// Last returns the last run under a name, which is zero when there was none.
func Last(ctx context.Context, client platform.Client, name string) (Run, error) {
	u := &updater{client: client, name: name}
	r, err := u.read(ctx)
	return r.Last, err
}

// Zone returns the last two runs of each instance of a zone, by instance, the
// newer first.
func Zone(ctx context.Context, client platform.Client, zone string) (map[string][]Run, error) {
	objs, err := client.List(ctx, key(Name(zone, "")))
	if err != nil {
		return nil, err
	}
	runs := map[string][]Run{}
	for _, obj := range objs {
		var r record
		if err := json.Unmarshal(obj.Value, &r); err != nil {
			return nil, Corrupt.New("%s: %w", obj.Key, err)
		}
		instance := strings.TrimPrefix(obj.Key, key(Name(zone, "")))
		runs[instance] = []Run{r.Last, r.Former}
	}
	return runs, nil
}

// updater reads and writes one record until it succeeds.
type updater struct {
	client  platform.Client
	name    string
	version int64
	backoff platform.Backoff
}

func (u *updater) read(ctx context.Context) (record, error) {
	obj, err := u.client.Get(ctx, key(u.name))
	if platform.NotFound.Has(err) {
		u.version = 0
		return record{}, nil
	}
	if err != nil {
		return record{}, err
	}
	var r record
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return record{}, Corrupt.New("%s: %w", obj.Key, err)
	}
	u.version = obj.Version
	return r, nil
}

func (u *updater) write(ctx context.Context, r record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return Corrupt.Wrap(err)
	}
	_, err = u.client.Put(ctx, key(u.name), value, u.version)
	return err
}

// stop marks the run as clean. A run that started without the platform has no
// record yet: the last one is then its former run.
func (u *updater) stop(ctx context.Context, r record, incarnation uint64) error {
	if r.Last.Incarnation < incarnation {
		r.Former = r.Last
		r.Nonce = ""
	}
	r.Last = Run{Incarnation: incarnation, Clean: true}
	return u.write(ctx, r)
}

// retry waits before the next try, or returns the error to give up with.
func (u *updater) retry(ctx context.Context, cause error) error {
	if Corrupt.Has(cause) {
		return cause
	}
	u.backoff.Min, u.backoff.Max = retryMin, retryMax
	if u.backoff.Wait(ctx) != nil {
		return Unreachable.Wrap(cause)
	}
	return nil
}
