// Package instances stores one record on the platform for each declared instance.
// From the record a starting instance determines whether its previous run stopped
// cleanly, and an incarnation that no earlier run has used.
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
	// Unreachable means that the platform did not confirm the update. The update
	// may have taken effect.
	Unreachable = errs.Class("platform unreachable")
	// Replaced means that a newer run of the instance has started.
	Replaced = errs.Class("replaced")
	// Corrupt means that the record cannot be decoded or encoded.
	Corrupt = errs.Class("corrupt object")
)

// Run describes one run of an instance.
type Run struct {
	Incarnation uint64 `json:"incarnation"`
	// Clean is set when the run completed a planned stop, including its handover.
	Clean bool `json:"clean"`
}

// record is the value stored on the platform for one instance.
type record struct {
	Last Run `json:"last"`
	// Previous is the run before the last one, and Nonce identifies the start of
	// the last one. With them, a start whose response from the platform was lost is
	// recognized when the record is read again.
	Previous Run    `json:"former"`
	Nonce    string `json:"nonce"`
}

// Backoff limits of the retries.
const (
	retryMin = 20 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

const keyPrefix = "instances/"

func recordKey(name string) string { return keyPrefix + name }

// RecordName returns the name of the record of an instance. It begins with the zone, so
// that one call lists all records of a zone.
func RecordName(zone, instance string) string { return zone + "/" + instance }

// RecordStart records a new run of an instance. It returns the previous run, which is
// zero when there was none, and the incarnation of the new run: the proposed one,
// or one more than that of the previous run if that is higher. It retries until
// the context ends, and then fails with Unreachable; Corrupt is not retried.
func RecordStart(ctx context.Context, client platform.Client, name string, proposed uint64) (previous Run, incarnation uint64, err error) {
	u := &recordUpdater{client: client, name: name}
	nonce := rand.Text()
	for {
		r, err := u.read(ctx)
		if err == nil && r.Nonce == nonce {
			return r.Previous, r.Last.Incarnation, nil
		}
		if err == nil {
			previous = r.Last
			incarnation = max(proposed, previous.Incarnation+1)
			err = u.write(ctx, record{Last: Run{Incarnation: incarnation}, Previous: previous, Nonce: nonce})
		}
		if err == nil {
			return previous, incarnation, nil
		}
		if err := u.retry(ctx, err); err != nil {
			return Run{}, 0, err
		}
	}
}

// RecordStop records that a run has stopped cleanly. It fails with Replaced when a newer
// run has started. It retries until the context ends, and then fails with
// Unreachable; Corrupt is not retried.
func RecordStop(ctx context.Context, client platform.Client, name string, incarnation uint64) error {
	u := &recordUpdater{client: client, name: name}
	for {
		r, err := u.read(ctx)
		if err == nil && r.Last.Incarnation > incarnation {
			return Replaced.New("the stop is not recorded: %s has a newer run, with incarnation %d", name, r.Last.Incarnation)
		}
		if err == nil && r.Last == (Run{Incarnation: incarnation, Clean: true}) {
			return nil
		}
		if err == nil {
			err = u.writeStopped(ctx, r, incarnation)
		}
		if err == nil {
			return nil
		}
		if err := u.retry(ctx, err); err != nil {
			return err
		}
	}
}

// LastRun returns the last run under a name, which is zero when there was none.
func LastRun(ctx context.Context, client platform.Client, name string) (Run, error) {
	u := &recordUpdater{client: client, name: name}
	r, err := u.read(ctx)
	return r.Last, err
}

// ZoneRuns returns the last two runs of each instance of a zone by instance name, the
// newer run first.
func ZoneRuns(ctx context.Context, client platform.Client, zone string) (map[string][]Run, error) {
	objs, err := client.List(ctx, recordKey(RecordName(zone, "")))
	if err != nil {
		return nil, err
	}
	runs := map[string][]Run{}
	for _, obj := range objs {
		var r record
		if err := json.Unmarshal(obj.Value, &r); err != nil {
			return nil, Corrupt.New("record %s cannot be decoded: %w", obj.Key, err)
		}
		instance := strings.TrimPrefix(obj.Key, recordKey(RecordName(zone, "")))
		runs[instance] = []Run{r.Last, r.Previous}
	}
	return runs, nil
}

// recordUpdater reads and writes one record, and paces the retries.
type recordUpdater struct {
	client  platform.Client
	name    string
	version int64
	backoff platform.Backoff
}

func (u *recordUpdater) read(ctx context.Context) (record, error) {
	obj, err := u.client.Get(ctx, recordKey(u.name))
	if platform.NotFound.Has(err) {
		u.version = 0
		return record{}, nil
	}
	if err != nil {
		return record{}, err
	}
	var r record
	if err := json.Unmarshal(obj.Value, &r); err != nil {
		return record{}, Corrupt.New("record %s cannot be decoded: %w", obj.Key, err)
	}
	u.version = obj.Version
	return r, nil
}

func (u *recordUpdater) write(ctx context.Context, r record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return Corrupt.Wrap(err)
	}
	_, err = u.client.Put(ctx, recordKey(u.name), value, u.version)
	return err
}

// writeStopped marks the run as clean. A run that started while the platform was
// unreachable is not recorded yet. The last recorded run is then its previous run.
func (u *recordUpdater) writeStopped(ctx context.Context, r record, incarnation uint64) error {
	if r.Last.Incarnation < incarnation {
		r.Previous = r.Last
		r.Nonce = ""
	}
	r.Last = Run{Incarnation: incarnation, Clean: true}
	return u.write(ctx, r)
}

// retry waits before the next attempt, or returns an error if there must be none.
func (u *recordUpdater) retry(ctx context.Context, cause error) error {
	if Corrupt.Has(cause) {
		return cause
	}
	u.backoff.Min, u.backoff.Max = retryMin, retryMax
	if u.backoff.Wait(ctx) != nil {
		return Unreachable.Wrap(cause)
	}
	return nil
}
