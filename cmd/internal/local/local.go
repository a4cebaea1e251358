// Package local runs stand-ins and entry instances in one process, for
// development, tests and measurements.
package local

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/node/app"
	"masticbank.example/node/config"
	"masticbank.example/node/settings"
	"masticbank.example/node/wire"
	"masticbank.example/standin/fleet"
	"masticbank.example/standin/logservice"
)

const (
	// Key is the API key of the development workspace.
	Key = "dev-key"
	// AdminKey is the key of the administration API.
	AdminKey = "dev-admin-key-0000"
	// peerKey is the key shared by the instances.
	peerKey = "dev-peer-key-00000"
	// readyTimeout bounds the start.
	readyTimeout = 10 * time.Second
	readyPeriod  = 20 * time.Millisecond
	// freePort is an address that takes a free port.
	freePort = "127.0.0.1:0"
)

// Options configures a Cluster.
type Options struct {
	// Instances is the number of entry instances; 0 means 1.
	Instances int
	// Spec describes the stand-ins.
	Spec fleet.Spec
	// Log configures the log service.
	Log logservice.Options
	// Configuration is published first, as one INI file.
	Configuration string
	// Listen and Admin are the addresses of the first instance; empty takes
	// free ports.
	Listen string
	Admin  string
	// LogLevel is the level of the instances' logs; empty means error.
	LogLevel string
	// Extra is added to the settings of every instance.
	Extra string
}

// Cluster is a set of stand-ins and entry instances in one process.
type Cluster struct {
	Fleet *fleet.Fleet
	Log   *logservice.Service
	Apps  []*app.App
	opts  Options
	next  int // number in the ID of the next instance
}

// Start starts the stand-ins and the instances and waits until all are ready.
func Start(o Options) (*Cluster, error) {
	if o.Instances == 0 {
		o.Instances = 1
	}
	c := &Cluster{Log: logservice.New(o.Log), opts: o}
	o.Spec.Log = c.Log
	f, err := fleet.Start(o.Spec)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.Fleet = f
	if err := c.startAll(); err != nil {
		c.Close(context.Background())
		return nil, trace.Wrap(err)
	}
	return c, nil
}

func (c *Cluster) startAll() error {
	for range c.opts.Instances {
		if _, err := c.Add(); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := Publish(c.Apps[0], c.opts.Configuration); err != nil {
		return trace.Wrap(err)
	}
	for _, a := range c.Apps {
		if err := WaitReady(a.AdminAddr()); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Add starts one more instance and lists it.
func (c *Cluster) Add() (*app.App, error) {
	id := fmt.Sprintf("entry-%d", c.next)
	zone := fmt.Sprintf("zone-%d", c.next%3)
	set, err := settings.Parse(id, []byte(c.settings(id, zone)))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	logger, level, err := app.NewLogger(set.Log.Level)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := app.Start(app.Options{Settings: set, Version: "dev", Logger: logger, Level: level})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c.next++
	c.Apps = append(c.Apps, a)
	c.Fleet.Instances().Add(wire.Instance{ID: id, Role: wire.RoleEntry, Zone: zone, Address: a.PeerAddr()})
	return a, nil
}

func (c *Cluster) settings(id, zone string) string {
	callers, admin, level := freePort, freePort, c.opts.LogLevel
	if c.next == 0 && c.opts.Listen != "" {
		callers = c.opts.Listen
	}
	if c.next == 0 && c.opts.Admin != "" {
		admin = c.opts.Admin
	}
	if level == "" {
		level = "error"
	}
	at := c.Fleet.Addresses()
	return fmt.Sprintf(`[instance]
id = %s
zone = %s
[listen]
callers = %s
admin = %s
peers = %s
[peers]
key = %s
[platform]
instance_list = http://%s
log = http://%s
[admin]
key = %s
[log]
level = %s
[limits]
unready_delay = 10ms
%s`, id, zone, callers, admin, freePort, peerKey, at.Instances, at.Log, AdminKey, level, c.opts.Extra)
}

// stopTimeout bounds the end of all instances.
const stopTimeout = 30 * time.Second

// Close ends the instances and the stand-ins.
func (c *Cluster) Close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, a := range c.Apps {
		_ = a.Stop(ctx)
	}
	c.Fleet.Close()
}

// Publish makes text, one INI file, the first revision.
func Publish(a *app.App, text string) error {
	cfg, err := config.Merge([]config.File{{Name: "local.ini", Data: []byte(text)}})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	_, err = a.Publish(ctx, "local", cfg, 0)
	return trace.Wrap(err)
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
