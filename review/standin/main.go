// Command standin runs the cases of the review: it starts the project's program on loopback addresses
// with stand-ins for the platform, its store, back ends and clients, disturbs them, and checks a rule.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	kindStatus = "status-read"
	kindOrder  = "order-commit"
	kindBatch  = "batch-upload"
)

// cases are the runs of all cases by name. Each adds itself.
var cases = map[string]func(r *run) []string{}

// run is one run of a case.
type run struct {
	repository, folder, temporary string
	// trouble is unset in the run without the disruption.
	trouble bool
}

func main() {
	if len(os.Args) != 4 {
		fail("usage: standin CASE REPOSITORY FOLDER")
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fail("unknown case " + os.Args[1])
	}
	temporary, err := os.MkdirTemp("", "review")
	check(err)
	r := &run{repository: os.Args[2], folder: os.Args[3], temporary: temporary, trouble: os.Getenv("TROUBLE") != "0"}
	time.AfterFunc(115*time.Second, func() { fail("not finished after 115 s") })
	found := c(r)
	if os.Getenv("KEEP_LOGS") == "" {
		check(os.RemoveAll(temporary))
	} else {
		fmt.Println("logs:", temporary)
	}
	for i, f := range found {
		if i == 20 {
			fmt.Println("and", len(found)-i, "more")
			break
		}
		fmt.Println(f)
	}
	if len(found) > 0 {
		os.Exit(1)
	}
	fmt.Println("the rules held")
}

func check(err error) {
	if err != nil {
		fail(err.Error())
	}
}

// fail ends a run that cannot be judged. Processes that were started end with this one.
func fail(text string) {
	fmt.Fprintln(os.Stderr, "standin:", text)
	os.Exit(2)
}

func (r *run) newSite(memoryMB int) *site {
	repository, err := filepath.Abs(r.repository)
	check(err)
	return newSite(repository, r.temporary, memoryMB, zones)
}

// usualPause is the mean pause of a client between two requests.
const usualPause = 300 * time.Millisecond

// group runs clients until stop is called.
type group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func newGroup() *group {
	g := &group{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

func (g *group) add(c *client) { g.wait.Go(func() { c.run(g.ctx) }) }

// stop waits until the clients have ended their present requests.
func (g *group) stop() {
	g.cancel()
	g.wait.Wait()
}

func statusRequest(c *client) *request {
	id := fmt.Sprintf("s%s%05d", c.name, c.count)
	return &request{id: id, method: "GET", path: "/status/" + id, kind: kindStatus, sum: bodySum(id, 0)}
}

func orderRequest(c *client) *request {
	id := fmt.Sprintf("o%s%05d", c.name, c.count)
	const orderBytes = 300
	return &request{id: id, method: "POST", path: "/order/" + id, kind: kindOrder, size: orderBytes, sum: bodySum(id, orderBytes)}
}

func batchRequest(size int64) func(c *client) *request {
	return func(c *client) *request {
		id := fmt.Sprintf("b%s%05d", c.name, c.count)
		return &request{id: id, method: "POST", path: "/batch/" + id, kind: kindBatch, size: size, sum: bodySum(id, size)}
	}
}

// everyday adds the usual traffic: clients of all zones that keep their channels.
func (s *site) everyday(g *group, perZone int, pause time.Duration) {
	for i, z := range zones {
		for n := range perZone {
			next, budget := statusRequest, 3*time.Second
			if n%2 == 0 {
				next, budget = orderRequest, 4*time.Second
			}
			g.add(&client{site: s, name: fmt.Sprintf("%d%02d-", i, n), zone: z, pause: pause, next: next, budget: budget})
		}
	}
}
