package presets

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"sycamoreledge.example/internal/settings"
)

// Actions in audit records.
const (
	ActionApply   = "apply"
	ActionRemove  = "remove"
	ActionUse     = "use"
	ActionDrain   = "drain"
	ActionUndrain = "undrain"
)

// inForceTarget is the target of changes of the preset in force.
const inForceTarget = "in force"

// change is one kind of change with its arguments.
type change struct {
	action string
	target string
	detail string
	// edit makes the change or returns Refused.
	edit func(cfg *settings.Config) error
}

// describes reports whether an audit record is about the same change.
func (c *change) describes(r settings.AuditRecord) bool {
	return r.Action == c.action && r.Target == c.target && r.Detail == c.detail
}

// digestBytes is how much of the digest of a preset stands in its record.
const digestBytes = 8

func applyChange(topo *settings.Topology, preset settings.Preset) (change, error) {
	value, err := json.Marshal(preset)
	if err != nil {
		return change{}, Refused.Wrap(err)
	}
	sum := sha256.Sum256(value)
	return change{
		action: ActionApply,
		target: presetTarget(preset.Name),
		detail: fmt.Sprintf("%s sha256:%x", preset.Name, sum[:digestBytes]),
		edit: func(cfg *settings.Config) error {
			drains := cfg.Drains
			if preset.Name != cfg.InForce {
				drains = nil
			}
			if err := check(topo, &preset, drains); err != nil {
				return err
			}
			cfg.Presets[preset.Name] = preset
			return nil
		},
	}, nil
}

func presetTarget(name string) string { return "preset " + name }

func removeChange(name string) change {
	return change{
		action: ActionRemove,
		target: presetTarget(name),
		detail: name,
		edit: func(cfg *settings.Config) error {
			if _, ok := cfg.Presets[name]; !ok {
				return Refused.New("there is no preset %s", name)
			}
			if name == cfg.InForce {
				return Refused.New("preset %s is in force", name)
			}
			delete(cfg.Presets, name)
			return nil
		},
	}
}

func useChange(topo *settings.Topology, name string) change {
	return change{
		action: ActionUse,
		target: inForceTarget,
		detail: name,
		edit: func(cfg *settings.Config) error {
			preset, ok := cfg.Presets[name]
			if !ok {
				return Refused.New("there is no preset %s", name)
			}
			cfg.InForce = name
			return check(topo, &preset, cfg.Drains)
		},
	}
}

func drainTarget(d settings.Drain) string { return string(d.Kind) + " " + d.Name }

func drainChange(topo *settings.Topology, d settings.Drain) change {
	return change{
		action: ActionDrain,
		target: "drain " + drainTarget(d),
		detail: drainTarget(d),
		edit: func(cfg *settings.Config) error {
			if err := known(topo, d); err != nil {
				return err
			}
			if !slices.Contains(cfg.Drains, d) {
				cfg.Drains = append(cfg.Drains, d)
			}
			preset := cfg.Presets[cfg.InForce]
			return check(topo, &preset, cfg.Drains)
		},
	}
}

func undrainChange(topo *settings.Topology, d settings.Drain) change {
	return change{
		action: ActionUndrain,
		target: "drain " + drainTarget(d),
		detail: drainTarget(d),
		edit: func(cfg *settings.Config) error {
			cfg.Drains = slices.DeleteFunc(cfg.Drains, func(have settings.Drain) bool { return have == d })
			preset := cfg.Presets[cfg.InForce]
			return check(topo, &preset, cfg.Drains)
		},
	}
}

func check(topo *settings.Topology, preset *settings.Preset, drains []settings.Drain) error {
	if err := settings.CheckPreset(topo, preset, drains); err != nil {
		return Refused.New("preset %s: %w", preset.Name, err)
	}
	return nil
}

// known refuses a drain of something that is not declared.
func known(topo *settings.Topology, d settings.Drain) error {
	switch {
	case d.Kind == settings.DrainZone && topo.RegionOf(d.Name) != "":
		return nil
	case d.Kind == settings.DrainUpstream && topo.HasUpstream(d.Name):
		return nil
	default:
		return Refused.New("%s %s is not declared", d.Kind, d.Name)
	}
}
