// Package entry assembles an entry instance that runs on the users' platform.
package entry

import (
	"context"
	"net"
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
	"masticbank.example/core/retry"
	"masticbank.example/core/roster"
	"masticbank.example/node/control"
	"masticbank.example/node/exchange"
	"masticbank.example/node/gateway"
	"masticbank.example/node/httpserver"
	"masticbank.example/node/mesh"
	"masticbank.example/platform"
)

const (
	// idleTimeout is the time after which idle client connections are closed. It is
	// longer than operators let clients reuse a connection.
	idleTimeout = 60 * time.Second
	// maxBodyBytes limits the size of a request's body. The operator's limit is lower.
	maxBodyBytes = 8 << 20
	// maxRequests limits the number of concurrent requests. Each uses about 30 KiB of
	// memory.
	maxRequests = 3000
	// reservedDescriptors is the number of file descriptors that client connections may
	// not use. They are for files and connections to replicas and the store.
	reservedDescriptors = 1200
	// minConnections is the minimum limit on client connections.
	minConnections = 256
	// disconnectCheckInterval is the interval of the checks for disconnected clients,
	// whose requests the users require to be cancelled within 0.5 s.
	// auxiliaryCheckInterval is the interval for listeners that respond immediately.
	disconnectCheckInterval = 80 * time.Millisecond
	auxiliaryCheckInterval  = time.Second
	// auxiliaryLimit limits the concurrent requests and the connections of each listener
	// that is not for clients.
	auxiliaryLimit = 64
	// auxiliaryBodyBytes and auxiliaryBufferedBytes limit what each of these listeners receives: a
	// request has no body, and all are answered immediately.
	auxiliaryBodyBytes     = 64 << 10
	auxiliaryBufferedBytes = 1 << 20
	// headerBytesMargin is for the request line, beyond the operator's limit on the head.
	headerBytesMargin = 4 << 10
	// headerTimeoutMargin is how much later than the operator's limit the head of a request may be
	// complete: a path between two machines may be cut for 3 s, and what was lost is sent again after
	// a pause of its own.
	headerTimeoutMargin = 5 * time.Second

	// replicaDialTimeout limits the time to connect to a replica, which normally accepts
	// a connection within milliseconds.
	replicaDialTimeout = 250 * time.Millisecond
	// replicaIdleTimeout is the maximum idle time of connections to replicas.
	replicaIdleTimeout = 4 * time.Second
	// replicaIdleConnections is the maximum number of idle connections to each replica.
	replicaIdleConnections = 64
	// replicaUnackedTimeout is the time after which a connection with unacknowledged data
	// is closed.
	replicaUnackedTimeout = 700 * time.Millisecond
	// replicaUnackedTimeoutLast is the same for requests that may not be sent again. No other
	// replica can take over, and a replica may be silent for a second or so.
	replicaUnackedTimeoutLast = 2500 * time.Millisecond

	// memoryLimitFraction is the fraction of the instance's memory that is set as the
	// garbage collector's memory limit. The rest is for thread stacks and kernel memory.
	memoryLimitFraction = 0.7
	// responseMemoryFraction is the fraction for buffering plain responses of replicas.
	responseMemoryFraction = 0.125
	// requestMemoryFraction is the fraction for requests that are received or handled. A body
	// is copied once, so it may take twice as much for a moment.
	requestMemoryFraction = 0.125
	bytesPerMB            = 1e6
	// reloadInterval is the interval of the checks for a changed settings file.
	reloadInterval = time.Second
)

// Options configures an Instance.
type Options struct {
	SettingsPath string
	Settings     *platform.Settings
	// MetricsPort is the port for metrics at the instance's IP address; 0 disables them.
	MetricsPort int
	Version     string
	Logger      *zap.Logger
	// DrainNotice is how long new requests may still arrive after Stop is called. 0 means
	// the time within which the platform detects that an instance is not ready.
	DrainNotice time.Duration
}

// Instance is a running entry instance.
type Instance struct {
	opts          Options
	log           *zap.Logger
	settings      atomic.Pointer[platform.Settings]
	store         *platform.Store
	replicas      *platform.Replicas
	client        *exchange.Client
	gateway       *gateway.Gateway
	metrics       *gateway.Metrics
	control       *control.Control
	mesh          *mesh.Mesh
	member        string
	clientServer  *httpserver.Server
	readyServer   *httpserver.Server
	metricsServer *httpserver.Server
	leaving       atomic.Bool
	cancel        context.CancelFunc
	group         *errgroup.Group

	// stop runs stopOnce once; stopErr is its result.
	stop    sync.Once
	stopErr error
}

// Start creates an instance and starts serving.
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
			UnackedTimeout: replicaUnackedTimeout,

			UnackedTimeoutLast: replicaUnackedTimeoutLast,
		}),
	}
	i.settings.Store(s)
	// The name is unique for each process: a restarted process must not inherit the
	// leader task that its predecessor held.
	i.member = s.Instance + "@" + s.IP + "@" + uuid.NewString()
	i.gateway = gateway.New(gateway.Options{
		Codec:   platform.Codec{},
		Control: i.replicas,
		Client:  i.client,
		Logger:  i.log,
		Metrics: i.metrics,
		Zone:    s.Zone,
		// Most of the memory is for requests that are queued or streaming.
		ResponseBytes: int64(float64(s.MemoryMB) * responseMemoryFraction * bytesPerMB),

		Retries:    retryBound(s),
		FirstStart: s.FirstStart,
		OnUnresponsive: func(replica string) {
			i.mesh.ReportUnresponsive(replica)
			i.control.ExcludeUnresponsive(replica)
		},
		OnLeaving:  func(p roster.Process) { i.control.ReplicaLeaves(p) },
		OnRejected: func(replica string, count int) { i.mesh.ReportRejection(replica, count) },
		OnEvidence: func(delta poison.Evidence, recurring []poison.Crash) {
			i.mesh.PublishEvidence(delta)
			i.control.StoreEvidence(recurring)
		},
		OnRetriesNeeded: func(service string, ask retry.Ask) int { return i.mesh.AskForRetries(service, ask) },
	})
	i.control = control.New(control.Options{
		Configs:            platform.ConfigSource{Store: i.store},
		Replicas:           platform.ReplicaSource{Store: i.store},
		Group:              platform.Group{Store: i.store, Member: i.member},
		ReplicaControl:     i.replicas,
		Evidence:           platform.EvidenceStore{Store: i.store},
		Copies:             platform.ConfigCopies{Store: i.store},
		FirstStart:         s.FirstStart,
		Gateway:            i.gateway,
		Logger:             i.log,
		MinTTL:             s.Store.LeastMembership,
		Recovery:           s.Bounds.Recovery,
		ConfigApply:        s.Bounds.ConfigApply,
		Heartbeat:          s.Heartbeat,
		OnMembers:          i.setMembers,
		OnLeaving:          func(p roster.Process) { i.mesh.ReportLeaving(p) },
		OnRemoved:          func(replica string) { i.mesh.ReportRemoved(replica) },
		OnConfig:           func(version int64, content []byte) { i.mesh.SetConfig(version, content) },
		OnUpdates:          func(u roster.Updates) { i.mesh.ForwardUpdates(u) },
		Peers:              func() int { return i.mesh.Peers() },
		IsDesignatedReader: func() bool { return i.mesh.IsConfigReader() },
	})
	i.store.OnEra = i.control.ObserveEra
	var err error
	i.mesh, err = mesh.Start(mesh.Options{
		Member:           i.member,
		Zone:             s.Zone,
		Listen:           net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)),
		Cluster:          s.Store.Address,
		Gateway:          i.gateway,
		OnLeaving:        func(p roster.Process) { i.control.ApplyPeerLeaving(p) },
		OnRemoved:        func(replica string) { i.control.ApplyPeerRemoval(replica) },
		StoreUnavailable: func() bool { return i.control.StoreUnavailable() },
		Departed:         func() []roster.Process { return i.control.Departed() },
		OnUnresponsive:   func(replica string) { i.control.ExcludeUnresponsive(replica) },
		OnConfig:         func(content []byte) { i.control.ApplyConfig(content) },
		OnUpdates:        func(u roster.Updates) { i.control.ApplyUpdates(u) },
		LeaderToken:      func() int64 { return i.control.LeaderToken() },
		OnLeaderToken:    func(token int64) { i.control.OtherLeader(token) },
		Logger:           i.log,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitFraction * bytesPerMB))
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
	i.group.Go(func() error { i.gateway.Survey(ctx, i.control.IsLeader, i.mesh.Standby, i.mesh.SendStates); return nil })
	i.log.Info("started", zap.String("version", o.Version), zap.String("zone", s.Zone), zap.String("callers", s.CallersAddress),
		zap.String("ready", s.ReadyAddress), zap.String("store", s.Store.Address), zap.Int("metrics_port", o.MetricsPort))
	return i, nil
}

// setMembers sets the peers from the names of all group members. The format of a name
// is instance@IP@process.
func (i *Instance) setMembers(names []string) {
	addresses := make(map[string]string, len(names))
	for _, name := range names {
		if parts := strings.Split(name, "@"); len(parts) == memberFields {
			addresses[name] = parts[1]
		}
	}
	i.mesh.SetMembers(addresses)
}

// memberFields is the number of fields in a member's name.
const memberFields = 3

func retryBound(s *platform.Settings) retry.Limit {
	return retry.Limit{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow}
}

// Reload reads the settings file again and applies changes. If the file is invalid the
// current settings stay in effect.
func (i *Instance) Reload(reason string) {
	next, err := platform.LoadSettings(i.opts.SettingsPath)
	if err != nil {
		i.log.Warn("settings not reloaded", zap.String("why", reason), zap.Error(err))
		return
	}
	if previous := i.settings.Swap(next); *previous == *next {
		return
	}
	i.gateway.SetRetryBound(retryBound(next))
	i.log.Info("settings reloaded", zap.String("why", reason), zap.Any("settings", next))
}

// watchSettings reloads the settings file periodically, so that changes take effect
// without a signal.
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

// ClientAddr returns the address that clients connect to.
func (i *Instance) ClientAddr() string { return i.clientServer.Addr() }

// InstanceCount returns the number of entry instances, or 0 while it is unknown.
func (i *Instance) InstanceCount() int { return i.gateway.Instances() }

// PeerCount returns the number of other instances that this one is connected to.
func (i *Instance) PeerCount() int { return i.mesh.Peers() }

// InFlight returns the number of clients' requests in progress.
func (i *Instance) InFlight() int { return i.metrics.InFlight() }

// EvidenceCount returns the number of replica crashes known to this instance that happened
// while a request was running.
func (i *Instance) EvidenceCount() int { return len(i.gateway.Evidence().Crashes) }

// ReadyAddr returns the address for readiness checks.
func (i *Instance) ReadyAddr() string { return i.readyServer.Addr() }
