// Package app assembles one entry instance from its parts.
package app

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"masticbank.example/core/membership"
	"masticbank.example/core/neighbor"
	"masticbank.example/core/route"
	"masticbank.example/node/admin"
	"masticbank.example/node/api"
	"masticbank.example/node/duty"
	"masticbank.example/node/engine"
	"masticbank.example/node/engine/httpjson"
	"masticbank.example/node/follower"
	"masticbank.example/node/httpserver"
	"masticbank.example/node/instancelist"
	"masticbank.example/node/logstream"
	"masticbank.example/node/metrics"
	"masticbank.example/node/orders"
	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
	"masticbank.example/node/peer/sharing"
	"masticbank.example/node/router"
	"masticbank.example/node/service"
	"masticbank.example/node/settings"
)

// adminRequests bounds the administration requests handled at once.
const adminRequests = 64

// Options configures an App.
type Options struct {
	Settings *settings.Settings
	// ConfigDir is the folder of INI files used when no log is set.
	ConfigDir string
	Version   string
	Logger    *zap.Logger
	Level     zap.AtomicLevel
}

// App is one running entry instance. It is safe for concurrent use.
type App struct {
	opts      Options
	log       *zap.Logger
	state     state
	metrics   *metrics.Registry
	router    *router.Router
	engines   engine.Client
	services  *service.Client
	poller    *instancelist.Poller
	logs      logstream.Log // nil without a log
	appenders []*logstream.Appender
	reads     *readTimes          // of the configuration stream; nil without a log
	follower  *follower.Follower  // nil without a log
	orders    *orders.Coordinator // nil without a log
	duties    *duty.Keeper        // nil without a log
	sharer    *sharing.Sharer     // nil when the instance runs alone
	neighbors *neighbor.Chooser
	peers     *peer.Node // nil when the instance runs alone
	callers   *httpserver.Server
	admin     *httpserver.Server

	// stop runs stopOnce, whose result is stopped.
	stop    sync.Once
	stopped error

	cancel context.CancelFunc
	group  *errgroup.Group
}

// Start assembles and starts an instance. Stop ends it.
func Start(o Options) (*App, error) {
	a := &App{opts: o, log: o.Logger, metrics: metrics.New(metrics.Options{}), services: service.New(), engines: httpjson.New()}
	policy, ok := route.ParsePolicy(o.Settings.Policy.Route)
	if !ok {
		return nil, trace.BadParameter("unknown route policy %q", o.Settings.Policy.Route)
	}
	if err := a.openLog(); err != nil {
		return nil, trace.Wrap(err)
	}
	a.router = router.New(router.Options{
		ID:          o.Settings.Instance.ID,
		Engines:     a.engines,
		Services:    a.services,
		Orders:      a.orderPort(),
		Metrics:     &observer{registry: a.metrics, log: a.log, leaving: a.announceLeaving},
		Logger:      a.log,
		RoutePolicy: policy,
		FIFO:        o.Settings.Policy.Admission == "fifo",
		Wake:        a.wakeSharer,
		Seed:        seedOf(o.Settings.Instance.ID),
	})
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.group, ctx = errgroup.WithContext(ctx)
	if err := a.start(ctx); err != nil {
		cancel()
		a.router.Close()
		return nil, trace.Wrap(err)
	}
	return a, nil
}

func (a *App) start(ctx context.Context) error {
	a.runLog(ctx)
	if err := a.startConfig(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := a.startPeers(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := a.startInstances(ctx); err != nil {
		return trace.Wrap(err)
	}
	a.run(ctx, a.setGauges)
	a.group.Go(func() error {
		a.metrics.Run(ctx)
		return nil
	})
	if err := a.startServers(); err != nil {
		return trace.Wrap(err)
	}
	a.log.Info("serving", zap.String("callers", a.CallerAddr()), zap.String("admin", a.AdminAddr()),
		zap.String("instance", a.opts.Settings.Instance.ID), zap.String("zone", a.opts.Settings.Instance.Zone))
	return nil
}

func (a *App) startInstances(ctx context.Context) error {
	lister, err := instancelist.NewHTTP(a.opts.Settings.Platform.InstanceList, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	a.poller = instancelist.NewPoller(lister, instancelist.PollerOptions{
		Interval: a.opts.Settings.Platform.InstancePeriod,
		Logger:   a.log,
		OnUpdate: a.onInstances,
	})
	a.run(ctx, a.poller.Run)
	return nil
}

func (a *App) onInstances(s instancelist.Snapshot) {
	a.router.SetInstances(s.Instances)
	a.setPeers(s.Instances)
	a.state.listed.Store(true)
}

func (a *App) startServers() error {
	l := a.opts.Settings.Limits
	var err error
	a.callers, err = httpserver.Start(httpserver.Options{
		Address:        a.opts.Settings.Listen.Callers,
		MaxBodyBytes:   l.MaxBodyBytes,
		MaxConnections: l.MaxConnections,
		MaxRequests:    l.MaxRequests,
		IdleTimeout:    l.IdleTimeout,
		Handler:        api.New(api.Options{Router: a.router, Logger: a.log, MaxBodyBytes: l.MaxBodyBytes, Ready: a.state.ready}),
		Malformed:      api.Malformed,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	a.admin, err = httpserver.Start(httpserver.Options{
		Address:        a.opts.Settings.Listen.Admin,
		MaxBodyBytes:   maxConfigBytes,
		MaxConnections: adminRequests,
		MaxRequests:    adminRequests,
		IdleTimeout:    l.IdleTimeout,
		Handler:        admin.New(admin.Options{Key: a.opts.Settings.Admin.Key, Level: a.opts.Level, Instance: a}),
		Malformed:      api.Malformed,
	})
	return trace.Wrap(err)
}

// maxConfigBytes bounds a configuration sent to the administration API.
const maxConfigBytes = 8 << 20

// PublishMetrics shows the metrics in expvar, where one instance of a process
// can have the name.
func (a *App) PublishMetrics() error {
	return trace.Wrap(a.metrics.Publish("masticbank"))
}

// PeerAddr returns the address for other entry instances, or "".
func (a *App) PeerAddr() string {
	if a.peers == nil {
		return ""
	}
	return a.peers.Addr().String()
}

// CallerAddr returns the address for callers.
func (a *App) CallerAddr() string { return a.callers.Addr() }

// AdminAddr returns the address for administration.
func (a *App) AdminAddr() string { return a.admin.Addr() }

// Stop reports not ready, waits for the platform's balancer to notice, lets
// the requests in progress finish until ctx ends, and ends the instance. Later calls
// return the result of the first.
func (a *App) Stop(ctx context.Context) error {
	a.stop.Do(func() { a.stopped = a.stopOnce(ctx) })
	return a.stopped
}

func (a *App) stopOnce(ctx context.Context) error {
	a.log.Info("leaving", zap.Int("in_flight", a.callers.InFlight()))
	a.state.leaving.Store(true)
	a.setPeerState(membership.Leaving, peerpb.InstanceState_INSTANCE_STATE_LEAVING)
	wait(ctx, a.opts.Settings.Limits.UnreadyDelay)
	err := a.callers.Shutdown(ctx)
	err = trace.NewAggregate(err, a.closeLog(ctx))
	a.cancel()
	a.router.Close()
	a.services.Close()
	errs := []error{err, a.admin.Shutdown(ctx), a.group.Wait()}
	if a.peers != nil {
		errs = append(errs, a.peers.Close(ctx))
	}
	a.log.Info("left", zap.Error(err))
	return trace.NewAggregate(errs...)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func seedOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
