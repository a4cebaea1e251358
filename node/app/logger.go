package app

import (
	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// NewLogger returns a logger that writes JSON lines to standard error, and its
// level, which may be changed while the logger is in use.
func NewLogger(level string) (*zap.Logger, zap.AtomicLevel, error) {
	lv, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, lv, trace.BadParameter("log level %q: %v", level, err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = lv
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	l, err := cfg.Build()
	return l, lv, trace.Wrap(err)
}
