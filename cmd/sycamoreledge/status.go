package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sycamoreledge.example/internal/api/wire"
)

type statusCommand struct {
	connectionFlags
	Explain bool `help:"Explain the instance's current state and decisions as text."`
}

// Run shows the instances, pools and configuration as the queried instance knows
// them.
func (c *statusCommand) Run(env *environment) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	status, err := api.Status(env.ctx, c.Explain)
	if err != nil {
		return err
	}
	return env.print(status, func() error { return env.printStatus(status) })
}

func (e *environment) printStatus(s *wire.Status) error {
	e.printf("status from instance %s (%s, %s): %s, as of %s ago\n", s.Instance, s.Zone, s.Region, s.State, formatMilliseconds(s.AgeMs))
	e.printf("preset %s in force, configuration version %d\n", s.Preset, s.ConfigVersion)
	for _, d := range s.Drains {
		e.printf("drain of %s %s\n", d.Kind, d.Name)
	}
	if len(s.LeavingUpstreams) > 0 {
		e.printf("leaving upstreams: %s\n", strings.Join(s.LeavingUpstreams, ", "))
	}
	e.printf("\n")
	if err := e.table([]string{"INSTANCE", "ZONE", "STATE", "VERSION", "BUSY", "SLOTS", "CALLERS"}, entryRows(s.Entries)); err != nil {
		return err
	}
	e.printf("\n")
	if err := e.table([]string{"POOL", "OWNER", "BUSY", "SLOTS", "HEADROOM", "QUEUED", "AGE"}, poolRows(s.Pools)); err != nil {
		return err
	}
	for i, line := range s.Explain {
		if i == 0 {
			e.printf("\n")
		}
		e.printf("%s\n", line)
	}
	return nil
}

func entryRows(entries []wire.EntryStatus) [][]string {
	rows := make([][]string, 0, len(entries))
	for i := range entries {
		x := &entries[i]
		state := x.State
		if !x.Alive {
			state = "failed"
		}
		rows = append(rows, []string{
			x.Name, x.Zone, state, strconv.FormatInt(x.ConfigVersion, 10),
			strconv.Itoa(x.Busy), strconv.Itoa(x.Slots), x.Callers,
		})
	}
	return rows
}

func poolRows(pools []wire.PoolStatus) [][]string {
	var rows [][]string
	for i := range pools {
		name := pools[i].Service + "@" + pools[i].Zone
		if len(pools[i].Owners) == 0 {
			rows = append(rows, []string{name, "none", "-", "-", "-", "-", "-"})
		}
		for _, o := range pools[i].Owners {
			rows = append(rows, ownerRow(name, o))
		}
	}
	return rows
}

func ownerRow(pool string, o wire.PoolOwner) []string {
	owner := o.Instance
	if o.Adopted {
		owner += " (adopted)"
	}
	return []string{
		pool, owner, strconv.Itoa(o.Busy), strconv.Itoa(o.Slots),
		formatHeadroom(o.Busy, o.Slots), strconv.Itoa(o.Queued), formatMilliseconds(o.AgeMs),
	}
}

// formatHeadroom returns the free share of the slots as a percentage, or "-" without
// slots.
func formatHeadroom(busy, slots int) string {
	if slots == 0 {
		return "-"
	}
	const percent = 100
	return fmt.Sprintf("%d%%", percent*(slots-busy)/slots)
}

func formatMilliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
