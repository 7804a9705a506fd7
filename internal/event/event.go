// Package event contains the catalogue of numbered log events and the logger that
// writes them. The numbers are stable, because operators search and alert by them.
package event

import (
	"fmt"

	"github.com/charmbracelet/log"
)

// ID is the number of an event. Its hundreds digit identifies the area.
type ID int

// Definition describes one kind of event.
type Definition struct {
	ID ID
	// Name is a stable identifier in snake case.
	Name  string
	Level log.Level
	// Message is the text of the log line.
	Message string
	// Fields are the keys of the values that the event may carry.
	Fields []string
	// Meaning explains the event and what an operator can do about it.
	Meaning string
}

// areas are the titles of the catalogue's sections by the hundreds digit of the ID.
var areas = map[ID]string{
	1: "Process",
	2: "Settings and keys",
	3: "Membership and ownership",
	4: "Configuration",
	5: "Platform",
	6: "Peers",
	7: "Traffic and upstreams",
	8: "Idempotency keys",
	9: "Operators",
}

// areaSize is the number of IDs reserved for an area.
const areaSize = 100

// Area returns the title of the event's area.
func (id ID) Area() string { return areas[id/areaSize] }

// String returns the name of the event, or its number when it is not in the
// catalogue.
func (id ID) String() string {
	d, ok := definitions[id]
	if !ok {
		return fmt.Sprintf("event_%d", int(id))
	}
	return d.Name
}

// Catalogue returns the definitions of all events by ascending number.
func Catalogue() []Definition {
	out := make([]Definition, len(catalogue))
	copy(out, catalogue)
	return out
}

// definitions indexes the catalogue by number.
var definitions = indexByID(catalogue)

func indexByID(all []Definition) map[ID]Definition {
	out := make(map[ID]Definition, len(all))
	for _, d := range all {
		out[d.ID] = d
	}
	return out
}
