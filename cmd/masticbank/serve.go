package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"masticbank.example/cmd/internal/command"
	"masticbank.example/node/app"
	"masticbank.example/node/inifile"
	"masticbank.example/node/settings"
)

type serveCmd struct {
	Settings string `required:"" type:"path" help:"INI file with the settings of this process."`
	Config   string `type:"path" help:"Folder of INI files with the configuration; used only if the settings name no log."`
}

// Run serves until SIGTERM or SIGINT, then finishes the requests in progress.
func (c *serveCmd) Run() error {
	set, err := settings.Load(c.Settings)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	logger, level, err := app.NewLogger(set.Log.Level)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	defer func() { _ = logger.Sync() }()
	a, err := app.Start(app.Options{
		Settings:  set,
		ConfigDir: c.Config,
		Version:   version,
		Logger:    logger,
		Level:     level,
	})
	if err != nil {
		return startError(err)
	}
	if err := a.PublishMetrics(); err != nil {
		return trace.Wrap(err)
	}
	return c.waitAndStop(a, set, logger)
}

// waitAndStop waits for a signal and shuts the instance down within the time that
// the settings allow.
func (c *serveCmd) waitAndStop(a *app.App, set *settings.Settings, logger *zap.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	logger.Info("signal received", zap.Stringer("signal", <-signals))
	ctx, cancel := context.WithTimeout(context.Background(), set.Limits.UnreadyDelay+set.Limits.ShutdownTimeout)
	defer cancel()
	return trace.Wrap(a.Stop(ctx))
}

// startError turns mistakes in the settings or the configuration into usage errors
// and returns all other errors unchanged.
func startError(err error) error {
	var ce *inifile.Error
	if errors.As(err, &ce) {
		return &command.UsageError{Err: ce}
	}
	if trace.IsBadParameter(err) {
		return &command.UsageError{Err: errors.New(trace.UserMessage(err))}
	}
	return err
}

type settingsCmd struct{}

// Run prints the reference of all settings.
func (settingsCmd) Run() error {
	_, err := fmt.Print(settings.Reference())
	return err
}
