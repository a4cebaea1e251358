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
	// configWait is the longest wait for a new configuration in one call. A poll that
	// misses one, or whose connection has gone silent, does not make it late: peers
	// tell which version they have.
	configWait = 20 * time.Second
	// configWaitAlone is the same without peers. It is below the 2 s within which a
	// version must be in force.
	configWaitAlone = 1500 * time.Millisecond
	// configUnread is the longest time without a look at the configuration in the store,
	// for instances that rely on others for it.
	configUnread = time.Minute
	// turnInterval is the time between two looks whether this instance is to follow the
	// configuration itself.
	turnInterval = 250 * time.Millisecond
	// startPatience is how long after the first start of the whole system replicas and
	// configuration are read less often: there is no traffic yet, and the instances do not
	// know each other.
	startPatience = 3 * time.Second
	// peersEnough is the number of peers from which on they are relied on for the
	// configuration: one may have missed a version itself.
	peersEnough = 2
	// replicaInterval is the time between two reads of the replicas' entries. A
	// replica that leaves must get nothing new within 2 s.
	replicaInterval = 800 * time.Millisecond
	// dutyInterval is the same for the instance that reads for the others.
	dutyInterval = 400 * time.Millisecond
	// passedPatience is how long an instance does not read after another one has
	// passed on what it read. Together with the way of the message it is below the 2 s
	// within which a replica that leaves must get nothing new.
	passedPatience = time.Second
	// latenessForPeer and mostLateness bound what is added to passedPatience at random. On
	// systems with so many instances the users allow 3 s and more.
	latenessForPeer = 10 * time.Millisecond
	mostLateness    = 900 * time.Millisecond
	// expireInterval is the time between two looks at entries whose time to come back may
	// be over.
	expireInterval = 200 * time.Millisecond
	// orderedInterval is the same while this instance waits for replicas to load
	// layers; loading a few layers takes some hundred milliseconds.
	orderedInterval = 250 * time.Millisecond
	// retryInterval is the time between two joins while the store does not answer. A
	// join has a tenth of the price of other calls.
	retryInterval = 250 * time.Millisecond
	// readRetryInterval is the time until another call is tried again if no join has
	// been answered before. Outages may concern some calls only.
	readRetryInterval = 3 * time.Second
	// memberTTL is how long the group keeps a member that it does not hear.
	memberTTL = 3 * time.Second
	// memberInterval is the shortest time between two reads of the member list. New
	// instances connect to the others by themselves.
	memberInterval = 30 * time.Second
	// startMemberInterval is the same within startTime after the start, when others may
	// start too.
	startMemberInterval = 2500 * time.Millisecond
	startTime           = 10 * time.Second
	// restartMemberInterval takes its place when the system was there before: callers
	// come back at once, and until the number of instances is known hardly any request is
	// sent again. All that start together have joined within that time.
	restartMemberInterval = 500 * time.Millisecond
	// joinInterval is the time between two joins, three within memberTTL.
	joinInterval = time.Second
	// changedJoinInterval is the time between joins within joinInterval after a change
	// of the group.
	changedJoinInterval = 250 * time.Millisecond
)

// Options configures a Control.
type Options struct {
	Configs  ConfigSource
	Replicas ReplicaSource
	Group    Group
	Orders   gateway.ReplicaControl
	Gateway  *gateway.Gateway
	// Evidence, if set, keeps evidence on requests that crash replicas.
	Evidence EvidenceStore
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
	Logger     *zap.Logger
	// LeastTTL is the shortest time to live that the group takes.
	LeastTTL time.Duration
	// OnMembers, if set, is called with the names of all members.
	OnMembers func([]string)
	// OnLeaving, if set, is called with a process of a replica that begins to leave,
	// OnRemoved with the ID of one whose entry is gone.
	OnLeaving func(roster.Process)
	OnRemoved func(replica string)
	// OnConfig, if set, is called with each configuration that is put in force.
	OnConfig func(version int64, content []byte)
	// OnUpdates, if set, is called with what this instance reads of the replicas,
	// heartbeats left out.
	OnUpdates func(roster.Updates)
	// Peers, if set, returns the number of instances that this one is connected to.
	Peers func() int
	// Reads, if set, tells whether this instance follows the configuration in the store
	// for all; otherwise its peers tell it.
	Reads func() bool
}

// Control runs the connection of one instance to the store. It is safe for
// concurrent use.
type Control struct {
	opts Options
	log  *zap.Logger

	mu      sync.Mutex
	version int64
	roster  *roster.Roster
	feed    roster.Feed
	// lateness is added to passedPatience, so that not all instances read at once.
	lateness time.Duration
	// endPoll ends the wait for a configuration that is under way.
	endPoll context.CancelFunc
	duty    dutyState
	placed  map[string]placement
	// suspects holds the heartbeat number at which a replica was found silent.
	suspects map[string]suspicion
	store    dependency
	// back is closed when the store answers again; nil while it answers.
	back chan struct{}
	// malformed holds the keys that were reported as unreadable.
	malformed map[string]string
	// joinedAt is when a replica joined last, changedAt when one joined, left or fell
	// silent, by zone.
	joinedAt time.Time
	// kept are the crashes that wait to be written to the store.
	kept      []poison.Crash
	changedAt map[string]time.Time

	started    time.Time
	retired    atomic.Bool
	retire     chan struct{}
	configured atomic.Bool
	loaded     atomic.Bool
}

// dutyState is the last word of the group.
type dutyState struct {
	Membership
	// until is when this word is too old to act on.
	until time.Time
	// fenced is the generation that a replica refused.
	fenced int64
}

// suspicion is the last heartbeat before a replica was found silent.
type suspicion struct {
	born, heartbeat int64
	until           time.Time
}

// membershipCall names joins in the log.
const membershipCall = "membership"

// dependency notes whether the store answers.
type dependency struct {
	away  bool
	since time.Time
}

// New returns a control that has read nothing yet.
func New(o Options) *Control {
	return &Control{
		opts:      o,
		log:       o.Logger,
		roster:    roster.New(),
		placed:    map[string]placement{},
		suspects:  map[string]suspicion{},
		malformed: map[string]string{},
		changedAt: map[string]time.Time{},
		retire:    make(chan struct{}),
		started:   time.Now(),
	}
}

// ttl is how long the group keeps this instance without a join.
func (c *Control) ttl() time.Duration { return max(memberTTL, c.opts.LeastTTL) }

// Ready tells whether the configuration and the replicas are known.
func (c *Control) Ready() bool { return c.configured.Load() && c.loaded.Load() }

// Run follows the store until ctx ends, and leaves the group then.
func (c *Control) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.followConfig(ctx) })
	g.Go(func() error { return c.followReplicas(ctx) })
	g.Go(func() error { return c.keepMembership(ctx) })
	g.Go(func() error { return c.keepLayout(ctx) })
	if c.opts.Evidence != nil {
		g.Go(func() error { return c.readEvidence(ctx) })
		g.Go(func() error { return c.writeEvidence(ctx) })
	}
	return g.Wait()
}

// answered notes that the store answered.
func (c *Control) answered(call string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.store.away {
		return
	}
	now := time.Now()
	c.log.Info("store answers again", zap.String("call", call), zap.Duration("away", now.Sub(c.store.since)))
	c.store = dependency{}
	close(c.back)
	c.back = nil
	c.roster.StoreBack(now)
	if c.endPoll != nil {
		c.endPoll()
	}
}

// failed notes that the store did not answer, and waits until the call is to be made
// again. Joins find out when the store answers again; the other calls wait for that.
func (c *Control) failed(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	if !c.store.away {
		c.store = dependency{away: true, since: time.Now()}
		c.back = make(chan struct{})
		c.log.Warn("store does not answer", zap.String("call", call), zap.Error(err))
	}
	c.roster.StoreAway()
	back := c.back
	c.mu.Unlock()
	if call == membershipCall {
		sleep(ctx, retryInterval)
		return
	}
	t := time.NewTimer(readRetryInterval)
	defer t.Stop()
	select {
	case <-back:
	case <-t.C:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// reportMalformed logs an unreadable record once for each content.
func (c *Control) reportMalformed(list []*Malformed) {
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

// maxMalformed bounds the unreadable keys that are remembered.
const maxMalformed = 256

// apply puts a configuration in force if it is newer than the present one. Source is
// where it came from.
func (c *Control) apply(p *Published, source string) {
	if c.putInForce(p.Config, source) && c.opts.OnConfig != nil {
		c.opts.OnConfig(p.Config.Version, p.Content)
	}
}

func (c *Control) putInForce(cfg *routing.Config, source string) bool {
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
		zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)), zap.Int("workspaces", len(cfg.Workspaces)))
	c.version = cfg.Version
	c.opts.Gateway.Configure(routing.NewTable(cfg))
	c.opts.Gateway.SetReplicas(c.roster.Usable)
	c.configured.Store(true)
	if c.Ready() {
		c.opts.Gateway.Open()
	}
	return true
}

// ReplicaLeaves takes the word of a replica, in an answer to this instance, that its
// process leaves, and tells the other instances.
func (c *Control) ReplicaLeaves(p roster.Process) {
	if c.leave(p, "its own answer") && c.opts.OnLeaving != nil {
		c.opts.OnLeaving(p)
	}
}

// Leaving takes another instance's word that the process of a replica leaves.
func (c *Control) Leaving(p roster.Process) { c.leave(p, "another instance") }

// leave keeps new work off a process for good, and returns whether that is new.
func (c *Control) leave(p roster.Process, source string) bool {
	c.mu.Lock()
	marked := c.roster.Leave(p)
	if marked {
		c.log.Info("replica leaves", zap.String("replica", p.ID), zap.Int64("born", p.Born), zap.String("source", source))
		if e, _, ok := c.roster.Get(p.ID); ok {
			c.changedAt[e.Zone] = time.Now()
		}
	}
	c.mu.Unlock()
	c.publish(marked)
	return marked
}

// Removed takes another instance's word that the entry of a replica is gone. It counts
// only while this instance waits for entries to come back, since the store does not answer
// it or has just begun to: the other one has had the store all the while.
func (c *Control) Removed(id string) {
	c.mu.Lock()
	marked := c.roster.InGrace(time.Now()) && c.roster.Removed(id)
	if marked {
		c.log.Info("entry of a replica is gone", zap.String("replica", id), zap.String("source", "another instance"))
	}
	c.mu.Unlock()
	c.publish(marked)
}

// StoreAway tells whether the store does not answer.
func (c *Control) StoreAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.away
}

// Departed returns the processes of replicas that leave for good or have left.
func (c *Control) Departed() []roster.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster.Departed()
}
