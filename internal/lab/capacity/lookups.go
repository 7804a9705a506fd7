package capacity

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"sycamoreledge.example/internal/api"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/locate"
	"sycamoreledge.example/internal/work"
)

// Lookups is what GET /v1/entries costs through the HTTP server of callers.
type Lookups struct {
	Count int
	// Server is the processor time of one look-up without that of the clients.
	Server time.Duration
	// Wall is the time for which the clients ran.
	Wall time.Duration
}

// PerCore returns how many look-ups one processor core serves in a second.
func (l *Lookups) PerCore() float64 { return float64(time.Second) / float64(l.Server) }

// lookupClients is how many connections ask at the same time.
const lookupClients = 4

// ErrAnswer means that a look-up was not answered with a list.
var ErrAnswer = errors.New("capacity: a look-up failed")

// MeasureLookups serves look-ups for random clients over loopback for a time.
// The snapshot is replaced with each tick, as that of an instance is.
func MeasureLookups(shape Shape, table *locate.Table, seed uint64, d time.Duration) (Lookups, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Lookups{}, err
	}
	var snapshot atomic.Pointer[control.Snapshot]
	snapshot.Store(allAlive(shape))
	ranker := locate.NewRanker(shape.Topology(), table)
	server := api.NewCallers(ln, api.CallersOptions{
		Router:   noRouter{},
		Keys:     noKeys{},
		Snapshot: snapshot.Load,
		Rank: func(_ string, client netip.Addr) []control.InstanceView {
			return ranker.Rank(snapshot.Load(), client)
		},
		Ready:    func() error { return nil },
		Services: map[string]work.Kind{lookupService: work.Lookup},
		MaxAge:   timing.MaxAge,
		Events:   event.Discard(),
	})
	server.Start()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	go renew(ctx, &snapshot)
	l, err := askAll(ctx, ln.Addr().String(), seed)
	bounded, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	server.Stop(bounded)
	return l, err
}

const lookupService = "service-00"

// allAlive returns a snapshot in which all instances of a fleet serve.
func allAlive(shape Shape) *control.Snapshot {
	s := &control.Snapshot{Zone: zoneName(0)}
	for region, zone := range shape.Topology().Zones() {
		for _, inst := range zone.Instances {
			s.Instances = append(s.Instances, control.InstanceView{
				Name: inst.Name, Zone: zone.Name, Region: region.Name,
				Callers: inst.Callers, Alive: true, State: control.Serving,
			})
		}
	}
	return s
}

// renew publishes a copy of the snapshot with each tick.
func renew(ctx context.Context, snapshot *atomic.Pointer[control.Snapshot]) {
	ticker := time.NewTicker(timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			next := *snapshot.Load()
			snapshot.Store(&next)
		}
	}
}

// askAll runs the clients until the context ends.
func askAll(ctx context.Context, address string, seed uint64) (Lookups, error) {
	var (
		wg     sync.WaitGroup
		count  atomic.Int64
		own    atomic.Int64 // processor time of the clients
		failed atomic.Pointer[error]
	)
	begin, wall := processTime(), time.Now()
	for i := range lookupClients {
		wg.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			from := threadTime()
			n, err := ask(ctx, address, rand.New(rand.NewPCG(seed, uint64(i))))
			own.Add(int64(threadTime() - from))
			count.Add(int64(n))
			if err != nil {
				failed.Store(&err)
			}
		})
	}
	wg.Wait()
	if err := failed.Load(); err != nil {
		return Lookups{}, *err
	}
	used := processTime() - begin - time.Duration(own.Load())
	n := int(count.Load())
	return Lookups{Count: n, Server: used / time.Duration(max(1, n)), Wall: time.Since(wall)}, nil
}

// ask sends look-ups one after the other on one connection.
func ask(ctx context.Context, address string, r *rand.Rand) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	count := 0
	for ctx.Err() == nil {
		n := r.Uint32()
		if _, err := fmt.Fprintf(conn, "GET /v1/entries?service=%s&client=%d.%d.%d.%d HTTP/1.1\r\nHost: entry\r\n\r\n",
			lookupService, 1+n>>24%200, n>>16&255, n>>8&255, n&255); err != nil {
			return count, err
		}
		if err := readAnswer(reader); err != nil {
			return count, err
		}
		count++
	}
	return count, nil
}

// readAnswer reads one whole answer.
func readAnswer(reader *bufio.Reader) error {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ErrAnswer
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// noRouter and noKeys stand for what look-ups do not use.
type noRouter struct{}

// Serve implements api.Router.
func (noRouter) Serve(context.Context, *work.Request) *work.Response { return nil }

type noKeys struct{}

// Issue implements api.Keys.
func (noKeys) Issue(string) (string, time.Time, error) { return "", time.Time{}, ErrAnswer }
