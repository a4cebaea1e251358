package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"masticbank.example/cmd/internal/command"
	"masticbank.example/cmd/internal/load"
	"masticbank.example/cmd/internal/report"
)

type loadCmd struct {
	Run     loadRunCmd     `cmd:"" default:"withargs" help:"Run a scenario."`
	Compare loadCompareCmd `cmd:"" help:"Compare two results."`
}

type loadRunCmd struct {
	Scenario string   `arg:"" type:"path" help:"Scenario file."`
	Target   []string `help:"Client API address of an entry instance, host:port; replaces the targets of the scenario and may be repeated."`
	Control  string   `help:"Control address of the stand-ins, host:port."`
	Report   string   `type:"path" default:"report" help:"Output folder of the result and the report."`
	Quiet    bool     `help:"Do not print progress."`
}

// Run sends the load, writes the report and prints a summary. It returns an error
// if a response was wrong or a stand-in recorded a violation.
func (c *loadRunCmd) Run() error {
	s, err := load.ReadScenario(c.Scenario)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var progress io.Writer
	if !c.Quiet {
		progress = os.Stderr
	}
	res, err := load.Run(ctx, load.Options{Scenario: s, Targets: c.Target, Control: c.Control, Progress: progress})
	if err != nil {
		return err
	}
	if err := report.Write(c.Report, res); err != nil {
		return err
	}
	if err := res.WriteText(os.Stdout); err != nil {
		return err
	}
	fmt.Printf("report: %s/report.html\n", c.Report)
	if defects := res.Defects(); len(defects) > 0 {
		return fmt.Errorf("defects: %s", strings.Join(defects, "; "))
	}
	return nil
}

type loadCompareCmd struct {
	A string `arg:"" type:"path" help:"Result file of the first run."`
	B string `arg:"" type:"path" help:"Result file of the second run."`
}

// Run prints the differences between two results.
func (c *loadCompareCmd) Run() error {
	a, err := load.ReadFile(c.A)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	b, err := load.ReadFile(c.B)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	return report.Compare(a, b).WriteText(os.Stdout)
}
