package main

import (
	"errors"

	"sycamoreledge.example/internal/settings"
)

type drainCommands struct {
	Upstream drainUpstreamCommand `cmd:"" help:"Drain an upstream: it receives no new requests and finishes those in flight."`
	Zone     drainZoneCommand     `cmd:"" help:"Drain an availability zone: it receives no new requests, and its callers are sent to other zones."`
	Entry    drainEntryCommand    `cmd:"" help:"Shut down an entry instance gracefully: its callers are sent to other instances, its requests are finished, its idempotency keys are handed over."`
}

type drainFlags struct {
	connectionFlags
	changeFlags
	Name string `arg:"" help:"Name as declared in the topology."`
	Undo bool   `help:"Undo the drain, so that new requests are sent again."`
}

type drainUpstreamCommand struct{ drainFlags }

// Run drains an upstream.
func (c *drainUpstreamCommand) Run(env *environment) error {
	return c.drain(env, settings.DrainUpstream)
}

type drainZoneCommand struct{ drainFlags }

// Run drains a zone.
func (c *drainZoneCommand) Run(env *environment) error {
	return c.drain(env, settings.DrainZone)
}

func (c *drainFlags) drain(env *environment, kind settings.DrainKind) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	changed, err := api.Drain(env.ctx, c.change(), settings.Drain{Kind: kind, Name: c.Name}, c.Undo)
	if err != nil {
		return c.withOperation(err)
	}
	message := string(kind) + " " + c.Name + " receives no new requests"
	if c.Undo {
		message = string(kind) + " " + c.Name + " receives new requests again"
	}
	return env.printChanged(changed, message)
}

type drainEntryCommand struct{ drainFlags }

// Run starts the planned stop of an instance.
func (c *drainEntryCommand) Run(env *environment) error {
	if c.Undo {
		return usageError{errors.New("a planned stop cannot be undone; restart the instance instead")}
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	leaving, err := api.Leave(env.ctx, c.change(), c.Name)
	if err != nil {
		return c.withOperation(err)
	}
	return env.print(leaving, func() error {
		env.printf("instance %s is %s\n", leaving.Instance, leaving.State)
		return nil
	})
}
