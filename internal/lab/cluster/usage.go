package cluster

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"sycamoreledge.example/internal/lab/platformsim"
)

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// Places in /proc/PID/stat after the name of the program.
const (
	userTicks   = 11
	systemTicks = 12
	residentSet = 21
)

// Usage is what a process used so far.
type Usage struct {
	Processor time.Duration
	// Memory is the resident set in bytes.
	Memory int64
}

// Usage reads the usage of a running process.
func (p *Process) Usage() (Usage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return Usage{}, Error.New("%s does not run", p.name)
	}
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	return parseUsage(string(data[bytes.LastIndexByte(data, ')')+1:]))
}

// parseUsage reads what follows the program's name.
func parseUsage(text string) (Usage, error) {
	fields := strings.Fields(text)
	if len(fields) <= residentSet {
		return Usage{}, Error.New("short line of /proc: %q", text)
	}
	var n [3]int64
	for i, place := range []int{userTicks, systemTicks, residentSet} {
		v, err := strconv.ParseInt(fields[place], 10, 64)
		if err != nil {
			return Usage{}, Error.Wrap(err)
		}
		n[i] = v
	}
	ticks := time.Duration(n[0] + n[1])
	return Usage{Processor: ticks * time.Second / ticksPerSecond, Memory: n[2] * int64(os.Getpagesize())}, nil
}

// PlatformStats returns how often the platform was called.
func (c *Cluster) PlatformStats(ctx context.Context) (platformsim.Stats, error) {
	var s platformsim.Stats
	err := c.call(ctx, http.MethodGet, "http://"+c.Plan.Platform+"/lab/stats", nil, &s)
	return s, err
}
