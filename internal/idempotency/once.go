package idempotency

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"sycamoreledge.example/internal/work"
)

// Headers of replayed responses.
const (
	// HeaderReplayed marks a response replayed from a stored outcome.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderBodyOmitted marks a replayed response whose body was too large to store.
	HeaderBodyOmitted = "Idempotency-Body-Omitted"
)

// runOnce executes the request if its key has not run yet, and otherwise returns
// the stored outcome.
func (s *Service) runOnce(ctx context.Context, buffered *bufferedRequest, id entryID, expires time.Time, checkAbsent func() *work.Response) *work.Response {
	for {
		e, started, refusal := s.table.startAttempt(id, expires, time.Now(), checkAbsent)
		switch {
		case refusal != nil:
			return refusal
		case started:
			return s.runAttempt(ctx, buffered, id, e)
		}
		if resp := s.answerRepeat(ctx, buffered, e); resp != nil {
			return resp
		}
	}
}

// runAttempt executes the request for an entry whose attempt this call started.
func (s *Service) runAttempt(ctx context.Context, buffered *bufferedRequest, id entryID, e *entry) *work.Response {
	if !s.table.matchFingerprint(e, buffered.fingerprint) {
		s.table.finishAttempt(id, e, storedOutcome{Outcome: work.NotRun})
		return work.Refuse(work.ReasonKeyConflict, 0)
	}
	// The attempt continues after the caller disconnects, so that its outcome is
	// known to later repeats.
	resp := s.run(context.WithoutCancel(ctx), buffered.hashingRequest())
	s.table.setFingerprint(e, buffered.finalFingerprint())
	s.table.finishAttempt(id, e, captureOutcome(resp))
	return resp
}

// captureOutcome returns the outcome to store for a response. It buffers the
// body up to maxStoredBodyBytes and leaves the response readable from its start.
func captureOutcome(resp *work.Response) storedOutcome {
	outcome := storedOutcome{
		Outcome:  resp.Outcome,
		Reason:   resp.Reason,
		Status:   resp.Status,
		Header:   resp.Header,
		Upstream: resp.Upstream,
	}
	if resp.Outcome != work.Run || resp.Body == nil {
		return outcome
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredBodyBytes+1))
	rest := io.Reader(resp.Body)
	if err != nil {
		rest = errorReader{err}
	}
	if err == nil && len(head) <= maxStoredBodyBytes {
		outcome.Body = head
		resp.Body.Close()
		resp.Body = io.NopCloser(bytes.NewReader(head))
		return outcome
	}
	outcome.BodyOmitted = true
	resp.Body = &readCloser{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: resp.Body}
	return outcome
}

// errorReader is an io.Reader that always returns err.
type errorReader struct{ err error }

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// readCloser combines a Reader and an independent Closer.
type readCloser struct {
	io.Reader
	io.Closer
}

// answerRepeat returns the response to a request whose key is running or has
// run. It returns nil when the attempt did not run the request, so that the
// caller may start a new attempt.
func (s *Service) answerRepeat(ctx context.Context, buffered *bufferedRequest, e *entry) *work.Response {
	state, fp, outcome, done := s.table.read(e)
	if fp.differs(buffered.fingerprint) {
		return work.UnknownOutcome(work.ReasonKeyConflict)
	}
	if state == stateRunning {
		s.stats.Waited.Add(1)
		if !waitDone(ctx, done, buffered.req.Deadline) {
			return work.UnknownOutcome(work.ReasonDeadline)
		}
		state, fp, outcome, _ = s.table.read(e)
	}
	if state != stateDone {
		return nil
	}
	if fp.differs(buffered.fingerprint) || outcome.Outcome == work.Run && !sameLargeBody(buffered, fp) {
		return work.UnknownOutcome(work.ReasonKeyConflict)
	}
	s.stats.Replayed.Add(1)
	return outcome.replay()
}

// waitDone waits until done is closed and reports true, or reports false when
// the context ends or the deadline passes first.
func waitDone(ctx context.Context, done <-chan struct{}, deadline time.Time) bool {
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

// sameLargeBody reports whether the body of a repeat equals the one that ran. It
// reads a large body to its end; it reports true when the hash of the body that
// ran is unknown.
func sameLargeBody(buffered *bufferedRequest, ran fingerprint) bool {
	if ran.BodyHash == [32]byte{} {
		return true
	}
	if buffered.hashUnreadBody() != nil {
		return false
	}
	return buffered.finalFingerprint() == ran
}

// replay returns the stored outcome as the response to a repeat.
func (o *storedOutcome) replay() *work.Response {
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
	if o.BodyOmitted {
		resp.Header.Set(HeaderBodyOmitted, "true")
		resp.Header.Del("Content-Digest")
	}
	resp.Body = io.NopCloser(bytes.NewReader(o.Body))
	resp.Length = int64(len(o.Body))
	return resp
}
