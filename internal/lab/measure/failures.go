package measure

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/work"
)

// failure is an operation that was not run, for the search of its cause.
type failure struct {
	At       time.Duration `json:"at"`
	Zone     string        `json:"zone"`
	Service  string        `json:"service"`
	Nonce    string        `json:"nonce"`
	Own      bool          `json:"own,omitempty"`
	Outcome  string        `json:"outcome"`
	Reason   work.Reason   `json:"reason"`
	Took     time.Duration `json:"took"`
	Attempts int           `json:"attempts"`
	Cut      int           `json:"cut,omitempty"`
	// Start is the time of the machine, to compare with the logs.
	Start time.Time `json:"start"`
}

// writeFailures writes the operations that were not run as lines of JSON into
// the directory of the run. It lives as long as that directory is kept.
func (r *replay) writeFailures(dir, name string) error {
	f, err := os.Create(filepath.Join(dir, "failures-"+name+".jsonl"))
	if err != nil {
		return Error.Wrap(err)
	}
	out := json.NewEncoder(f)
	var failed errs.Group
	for i, op := range r.ops {
		if op == nil || op.Outcome == work.Run {
			continue
		}
		send := r.trace.Sends[i]
		failed.Add(out.Encode(failure{
			At: send.At, Zone: r.trace.Zones[send.Zone], Service: op.Service, Nonce: op.Nonce, Own: send.Own,
			Outcome: op.Outcome.String(), Reason: op.Reason, Took: op.End.Sub(op.Start), Attempts: op.Attempts, Cut: op.Cut, Start: op.Start,
		}))
	}
	failed.Add(f.Close())
	return Error.Wrap(failed.Err())
}
