package claims

import (
	"context"
	"time"

	"sycamoreledge.example/internal/platform"
)

// Retries of one flush.
const (
	retryMin = 10 * time.Millisecond
	retryMax = 200 * time.Millisecond
	// maxOutOfReach is how many calls in a row may go unanswered.
	maxOutOfReach = 3
	// refusePause is how long claims are refused at once after a flush found
	// the platform out of reach.
	refusePause = 500 * time.Millisecond
)

// run flushes the queue until it is empty. A flush starts as soon as the one
// before it has ended and takes all claims that came in meanwhile, so that
// batches grow with the load and an idle shard adds no delay (NetLog thesis,
// section on the flush thread).
func (s *shard) run() {
	for {
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		s.flush(batch)
	}
}

// take removes the next batch from the queue. When there is none, the flush
// goroutine counts as ended.
func (s *shard) take() []*pending {
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

// flush settles all claims of a batch.
func (s *shard) flush(batch []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.Timeout)
	defer cancel()
	backoff := platform.Backoff{Min: retryMin, Max: retryMax}
	unanswered, conflicts := 0, 0
	s.reload(ctx)
	for len(batch) > 0 {
		var err error
		batch, err = s.try(ctx, batch)
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
		if Corrupt.Has(err) || unanswered == maxOutOfReach || backoff.Wait(ctx) != nil {
			s.failAll(batch, err)
			return
		}
	}
	s.setFailing(false)
}

// failAll ends calls with an error, and refuses further ones for a while when
// the platform is out of reach.
func (s *shard) failAll(batch []*pending, err error) {
	if platform.OutOfReach(err) {
		s.setFailing(true)
	}
	if !Corrupt.Has(err) {
		err = Unreachable.Wrap(err)
	}
	for _, p := range batch {
		s.fail(p, err)
	}
}

// try settles what the known table decides, writes rows for the rest once, and
// returns the calls that are still open.
func (s *shard) try(ctx context.Context, batch []*pending) ([]*pending, error) {
	if err := s.load(ctx); err != nil {
		return batch, err
	}
	s.table.prune(time.Now())
	open := s.decide(batch)
	added, refused := s.choose(open)
	for _, p := range refused {
		s.fail(p, Full.New("%s has no room for another claim", s.key))
	}
	open = unsettled(open)
	if len(added) == 0 {
		return open, nil
	}
	if err := s.write(ctx, added); err != nil {
		return open, err
	}
	return s.decide(open), nil
}

// load reads the object when its state is not known.
func (s *shard) load(ctx context.Context) error {
	if s.table != nil {
		return nil
	}
	return s.read(ctx)
}

// reload reads the object again at the start of a flush while other instances
// write it too: a read costs the platform less than a write that conflicts. It
// stops doing so when it finds the object as it was.
func (s *shard) reload(ctx context.Context) {
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

// decide settles the calls for keys that have a row. Rows never change and stay
// until they expire, so that even a stale copy decides rightly. It returns the
// other calls.
func (s *shard) decide(batch []*pending) []*pending {
	for _, p := range batch {
		if r, ok := s.table.rows[p.id]; ok {
			s.settle(p, r)
		}
	}
	return unsettled(batch)
}

// choose returns the calls whose rows to write now, one for each key, and those for which
// the object has no room.
func (s *shard) choose(open []*pending) (added, refused []*pending) {
	chosen := make(map[keyID]bool)
	size := s.table.size
	for _, p := range open {
		if chosen[p.id] {
			continue
		}
		if size+p.candidate.row.size() > platform.MaxValueBytes {
			refused = append(refused, p)
			continue
		}
		chosen[p.id] = true
		size += p.candidate.row.size()
		added = append(added, p)
	}
	return added, refused
}

// write stores the table with the rows of the claims. After an error the known
// table is as before, or must be read again.
func (s *shard) write(ctx context.Context, added []*pending) error {
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
		s.markSent(added)
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

func unsettled(claims []*pending) []*pending {
	var open []*pending
	for _, p := range claims {
		if !p.settled {
			open = append(open, p)
		}
	}
	return open
}
