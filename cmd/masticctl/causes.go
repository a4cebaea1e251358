package main

import (
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/cmd/internal/causes"
)

type causesCmd struct {
	Files      []string      `arg:"" optional:"" help:"Log files of instances; standard input without any." type:"existingfile"`
	FirstEvent time.Duration `default:"500ms" help:"Time to the first event beyond which a stream counts as late."`
	Pause      time.Duration `default:"200ms" help:"Pause between two events beyond which a stream counts as late."`
	From       time.Time     `help:"Only requests that ended at this time or later, in RFC 3339."`
	To         time.Time     `help:"Only requests that ended before this time, in RFC 3339."`
}

// Run prints why the requests in the logs were late, refused or lost.
func (c *causesCmd) Run() error {
	var readers []io.Reader
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = f.Close() }() // it is only read
		readers = append(readers, f)
	}
	if len(readers) == 0 {
		readers = append(readers, os.Stdin)
	}
	s, err := causes.Summarize(io.MultiReader(readers...), causes.Limits{FirstEvent: c.FirstEvent, Pause: c.Pause}, causes.Period{From: c.From, To: c.To})
	if err != nil {
		return err
	}
	return s.Print(os.Stdout)
}
