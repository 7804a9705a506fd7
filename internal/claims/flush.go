package claims

import (
	"context"
	"time"

	"sycamoreledge.example/internal/platform"
)

// Retry limits of a flush.
const (
	retryMin = 10 * time.Millisecond
	retryMax = 200 * time.Millisecond
	// maxUnansweredCalls is the number of consecutive unanswered calls after which a flush fails.
	maxUnansweredCalls = 3
	// unreachableBackoff is how long claims are refused immediately after a flush
	// could not reach the platform.
	unreachableBackoff = 500 * time.Millisecond
)

// run flushes the queue until it is empty. Each flush starts as soon as the
// previous one has finished and takes all claims queued in the meantime. Batches
// therefore grow with the load, and a claim in an idle shard is not delayed
// (NetLog thesis, section on the flush thread).
func (s *shard) run() {
	for {
		batch := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		s.flush(batch)
	}
}

// nextBatch removes the next batch from the queue. When the queue is empty, it
// clears running, and the flush goroutine must exit.
func (s *shard) nextBatch() []*pendingCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.queue)
	if s.config.MaxBatch > 0 {
		n = min(n, s.config.MaxBatch)
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.running = n > 0
	return batch
}

// flush completes all calls of a batch.
func (s *shard) flush(batch []*pendingCall) {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.Timeout)
	defer cancel()
	backoff := platform.Backoff{Min: retryMin, Max: retryMax}
	unanswered, conflicts := 0, 0
	s.refreshContended(ctx)
	for len(batch) > 0 {
		var err error
		batch, err = s.tryBatch(ctx, batch)
		if err == nil {
			continue
		}
		if platform.Conflict.Has(err) && conflicts == 0 {
			conflicts++
			continue
		}
		if platform.OutOfReach(err) {
			unanswered++
		} else {
			unanswered = 0
		}
		if Corrupt.Has(err) || unanswered == maxUnansweredCalls || backoff.Wait(ctx) != nil {
			s.failAll(batch, err)
			return
		}
	}
	s.setUnreachable(false)
}

// failAll completes calls with an error. If the platform is unreachable, further
// calls are refused for unreachableBackoff.
func (s *shard) failAll(batch []*pendingCall, err error) {
	if platform.OutOfReach(err) {
		s.setUnreachable(true)
	}
	if !Corrupt.Has(err) {
		err = Unreachable.Wrap(err)
	}
	for _, p := range batch {
		s.fail(p, err)
	}
}

// tryBatch completes the calls whose keys have rows in the known table, attempts one
// write with rows for the others, and returns the calls that are incomplete.
func (s *shard) tryBatch(ctx context.Context, batch []*pendingCall) ([]*pendingCall, error) {
	if err := s.load(ctx); err != nil {
		return batch, err
	}
	s.table.prune(time.Now())
	remaining := s.completeKnown(batch)
	added, refused := s.selectRows(remaining)
	for _, p := range refused {
		s.fail(p, Full.New("the claim is refused: %s has reached its size limit", s.key))
	}
	remaining = incomplete(remaining)
	if len(added) == 0 {
		return remaining, nil
	}
	if err := s.write(ctx, added); err != nil {
		return remaining, err
	}
	return s.completeKnown(remaining), nil
}

// load reads the object unless its state is known.
func (s *shard) load(ctx context.Context) error {
	if s.table != nil {
		return nil
	}
	return s.read(ctx)
}

// refreshContended reads the object again at the start of a flush while other
// instances also write it, because a read is cheaper for the platform than a
// conflicting write. An unchanged object ends the contended state.
func (s *shard) refreshContended(ctx context.Context) {
	if !s.contended || s.table == nil {
		return
	}
	before := s.version
	if s.read(ctx) == nil {
		s.contended = s.version != before
	}
}

func (s *shard) read(ctx context.Context) error {
	obj, err := s.client.Get(ctx, s.key)
	if platform.NotFound.Has(err) {
		s.table, s.version = newTable(), 0
		return nil
	}
	if err != nil {
		return err
	}
	t, err := decodeTable(obj.Value)
	if err != nil {
		return err
	}
	s.table, s.version = t, obj.Version
	return nil
}

// completeKnown completes the calls whose keys have a row, and returns the others.
// Rows never change and are kept until they expire, so even a stale table gives
// the correct result.
func (s *shard) completeKnown(batch []*pendingCall) []*pendingCall {
	for _, p := range batch {
		if r, ok := s.table.rows[p.id]; ok {
			s.complete(p, r)
		}
	}
	return incomplete(batch)
}

// selectRows returns the calls whose rows to write now, one for each key, and the
// calls for whose rows the object has no room.
func (s *shard) selectRows(calls []*pendingCall) (added, refused []*pendingCall) {
	selected := make(map[keyHash]bool)
	encodedSize := s.table.sizeBound
	for _, p := range calls {
		if selected[p.id] {
			continue
		}
		if encodedSize+p.candidate.row.encodedSize() > platform.MaxValueBytes {
			refused = append(refused, p)
			continue
		}
		selected[p.id] = true
		encodedSize += p.candidate.row.encodedSize()
		added = append(added, p)
	}
	return added, refused
}

// write stores the table with the rows of the given calls. On error it either
// restores the table, or clears it so that it is read again.
func (s *shard) write(ctx context.Context, added []*pendingCall) error {
	for _, p := range added {
		s.table.add(p.id, p.candidate.row)
	}
	value, err := s.table.encode()
	if err != nil {
		s.table = nil
		return Corrupt.Wrap(err)
	}
	obj, err := s.client.Put(ctx, s.key, value, s.version)
	if err == nil {
		s.version = obj.Version
		return nil
	}
	if platform.Unavailable.Has(err) {
		s.markMaybeStored(added)
	}
	if platform.Throttled.Has(err) || platform.NotSent.Has(err) {
		for _, p := range added {
			s.table.remove(p.id)
		}
		return err
	}
	s.contended = s.contended || platform.Conflict.Has(err)
	s.table = nil
	return err
}

func incomplete(calls []*pendingCall) []*pendingCall {
	var remaining []*pendingCall
	for _, p := range calls {
		if !p.completed {
			remaining = append(remaining, p)
		}
	}
	return remaining
}
