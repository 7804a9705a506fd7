package main

import (
	"context"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/settings"
)

const (
	// pollInterval is the time between the status calls of --wait.
	pollInterval = 100 * time.Millisecond
	// maxPresetBytes is the maximum size of a preset file.
	maxPresetBytes = 1 << 20
)

type presetCommands struct {
	List    presetListCommand    `cmd:"" help:"List the presets; * marks the one in force."`
	Show    presetShowCommand    `cmd:"" help:"Print a preset as YAML that 'preset apply' accepts."`
	Apply   presetApplyCommand   `cmd:"" help:"Store the preset in a file under the name given in it."`
	Use     presetUseCommand     `cmd:"" help:"Put a preset in force."`
	History presetHistoryCommand `cmd:"" help:"Show the audit records of changes, newest first."`
}

type presetListCommand struct {
	connectionFlags
}

// Run lists the presets.
func (c *presetListCommand) Run(env *environment) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	list, err := api.Presets(env.ctx)
	if err != nil {
		return err
	}
	return env.print(list, func() error {
		rows := make([][]string, 0, len(list.Names))
		for _, name := range list.Names {
			mark := ""
			if name == list.InForce {
				mark = "*"
			}
			rows = append(rows, []string{mark, name})
		}
		if err := env.table([]string{"IN FORCE", "PRESET"}, rows); err != nil {
			return err
		}
		env.printf("\nconfiguration version %d\n", list.Version)
		return nil
	})
}

type presetShowCommand struct {
	connectionFlags
	Name string `arg:"" help:"Name of the preset."`
}

// Run prints a preset.
func (c *presetShowCommand) Run(env *environment) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	preset, err := api.Preset(env.ctx, c.Name)
	if err != nil {
		return err
	}
	return env.print(preset, func() error {
		text, err := yaml.Marshal(preset.Preset)
		if err != nil {
			return errs.Wrap(err)
		}
		env.printf("%s", text)
		return nil
	})
}

type presetApplyCommand struct {
	connectionFlags
	changeFlags
	File string `help:"YAML file, or - for standard input." short:"f" required:"" placeholder:"FILE"`
}

// Run stores a preset. The file is validated locally first, so that errors are
// reported with their line; the instance validates it against the topology.
func (c *presetApplyCommand) Run(env *environment) error {
	data, err := c.readPreset(env)
	if err != nil {
		return err
	}
	preset, err := settings.ParsePreset(c.File, data, nil)
	if err != nil {
		return err
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	changed, err := api.Apply(env.ctx, c.change(), preset.Name, data)
	if err != nil {
		return c.withOperation(err)
	}
	return env.printChanged(changed, "preset "+preset.Name+" is stored")
}

func (c *presetApplyCommand) readPreset(env *environment) ([]byte, error) {
	source := env.stdin
	if c.File != "-" {
		file, err := os.Open(c.File)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		defer file.Close() //nolint:errcheck // only read
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, maxPresetBytes+1))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if len(data) > maxPresetBytes {
		return nil, errs.New("preset file %s exceeds the limit of %d bytes", c.File, maxPresetBytes)
	}
	return data, nil
}

type presetUseCommand struct {
	connectionFlags
	changeFlags
	Name      string        `arg:"" help:"Name of the preset."`
	Wait      bool          `help:"Wait until the preset is in force at all reachable instances."`
	WaitLimit time.Duration `help:"Maximum time to wait with --wait." default:"5s"`
}

// Run puts a preset in force.
func (c *presetUseCommand) Run(env *environment) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	changed, err := api.Use(env.ctx, c.change(), c.Name)
	if err != nil {
		return c.withOperation(err)
	}
	if c.Wait {
		if err := waitInForce(env.ctx, api, changed.Version, c.WaitLimit); err != nil {
			return err
		}
	}
	return env.printChanged(changed, "preset "+changed.InForce+" is in force")
}

// waitInForce polls the status until the version is in force at all instances that
// the queried instance considers reachable. It returns a *notInForceError after
// the limit.
func waitInForce(ctx context.Context, api *client.Client, version int64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	notInForce := &notInForceError{version: version, behind: []string{"an unknown number of instances"}}
	for {
		status, err := api.Status(ctx, false)
		if err == nil {
			notInForce.behind = status.Behind(version)
		}
		if err == nil && len(notInForce.behind) == 0 && status.ConfigVersion >= version {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return notInForce
		}
	}
}

type presetHistoryCommand struct {
	connectionFlags
	Limit int `help:"Maximum number of records." default:"20"`
}

// Run prints the audit records.
func (c *presetHistoryCommand) Run(env *environment) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	history, err := api.History(env.ctx, c.Limit)
	if err != nil {
		return err
	}
	return env.print(history, func() error {
		rows := make([][]string, 0, len(history.Records))
		for _, r := range history.Records {
			rows = append(rows, []string{
				strconv.FormatInt(r.Sequence, 10), formatTime(r.At), r.Operator, r.Action, r.Detail, r.Operation,
			})
		}
		return env.table([]string{"NUMBER", "TIME", "OPERATOR", "ACTION", "DETAIL", "OPERATION"}, rows)
	})
}

// printChanged prints the message for an accepted change, with its version and
// operation id.
func (e *environment) printChanged(changed *wire.Changed, message string) error {
	return e.print(changed, func() error {
		if changed.Repeated {
			message += " (applied by an earlier call with the same operation id)"
		}
		e.printf("%s\nconfiguration version %d, operation %s\n", message, changed.Version, changed.Operation)
		return nil
	})
}
