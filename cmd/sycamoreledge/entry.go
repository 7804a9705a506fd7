package main

import (
	"context"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"sycamoreledge.example/internal/entry"
)

// version is set by the linker for releases.
var version = "development"

type entryCommand struct {
	Settings string `help:"YAML settings file of the instance." required:"" placeholder:"FILE"`
}

// Run runs the daemon until it receives a signal. The first SIGTERM or SIGINT
// starts a planned stop; a second one terminates the process immediately.
func (c *entryCommand) Run(env *environment) error {
	ctx, restore := signal.NotifyContext(env.ctx, syscall.SIGTERM, syscall.SIGINT)
	defer restore()
	context.AfterFunc(ctx, restore)
	return entry.Run(ctx, c.Settings)
}

type versionCommand struct{}

// versionInfo is the output of the version command.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
	Module  string `json:"module"`
}

// Run prints the version.
func (versionCommand) Run(env *environment) error {
	info := versionInfo{Version: version, Go: runtime.Version()}
	if build, ok := debug.ReadBuildInfo(); ok {
		info.Module = build.Main.Path
	}
	return env.print(info, func() error {
		env.printf("sycamoreledge %s (%s)\n", info.Version, info.Go)
		return nil
	})
}
