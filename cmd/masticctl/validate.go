package main

import (
	"fmt"

	"masticbank.example/cmd/internal/command"
	"masticbank.example/node/config"
)

type validateCmd struct {
	Dir string `arg:"" type:"path" help:"Folder of INI files."`
}

// Run prints a summary of a valid folder, or returns the first problem.
func (c *validateCmd) Run() error {
	cfg, err := config.LoadDir(c.Dir)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	_, err = fmt.Printf("valid: %d ranks, %d models, %d services, %d workspaces\n",
		len(cfg.Ranks), len(cfg.Models), len(cfg.Services), len(cfg.Workspaces))
	return err
}
