// Package entry assembles one entry instance on the users' platform.
package entry

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"masticbank.example/core/poison"
	"masticbank.example/core/roster"
	"masticbank.example/node/control"
	"masticbank.example/node/exchange"
	"masticbank.example/node/gateway"
	"masticbank.example/node/httpserver"
	"masticbank.example/node/mesh"
	"masticbank.example/platform"
)

const (
	// idleTimeout closes callers' connections. Operators let callers reuse
	// connections for less than that.
	idleTimeout = 60 * time.Second
	// maxBodyBytes bounds a request's body; the operator's limit is lower.
	maxBodyBytes = 8 << 20
	// maxRequests bounds the requests handled at once. One takes about 30 KiB.
	maxRequests = 3000
	// reservedDescriptors are not used for callers: files, replicas and the store.
	reservedDescriptors = 1200
	// minConnections is the smallest bound on callers' connections.
	minConnections = 256
	// leaveWatch is how soon the work of a caller that left is ended; the users' rules
	// allow 0.5 s. idleWatch is for listeners whose answers take no time.
	leaveWatch = 80 * time.Millisecond
	idleWatch  = time.Second
	// smallServer bounds the requests handled at once on the other listeners.
	smallServer = 64

	// replicaDialTimeout bounds a connection to a replica, which is accepted within
	// milliseconds.
	replicaDialTimeout = 250 * time.Millisecond
	// replicaIdleTimeout closes idle connections to replicas that state no time.
	replicaIdleTimeout = 4 * time.Second
	// replicaIdleConnections bounds them for each replica.
	replicaIdleConnections = 64
	// replicaUnacked ends a connection that the other side no longer acknowledges.
	replicaUnacked = 700 * time.Millisecond

	// drainNotice is how long new requests are expected after SIGTERM: the platform
	// asks for readiness each second and acts on the second miss.
	drainNotice = 3 * time.Second
	// stopMargin is kept free before the platform kills the process.
	stopMargin = 500 * time.Millisecond
	// drainPoll is the time between two looks at the requests in progress.
	drainPoll = 50 * time.Millisecond
	// memoryShare is the part of the machine's memory from which on the collector
	// works harder; the rest is for stacks of threads and what the kernel holds.
	memoryShare = 0.7
	// answerShare is the part for plain answers that are read.
	answerShare = 0.125
	bytesPerMB  = 1e6
	// reloadInterval is the time between two looks at the settings file.
	reloadInterval = time.Second
)

// Options configures an Instance.
type Options struct {
	SettingsPath string
	Settings     *platform.Settings
	// MetricsPort is the port for metrics on the machine's address; 0 for none.
	MetricsPort int
	Version     string
	Logger      *zap.Logger
	// DrainNotice is how long new requests are expected after Stop; 0 means the
	// time in which the platform notices that an instance is not ready.
	DrainNotice time.Duration
}

// Instance is a running entry instance.
type Instance struct {
	opts     Options
	log      *zap.Logger
	settings atomic.Pointer[platform.Settings]
	store    *platform.Store
	replicas *platform.Replicas
	client   *exchange.Client
	gateway  *gateway.Gateway
	metrics  *gateway.Metrics
	control  *control.Control
	mesh     *mesh.Mesh
	member   string
	callers  *httpserver.Server
	ready    *httpserver.Server
	metric   *httpserver.Server
	leaving  atomic.Bool
	cancel   context.CancelFunc
	group    *errgroup.Group

	// stop runs stopOnce, whose result is stopped.
	stop    sync.Once
	stopped error
}

// Start assembles and starts an instance.
func Start(o Options) (*Instance, error) {
	s := o.Settings
	if o.DrainNotice <= 0 {
		o.DrainNotice = drainNotice
	}
	i := &Instance{
		opts:     o,
		log:      o.Logger.With(zap.String("instance", s.Instance)),
		store:    platform.NewStore(s.Store.Address),
		replicas: platform.NewReplicas(),
		metrics:  gateway.NewMetrics(),
		client: exchange.New(exchange.Options{
			DialTimeout:    replicaDialTimeout,
			IdleTimeout:    replicaIdleTimeout,
			IdlePerAddress: replicaIdleConnections,
			UnackedTimeout: replicaUnacked,
		}),
	}
	i.settings.Store(s)
	// The name is new for each process: one that starts again has nothing of the
	// duties that it held before.
	i.member = s.Instance + "@" + s.IP + "@" + uuid.NewString()
	i.gateway = gateway.New(gateway.Options{
		Codec:   platform.Codec{},
		Control: i.replicas,
		Client:  i.client,
		Logger:  i.log,
		Metrics: i.metrics,
		Zone:    s.Zone,
		// Most of the memory is for requests that wait or stream.
		AnswerBytes: int64(float64(s.MemoryMB) * answerShare * bytesPerMB),

		Retries: retryBound(s),
		OnSilent: func(replica string) {
			i.mesh.Silent(replica)
			i.control.Suspect(replica)
		},
		OnLeaving:  func(p roster.Process) { i.control.ReplicaLeaves(p) },
		OnRejected: func(replica string, count int) { i.mesh.Rejected(replica, count) },
		OnEvidence: func(news poison.State, recurring []poison.Crash) {
			i.mesh.Evidence(news)
			i.control.KeepEvidence(recurring)
		},
	})
	i.control = control.New(control.Options{
		Configs:    platform.ConfigSource{Store: i.store},
		Replicas:   platform.ReplicaSource{Store: i.store},
		Group:      platform.Group{Store: i.store, Member: i.member},
		Orders:     i.replicas,
		Evidence:   platform.EvidenceStore{Store: i.store},
		FirstStart: s.FirstStart,
		Gateway:    i.gateway,
		Logger:     i.log,
		LeastTTL:   s.Store.LeastMembership,
		OnMembers:  i.setMembers,
		OnLeaving:  func(p roster.Process) { i.mesh.Leaving(p) },
		OnRemoved:  func(replica string) { i.mesh.Removed(replica) },
		OnConfig:   func(version int64, content []byte) { i.mesh.SetConfig(version, content) },
		OnUpdates:  func(u roster.Updates) { i.mesh.Updates(u) },
		Peers:      func() int { return i.mesh.Peers() },
		Reads:      func() bool { return i.mesh.Reads() },
	})
	var err error
	i.mesh, err = mesh.Start(mesh.Options{
		Member:    i.member,
		Zone:      s.Zone,
		Listen:    net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)),
		Cluster:   s.Store.Address,
		Gateway:   i.gateway,
		OnLeaving: func(p roster.Process) { i.control.Leaving(p) },
		OnRemoved: func(replica string) { i.control.Removed(replica) },
		StoreAway: func() bool { return i.control.StoreAway() },
		Departed:  func() []roster.Process { return i.control.Departed() },
		OnSilent:  func(replica string) { i.control.Suspect(replica) },
		OnConfig:  func(content []byte) { i.control.TakeConfig(content) },
		OnUpdates: func(u roster.Updates) { i.control.TakeUpdates(u) },
		Duty:      func() int64 { return i.control.DutyGeneration() },
		OnDuty:    func(generation int64) { i.control.OtherDuty(generation) },
		Logger:    i.log,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * bytesPerMB))
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.group, ctx = errgroup.WithContext(ctx)
	if err := i.listen(); err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	i.group.Go(func() error { return i.control.Run(ctx) })
	i.group.Go(func() error { i.gateway.Run(ctx); return nil })
	i.group.Go(func() error { i.watchSettings(ctx); return nil })
	i.group.Go(func() error { i.mesh.Run(ctx); return nil })
	i.group.Go(func() error { i.gateway.Survey(ctx, i.control.Duty, i.mesh.Deputy, i.mesh.Observed); return nil })
	i.log.Info("started", zap.String("version", o.Version), zap.String("zone", s.Zone), zap.String("callers", s.CallersAddress),
		zap.String("ready", s.ReadyAddress), zap.String("store", s.Store.Address), zap.Int("metrics_port", o.MetricsPort))
	return i, nil
}

// setMembers takes the names of all instances: instance@IP@process.
func (i *Instance) setMembers(names []string) {
	addresses := make(map[string]string, len(names))
	for _, name := range names {
		if parts := strings.Split(name, "@"); len(parts) == memberParts {
			addresses[name] = parts[1]
		}
	}
	i.mesh.SetMembers(addresses)
}

// memberParts is the number of parts of a member's name.
const memberParts = 3

func retryBound(s *platform.Settings) gateway.RetryBound {
	return gateway.RetryBound{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow}
}

func (i *Instance) listen() error {
	s := i.opts.Settings
	var err error
	i.callers, err = httpserver.Start(httpserver.Options{
		Address:        s.CallersAddress,
		MaxBodyBytes:   maxBodyBytes,
		MaxConnections: max(minConnections, s.MaxDescriptors-reservedDescriptors),
		MaxRequests:    maxRequests,
		IdleTimeout:    idleTimeout,
		WatchPeriod:    leaveWatch,
		Handler:        i.gateway,
		Malformed:      malformed,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	i.ready, err = i.small(s.ReadyAddress, http.HandlerFunc(i.answerReady))
	if err != nil {
		return trace.Wrap(err)
	}
	if i.opts.MetricsPort == 0 {
		return nil
	}
	expvar.Publish("masticbank", i.metrics)
	i.metric, err = i.small(net.JoinHostPort(s.IP, strconv.Itoa(i.opts.MetricsPort)), expvar.Handler())
	return trace.Wrap(err)
}

func (i *Instance) small(address string, h http.Handler) (*httpserver.Server, error) {
	return httpserver.Start(httpserver.Options{
		Address:        address,
		MaxBodyBytes:   maxBodyBytes,
		MaxConnections: smallServer,
		MaxRequests:    smallServer,
		IdleTimeout:    idleTimeout,
		WatchPeriod:    idleWatch,
		Handler:        h,
		Malformed:      malformed,
	})
}

// malformed is the body of answers to what is no request.
func malformed(int) []byte { return []byte("{\"error\":\"malformed request\"}\n") }

// answerReady answers the platform's question for readiness.
func (i *Instance) answerReady(w http.ResponseWriter, _ *http.Request) {
	if i.leaving.Load() || !i.control.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload reads the settings file again. A file that cannot be used leaves the
// present settings in force.
func (i *Instance) Reload(why string) {
	next, err := platform.LoadSettings(i.opts.SettingsPath)
	if err != nil {
		i.log.Warn("settings not reloaded", zap.String("why", why), zap.Error(err))
		return
	}
	if was := i.settings.Swap(next); *was == *next {
		return
	}
	i.gateway.SetRetryBound(retryBound(next))
	i.log.Info("settings reloaded", zap.String("why", why), zap.Any("settings", next))
}

// watchSettings finds changes of the settings file that no signal tells.
func (i *Instance) watchSettings(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.Reload("changed")
		}
	}
}

// Stop reports not ready, serves until no more requests are expected and those
// in progress are answered, and ends the instance within the platform's time.
// Later calls return the result of the first.
func (i *Instance) Stop() error {
	i.stop.Do(func() { i.stopped = i.stopOnce() })
	return i.stopped
}

func (i *Instance) stopOnce() error {
	start := time.Now()
	s := i.settings.Load()
	end := start.Add(s.Bounds.Shutdown - stopMargin)
	i.log.Info("stopping", zap.Int("in_flight", i.metrics.InFlight()), zap.Duration("within", s.Bounds.Shutdown))
	i.leaving.Store(true)
	i.control.Retire()
	i.callers.Drain()
	notice := start.Add(i.opts.DrainNotice)
	i.gateway.Drain(notice)
	i.waitIdle(notice, end)
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(stopMargin/2))
	defer cancel()
	err := trace.NewAggregate(i.callers.Shutdown(ctx), i.close(ctx))
	i.log.Info("stopped", zap.Duration("took", time.Since(start)), zap.Int("in_flight", i.metrics.InFlight()), zap.Error(err))
	return trace.Wrap(err)
}

// close ends what serves no callers.
func (i *Instance) close(ctx context.Context) error {
	i.cancel()
	errs := []error{i.group.Wait(), i.mesh.Close(ctx), i.ready.Shutdown(ctx)}
	if i.metric != nil {
		errs = append(errs, i.metric.Shutdown(ctx))
	}
	i.client.Close()
	i.replicas.Close()
	i.store.Close()
	return trace.NewAggregate(errs...)
}

// CallersAddr returns the address that callers connect to.
func (i *Instance) CallersAddr() string { return i.callers.Addr() }

// Instances returns the number of entry instances, 0 while it is not known.
func (i *Instance) Instances() int { return i.gateway.Instances() }

// Evidence returns the number of crashes under requests that are known here.
func (i *Instance) Evidence() int { return len(i.gateway.Evidence().Crashes) }

// ReadyAddr returns the address that is asked for readiness.
func (i *Instance) ReadyAddr() string { return i.ready.Addr() }

// waitIdle waits until no request is in progress after notice, or until end.
func (i *Instance) waitIdle(notice, end time.Time) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(end) || (now.After(notice) && i.metrics.InFlight() == 0) {
			return
		}
	}
}
