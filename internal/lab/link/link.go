// Package link is a stand-in of the networks between availability zones: it
// forwards TCP connections and UDP datagrams with a delay, a shared rate and
// cuts that can be switched while it runs.
package link

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("link")

// Platform is the name by which cuts address the platform's object API alone.
const Platform = "platform"

// Networks of a Forward.
const (
	TCP = "tcp"
	UDP = "udp"
)

// Zone is an availability zone with its region.
type Zone struct {
	Name   string
	Region string
}

// Forward carries one address of the zone To to callers in the zone From.
type Forward struct {
	From    string
	To      string
	Network string
	Listen  string
	Target  string
	// Platform is set where the target is the object API.
	Platform bool
}

// Config describes all links of a run.
type Config struct {
	Zones    []Zone
	Forwards []Forward
	// Delay returns the one-way delay between two zones.
	Delay func(from, to Zone) time.Duration
	// Rate returns the rate between two regions in bytes per second, shared by
	// all traffic in one direction; 0 sets no limit.
	Rate func(from, to string) float64
}

// Links runs the forwards of a Config.
type Links struct {
	config  Config
	zones   map[string]Zone
	mu      sync.Mutex
	pipes   map[pipeID]*pipe
	shapers map[[2]string]*shaper
	closers []func() error
}

// pipeID names one direction between two zones; the platform has its own.
type pipeID struct {
	from, to string
	platform bool
}

// New opens all listeners and starts to forward.
func New(config Config) (*Links, error) {
	l := &Links{
		config:  config,
		zones:   map[string]Zone{},
		pipes:   map[pipeID]*pipe{},
		shapers: map[[2]string]*shaper{},
	}
	for _, z := range config.Zones {
		l.zones[z.Name] = z
	}
	for _, f := range config.Forwards {
		if _, err := l.open(f); err != nil {
			l.Close() //nolint:errcheck // the first error counts
			return nil, err
		}
	}
	return l, nil
}

// Close ends all forwards.
func (l *Links) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var group errs.Group
	for _, c := range l.closers {
		group.Add(c())
	}
	l.closers = nil
	return group.Err()
}

// Add opens one more forward and returns its address, which Listen may leave the
// port of to the system.
func (l *Links) Add(f Forward) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open(f)
}

func (l *Links) open(f Forward) (string, error) {
	there := l.pipe(pipeID{f.From, f.To, f.Platform})
	back := l.pipe(pipeID{f.To, f.From, f.Platform})
	switch f.Network {
	case TCP:
		ln, err := net.Listen("tcp", f.Listen)
		if err != nil {
			return "", Error.Wrap(err)
		}
		l.closers = append(l.closers, ln.Close)
		go forwardTCP(ln, f.Target, there, back)
		return ln.Addr().String(), nil
	case UDP:
		conn, err := net.ListenPacket("udp", f.Listen)
		if err != nil {
			return "", Error.Wrap(err)
		}
		l.closers = append(l.closers, conn.Close)
		go forwardUDP(conn, f.Target, there, back)
		return conn.LocalAddr().String(), nil
	default:
		return "", Error.New("unknown network %q", f.Network)
	}
}

// pipe returns the pipe of a direction, and makes it when it is new.
func (l *Links) pipe(id pipeID) *pipe {
	if p, ok := l.pipes[id]; ok {
		return p
	}
	from, to := l.zones[id.from], l.zones[id.to]
	p := newPipe(l.config.Delay(from, to), l.shaper(from.Region, to.Region))
	l.pipes[id] = p
	return p
}

// shaper returns the one that all zones of two regions share in a direction.
func (l *Links) shaper(from, to string) *shaper {
	if from == to {
		return nil
	}
	key := [2]string{from, to}
	if s, ok := l.shapers[key]; ok {
		return s
	}
	rate := l.config.Rate(from, to)
	if rate <= 0 {
		return nil
	}
	s := &shaper{rate: rate}
	l.shapers[key] = s
	return s
}
