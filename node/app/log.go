package app

import (
	"context"

	"github.com/gravitational/trace"

	"masticbank.example/node/duty"
	"masticbank.example/node/follower"
	"masticbank.example/node/loader"
	"masticbank.example/node/logstream"
	"masticbank.example/node/orders"
	"masticbank.example/node/router"
)

const (
	// snapshotsPerRetention is how often the configuration is written again
	// within the time for which the log keeps a record.
	snapshotsPerRetention = 8
)

// openLog makes the readers and writers of the log's streams, if a log is set.
func (a *App) openLog() error {
	p := a.opts.Settings.Platform
	if p.Log == "" {
		return nil
	}
	a.logs = &logstream.HTTP{Base: p.Log}
	a.reads = &readTimes{Log: a.logs}
	a.follower = follower.New(follower.Options{
		Log:               a.reads,
		Appender:          a.appender(p.ConfigStream),
		Stream:            p.ConfigStream,
		HoldsSnapshotDuty: a.holdsSnapshotDuty,
		SnapshotEvery:     p.LogRetention / snapshotsPerRetention,
		Logger:            a.log,
	})
	a.duties = duty.New(duty.Options{
		Log:      a.logs,
		Appender: a.appender(p.LeaseStream),
		Stream:   p.LeaseStream,
		Self:     a.opts.Settings.Instance.ID,
		Terms:    duty.DefaultTerms(),
		Logger:   a.log,
	})
	a.duties.Want(duty.Snapshots, true)
	var err error
	a.orders, err = orders.New(orders.Options{
		Log:      a.logs,
		Appender: a.appender(p.OrderStream),
		Stream:   p.OrderStream,
		Claimant: a.opts.Settings.Instance.ID,
		Policy:   orders.DefaultPolicy(p.LogRetention),
		Logger:   a.log,
	})
	return trace.Wrap(err, "platform.log_retention of %s", p.LogRetention)
}

// appender returns an appender to one stream; runLog runs it.
func (a *App) appender(stream string) *logstream.Appender {
	ap := logstream.NewAppender(a.logs, stream, logstream.AppenderOptions{})
	a.appenders = append(a.appenders, ap)
	return ap
}

// runLog runs the appenders and the reader of orders.
func (a *App) runLog(ctx context.Context) {
	for _, ap := range a.appenders {
		a.run(ctx, ap.Run)
	}
	if a.logs == nil {
		return
	}
	a.run(ctx, a.orders.Run)
	a.run(ctx, a.duties.Run)
	if a.opts.Settings.Platform.LoadModels {
		a.duties.Want(loader.Duty, true)
		a.run(ctx, a.newLoader().Run)
	}
}

// orderPort returns the coordinator, or nil without a log.
func (a *App) orderPort() router.Orders {
	if a.orders == nil {
		return nil
	}
	return a.orders
}

// holdsSnapshotDuty tells whether this instance writes snapshots.
func (a *App) holdsSnapshotDuty() bool {
	_, ok := a.duties.Valid(duty.Snapshots)
	return ok
}

// closeLog records what calls have left and gives the duties back.
func (a *App) closeLog(ctx context.Context) error {
	if a.logs == nil {
		return nil
	}
	return trace.NewAggregate(a.orders.Flush(ctx), a.duties.Release(ctx))
}
