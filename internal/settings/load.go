package settings

import (
	"path/filepath"
)

// Bundle holds the settings of an instance and the contents of all files that
// they name, checked against each other.
type Bundle struct {
	Settings  *Settings
	Topology  *Topology
	Preset    *Preset
	Keys      []KeySecret
	Operators []Operator
}

// Load reads a settings file. File names in it are resolved relative to its
// directory.
func Load(path string) (*Settings, error) {
	s, _, err := loadSettings(path)
	return s, err
}

// LoadBundle reads a settings file and all files it names, and checks them
// against each other.
func LoadBundle(path string) (*Bundle, error) {
	s, doc, err := loadSettings(path)
	if err != nil {
		return nil, err
	}
	b := &Bundle{Settings: s}
	if b.Topology, err = LoadTopology(s.Topology); err != nil {
		return nil, err
	}
	if err := doc.firstError(checkSettings(s, b.Topology)); err != nil {
		return nil, err
	}
	if b.Preset, err = LoadPreset(s.Preset, b.Topology); err != nil {
		return nil, err
	}
	if b.Keys, err = LoadKeySecrets(s.KeySecret); err != nil {
		return nil, err
	}
	if b.Operators, err = LoadOperators(s.Operators); err != nil {
		return nil, err
	}
	return b, nil
}

func loadSettings(path string) (*Settings, *document, error) {
	s := new(Settings)
	doc, err := readDocument(path, s)
	if err != nil {
		return nil, nil, err
	}
	if err := doc.firstError(checkTiming(&s.Control)); err != nil {
		return nil, nil, err
	}
	resolvePaths(filepath.Dir(path), s)
	return s, doc, nil
}

func resolvePaths(dir string, s *Settings) {
	files := []*string{
		&s.Topology, &s.Preset, &s.KeySecret, &s.Operators,
		&s.TLS.Authority, &s.TLS.Certificate, &s.TLS.Key,
	}
	for _, f := range files {
		if !filepath.IsAbs(*f) {
			*f = filepath.Join(dir, *f)
		}
	}
}

// LoadTopology reads and checks a topology file.
func LoadTopology(path string) (*Topology, error) {
	t := new(Topology)
	doc, err := readDocument(path, t)
	if err != nil {
		return nil, err
	}
	if err := doc.firstError(checkTopology(t)); err != nil {
		return nil, err
	}
	return t, nil
}

// LoadPreset reads a preset file and checks it against the topology.
func LoadPreset(path string, topo *Topology) (*Preset, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePreset(path, data, topo)
}

// ParsePreset decodes a preset and checks it against the topology, unless that is
// nil. The file name is only used in errors.
func ParsePreset(file string, data []byte, topo *Topology) (*Preset, error) {
	p := new(Preset)
	doc, err := parseDocument(file, data, p)
	if err != nil {
		return nil, err
	}
	found := checkPresetConsistency(p)
	if topo != nil {
		found = append(found, checkPresetAgainstTopology(topo, p, nil)...)
	}
	if err := doc.firstError(found); err != nil {
		return nil, err
	}
	return p, nil
}

// CheckPreset checks a preset, which need not come from a file, and the drains in
// force with it against the topology. The error wraps a Problem.
func CheckPreset(topo *Topology, p *Preset, drains []Drain) error {
	found := checkTags(p)
	if len(found) == 0 {
		found = append(checkPresetConsistency(p), checkPresetAgainstTopology(topo, p, drains)...)
	}
	return found.firstError()
}
