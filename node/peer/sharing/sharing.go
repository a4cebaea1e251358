// Package sharing divides the slots of upstream pools among the instances. It
// passes messages of peers to core/membership and core/demand, publishes the
// demand of this instance to the peers, and sets the number of requests that
// may run here.
package sharing

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"masticbank.example/core/demand"
	"masticbank.example/core/membership"
	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
	"masticbank.example/node/wire"
)

// Defaults of Options.
const (
	DefaultTick          = 100 * time.Millisecond
	DefaultMaxWorkspaces = 8
	// stalePeriods is the age, in maximum publishing periods, after which a
	// digest is stale.
	stalePeriods = 5
	// minInterval is the minimum time between two updates.
	minInterval = 10 * time.Millisecond
	// framingBytes is the overhead of yamux and the length prefix per message.
	framingBytes = 15
)

// Pool is the current state of one pool at this instance.
type Pool struct {
	demand.Pool
	// Loads holds the load of all workspaces at this instance.
	Loads []demand.Load
}

// Pools is implemented by the part of the router that holds the queues. Calls
// are never concurrent.
type Pools interface {
	// Pools returns the state of all pools.
	Pools() []Pool
	// SetLimit sets how many requests of the named pool may run here.
	SetLimit(name string, slots int)
}

// Broadcaster is the part of peer.Node that a Sharer uses.
type Broadcaster interface {
	// Broadcast queues message for every peer and returns the number of peers.
	Broadcast(message proto.Message) (int, error)
}

// Options are the settings of a Sharer.
type Options struct {
	// ID is the ID of this instance.
	ID     string
	Peers  Broadcaster
	Pools  Pools
	Logger *zap.Logger
	// OnMemberChange, if set, is called for each state change of another
	// instance.
	OnMemberChange func(membership.StateChange)

	// Tick is the time between two updates; 0 means DefaultTick.
	Tick time.Duration
	// Membership holds the heartbeat settings; its Self is overwritten with ID.
	Membership membership.Config
	// Publisher bounds how often digests are published.
	Publisher demand.PublisherConfig
	// MaxWorkspaces is the maximum number of workspaces listed per pool; 0
	// means DefaultMaxWorkspaces.
	MaxWorkspaces int
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Tick <= 0 {
		o.Tick = DefaultTick
	}
	if o.Publisher.MinPeriod <= 0 {
		o.Publisher.MinPeriod = demand.DefaultMinPeriod
	}
	if o.Publisher.MaxPeriod <= 0 {
		o.Publisher.MaxPeriod = demand.DefaultMaxPeriod
	}
	if o.MaxWorkspaces <= 0 {
		o.MaxWorkspaces = DefaultMaxWorkspaces
	}
	o.Membership.Self = o.ID
}

// Sharer divides the slots of the pools among the instances. It is safe for
// concurrent use.
type Sharer struct {
	options Options
	wake    chan struct{}

	mu        sync.Mutex
	members   *membership.Members
	view      *demand.View
	publisher *demand.Publisher
	sequence  uint64
	// sessions is the number of peers that the last digest was sent to.
	sessions int
}

// New returns a sharer that is inactive until Run.
func New(options Options) *Sharer {
	options.setDefaults()
	return &Sharer{
		options:   options,
		wake:      make(chan struct{}, 1),
		members:   membership.New(options.Membership),
		view:      demand.NewView(stalePeriods * options.Publisher.MaxPeriod),
		publisher: demand.NewPublisher(options.Publisher),
	}
}

// Run publishes digests and sets limits until ctx ends. It then returns nil.
func (s *Sharer) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.wake:
		}
		s.update(time.Now())
		timer.Reset(s.options.Tick)
		if !sleep(ctx, minInterval) {
			return nil
		}
	}
}

// Wake requests an update soon, for example when a request waits for a slot. It
// never blocks.
func (s *Sharer) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SetList applies a copy of the platform's list.
func (s *Sharer) SetList(instances []wire.Instance) {
	var listed membership.Listed
	for _, in := range instances {
		if in.Role == wire.RoleRouter {
			listed.Instances = append(listed.Instances, membership.ListedInstance{
				ID: in.ID, Address: in.Address, Zone: in.Zone, Leaving: in.Leaving,
			})
		}
	}
	s.apply(listed)
}

// SetState sets the state of this instance.
func (s *Sharer) SetState(state membership.State) { s.apply(membership.SelfChanged{State: state}) }

// PeerReceived applies the state of a peer. It must be called for every message
// of the peer.
func (s *Sharer) PeerReceived(info peer.Info) {
	if event, ok := info.Member(); ok {
		s.apply(event)
	}
}

// Digest applies the demand published by a peer.
func (s *Sharer) Digest(message *peerpb.Digest) {
	digest, age := peer.DecodeDigest(message)
	if digest.Instance == s.options.ID {
		return
	}
	s.mu.Lock()
	s.view.Observe(time.Now(), age, digest)
	s.mu.Unlock()
}

// Members returns the known instances, sorted by ID.
func (s *Sharer) Members() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.All()
}

// Candidates returns the instances from which neighbors can be chosen.
func (s *Sharer) Candidates() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.Candidates()
}

func (s *Sharer) apply(event membership.Event) {
	s.mu.Lock()
	changes := s.members.Step(time.Now(), event)
	for _, c := range changes {
		if c.To == membership.Failed {
			s.view.Delete(c.ID)
		}
	}
	s.mu.Unlock()
	for _, c := range changes {
		s.reportChange(c)
	}
}

func (s *Sharer) reportChange(c membership.StateChange) {
	if c.ID == s.options.ID {
		return
	}
	s.options.Logger.Info("instance state changed", zap.String("instance", c.ID),
		zap.Stringer("from", c.From), zap.Stringer("to", c.To))
	if s.options.OnMemberChange != nil {
		s.options.OnMemberChange(c)
	}
}

// update publishes the demand of this instance if that is due, and sets all
// limits.
func (s *Sharer) update(now time.Time) {
	s.apply(membership.Tick{})
	pools := s.options.Pools.Pools()
	current := make([]demand.PoolDemand, len(pools))
	for i, p := range pools {
		current[i] = demand.Summarize(p.Name, len(p.MinShares), p.Loads, s.options.MaxWorkspaces)
	}
	if err := s.publishDigest(now, current); err != nil {
		s.options.Logger.Error("publishing the digest failed", zap.Error(err))
	}
	s.mu.Lock()
	live := s.members.Live(now)
	digests := s.view.Fresh(now)
	s.mu.Unlock()
	for i, p := range pools {
		s.options.Pools.SetLimit(p.Name, demand.Limit(p.Pool, live, digests, s.options.ID, current[i]))
	}
}

// publishDigest broadcasts a digest if the publisher reports it due.
func (s *Sharer) publishDigest(now time.Time, current []demand.PoolDemand) error {
	s.mu.Lock()
	digest := demand.Digest{Instance: s.options.ID, Sequence: s.sequence + 1, Pools: current}
	message := peer.EncodeDigest(digest, s.options.ID, 0)
	size := (proto.Size(message) + framingBytes) * s.sessions
	due := s.publisher.Due(now, digest, size)
	if due {
		s.sequence++
		s.view.Observe(now, 0, digest)
	}
	s.mu.Unlock()
	if !due {
		return nil
	}
	sessions, err := s.options.Peers.Broadcast(message)
	s.mu.Lock()
	s.sessions = sessions
	s.mu.Unlock()
	return trace.Wrap(err)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
