package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the number of lines that are queued for a slow output before
// further lines are dropped.
const maxQueuedLines = 4096

// asyncWriter writes lines in a goroutine of its own, so that a blocked output does
// not block callers of the logger.
type asyncWriter struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	dropped atomic.Uint64
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{
		lines: make(chan []byte, maxQueuedLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go a.run(w)
	return a
}

// Write queues one line, or drops it when the queue is full. It never fails.
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

// close writes the queued lines, waiting at most the given time.
func (a *asyncWriter) close(wait time.Duration) {
	a.once.Do(func() { close(a.stop) })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-a.done:
	case <-timer.C:
	}
}
