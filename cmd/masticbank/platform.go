package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"masticbank.example/cmd/internal/command"
	"masticbank.example/cmd/internal/entry"
	"masticbank.example/node/logsink"
	"masticbank.example/platform"
)

type platformCmd struct {
	Settings    string `type:"path" help:"Settings file of the platform. Default: the file named by the platform's environment variable."`
	MetricsPort int    `default:"0" help:"Port of the metrics endpoint on the instance's address; 0 disables it."`
	LogLevel    string `default:"info" enum:"debug,info,warn,error" help:"Minimum level of log lines."`
}

// Run serves on the users' platform until SIGTERM or SIGINT. SIGHUP reloads the
// settings.
func (c *platformCmd) Run() error {
	path, set, err := c.load()
	if err != nil {
		return &command.UsageError{Err: err}
	}
	level, err := zap.ParseAtomicLevel(c.LogLevel)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	i, err := entry.Start(entry.Options{
		SettingsPath: path,
		Settings:     set,
		MetricsPort:  c.MetricsPort,
		Version:      version,
		Logger:       logsink.Logger(sink, level),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	go func() {
		for range reloads {
			i.Reload("SIGHUP")
		}
	}()
	<-stops
	return trace.Wrap(i.Stop())
}

// load returns the path and the content of the platform's settings file.
func (c *platformCmd) load() (string, *platform.Settings, error) {
	path := c.Settings
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			return "", nil, err
		}
	}
	set, err := platform.LoadSettings(path)
	return path, set, err
}
