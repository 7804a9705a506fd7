package idempotency

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"sycamoreledge.example/internal/work"
)

// Headers of answers to repeats.
const (
	// HeaderReplayed marks an answer that was stored when the request ran.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderOmitted marks a stored answer whose body was too large to keep.
	HeaderOmitted = "Idempotency-Body-Omitted"
)

// runOnce runs the request if its key has not run yet, and else answers with
// the stored outcome.
func (s *Service) runOnce(ctx context.Context, p *prepared, id entryID, expires time.Time, absent func() *work.Response) *work.Response {
	for {
		e, mine, refusal := s.table.begin(id, expires, time.Now(), absent)
		switch {
		case refusal != nil:
			return refusal
		case mine:
			return s.attempt(ctx, p, id, e)
		}
		if resp := s.repeat(ctx, p, e); resp != nil {
			return resp
		}
	}
}

// attempt runs the request for an entry that this call took.
func (s *Service) attempt(ctx context.Context, p *prepared, id entryID, e *entry) *work.Response {
	if !s.table.match(e, p.print) {
		s.table.end(id, e, stored{Outcome: work.NotRun})
		return work.Refuse(work.ReasonKeyConflict, 0)
	}
	// The outcome must be known also when the caller left.
	resp := s.run(context.WithoutCancel(ctx), p.attempt())
	s.table.setPrint(e, p.final())
	s.table.end(id, e, keep(resp))
	return resp
}

// keep returns what is stored of a response, and lets the response be read in
// full by the caller.
func keep(resp *work.Response) stored {
	outcome := stored{
		Outcome:  resp.Outcome,
		Reason:   resp.Reason,
		Status:   resp.Status,
		Header:   resp.Header,
		Upstream: resp.Upstream,
	}
	if resp.Outcome != work.Run || resp.Body == nil {
		return outcome
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, bodyLimit+1))
	rest := io.Reader(resp.Body)
	if err != nil {
		rest = failing{err}
	}
	if err == nil && len(head) <= bodyLimit {
		outcome.Body = head
		resp.Body.Close()
		resp.Body = io.NopCloser(bytes.NewReader(head))
		return outcome
	}
	outcome.Omitted = true
	resp.Body = &joined{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: resp.Body}
	return outcome
}

// failing is a reader that fails.
type failing struct{ err error }

// Read implements io.Reader.
func (f failing) Read([]byte) (int, error) { return 0, f.err }

// joined reads from one value and closes another.
type joined struct {
	io.Reader
	io.Closer
}

// repeat answers a request whose key is running or has run. It returns nil when
// the key is free again, so that the request may be run.
func (s *Service) repeat(ctx context.Context, p *prepared, e *entry) *work.Response {
	state, print, outcome, done := s.table.read(e)
	if print.differs(p.print) {
		return work.Uncertain(work.ReasonKeyConflict)
	}
	if state == stateRunning {
		s.stats.Waited.Add(1)
		if !wait(ctx, done, p.req.Deadline) {
			return work.Uncertain(work.ReasonDeadline)
		}
		state, print, outcome, _ = s.table.read(e)
	}
	if state != stateDone {
		return nil
	}
	if print.differs(p.print) || outcome.Outcome == work.Run && !sameBody(p, print) {
		return work.Uncertain(work.ReasonKeyConflict)
	}
	s.stats.Replayed.Add(1)
	return outcome.response()
}

// wait waits for the attempt under way.
func wait(ctx context.Context, done <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// sameBody reads a large body to its end to compare it with the one that ran.
func sameBody(p *prepared, ran fingerprint) bool {
	if ran.Whole == [32]byte{} {
		return true
	}
	if p.drain() != nil {
		return false
	}
	return p.final() == ran
}

// response returns the stored outcome as an answer to a repeat.
func (o *stored) response() *work.Response {
	resp := &work.Response{
		Outcome:  o.Outcome,
		Reason:   o.Reason,
		Status:   o.Status,
		Header:   http.Header(o.Header).Clone(),
		Upstream: o.Upstream,
	}
	if o.Outcome != work.Run {
		return resp
	}
	if resp.Header == nil {
		resp.Header = http.Header{}
	}
	resp.Header.Set(HeaderReplayed, "true")
	if o.Omitted {
		resp.Header.Set(HeaderOmitted, "true")
		resp.Header.Del("Content-Digest")
	}
	resp.Body = io.NopCloser(bytes.NewReader(o.Body))
	resp.Length = int64(len(o.Body))
	return resp
}
