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

// inForceTarget is the audit target of changes that put a preset in force.
const inForceTarget = "in force"

// change is a change of the configuration, with its description for the audit
// record.
type change struct {
	action string
	target string
	detail string
	// edit applies the change to cfg, or returns Refused if it is invalid.
	edit func(cfg *settings.Config) error
}

// matches reports whether an audit record describes the same change.
func (c *change) matches(r settings.AuditRecord) bool {
	return r.Action == c.action && r.Target == c.target && r.Detail == c.detail
}

// detailDigestBytes is the number of bytes of a preset's SHA-256 digest in the
// detail of its audit record.
const detailDigestBytes = 8

func applyChange(topo *settings.Topology, preset settings.Preset) (change, error) {
	value, err := json.Marshal(preset)
	if err != nil {
		return change{}, Refused.Wrap(err)
	}
	sum := sha256.Sum256(value)
	return change{
		action: ActionApply,
		target: presetTarget(preset.Name),
		detail: fmt.Sprintf("%s sha256:%x", preset.Name, sum[:detailDigestBytes]),
		edit: func(cfg *settings.Config) error {
			drains := cfg.Drains
			if preset.Name != cfg.InForce {
				drains = nil
			}
			if err := checkPreset(topo, &preset, drains); err != nil {
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
				return Refused.New("preset %s does not exist and cannot be removed", name)
			}
			if name == cfg.InForce {
				return Refused.New("preset %s is in force and cannot be removed", name)
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
				return Refused.New("preset %s does not exist and cannot be put in force", name)
			}
			cfg.InForce = name
			return checkPreset(topo, &preset, cfg.Drains)
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
			if err := checkDeclared(topo, d); err != nil {
				return err
			}
			if !slices.Contains(cfg.Drains, d) {
				cfg.Drains = append(cfg.Drains, d)
			}
			preset := cfg.Presets[cfg.InForce]
			return checkPreset(topo, &preset, cfg.Drains)
		},
	}
}

func undrainChange(topo *settings.Topology, d settings.Drain) change {
	return change{
		action: ActionUndrain,
		target: "drain " + drainTarget(d),
		detail: drainTarget(d),
		edit: func(cfg *settings.Config) error {
			cfg.Drains = slices.DeleteFunc(cfg.Drains, func(existing settings.Drain) bool { return existing == d })
			preset := cfg.Presets[cfg.InForce]
			return checkPreset(topo, &preset, cfg.Drains)
		},
	}
}

func checkPreset(topo *settings.Topology, preset *settings.Preset, drains []settings.Drain) error {
	if err := settings.CheckPreset(topo, preset, drains); err != nil {
		return Refused.New("preset %s fails validation: %w", preset.Name, err)
	}
	return nil
}

// checkDeclared refuses a drain of a zone or upstream that the topology does not
// declare.
func checkDeclared(topo *settings.Topology, d settings.Drain) error {
	switch {
	case d.Kind == settings.DrainZone && topo.RegionOf(d.Name) != "":
		return nil
	case d.Kind == settings.DrainUpstream && topo.HasUpstream(d.Name):
		return nil
	default:
		return Refused.New("%s %s cannot be drained: the topology does not declare it", d.Kind, d.Name)
	}
}
