package main

import (
	"errors"

	"sycamoreledge.example/internal/settings"
)

type drainCommands struct {
	Upstream drainUpstreamCommand `cmd:"" help:"Give an upstream no new work; what it has is finished."`
	Zone     drainZoneCommand     `cmd:"" help:"Give an availability zone no new work and send its callers elsewhere."`
	Entry    drainEntryCommand    `cmd:"" help:"Stop an entry instance as planned: callers are sent elsewhere, requests are finished, keys are handed over."`
}

type drainFlags struct {
	connection
	changeFlags
	Name string `arg:"" help:"Name in the topology."`
	Undo bool   `help:"Give it new work again."`
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
		return c.failed(err)
	}
	message := string(kind) + " " + c.Name + " gets no new work"
	if c.Undo {
		message = string(kind) + " " + c.Name + " gets new work again"
	}
	return env.printChanged(changed, message)
}

type drainEntryCommand struct{ drainFlags }

// Run begins the planned stop of an instance.
func (c *drainEntryCommand) Run(env *environment) error {
	if c.Undo {
		return usageError{errors.New("a planned stop cannot be undone; start the instance again")}
	}
	api, err := c.client()
	if err != nil {
		return err
	}
	leaving, err := api.Leave(env.ctx, c.change(), c.Name)
	if err != nil {
		return c.failed(err)
	}
	return env.print(leaving, func() error {
		env.printf("instance %s is %s\n", leaving.Instance, leaving.State)
		return nil
	})
}
