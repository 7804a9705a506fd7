package firm

import (
	"encoding/json"
	"os"
	"path/filepath"

	"sycamoreledge.example/internal/settings"
)

// Modes of the files and directories of a run.
const (
	filePerm = 0o600
	dirPerm  = 0o700
)

// planFile holds the Plan in the directory of a run.
const planFile = "plan.json"

// Networks of a Forward.
const (
	TCP = "tcp"
	UDP = "udp"
)

// Plan is a run of a firm on one machine. Its addresses are loopback.
type Plan struct {
	Dir      string            `json:"dir"`
	Topology settings.Topology `json:"topology"`
	World    World             `json:"world"`
	Presets  []settings.Preset `json:"presets"`
	// Authority is the path of the certificate that signs all others.
	Authority string `json:"authority"`
	// Tokens are the operators' credentials by name.
	Tokens map[string]string `json:"tokens"`
	// Platform is the address of the object API inside its zone.
	Platform string `json:"platform"`
	// LinkAdmin is the address of the links' control interface.
	LinkAdmin string    `json:"link_admin"`
	Forwards  []Forward `json:"forwards"`
	// UpstreamAdmin maps a zone to the control interface of its upstreams.
	UpstreamAdmin map[string]string `json:"upstream_admin"`
	Entries       []Entry           `json:"entries"`
}

// Entry is one entry instance of a run.
type Entry struct {
	settings.Instance
	Zone string `json:"zone"`
	// Settings is the path of its settings file.
	Settings string `json:"settings"`
}

// Forward carries one declared address from one availability zone to another.
type Forward struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Network string `json:"network"`
	Listen  string `json:"listen"`
	Target  string `json:"target"`
}

// ReadPlan reads the plan of a run's directory.
func ReadPlan(dir string) (*Plan, error) {
	data, err := os.ReadFile(filepath.Join(dir, planFile))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Plan{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, Error.Wrap(err)
	}
	return p, nil
}

// write stores the plan in the directory of the run.
func (p *Plan) write() error {
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(filepath.Join(p.Dir, planFile), data, filePerm))
}

// PresetFile returns the path of a preset's file.
func (p *Plan) PresetFile(name string) string {
	return filepath.Join(p.Dir, presetsDir, name+".yaml")
}

// Preset returns the preset with the name, or nil.
func (p *Plan) Preset(name string) *settings.Preset {
	for i := range p.Presets {
		if p.Presets[i].Name == name {
			return &p.Presets[i]
		}
	}
	return nil
}

// EntryAt names the entry with the callers' address, or returns the address.
func (p *Plan) EntryAt(address string) string {
	for _, e := range p.Entries {
		if e.Callers == address {
			return e.Name
		}
	}
	return address
}

// Entry returns the entry with the name, or nil.
func (p *Plan) Entry(name string) *Entry {
	for i := range p.Entries {
		if p.Entries[i].Name == name {
			return &p.Entries[i]
		}
	}
	return nil
}
