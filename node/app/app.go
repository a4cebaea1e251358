// Package app wires the components of one entry instance together and runs them.
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
	"masticbank.example/node/engine"
	"masticbank.example/node/engine/httpjson"
	"masticbank.example/node/follower"
	"masticbank.example/node/httpserver"
	"masticbank.example/node/instancelist"
	"masticbank.example/node/leader"
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

// maxAdminRequests limits the concurrent connections and requests of the
// administration API.
const maxAdminRequests = 64

// Options configures an App.
type Options struct {
	Settings *settings.Settings
	// ConfigDir is the directory of INI files that hold the configuration when
	// platform.log is not set.
	ConfigDir string
	Version   string
	Logger    *zap.Logger
	Level     zap.AtomicLevel
}

// App is one running entry instance. It is safe for concurrent use.
type App struct {
	opts         Options
	logger       *zap.Logger
	state        state
	metrics      *metrics.Registry
	router       *router.Router
	engines      engine.Client
	services     *service.Client
	poller       *instancelist.Poller
	platformLog  logstream.Log // the platform's log; nil when platform.log is not set
	appenders    []*logstream.Appender
	configLog    *lagTracker         // reads the configuration stream; nil without a log
	follower     *follower.Follower  // nil without a log
	orders       *orders.Coordinator // nil without a log
	leaderTasks  *leader.Keeper      // nil without a log
	sharer       *sharing.Sharer     // nil when listen.peers is not set
	neighbors    *neighbor.Chooser
	peers        *peer.Node    // nil when listen.peers is not set
	newCrash     chan struct{} // has an element while crash evidence is to be sent
	clientServer *httpserver.Server
	adminServer  *httpserver.Server

	// stopOnce makes Stop run shutdown only once; stopErr holds its result.
	stopOnce sync.Once
	stopErr  error

	cancel context.CancelFunc
	group  *errgroup.Group
}

// Start builds and starts an instance. Stop shuts it down.
func Start(o Options) (*App, error) {
	a := &App{
		opts: o, logger: o.Logger, metrics: metrics.New(metrics.Options{}),
		services: service.New(), engines: httpjson.New(), newCrash: make(chan struct{}, 1),
	}
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
		Orders:      a.orderCoordinator(),
		Metrics:     &observer{registry: a.metrics, logger: a.logger, announceLeaving: a.announceLeaving},
		Logger:      a.logger,
		RoutePolicy: policy,
		FIFO:        o.Settings.Policy.Admission == "fifo",
		OnWait:      a.wakeSharer,
		OnCrash:     a.wakePoisonSharing,
		Seed:        routerSeed(o.Settings.Instance.ID),
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
	a.startLogTasks(ctx)
	if err := a.startConfig(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := a.startPeers(ctx); err != nil {
		return trace.Wrap(err)
	}
	if a.follower != nil {
		// Revisions are shared with the peers, so these are set first.
		a.runInGroup(ctx, a.applyRevisions)
	}
	if err := a.startInstances(ctx); err != nil {
		return trace.Wrap(err)
	}
	a.runInGroup(ctx, a.setGauges)
	a.group.Go(func() error {
		a.metrics.Run(ctx)
		return nil
	})
	if err := a.startServers(); err != nil {
		return trace.Wrap(err)
	}
	a.logger.Info("serving", zap.String("callers", a.ClientAddr()), zap.String("admin", a.AdminAddr()),
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
		Logger:   a.logger,
		OnUpdate: a.onInstances,
	})
	a.runInGroup(ctx, a.poller.Run)
	return nil
}

// onInstances passes a new instance list of the platform to the router and to the
// peer connections.
func (a *App) onInstances(s instancelist.Snapshot) {
	a.router.SetInstances(s.Instances)
	a.setPeers(s.Instances)
	a.state.instancesRead.Store(true)
}

func (a *App) startServers() error {
	l := a.opts.Settings.Limits
	var err error
	a.clientServer, err = httpserver.Start(httpserver.Options{
		Address:          a.opts.Settings.Listen.Clients,
		MaxBodyBytes:     l.MaxBodyBytes,
		MaxBufferedBytes: l.MaxBufferedBytes,
		OnRefused:        func(reason error) { a.logger.Warn("request refused before its end", zap.Error(reason)) },
		MaxConnections:   l.MaxConnections,
		MaxRequests:      l.MaxRequests,
		IdleTimeout:      l.IdleTimeout,
		Handler:          api.New(api.Options{Router: a.router, Logger: a.logger, MaxBodyBytes: l.MaxBodyBytes, Ready: a.state.ready}),
		ServerErrorBody:  api.ServerErrorBody,
		OnConnectionEnd:  func(e httpserver.ConnectionEnd) { a.logger.Info("connection ended", e.Fields()...) },
	})
	if err != nil {
		return trace.Wrap(err)
	}
	a.adminServer, err = httpserver.Start(httpserver.Options{
		Address:          a.opts.Settings.Listen.Admin,
		MaxBodyBytes:     maxConfigBytes,
		MaxBufferedBytes: maxAdminBytes,
		MaxConnections:   maxAdminRequests,
		MaxRequests:      maxAdminRequests,
		IdleTimeout:      l.IdleTimeout,
		Handler:          admin.New(admin.Options{Key: a.opts.Settings.Admin.Key, Level: a.opts.Level, Instance: a}),
		ServerErrorBody:  api.ServerErrorBody,
	})
	return trace.Wrap(err)
}

// maxConfigBytes limits the size of a request to the administration API; the
// largest is a configuration.
const maxConfigBytes = 8 << 20

// maxAdminBytes limits the requests to the administration API that are received or handled: two of the
// largest at once.
const maxAdminBytes = 2 * maxConfigBytes

// PublishMetrics publishes the metrics in expvar. Names in expvar are global to
// the process, so only one App of a process can publish its metrics.
func (a *App) PublishMetrics() error {
	return trace.Wrap(a.metrics.Publish("masticbank"))
}

// PeerAddr returns the address on which the instance listens for other entry
// instances, or "" when listen.peers is not set.
func (a *App) PeerAddr() string {
	if a.peers == nil {
		return ""
	}
	return a.peers.Addr().String()
}

// ClientAddr returns the address on which the instance listens for clients.
func (a *App) ClientAddr() string { return a.clientServer.Addr() }

// AdminAddr returns the address of the administration API.
func (a *App) AdminAddr() string { return a.adminServer.Addr() }

// Stop shuts the instance down. It reports the instance as not ready, waits until
// the platform's load balancer has noticed, lets requests in progress finish until
// ctx ends, and then stops all components. Later calls return the result of the
// first.
func (a *App) Stop(ctx context.Context) error {
	a.stopOnce.Do(func() { a.stopErr = a.shutdown(ctx) })
	return a.stopErr
}

func (a *App) shutdown(ctx context.Context) error {
	a.logger.Info("shutdown started", zap.Int("in_flight", a.clientServer.InFlight()))
	a.state.leaving.Store(true)
	a.setPeerState(membership.Leaving, peerpb.InstanceState_INSTANCE_STATE_LEAVING)
	sleep(ctx, a.opts.Settings.Limits.UnreadyDelay)
	err := a.clientServer.Shutdown(ctx)
	err = trace.NewAggregate(err, a.closeLog(ctx))
	a.cancel()
	a.router.Close()
	a.services.Close()
	errs := []error{err, a.adminServer.Shutdown(ctx), a.group.Wait()}
	if a.peers != nil {
		errs = append(errs, a.peers.Close(ctx))
	}
	a.logger.Info("shutdown finished", zap.Error(err))
	return trace.NewAggregate(errs...)
}

// sleep returns after d, or earlier when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// routerSeed derives the seed of the router's random choices from an instance ID.
func routerSeed(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
