package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// pendingLines is how many lines wait for a slow output before lines are
// dropped.
const pendingLines = 4096

// asyncWriter hands lines to a goroutine, so that an output that blocks does
// not stop the goroutine that logs.
type asyncWriter struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped atomic.Uint64
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{
		lines: make(chan []byte, pendingLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go a.run(w)
	return a
}

// Write queues one line. It never blocks and never fails.
func (a *asyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *asyncWriter) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(w, line)
		case <-a.stop:
			a.flush(w)
			return
		}
	}
}

func (a *asyncWriter) flush(w io.Writer) {
	for {
		select {
		case line := <-a.lines:
			a.write(w, line)
		default:
			return
		}
	}
}

func (a *asyncWriter) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		a.dropped.Add(1)
	}
}

// close writes the queued lines, for at most the given time.
func (a *asyncWriter) close(wait time.Duration) {
	a.once.Do(func() { close(a.stop) })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
	}
}
