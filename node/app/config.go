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

// startConfig follows the log's configuration stream, or reads the folder of
// INI files when the settings name no log.
func (a *App) startConfig(ctx context.Context) error {
	if a.opts.Settings.Platform.Log == "" {
		return a.readFolder()
	}
	if a.opts.ConfigDir != "" {
		return trace.BadParameter("--config and platform.log exclude each other: publish the folder with masticctl instead")
	}
	a.run(ctx, a.follower.Run)
	a.run(ctx, a.applyRevisions)
	return nil
}

func (a *App) readFolder() error {
	if a.opts.ConfigDir == "" {
		return trace.BadParameter("either --config or platform.log is required")
	}
	cfg, err := config.LoadDir(a.opts.ConfigDir)
	if err != nil {
		return trace.Wrap(err)
	}
	a.apply(cfg, 1)
	return nil
}

// run runs f until ctx ends.
func (a *App) run(ctx context.Context, f func(context.Context) error) {
	a.group.Go(func() error {
		err := f(ctx)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
}

// applyRevisions puts each accepted revision in force and offers it to peers.
func (a *App) applyRevisions(ctx context.Context) error {
	sub := a.follower.Subscribe()
	defer sub.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-sub.C:
			// Revision 0 is the empty stream.
			if r.Number == 0 || r.Number <= a.state.revision.Load() {
				continue
			}
			a.apply(r.Config, r.Number)
			a.shareState()
		}
	}
}

// apply puts a configuration in force.
func (a *App) apply(cfg *coreconfig.Config, revision uint64) {
	a.router.Configure(cfg)
	names := make([]string, 0, len(cfg.Ranks))
	for _, r := range cfg.Ranks {
		names = append(names, r.Name)
	}
	a.metrics.SetRanks(names)
	a.metrics.Set(metrics.ConfigRevision, int64(revision))
	a.state.revision.Store(revision)
	a.log.Info("configuration in force", zap.Uint64("revision", revision))
}

// PublishTimeout bounds the wait for the log's decision on one proposal.
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

// encodeState returns the state of the follower as peers exchange it.
func encodeState(s record.Snapshot) ([]byte, error) {
	data, err := record.Encode(record.Record{ID: "state", Snapshot: &s})
	return data, trace.Wrap(err)
}
