// Package command parses and runs the command line of a program.
package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit statuses of the programs.
const (
	// ExitFailed means that the command line was valid but the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a file that it names is invalid.
	ExitUsage = 2
)

// UsageError means that the command line or a file that it names is invalid.
type UsageError struct{ Err error }

// Error returns the message of the cause.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// Main parses the process arguments into grammar, a pointer to a kong command struct,
// runs the chosen command and exits the process.
func Main(name, description string, grammar any) {
	os.Exit(run(name, description, grammar, os.Args[1:]))
}

// run parses args, runs the chosen command, prints its error and returns the exit
// status.
func run(name, description string, grammar any, args []string) int {
	parser := kong.Must(grammar, kong.Name(name), kong.Description(description))
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitStatus(err)
	}
	return 0
}

func exitStatus(err error) int {
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}
