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
	// APIKey is the API key of the development workspace.
	APIKey = "dev-key"
	// AdminKey is the key of the administration API of every instance.
	AdminKey = "dev-admin-key-0000"
	// peerKey is the shared key of the connections between instances.
	peerKey = "dev-peer-key-00000"
	// readyTimeout bounds the wait for an instance to become ready.
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	// anyFreePort is a loopback address whose port the system chooses.
	anyFreePort = "127.0.0.1:0"
)

// Options configures a Cluster.
type Options struct {
	// Instances is the number of entry instances; 0 means 1.
	Instances int
	// Spec describes the stand-ins. Its log service is replaced by one with the
	// options in Log.
	Spec fleet.Spec
	// Log configures the log service.
	Log logservice.Options
	// Configuration is an INI file that is published as the first revision.
	Configuration string
	// Listen and Admin are the client API address and the administration API
	// address of the first instance; empty means a free port. All further
	// instances use free ports.
	Listen string
	Admin  string
	// LogLevel is the log level of the instances; empty means error.
	LogLevel string
	// Extra is INI text appended to the settings of every instance.
	Extra string
}

// Cluster is a set of stand-ins and entry instances in one process.
type Cluster struct {
	Fleet      *fleet.Fleet
	Log        *logservice.Service
	Apps       []*app.App
	opts       Options
	nextNumber int // number used in the ID of the next instance
}

// Start starts the stand-ins and the instances, publishes the configuration and
// waits until all instances are ready.
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

// Add starts one more instance and adds it to the instance list. It does not wait
// until the instance is ready.
func (c *Cluster) Add() (*app.App, error) {
	id := fmt.Sprintf("entry-%d", c.nextNumber)
	zone := fmt.Sprintf("zone-%d", c.nextNumber%3)
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
	c.nextNumber++
	c.Apps = append(c.Apps, a)
	c.Fleet.Instances().Add(wire.Instance{ID: id, Role: wire.RoleRouter, Zone: zone, Address: a.PeerAddr()})
	return a, nil
}

// maxBufferedBytes is the memory of an instance for the requests that it holds. It shares its process
// with the other instances and the stand-ins.
const maxBufferedBytes = 16 << 20

// settings returns the settings file of the next instance.
func (c *Cluster) settings(id, zone string) string {
	clientAPI, admin, level := anyFreePort, anyFreePort, c.opts.LogLevel
	if c.nextNumber == 0 && c.opts.Listen != "" {
		clientAPI = c.opts.Listen
	}
	if c.nextNumber == 0 && c.opts.Admin != "" {
		admin = c.opts.Admin
	}
	if level == "" {
		level = "error"
	}
	addresses := c.Fleet.Addresses()
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
max_buffered_bytes = %d
%s`, id, zone, clientAPI, admin, anyFreePort, peerKey, addresses.Instances, addresses.Log, AdminKey, level, maxBufferedBytes, c.opts.Extra)
}

// stopTimeout bounds the shutdown of all instances together.
const stopTimeout = 30 * time.Second

// Close stops the instances and then the stand-ins.
func (c *Cluster) Close(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, a := range c.Apps {
		_ = a.Stop(ctx)
	}
	c.Fleet.Close()
}

// Publish publishes text, the content of one INI file, as the first revision.
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

// WaitReady waits until the instance with the given administration API address
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
		time.Sleep(readyPollInterval)
	}
	return trace.LimitExceeded("instance did not become ready within %s", readyTimeout)
}
