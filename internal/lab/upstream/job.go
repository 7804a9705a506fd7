package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"path"
	"strconv"
	"time"

	"sycamoreledge.example/internal/lab/answer"
)

// Parameters of the query that shape the answer.
const (
	// ParamSize is the size of the answer in bytes.
	ParamSize = "size"
	// ParamChunked asks for an answer without a length in advance.
	ParamChunked = "chunked"
)

// chunkBytes is how much of a body is read or written at once.
const chunkBytes = 32 << 10

// job is one request that holds a slot.
type job struct {
	u       *Upstream
	service time.Duration
	fault   Fault
	rec     *Record
	// stray and ended are guarded by the upstream's lock.
	stray bool
	ended bool
}

// run takes the body and works for the service time. It returns the answer,
// or false when there is nobody to answer to. The slot is free afterwards.
func (j *job) run(ctx context.Context, r *http.Request) ([]byte, bool) {
	n, digest, err := j.receive(ctx, r.Body)
	if err != nil || (r.ContentLength >= 0 && n != r.ContentLength) {
		j.end(Cut)
		return nil, false
	}
	if j.rec != nil {
		j.u.records.received(j.rec, n, digest)
	}
	if !j.work(ctx) {
		j.end(Canceled)
		return nil, false
	}
	j.end(Done)
	size, _ := strconv.Atoi(r.URL.Query().Get(ParamSize))
	return answer.Body(path.Base(r.URL.Path), digest, size), true
}

// receive reads the body at the upstream's transfer rate.
func (j *job) receive(ctx context.Context, body io.Reader) (int64, string, error) {
	sum := sha256.New()
	buf := make([]byte, chunkBytes)
	rate := j.u.times.service.TransferRate
	var total int64
	for {
		n, err := body.Read(buf)
		sum.Write(buf[:n])
		total += int64(n)
		if err == io.EOF {
			return total, hex.EncodeToString(sum.Sum(nil)), nil
		}
		if err != nil {
			return total, "", err
		}
		if rate > 0 && !wait(ctx, transferTime(n, rate)) {
			return total, "", ctx.Err()
		}
	}
}

// transferTime is how long n bytes take at a rate in Mbit/s.
func transferTime(n int, rate float64) time.Duration {
	const bitsPerMegabit = 1e6
	return time.Duration(float64(n) * 8 / (rate * bitsPerMegabit) * float64(time.Second))
}

// work waits for the service time and the faults that delay the answer.
func (j *job) work(ctx context.Context) bool {
	until := ctx
	if j.fault.Deaf {
		stop := context.AfterFunc(ctx, j.becomeStray)
		defer stop()
		until = context.WithoutCancel(ctx)
	}
	if !wait(until, j.service+j.fault.Late) {
		return false
	}
	if j.fault.Mute {
		<-ctx.Done()
		return false
	}
	return true
}

// becomeStray stops counting the job's slot when its connection has gone,
// since whoever closed it may trust that the slot is free.
func (j *job) becomeStray() {
	j.u.mu.Lock()
	defer j.u.mu.Unlock()
	if !j.ended {
		j.stray = true
		j.u.stray++
	}
}

// end frees the slot and closes the record.
func (j *job) end(e End) {
	if j.rec != nil {
		j.u.records.finish(j.rec, e, time.Now())
	}
	j.u.mu.Lock()
	defer j.u.mu.Unlock()
	j.ended = true
	j.u.counts.Busy--
	if j.stray {
		j.u.stray--
	}
	switch e {
	case Done:
		j.u.counts.Done++
	case Canceled:
		j.u.counts.Canceled++
	default:
		j.u.counts.Cut++
	}
}

// answer sends the body with its digest, or half of it.
func (j *job) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	h := w.Header()
	h.Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	h.Set(HeaderDigest, answer.ContentDigest(body))
	h.Set(HeaderWorkTime, strconv.FormatInt(j.service.Microseconds(), 10))
	if r.URL.Query().Get(ParamChunked) == "" {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	if j.fault.Half {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for len(body) > 0 {
		n, err := w.Write(body[:min(len(body), chunkBytes)])
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		body = body[n:]
		if h.Get("Content-Length") == "" {
			_ = http.NewResponseController(w).Flush()
		}
	}
}
