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
	Publish trialPublishCmd `cmd:"" help:"Time from publishing until in force on all instances."`
	Race    trialRaceCmd    `cmd:"" help:"Operators that publish on the same base at once."`
	Orders  trialOrdersCmd  `cmd:"" help:"Orders whose keys are repeated through several instances."`
	Load    trialLoadCmd    `cmd:"" help:"Streams through ready instances until a signal."`
	Kill    trialKillCmd    `cmd:"" help:"Kill the last instance under load and watch its slots."`
	Use     trialUseCmd     `cmd:"" help:"CPU, memory and bytes to peers of each instance."`
}

// trialFlags name the instances and the stand-ins.
type trialFlags struct {
	Target  []string `required:"" help:"Address for callers of an instance, host:port."`
	Admin   []string `required:"" help:"Base URL of the administration API of the same instance."`
	Key     string   `env:"MASTICBANK_ADMIN_KEY" required:"" help:"Key of the administration API."`
	APIKey  string   `name:"api-key" default:"granja-norte-key" help:"API key of a workspace."`
	Control string   `env:"CONTROL" help:"Control address of the stand-ins, host:port."`
}

func (f *trialFlags) cluster() (*trial.Cluster, error) {
	if len(f.Target) != len(f.Admin) {
		return nil, &command.UsageError{Err: fmt.Errorf("%d --target but %d --admin", len(f.Target), len(f.Admin))}
	}
	c := &trial.Cluster{AdminKey: f.Key, Key: f.APIKey, Control: f.Control}
	for i := range f.Target {
		c.Instances = append(c.Instances, trial.Instance{Caller: f.Target[i], Admin: f.Admin[i]})
	}
	return c, nil
}

// conclude prints a result and fails on defects.
func conclude(result any, defects []string) error {
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
	Count int `default:"60" help:"Number of revisions."`
}

// Run measures and prints.
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
	Count int `default:"500" help:"Least number of proposals."`
}

// Run races and prints.
func (t *trialRaceCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	out, err := c.Race(context.Background(), t.Count)
	if err != nil {
		return err
	}
	return conclude(out, out.Defects())
}

type trialOrdersCmd struct {
	trialFlags
	Path    string        `default:"/services/socios/orders" help:"Path of the orders."`
	Callers int           `default:"24" help:"Number of concurrent callers."`
	Lasting time.Duration `default:"30s" help:"Time in which callers begin new keys."`
	Seed    uint64        `default:"20261204" help:"Seed of the choice of instances."`
}

// Run sends the orders and prints.
func (t *trialOrdersCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	out, err := c.Orders(context.Background(), trial.OrderOptions{
		Path: t.Path, Callers: t.Callers, Lasting: t.Lasting, Seed: t.Seed,
	})
	if err != nil {
		return err
	}
	return conclude(out, out.Defects())
}

// trialStreams configures streams.
type trialStreams struct {
	Model     string `default:"asistente" help:"Model."`
	Layers    int    `default:"32" help:"Layers of the model."`
	Tokens    int    `default:"24" help:"Tokens of an answer."`
	Callers   int    `default:"90" help:"Number of concurrent callers."`
	KeepAlive bool   `help:"Let requests share connections."`
}

func (t *trialStreams) options() trial.LoadOptions {
	return trial.LoadOptions{Model: t.Model, Layers: t.Layers, Tokens: t.Tokens, Callers: t.Callers, KeepAlive: t.KeepAlive}
}

type trialLoadCmd struct {
	trialFlags
	trialStreams
}

// Run loads until a signal and prints.
func (t *trialLoadCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	out := c.Load(ctx, t.options())
	return conclude(out, out.Defects())
}

type trialKillCmd struct {
	trialFlags
	trialStreams
	PID int `name:"pid" required:"" help:"Process of the last instance."`
}

// Run kills the instance and prints.
func (t *trialKillCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	out, err := c.KillOne(context.Background(), t.options(), t.PID)
	if err != nil {
		return err
	}
	fmt.Printf("slots taken over after %s, used after %s\n", out.Taken, out.Used)
	return conclude(out, nil)
}

type trialUseCmd struct {
	trialFlags
	PID     []int         `name:"pid" required:"" help:"Process of each instance."`
	Lasting time.Duration `default:"10s" help:"Time of the measurement."`
}

// Run measures and prints.
func (t *trialUseCmd) Run() error {
	c, err := t.cluster()
	if err != nil {
		return err
	}
	out, err := c.Use(context.Background(), t.PID, t.Lasting)
	if err != nil {
		return err
	}
	fmt.Println(out)
	return nil
}
