// Command masticbank runs one entry instance of the router.
package main

import (
	"fmt"

	"masticbank.example/cmd/internal/command"
)

// version can be set at build time with -ldflags "-X main.version=...".
var version = "dev"

type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run an entry instance until SIGTERM or SIGINT."`
	Platform platformCmd `cmd:"" help:"Run an entry instance on the users' platform until SIGTERM or SIGINT."`
	Settings settingsCmd `cmd:"" help:"Print the reference of all settings as Markdown."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	_, err := fmt.Println(version)
	return err
}

func main() {
	command.Main("masticbank", "Router for model pipelines over mixed accelerators.", &cli{})
}
