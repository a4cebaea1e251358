// Command masticctl is the command-line tool for operators. It also runs the
// stand-ins, load scenarios and trials.
package main

import (
	"fmt"

	"masticbank.example/cmd/internal/command"
)

// version can be set at build time with -ldflags "-X main.version=...".
var version = "dev"

type cli struct {
	Validate validateCmd `cmd:"" help:"Check a folder of configuration files."`
	Diff     diffCmd     `cmd:"" help:"Show how a folder differs from the configuration in force."`
	Publish  publishCmd  `cmd:"" help:"Publish a folder as the next revision."`
	Status   statusCmd   `cmd:"" help:"Show the state of an instance and of its peers."`
	Explain  explainCmd  `cmd:"" help:"Explain a request that was sent, or the route that a request would take."`
	Causes   causesCmd   `cmd:"" help:"Show from logs why requests were late, refused or lost."`
	Drain    drainCmd    `cmd:"" help:"Stop sending new work to an upstream."`
	LogLevel logLevelCmd `cmd:"" help:"Change the log level of an instance."`
	Standin  standinCmd  `cmd:"" help:"Serve stand-ins of the upstreams and the platform on loopback ports."`
	Load     loadCmd     `cmd:"" help:"Run load scenarios and compare their results."`
	Dev      devCmd      `cmd:"" help:"Run stand-ins and entry instances in this process."`
	Trial    trialCmd    `cmd:"" help:"Measure a running cluster."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	_, err := fmt.Println(version)
	return err
}

func main() {
	command.Main("masticctl", "Command-line tool for operators of masticbank.", &cli{})
}
