package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"time"

	"masticbank.example/cmd/internal/adminclient"
	"masticbank.example/cmd/internal/command"
	"masticbank.example/node/admin"
	"masticbank.example/node/config"
)

const (
	callTimeout = 30 * time.Second
	// waitPeriod is the time between two looks at the revisions in force.
	waitPeriod = 100 * time.Millisecond
)

// remote holds the flags of commands that call an instance.
type remote struct {
	Admin string `default:"http://127.0.0.1:8081" env:"MASTICBANK_ADMIN" help:"Base URL of an instance's administration API."`
	Key   string `env:"MASTICBANK_ADMIN_KEY" required:"" help:"Key of the administration API."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

func (r *remote) client() *adminclient.Client { return adminclient.New(r.Admin, r.Key) }

// show prints v as JSON if asked to, and as text otherwise.
func (r *remote) show(v any, text func()) error {
	if !r.JSON {
		text()
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

type statusCmd struct {
	remote
}

// Run prints the state of one instance and what it knows of the others.
func (c *statusCmd) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	s, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	return c.show(s, func() { printStatus(s) })
}

func printStatus(s *admin.Status) {
	fmt.Printf("instance %s (zone %s, version %s): ready=%t %s\n", s.Instance, s.Zone, s.Version, s.Ready, s.Reason)
	fmt.Printf("revision %d, %d requests in flight", s.Revision, s.InFlight)
	if s.LogReason != "" {
		fmt.Printf(", log: %s", s.LogReason)
	}
	fmt.Println()
	for _, p := range s.Pools {
		fmt.Printf("%s %s: %d of %d slots, %d queued\n", p.Kind, p.Name, p.InFlight, p.Slots, p.Queued)
		for _, u := range p.Upstreams {
			fmt.Printf("  %-28s %-22s %-10s %-8s %-10s %d/%d\n", u.ID, u.Address, u.Zone, u.Layers, u.State, u.InFlight, u.Slots)
		}
	}
	for _, p := range s.Peers {
		fmt.Printf("peer %s (zone %s): connected=%t state=%s revision=%d sent=%d received=%d\n",
			p.ID, p.Zone, p.Connected, p.State, p.Revision, p.BytesSent, p.BytesReceived)
	}
}

type diffCmd struct {
	remote
	Dir string `arg:"" type:"path" help:"Folder of INI files."`
}

// Run prints the sections that differ from the configuration in force. The exit
// status is 0 whether or not there are any.
func (c *diffCmd) Run() error {
	wanted, err := config.LoadDir(c.Dir)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	ctx, cancel := callContext()
	defer cancel()
	current, err := c.client().Config(ctx)
	if err != nil {
		return err
	}
	changes := config.Diff(current.Config, wanted)
	return c.show(changes, func() {
		for _, ch := range changes {
			fmt.Println(ch)
		}
		fmt.Printf("%d changes against revision %d\n", len(changes), current.Revision)
	})
}

type publishCmd struct {
	remote
	Dir    string        `arg:"" type:"path" help:"Folder of INI files."`
	Base   *uint64       `help:"Revision that the folder replaces; default is the one in force."`
	Author string        `help:"Name shown to operators whose proposal lost; default is the user."`
	Wait   bool          `help:"Wait until every known instance has the revision in force."`
	Within time.Duration `default:"30s" help:"Longest wait."`
}

// published is the JSON output of publish.
type published struct {
	Revision uint64 `json:"revision"`
	InForce  int    `json:"in_force"`
	Known    int    `json:"known"`
}

// Run publishes the folder and prints the new revision.
func (c *publishCmd) Run() error {
	cfg, err := config.LoadDir(c.Dir)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	ctx, cancel := callContext()
	defer cancel()
	base, err := c.base(ctx)
	if err != nil {
		return err
	}
	p, err := c.client().Publish(ctx, &admin.Publish{Author: c.author(), Base: base, Config: cfg})
	if err != nil {
		return publishError(err)
	}
	out := &published{Revision: p.Revision}
	if c.Wait {
		if err := c.waitInForce(out); err != nil {
			return err
		}
	}
	return c.show(out, func() {
		fmt.Printf("revision %d accepted\n", out.Revision)
		if c.Wait {
			fmt.Printf("in force on %d of %d instances\n", out.InForce, out.Known)
		}
	})
}

func (c *publishCmd) base(ctx context.Context) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	current, err := c.client().Config(ctx)
	if err != nil {
		return 0, err
	}
	return current.Revision, nil
}

func (c *publishCmd) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// waitInForce waits until the instance and its peers report the revision.
func (c *publishCmd) waitInForce(out *published) error {
	deadline := time.Now().Add(c.Within)
	for {
		ctx, cancel := callContext()
		s, err := c.client().Status(ctx)
		cancel()
		if err != nil {
			return err
		}
		out.InForce, out.Known = inForce(s, out.Revision)
		if out.InForce == out.Known {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("revision %d is in force on %d of %d instances after %s", out.Revision, out.InForce, out.Known, c.Within)
		}
		time.Sleep(waitPeriod)
	}
}

func inForce(s *admin.Status, revision uint64) (have, known int) {
	known = 1
	if s.Revision >= revision {
		have++
	}
	for _, p := range s.Peers {
		if p.State == "leaving" {
			continue
		}
		known++
		if p.Revision >= revision {
			have++
		}
	}
	return have, known
}

func publishError(err error) error {
	var se *adminclient.StatusError
	if !errors.As(err, &se) {
		return err
	}
	switch se.Status {
	case http.StatusConflict:
		return fmt.Errorf("not published: %w", se)
	case http.StatusAccepted:
		return fmt.Errorf("the fate of the proposal is not known yet, look at status: %w", se)
	default:
		return err
	}
}

type drainCmd struct {
	remote
	Upstream string `arg:"" help:"ID of the upstream."`
}

// Run stops new work to an upstream.
func (c *drainCmd) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	d, err := c.client().Drain(ctx, c.Upstream)
	if err != nil {
		return err
	}
	return c.show(d, func() { fmt.Printf("%d instances send no new work to %s\n", d.Instances, c.Upstream) })
}

type logLevelCmd struct {
	remote
	Level string `arg:"" enum:"debug,info,warn,error" help:"Lowest level logged."`
}

// Run changes the log level of one instance.
func (c *logLevelCmd) Run() error {
	ctx, cancel := callContext()
	defer cancel()
	l, err := c.client().LogLevel(ctx, c.Level)
	if err != nil {
		return err
	}
	return c.show(l, func() { fmt.Println("log level", l.Level) })
}
