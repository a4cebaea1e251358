package command

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

type grammar struct {
	Good  good  `cmd:""`
	Bad   bad   `cmd:""`
	Wrong wrong `cmd:""`
}

type (
	good  struct{}
	bad   struct{}
	wrong struct{}
)

func (good) Run() error  { return nil }
func (bad) Run() error   { return errors.New("bad") }
func (wrong) Run() error { return &UsageError{Err: errors.New("wrong")} }

func TestExitStatus(t *testing.T) {
	for arg, want := range map[string]int{"good": 0, "bad": ExitFailed, "wrong": ExitUsage, "none": ExitUsage} {
		require.Equal(t, want, run("p", "d", &grammar{}, []string{arg}), arg)
	}
}
