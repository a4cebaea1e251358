package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"masticbank.example/core/poison"
	"masticbank.example/core/roster"
	"masticbank.example/core/routing"
	"masticbank.example/node/gateway"
)

const (
	// maxPollWait is the longest wait for new records in one call, and minPollWait the
	// shortest one. If a poll of the configuration misses a version, the version still
	// arrives in time, because peers publish which version they have.
	maxPollWait = 20 * time.Second
	minPollWait = time.Second
	// silentPollMargin is the part of the time within which a record must arrive although
	// connections have gone silent that a poll leaves for its failure to be detected, which
	// takes 1.5 s after the end of its wait, and for the next call.
	silentPollMargin = 2 * time.Second
	// configPollWaitWithoutPeers is the same without peers. It is below the 2 s within
	// which a version must be in force.
	configPollWaitWithoutPeers = 1500 * time.Millisecond
	// maxConfigReadInterval is the longest time without a read of the configuration in the
	// store, for instances that rely on designated readers for it.
	maxConfigReadInterval = time.Minute
	// readerCheckInterval is the time between two checks whether this instance is a
	// designated reader of the configuration.
	readerCheckInterval = 250 * time.Millisecond
	// firstStartInterval is the length of the period after the first start of the whole
	// system, and the time between two reads of replicas and configuration in it. They are
	// read less often because there is no traffic yet and the instances do not know each
	// other.
	firstStartInterval = 3 * time.Second
	// minPeersForConfig is the minimum number of peers for an instance to rely on them for
	// the configuration. A single peer may have missed a version itself.
	minPeersForConfig = 2
	// replicaInterval is the time between two reads of the replicas' entries. A replica
	// that shuts down must get no new requests after 2 s.
	replicaInterval = 800 * time.Millisecond
	// leaderReadInterval is the same for the leader, which reads for the other instances.
	leaderReadInterval = 400 * time.Millisecond
	// relayedReadTimeout is how long an instance that received updates relayed by another
	// one does not read itself. Together with the transmission time it is below the 2 s
	// after which a replica that shuts down must get no new requests.
	relayedReadTimeout = time.Second
	// readDelayPerPeer and maxReadDelay limit a random time that is added to
	// relayedReadTimeout. Users with so many instances that the sum exceeds 2 s allow 3 s
	// and more.
	readDelayPerPeer = 10 * time.Millisecond
	maxReadDelay     = 900 * time.Millisecond
	// expireInterval is the time between two checks for entries whose time to return after
	// an outage has expired.
	expireInterval = 200 * time.Millisecond
	// pendingReadInterval replaces replicaInterval while replicas load layers that this
	// instance assigned; loading a few layers takes a few hundred milliseconds.
	pendingReadInterval = 250 * time.Millisecond
	// joinRetryInterval is the time between two joins while the store is unavailable. A
	// join costs a tenth of other calls.
	joinRetryInterval = 250 * time.Millisecond
	// readRetryInterval is the time until another call is retried if no join has succeeded
	// before. Outages may affect some calls only.
	readRetryInterval = 3 * time.Second
	// memberTTL is how long the group keeps a member after its last join.
	memberTTL = 3 * time.Second
	// memberReadInterval is the shortest time between two reads of the member list. New
	// instances connect to the others by themselves.
	memberReadInterval = 30 * time.Second
	// startMemberReadInterval is the same within startupPeriod after the start, when other
	// instances may start too.
	startMemberReadInterval = 2500 * time.Millisecond
	startupPeriod           = 10 * time.Second
	// restartMemberReadInterval replaces startMemberReadInterval if the system was running
	// before. Clients reconnect immediately, and hardly any request is retried until the
	// number of instances is known. All instances that start together have joined within
	// that time.
	restartMemberReadInterval = 500 * time.Millisecond
	// joinInterval is the time between two joins; memberTTL covers three.
	joinInterval = time.Second
	// changedGroupJoinInterval is the time between joins in the joinInterval after a
	// change of the group.
	changedGroupJoinInterval = 250 * time.Millisecond
)

// Options configures a Control.
type Options struct {
	Configs        ConfigSource
	Replicas       ReplicaSource
	Group          Group
	ReplicaControl gateway.ReplicaControl
	Gateway        *gateway.Gateway
	// Evidence, if set, stores evidence about requests that crash replicas.
	Evidence EvidenceStore
	// Copies, if set, keeps copies of the configuration.
	Copies ConfigCopies
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	Logger     *zap.Logger
	// MinTTL is the shortest time to live that the group accepts.
	MinTTL time.Duration
	// Recovery is how long after the end of a disruption of connections this instance may
	// take to work as before, and ConfigApply how long after its acknowledgement a
	// configuration may take to be in force.
	Recovery, ConfigApply time.Duration
	// Heartbeat is the interval at which replicas renew their entries.
	Heartbeat time.Duration
	// OnMembers, if set, is called with the names of all members.
	OnMembers func([]string)
	// OnLeaving, if set, is called with a replica process that begins to shut down,
	// OnRemoved with the ID of a replica whose entry was removed.
	OnLeaving func(roster.Process)
	OnRemoved func(replica string)
	// OnConfig, if set, is called with each configuration that is put in force.
	OnConfig func(version int64, content []byte)
	// OnUpdates, if set, is called with the changes of replicas that this instance reads,
	// without those that are only heartbeats.
	OnUpdates func(roster.Updates)
	// Peers, if set, returns the number of instances that this one is connected to.
	Peers func() int
	// IsDesignatedReader, if set, reports whether this instance is a designated reader,
	// which follows the configuration in the store for all; others receive it from their
	// peers.
	IsDesignatedReader func() bool
}

// Control connects one instance to the platform's store. It is safe for concurrent use.
type Control struct {
	opts Options
	log  *zap.Logger

	mu      sync.Mutex
	version int64
	// content is the configuration in force as the operator wrote it; copied is the version
	// of the newest copy that was read.
	content []byte
	copied  int64
	// copyWritten is the version of the copy that this instance wrote last.
	copyWritten int64
	restored    restoredState
	roster      *roster.Roster
	feed        roster.Feed
	// readDelay is added to relayedReadTimeout so that instances read at different times.
	readDelay time.Duration
	// cancelPoll ends the wait for a configuration in progress.
	cancelPoll context.CancelFunc
	leadership leaderState
	// pending holds the assignments in progress by replica ID.
	pending map[string]assignment
	// unresponsive holds the suspected failures by replica ID.
	unresponsive map[string]failureReport
	store        storeStatus
	// available is closed when the store responds again; nil while it is available.
	available chan struct{}
	// malformed maps the keys of unreadable records to the errors that were logged.
	malformed map[string]string
	// lastJoin is when a replica last joined.
	lastJoin time.Time
	// unwritten are the crashes that wait to be written to the store.
	unwritten []poison.Crash
	// lastChange is when a replica last joined, left or became unresponsive, by zone.
	lastChange map[string]time.Time

	started            time.Time
	leadershipReleased atomic.Bool
	releaseSignal      chan struct{}
	// rejoin receives a value when the next join is due at once.
	rejoin         chan struct{}
	configLoaded   atomic.Bool
	replicasLoaded atomic.Bool
}

// leaderState is the group's last response about the leader task of assigning layers.
type leaderState struct {
	Membership
	// until is when the response expires, and notBefore when those expire that a holder of an
	// ended era may still have.
	until, notBefore time.Time
	// rejectedToken is the highest fencing token that a replica refused.
	rejectedToken int64
}

// failureReport is the last heartbeat of a replica before it was found unresponsive, and
// when the report expires.
type failureReport struct {
	startTime, heartbeat int64
	until                time.Time
}

// membershipCall names joins in the log.
const membershipCall = "membership"

// New returns a Control that has not read anything yet.
func New(o Options) *Control {
	return &Control{
		opts:          o,
		log:           o.Logger,
		roster:        roster.New(o.Heartbeat),
		pending:       map[string]assignment{},
		unresponsive:  map[string]failureReport{},
		malformed:     map[string]string{},
		lastChange:    map[string]time.Time{},
		releaseSignal: make(chan struct{}),
		rejoin:        make(chan struct{}, 1),
		started:       time.Now(),
	}
}

// ttl is how long the group keeps this instance after a join.
func (c *Control) ttl() time.Duration { return max(memberTTL, c.opts.MinTTL) }

// Ready reports whether the configuration and the replicas are known.
func (c *Control) Ready() bool { return c.configLoaded.Load() && c.replicasLoaded.Load() }

// Run follows the store until ctx ends and then leaves the group.
func (c *Control) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.followConfig(ctx) })
	g.Go(func() error { return c.followReplicas(ctx) })
	g.Go(func() error { return c.keepMembership(ctx) })
	g.Go(func() error { return c.runLayout(ctx) })
	if c.opts.Copies != nil {
		g.Go(func() error { return c.writeCopies(ctx) })
	}
	if c.opts.Evidence != nil {
		g.Go(func() error { return c.readEvidence(ctx) })
		g.Go(func() error { return c.writeEvidence(ctx) })
	}
	return g.Wait()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// reportMalformed logs each unreadable record once per error.
func (c *Control) reportMalformed(list []*MalformedError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range list {
		text := m.Err.Error()
		if c.malformed[m.Key] == text || len(c.malformed) > maxMalformed {
			continue
		}
		c.malformed[m.Key] = text
		c.log.Warn("unreadable record ignored", zap.String("key", m.Key), zap.Error(m.Err))
	}
}

// maxMalformed limits the number of unreadable keys that are kept.
const maxMalformed = 256

// apply puts a configuration in force if it is newer than the current one. source says in
// the log where it came from.
func (c *Control) apply(p *Published, source string) {
	if c.activate(p, source) && c.opts.OnConfig != nil {
		c.opts.OnConfig(p.Config.Version, p.Content)
	}
}

// activate configures the gateway with a configuration if it is newer, and reports whether it was.
func (c *Control) activate(p *Published, source string) bool {
	cfg := p.Config
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg.Version <= c.version {
		if cfg.Version < c.version {
			c.log.Warn("older configuration ignored", zap.Int64("version", cfg.Version), zap.Int64("in_force", c.version),
				zap.String("source", source))
		}
		return false
	}
	c.log.Info("configuration in force", zap.Int64("version", cfg.Version), zap.Int64("before", c.version), zap.String("source", source),
		zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)), zap.Int("workspaces", len(cfg.Workspaces)),
		zap.Bool("anonymous", cfg.Anonymous))
	c.version, c.content = cfg.Version, p.Content
	c.opts.Gateway.Configure(routing.NewTable(cfg), c.roster.Available)
	c.configLoaded.Store(true)
	if c.Ready() {
		c.opts.Gateway.MarkReady()
	}
	return true
}

// ReplicaLeaves records that a replica process said in a response to this instance that it
// shuts down, and reports it to the other instances.
func (c *Control) ReplicaLeaves(p roster.Process) {
	if c.markLeaving(p, "response of the replica") && c.opts.OnLeaving != nil {
		c.opts.OnLeaving(p)
	}
}

// ApplyPeerLeaving records another instance's report that a replica process shuts down.
func (c *Control) ApplyPeerLeaving(p roster.Process) { c.markLeaving(p, "another instance") }

// markLeaving permanently keeps new work away from a process, and reports whether that is
// new.
func (c *Control) markLeaving(p roster.Process, source string) bool {
	c.mu.Lock()
	isNew := c.roster.MarkLeaving(p)
	if isNew {
		c.log.Info("replica shuts down", zap.String("replica", p.ID), zap.Int64("born", p.StartTime), zap.String("source", source))
		if e, _, ok := c.roster.Get(p.ID); ok {
			c.lastChange[e.Zone] = time.Now()
		}
	}
	c.mu.Unlock()
	c.updateGateway(isNew)
	return isNew
}

// ApplyPeerRemoval records another instance's report that the entry of a replica was
// removed. It is ignored unless this instance waits for entries to return during or after
// an outage of the store; the other instance has had access to the store all along.
func (c *Control) ApplyPeerRemoval(id string) {
	c.mu.Lock()
	marked := c.roster.InGrace(time.Now()) && c.roster.MarkRemoved(id)
	if marked {
		c.log.Info("entry of a replica was removed", zap.String("replica", id), zap.String("source", "another instance"))
	}
	c.mu.Unlock()
	c.updateGateway(marked)
}

// Departed returns the replica processes that are shutting down or have done so.
func (c *Control) Departed() []roster.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Departed()
}
