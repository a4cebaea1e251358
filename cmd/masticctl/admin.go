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
	// requestTimeout bounds each call of the administration API.
	requestTimeout = 30 * time.Second
	// pollInterval is the time between two reads of the revisions in force.
	pollInterval = 100 * time.Millisecond
)

// adminFlags holds the flags shared by all commands that call the administration API.
type adminFlags struct {
	Admin string `default:"http://127.0.0.1:8081" env:"MASTICBANK_ADMIN" help:"Base URL of the administration API of an instance."`
	Key   string `env:"MASTICBANK_ADMIN_KEY" required:"" help:"Key of the administration API."`
	JSON  bool   `name:"json" help:"Print the result as JSON."`
}

func (f *adminFlags) client() *adminclient.Client { return adminclient.New(f.Admin, f.Key) }

// printResult prints v as JSON if --json is set, and calls text otherwise.
func (f *adminFlags) printResult(v any, text func()) error {
	if !f.JSON {
		text()
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), requestTimeout)
}

type statusCmd struct {
	adminFlags
}

// Run prints the state of one instance and of the peers that it knows.
func (c *statusCmd) Run() error {
	ctx, cancel := requestContext()
	defer cancel()
	s, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	return c.printResult(s, func() { printStatus(s) })
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
	adminFlags
	Dir string `arg:"" type:"path" help:"Folder of INI files."`
}

// Run prints the sections that differ from the configuration in force. The exit
// status does not depend on whether there are any.
func (c *diffCmd) Run() error {
	wanted, err := config.LoadDir(c.Dir)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	ctx, cancel := requestContext()
	defer cancel()
	current, err := c.client().Config(ctx)
	if err != nil {
		return err
	}
	changes := config.Diff(current.Config, wanted)
	return c.printResult(changes, func() {
		for _, ch := range changes {
			fmt.Println(ch)
		}
		fmt.Printf("%d changes against revision %d\n", len(changes), current.Revision)
	})
}

type publishCmd struct {
	adminFlags
	Dir         string        `arg:"" type:"path" help:"Folder of INI files."`
	Base        *uint64       `help:"Revision that the folder replaces. Default: the revision in force."`
	Author      string        `help:"Name shown to operators whose proposal lost against this one. Default: the current user."`
	Wait        bool          `help:"Wait until the revision is in force on every known instance."`
	WaitTimeout time.Duration `name:"within" default:"30s" help:"Maximum wait with --wait."`
}

// publishResult is the JSON output of the publish command.
type publishResult struct {
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
	ctx, cancel := requestContext()
	defer cancel()
	base, err := c.base(ctx)
	if err != nil {
		return err
	}
	p, err := c.client().Publish(ctx, &admin.PublishRequest{Author: c.author(), Base: base, Config: cfg})
	if err != nil {
		return publishError(err)
	}
	out := &publishResult{Revision: p.Revision}
	if c.Wait {
		if err := c.waitInForce(out); err != nil {
			return err
		}
	}
	return c.printResult(out, func() {
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

// waitInForce waits until the instance and all its peers report the revision as
// in force, or until the maximum wait has passed.
func (c *publishCmd) waitInForce(out *publishResult) error {
	deadline := time.Now().Add(c.WaitTimeout)
	for {
		ctx, cancel := requestContext()
		s, err := c.client().Status(ctx)
		cancel()
		if err != nil {
			return err
		}
		out.InForce, out.Known = countInForce(s, out.Revision)
		if out.InForce == out.Known {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("revision %d is in force on %d of %d instances after %s", out.Revision, out.InForce, out.Known, c.WaitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// countInForce counts the instances that have the revision or a later one in force,
// and all known instances. Peers that are leaving are not counted.
func countInForce(s *admin.Status, revision uint64) (current, known int) {
	known = 1
	if s.Revision >= revision {
		current++
	}
	for _, p := range s.Peers {
		if p.State == "leaving" {
			continue
		}
		known++
		if p.Revision >= revision {
			current++
		}
	}
	return current, known
}

// publishError adds the outcome of the proposal to an error of Publish.
func publishError(err error) error {
	var se *adminclient.StatusError
	if !errors.As(err, &se) {
		return err
	}
	switch se.Status {
	case http.StatusConflict:
		return fmt.Errorf("not published: %w", se)
	case http.StatusAccepted:
		return fmt.Errorf("the outcome of the proposal is not known yet, check the status: %w", se)
	default:
		return err
	}
}

type drainCmd struct {
	adminFlags
	Upstream string `arg:"" help:"ID of the upstream."`
}

// Run drains an upstream: the instance and all peers that it can reach send it no
// new work.
func (c *drainCmd) Run() error {
	ctx, cancel := requestContext()
	defer cancel()
	d, err := c.client().Drain(ctx, c.Upstream)
	if err != nil {
		return err
	}
	return c.printResult(d, func() { fmt.Printf("%d instances send no new work to %s\n", d.Instances, c.Upstream) })
}

type logLevelCmd struct {
	adminFlags
	Level string `arg:"" enum:"debug,info,warn,error" help:"Minimum level of log lines."`
}

// Run changes the log level of one instance.
func (c *logLevelCmd) Run() error {
	ctx, cancel := requestContext()
	defer cancel()
	l, err := c.client().LogLevel(ctx, c.Level)
	if err != nil {
		return err
	}
	return c.printResult(l, func() { fmt.Println("log level", l.Level) })
}
