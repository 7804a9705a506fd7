package main

import (
	"context"
	"os/signal"
	"syscall"

	"sycamoreledge.example/internal/instance"
)

type serveCommand struct {
	Settings    string `help:"Settings file of the instance that the platform writes (TOML)." required:"" placeholder:"FILE" env:"SYCAMORELEDGE_CONFIG"`
	LogLevel    string `help:"Minimum level of logged events: debug, info, warn or error." default:"info"`
	MetricsPort int    `help:"Port of the metrics endpoint; 0 disables it." default:"0" placeholder:"PORT"`
	LogFormat   string `help:"Log format: ${enum}." enum:"logfmt,json,text" default:"logfmt"`
}

// Run runs the daemon until it receives a signal. The first SIGTERM or SIGINT
// starts a planned stop; a second one terminates the process immediately.
func (c *serveCommand) Run(env *environment) error {
	ctx, restore := signal.NotifyContext(env.ctx, syscall.SIGTERM, syscall.SIGINT)
	defer restore()
	context.AfterFunc(ctx, restore)
	return instance.Run(ctx, instance.Options{
		SettingsPath: c.Settings, LogLevel: c.LogLevel, LogFormat: c.LogFormat,
		MetricsPort: c.MetricsPort, Version: version,
	})
}
