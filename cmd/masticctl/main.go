// Command masticctl is the operators' tool.
package main

import (
	"fmt"

	"masticbank.example/cmd/internal/command"
)

// version is set by the linker.
var version = "dev"

type cli struct {
	Validate validateCmd `cmd:"" help:"Check a folder of configuration files."`
	Diff     diffCmd     `cmd:"" help:"Show how a folder differs from the configuration in force."`
	Publish  publishCmd  `cmd:"" help:"Publish a folder as the next revision."`
	Status   statusCmd   `cmd:"" help:"Show the state of an instance and of those it knows."`
	Explain  explainCmd  `cmd:"" help:"Explain a request, or the route that a request would get."`
	Drain    drainCmd    `cmd:"" help:"Stop new work to an upstream."`
	LogLevel logLevelCmd `cmd:"" help:"Change the log level of an instance."`
	Standin  standinCmd  `cmd:"" help:"Serve stand-ins of the upstreams and the platform on loopback ports."`
	Load     loadCmd     `cmd:"" help:"Send load from a scenario and report what came back."`
	Dev      devCmd      `cmd:"" help:"Run stand-ins and one entry instance in this process."`
	Trial    trialCmd    `cmd:"" help:"Measure how instances agree."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	_, err := fmt.Println(version)
	return err
}

func main() {
	command.Main("masticctl", "Operators' tool of masticbank.", &cli{})
}
