// Command masticctl is the operators' tool.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// version is set by the linker.
var version = "dev"

type cli struct {
	Version versionCmd `cmd:"" help:"Print the version."`
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	_, err := os.Stdout.WriteString(version + "\n")
	return err
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("masticctl"), kong.Description("Operators' tool of masticbank."))
	ctx.FatalIfErrorf(ctx.Run())
}
