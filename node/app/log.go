package app

import (
	"context"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"masticbank.example/node/follower"
	"masticbank.example/node/leader"
	"masticbank.example/node/loader"
	"masticbank.example/node/logstream"
	"masticbank.example/node/orders"
	"masticbank.example/node/router"
)

const (
	// snapshotsPerRetention is the number of configuration snapshots written within
	// the log's retention time, so that a recent one is always retained.
	snapshotsPerRetention = 8
)

// openLog creates the readers and writers of the log's streams if platform.log is
// set.
func (a *App) openLog() error {
	p := a.opts.Settings.Platform
	if p.Log == "" {
		return nil
	}
	a.platformLog = &logstream.HTTP{Base: p.Log}
	a.configLog = &lagTracker{Log: a.platformLog}
	a.follower = follower.New(follower.Options{
		Log:              a.configLog,
		Appender:         a.newAppender(p.ConfigStream),
		Stream:           p.ConfigStream,
		IsSnapshotLeader: a.leadsSnapshots,
		SnapshotEvery:    p.LogRetention / snapshotsPerRetention,
		Logger:           a.logger,
	})
	a.leaderTasks = leader.New(leader.Options{
		Log:      a.platformLog,
		Appender: a.newAppender(p.LeaseStream),
		Stream:   p.LeaseStream,
		Self:     a.opts.Settings.Instance.ID,
		Timing:   leader.DefaultTiming(),
		Logger:   a.logger,
	})
	a.leaderTasks.Want(leader.SnapshotTask, true)
	var err error
	a.orders, err = orders.New(orders.Options{
		Log:      a.platformLog,
		Appender: a.newAppender(p.OrderStream),
		Stream:   p.OrderStream,
		Claimant: a.opts.Settings.Instance.ID,
		Policy:   orders.DefaultPolicy(p.LogRetention),
		Logger:   a.logger,
	})
	return trace.Wrap(err, "platform.log_retention of %s", p.LogRetention)
}

// newAppender returns an appender to one stream. startLogTasks starts it.
func (a *App) newAppender(stream string) *logstream.Appender {
	ap := logstream.NewAppender(a.platformLog, stream, logstream.AppenderOptions{})
	a.appenders = append(a.appenders, ap)
	return ap
}

// startLogTasks starts the appenders, the order coordinator, the leader tasks and, if
// platform.load_models is set, the model loader.
func (a *App) startLogTasks(ctx context.Context) {
	for _, ap := range a.appenders {
		a.runInGroup(ctx, ap.Run)
	}
	if a.platformLog == nil {
		return
	}
	a.runInGroup(ctx, a.orders.Run)
	a.runInGroup(ctx, a.leaderTasks.Run)
	if a.opts.Settings.Platform.LoadModels {
		a.leaderTasks.Want(loader.LeaderTask, true)
		a.runInGroup(ctx, a.newLoader().Run)
	}
}

// orderCoordinator returns the order coordinator, or a nil interface without a log.
func (a *App) orderCoordinator() router.Orders {
	if a.orders == nil {
		return nil
	}
	return a.orders
}

// leadsSnapshots reports whether this instance is the leader that writes
// configuration snapshots.
func (a *App) leadsSnapshots() bool {
	_, ok := a.leaderTasks.Valid(leader.SnapshotTask)
	return ok
}

// closeLog writes the pending order records and releases the leases of the leader
// tasks.
func (a *App) closeLog(ctx context.Context) error {
	if a.platformLog == nil {
		return nil
	}
	flushed := a.orders.Flush(ctx)
	// A lease expires after its time to live anyway, so waiting longer for the log
	// gains nothing.
	ctx, cancel := context.WithTimeout(ctx, leader.DefaultTiming().TTL)
	defer cancel()
	if err := a.leaderTasks.Release(ctx); err != nil {
		a.logger.Warn("failed to release leader leases; they will expire", zap.Error(err))
	}
	return flushed
}
