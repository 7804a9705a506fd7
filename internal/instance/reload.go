package instance

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"sycamoreledge.example/internal/deployment"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/platform"
)

// settingsPollInterval is how often the modification time of the settings file is checked, since
// the file may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and when its modification time changes.
func (i *Instance) watchSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(i.options.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modTime(i.options.SettingsPath).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(i.options.SettingsPath)
		i.reload()
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings that can change while the process runs: bounds, zones and regions.
// Invalid settings change nothing.
func (i *Instance) reload() {
	next, err := platform.LoadSettings(i.options.SettingsPath)
	if err != nil {
		i.events.Log(event.SettingsRefused, "file", i.options.SettingsPath, "error", err)
		return
	}
	merged, restartNeeded := mergeSettings(i.currentDeployment(), next)
	i.deployment.Store(merged)
	i.core.SetBounds(merged.Bounds)
	i.events.Log(event.SettingsReloaded, "file", i.options.SettingsPath, "restart_needed", restartNeeded)
}

// mergeSettings returns the running deployment with those of the new settings that can change while
// the process runs, and whether the others have changed too and need a restart.
func mergeSettings(running, next *deployment.Deployment) (*deployment.Deployment, bool) {
	merged := *running
	merged.Bounds, merged.Regions = next.Bounds, next.Regions
	return &merged, !reflect.DeepEqual(&merged, next)
}
