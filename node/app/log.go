package app

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/core/order"
	"masticbank.example/node/follower"
	"masticbank.example/node/logstream"
	"masticbank.example/node/orders"
	"masticbank.example/node/router"
)

const (
	// snapshotsPerRetention is how often the configuration is written again
	// within the time for which the log keeps a record.
	snapshotsPerRetention = 8
	// windowsPerRetention is the retention divided by the time for which a key
	// is accepted.
	windowsPerRetention = 2
	// orderDispatch is how long after the append of its claim a call may be
	// sent.
	orderDispatch = 5 * time.Second
	// orderSkew bounds the differences between clocks.
	orderSkew = 30 * time.Second
	// orderGrace is added to the deadline of a claim before its claimant counts
	// as gone.
	orderGrace = 5 * time.Second
)

// openLog makes the readers and writers of the log's streams, if a log is set.
func (a *App) openLog() error {
	p := a.opts.Settings.Platform
	if p.Log == "" {
		return nil
	}
	a.logs = &logstream.HTTP{Base: p.Log}
	a.follower = follower.New(follower.Options{
		Log:               a.logs,
		Appender:          a.appender(p.ConfigStream),
		Stream:            p.ConfigStream,
		HoldsSnapshotDuty: a.holdsSnapshotDuty,
		SnapshotEvery:     p.LogRetention / snapshotsPerRetention,
		Logger:            a.log,
	})
	var err error
	a.orders, err = orders.New(orders.Options{
		Log:      a.logs,
		Appender: a.appender(p.OrderStream),
		Stream:   p.OrderStream,
		Claimant: a.opts.Settings.Instance.ID,
		Policy: order.Policy{
			Window:    p.LogRetention / windowsPerRetention,
			Retention: p.LogRetention,
			Dispatch:  orderDispatch,
			Skew:      orderSkew,
			Grace:     orderGrace,
		},
		Logger: a.log,
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
	if a.orders != nil {
		a.run(ctx, a.orders.Run)
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
func (a *App) holdsSnapshotDuty() bool { return true }
