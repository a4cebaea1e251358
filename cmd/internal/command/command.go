// Package command runs the command line of a program.
package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit statuses of the programs.
const (
	// ExitFailed means that the command was understood and failed.
	ExitFailed = 1
	// ExitUsage means a mistake in the command line or in the operator's files.
	ExitUsage = 2
)

// UsageError is a mistake in the command line or in the operator's files.
type UsageError struct{ Err error }

// Error returns the message of the cause.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// Main parses the arguments of the process into grammar, runs the command and
// exits.
func Main(name, description string, grammar any) {
	os.Exit(run(name, description, grammar, os.Args[1:]))
}

func run(name, description string, grammar any, args []string) int {
	parser := kong.Must(grammar, kong.Name(name), kong.Description(description))
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return status(err)
	}
	return 0
}

func status(err error) int {
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}
