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

// Lookups is the cost of GET /v1/entries on the HTTP server for callers.
type Lookups struct {
	Count int
	// ServerCPU is the CPU time per look-up, without that of the HTTP clients.
	ServerCPU time.Duration
	// Elapsed is the wall-clock time for which the HTTP clients ran.
	Elapsed time.Duration
}

// PerCore returns how many look-ups one CPU core serves per second.
func (l *Lookups) PerCore() float64 { return float64(time.Second) / float64(l.ServerCPU) }

// lookupClients is the number of concurrent connections.
const lookupClients = 4

// ErrLookup means that the response to a look-up did not have status 200.
var ErrLookup = errors.New("capacity: look-up not answered with status 200")

// MeasureLookups serves look-ups for random client addresses over loopback for
// the duration d. The snapshot is replaced at each tick, as in an instance.
func MeasureLookups(shape Shape, table *locate.Table, seed uint64, d time.Duration) (Lookups, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Lookups{}, err
	}
	var snapshot atomic.Pointer[control.Snapshot]
	snapshot.Store(allAlive(shape))
	ranker := locate.NewRanker(shape.Topology(), table)
	server := api.NewCallers(ln, api.CallersOptions{
		Router:   stubRouter{},
		Keys:     stubKeys{},
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
	go refreshSnapshot(ctx, &snapshot)
	l, err := runClients(ctx, ln.Addr().String(), seed)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), time.Second)
	defer cancelStop()
	server.Stop(stopCtx)
	return l, err
}

const lookupService = "service-00"

// allAlive returns a snapshot in which all instances of the fleet are serving.
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

// refreshSnapshot publishes a copy of the snapshot at each tick until ctx ends.
func refreshSnapshot(ctx context.Context, snapshot *atomic.Pointer[control.Snapshot]) {
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

// runClients runs the HTTP clients until ctx ends.
func runClients(ctx context.Context, address string, seed uint64) (Lookups, error) {
	var (
		wg        sync.WaitGroup
		count     atomic.Int64
		clientCPU atomic.Int64 // nanoseconds of thread CPU time
		failed    atomic.Pointer[error]
	)
	begin, wall := processTime(), time.Now()
	for i := range lookupClients {
		wg.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			from := threadTime()
			n, err := sendLookups(ctx, address, rand.New(rand.NewPCG(seed, uint64(i))))
			clientCPU.Add(int64(threadTime() - from))
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
	used := processTime() - begin - time.Duration(clientCPU.Load())
	n := int(count.Load())
	return Lookups{Count: n, ServerCPU: used / time.Duration(max(1, n)), Elapsed: time.Since(wall)}, nil
}

// sendLookups sends look-ups one after the other on one connection until ctx
// ends and returns how many were answered.
func sendLookups(ctx context.Context, address string, r *rand.Rand) (int, error) {
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
		if err := readResponse(reader); err != nil {
			return count, err
		}
		count++
	}
	return count, nil
}

// readResponse reads one response with its body.
func readResponse(reader *bufio.Reader) error {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return ErrLookup
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// stubRouter and stubKeys are dependencies of the server that look-ups do not
// use.
type stubRouter struct{}

// Serve implements api.Router.
func (stubRouter) Serve(context.Context, *work.Request) *work.Response { return nil }

type stubKeys struct{}

// Issue implements api.Keys.
func (stubKeys) Issue(string) (string, time.Time, error) { return "", time.Time{}, ErrLookup }
