package app

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	coreconfig "masticbank.example/core/config"
	"masticbank.example/core/record"
	"masticbank.example/node/config"
	"masticbank.example/node/follower"
	"masticbank.example/node/metrics"
)

// startConfig starts following the log's configuration stream, or loads and applies the
// directory of INI files when platform.log is not set.
func (a *App) startConfig(ctx context.Context) error {
	if a.opts.Settings.Platform.Log == "" {
		return a.loadConfigDir()
	}
	if a.opts.ConfigDir != "" {
		return trace.BadParameter("--config and platform.log are mutually exclusive: publish the folder with masticctl instead")
	}
	a.runInGroup(ctx, a.follower.Run)
	return nil
}

func (a *App) loadConfigDir() error {
	if a.opts.ConfigDir == "" {
		return trace.BadParameter("either --config or platform.log is required")
	}
	cfg, err := config.LoadDir(a.opts.ConfigDir)
	if err != nil {
		return trace.Wrap(err)
	}
	a.applyConfig(cfg, 1)
	return nil
}

// runInGroup starts f in the instance's errgroup. An error that f returns after ctx has
// ended is ignored, as it results from the shutdown.
func (a *App) runInGroup(ctx context.Context, f func(context.Context) error) {
	a.group.Go(func() error {
		err := f(ctx)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
}

// applyRevisions activates each accepted revision and makes it available to peers.
func (a *App) applyRevisions(ctx context.Context) error {
	sub := a.follower.Subscribe()
	defer sub.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-sub.C:
			// Revision 0 stands for an empty stream and has no configuration.
			if r.Number == 0 || r.Number <= a.state.revision.Load() {
				continue
			}
			a.applyConfig(r.Config, r.Number)
			a.shareConfigState()
		}
	}
}

// applyConfig activates a configuration in the router and the metrics.
func (a *App) applyConfig(cfg *coreconfig.Config, revision uint64) {
	a.router.Configure(cfg)
	names := make([]string, 0, len(cfg.Ranks))
	for _, r := range cfg.Ranks {
		names = append(names, r.Name)
	}
	a.metrics.SetRanks(names)
	a.metrics.Set(metrics.ConfigRevision, int64(revision))
	a.state.revision.Store(revision)
	a.logger.Info("configuration applied", zap.Uint64("revision", revision))
}

// PublishTimeout limits the wait for the outcome of one configuration proposal.
const PublishTimeout = 10 * time.Second

// Publish implements admin.Instance.
func (a *App) Publish(ctx context.Context, author string, cfg *coreconfig.Config, base uint64) (uint64, error) {
	if a.follower == nil {
		return 0, trace.BadParameter("the settings of this instance name no log")
	}
	content, err := follower.EncodeJSON(cfg)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, PublishTimeout)
	defer cancel()
	return a.follower.Publish(ctx, author, content, base)
}

// Config implements admin.Instance.
func (a *App) Config() (*coreconfig.Config, uint64) {
	return a.router.Config(), a.state.revision.Load()
}

// encodeState encodes the state of the follower as the record that peers exchange.
func encodeState(s record.Snapshot) ([]byte, error) {
	data, err := record.Encode(record.Record{ID: "state", Snapshot: &s})
	return data, trace.Wrap(err)
}
