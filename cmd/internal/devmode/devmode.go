// Package devmode runs stand-ins and one entry instance in one process.
package devmode

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/node/app"
	"masticbank.example/node/settings"
	"masticbank.example/standin/fleet"
)

const (
	// Key is the API key of the development workspace.
	Key = "dev-key"
	// AdminKey is the key of the administration API.
	AdminKey = "dev-admin-key-0000"
	// readyTimeout bounds the start.
	readyTimeout = 10 * time.Second
	readyPeriod  = 20 * time.Millisecond
)

// Configuration is the configuration of the development mode.
const Configuration = `[rank.urgent]
priority = 0
first_token = 1200ms
deadline = 30s
min_share = 0.3

[rank.middle]
priority = 1
first_token = 3s
deadline = 60s
min_share = 0.2

[rank.least]
priority = 2
first_token = 30s
deadline = 300s
min_share = 0.1

[model.dev]
layers = 12
max_output = 256

[service.orders]
timeout = 5s

[workspace.dev]
key_sha256 = 7e9f8fd111802be56c379d597842e29b2cebd35ff2133d431a49fa556a18704e
default_rank = urgent
`

// Options configures a Dev.
type Options struct {
	// Listen and Admin are IP:port.
	Listen   string
	Admin    string
	LogLevel string
}

// Dev is a running development mode.
type Dev struct {
	Fleet *fleet.Fleet
	App   *app.App
	dir   string
}

// Start starts the stand-ins and the instance, and waits until it is ready.
func Start(o Options) (*Dev, error) {
	f, err := fleet.Start(fleet.Dev())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Dev{Fleet: f}
	if err := d.startApp(o); err != nil {
		d.Close(context.Background())
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func (d *Dev) startApp(o Options) error {
	dir, err := os.MkdirTemp("", "masticbank-dev-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	d.dir = dir
	if err := os.WriteFile(filepath.Join(dir, "10-dev.ini"), []byte(Configuration), 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	set, err := settings.Parse("dev", []byte(d.settings(o)))
	if err != nil {
		return trace.Wrap(err)
	}
	logger, level, err := app.NewLogger(set.Log.Level)
	if err != nil {
		return trace.Wrap(err)
	}
	d.App, err = app.Start(app.Options{Settings: set, ConfigDir: dir, Version: "dev", Logger: logger, Level: level})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(WaitReady(d.App.AdminAddr()))
}

func (d *Dev) settings(o Options) string {
	return fmt.Sprintf(`[instance]
id = dev
zone = a
[listen]
callers = %s
admin = %s
[platform]
instance_list = http://%s
[admin]
key = %s
[log]
level = %s
[limits]
unready_delay = 10ms
`, o.Listen, o.Admin, d.Fleet.Addresses().Instances, AdminKey, o.LogLevel)
}

// Close ends the instance and the stand-ins.
func (d *Dev) Close(ctx context.Context) {
	if d.App != nil {
		_ = d.App.Stop(ctx)
	}
	d.Fleet.Close()
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}

// WaitReady waits until the instance with the given administration address
// reports that it is ready.
func WaitReady(admin string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + admin + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPeriod)
	}
	return trace.LimitExceeded("the instance was not ready within %s", readyTimeout)
}
