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
	Settings    string `type:"path" help:"Settings file of the platform. Default: the one that the platform's environment variable names."`
	MetricsPort int    `default:"0" help:"Port for metrics on the machine's address; 0 for none."`
	LogLevel    string `default:"info" enum:"debug,info,warn,error" help:"Least severe lines that are logged."`
}

// Run serves on the users' platform until SIGTERM. SIGHUP reads the settings
// again.
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
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
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
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		i.Reload("SIGHUP")
	}
	return trace.Wrap(i.Stop())
}

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
