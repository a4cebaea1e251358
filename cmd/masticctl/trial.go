package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"masticbank.example/cmd/internal/command"
	"masticbank.example/cmd/internal/trial"
)

type trialCmd struct {
	Publish trialPublishCmd `cmd:"" help:"Measure the time from publishing a revision until it is in force on all instances."`
	Race    trialRaceCmd    `cmd:"" help:"Let operators publish on the same base revision concurrently."`
	Orders  trialOrdersCmd  `cmd:"" help:"Send orders and repeat their idempotency keys through several instances."`
	Load    trialLoadCmd    `cmd:"" help:"Send streams through ready instances until SIGTERM or SIGINT."`
	Kill    trialKillCmd    `cmd:"" help:"Kill the last instance under load and measure how its slots are taken over."`
	Usage   trialUsageCmd   `name:"use" cmd:"" help:"Measure CPU, memory and peer traffic of each instance."`
}

// trialFlags holds the addresses of the instances and the stand-ins.
type trialFlags struct {
	Target  []string `required:"" help:"Client API address of an instance, host:port; may be repeated."`
	Admin   []string `required:"" help:"Base URL of the administration API of an instance, in the order of the targets."`
	Key     string   `env:"MASTICBANK_ADMIN_KEY" required:"" help:"Key of the administration API."`
	APIKey  string   `name:"api-key" default:"granja-norte-key" help:"API key of a workspace."`
	Control string   `env:"CONTROL" help:"Control address of the stand-ins, host:port."`
}

func (f *trialFlags) cluster() (*trial.Cluster, error) {
	if len(f.Target) != len(f.Admin) {
		return nil, &command.UsageError{Err: fmt.Errorf("%d --target but %d --admin", len(f.Target), len(f.Admin))}
	}
	c := &trial.Cluster{AdminKey: f.Key, APIKey: f.APIKey, Control: f.Control}
	for i := range f.Target {
		c.Instances = append(c.Instances, trial.Instance{ClientAddress: f.Target[i], Admin: f.Admin[i]})
	}
	return c, nil
}

// printAndCheck prints a result as JSON and returns an error if there are defects.
func printAndCheck(result any, defects []string) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(result); err != nil {
		return err
	}
	if len(defects) > 0 {
		return fmt.Errorf("defects: %s", strings.Join(defects, "; "))
	}
	return nil
}

type trialPublishCmd struct {
	trialFlags
	Count int `default:"60" help:"Number of revisions to publish."`
}

// Run publishes the revisions and prints the times until they were in force.
func (t *trialPublishCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	out, err := c.Publish(context.Background(), t.Count)
	if err != nil {
		return err
	}
	fmt.Printf("from sending until in force on all:   %s\n", out.Sent)
	fmt.Printf("from accepted until in force on all:  %s\n", out.Accepted)
	fmt.Printf("reversions: %d\n", out.Reversions)
	return nil
}

type trialRaceCmd struct {
	trialFlags
	Count int `default:"500" help:"Minimum number of proposals."`
}

// Run publishes concurrent proposals and prints their outcomes.
func (t *trialRaceCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	out, err := c.Race(context.Background(), t.Count)
	if err != nil {
		return err
	}
	return printAndCheck(out, out.Defects())
}

type trialOrdersCmd struct {
	trialFlags
	Path     string        `default:"/services/socios/orders" help:"Request path of the orders."`
	Clients  int           `name:"callers" default:"24" help:"Number of concurrent clients."`
	Duration time.Duration `name:"lasting" default:"30s" help:"Time during which clients start orders with new keys."`
	Seed     uint64        `default:"20261204" help:"Random seed for the choice of instances."`
}

// Run sends the orders and prints their outcomes.
func (t *trialOrdersCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	out, err := c.Orders(context.Background(), trial.OrderOptions{
		Path: t.Path, Clients: t.Clients, Duration: t.Duration, Seed: t.Seed,
	})
	if err != nil {
		return err
	}
	return printAndCheck(out, out.Defects())
}

// streamFlags holds the flags of trials that send streamed completions.
type streamFlags struct {
	Model     string `default:"asistente" help:"Name of the model."`
	Layers    int    `default:"32" help:"Number of layers of the model."`
	Tokens    int    `default:"24" help:"Tokens per response."`
	Clients   int    `name:"callers" default:"90" help:"Number of concurrent clients."`
	KeepAlive bool   `help:"Reuse connections between requests."`
}

func (t *streamFlags) options() trial.LoadOptions {
	return trial.LoadOptions{Model: t.Model, Layers: t.Layers, Tokens: t.Tokens, Clients: t.Clients, KeepAlive: t.KeepAlive}
}

type trialLoadCmd struct {
	trialFlags
	streamFlags
}

// Run sends streams until SIGTERM or SIGINT and prints their outcomes.
func (t *trialLoadCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	out := c.Load(ctx, t.options())
	return printAndCheck(out, out.Defects())
}

type trialKillCmd struct {
	trialFlags
	streamFlags
	PID int `name:"pid" required:"" help:"Process ID of the last instance."`
}

// Run kills the last instance and prints when the others took over its slots.
func (t *trialKillCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	out, err := c.KillLastInstance(context.Background(), t.options(), t.PID)
	if err != nil {
		return err
	}
	fmt.Printf("slots taken over after %s, used after %s\n", out.Taken, out.Used)
	return printAndCheck(out, nil)
}

type trialUsageCmd struct {
	trialFlags
	PID      []int         `name:"pid" required:"" help:"Process ID of each instance, in the order of the targets."`
	Duration time.Duration `name:"lasting" default:"10s" help:"Duration of the measurement."`
}

// Run measures the resource usage of each instance and prints it.
func (t *trialUsageCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	out, err := c.MeasureUsage(context.Background(), t.PID, t.Duration)
	if err != nil {
		return err
	}
	fmt.Println(out)
	return nil
}
