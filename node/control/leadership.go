package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/layout"
	"masticbank.example/core/roster"
)

const (
	// leaderMargin is how long before the end of its membership, which lasts memberTTL from
	// its last join, an instance stops acting as the leader.
	leaderMargin = 700 * time.Millisecond
	// outageLeadership is how long the leader continues while the store is unavailable.
	// Outages last a few seconds; after a longer one the view of the replicas is too old.
	outageLeadership = 12 * time.Second
	// layoutInterval is the time between two evaluations of the layout.
	layoutInterval = 200 * time.Millisecond
	// assignmentTimeout is how long an assignment without a response counts as in
	// progress.
	assignmentTimeout = 1500 * time.Millisecond
	// conflictRetryDelay is the time until a replica that is busy with an earlier
	// assignment gets another one. It waits for requests that use the layers which it
	// unloads.
	conflictRetryDelay = 3 * time.Second
	// suspectedFailureTime is how long an unresponsive replica is left out of the layout
	// if its entry stays: a little longer than the platform keeps entries of dead
	// replicas.
	suspectedFailureTime = 5 * time.Second
	// recoveryHeartbeats is the number of new heartbeats after which an unresponsive
	// replica counts as alive; a single one may have been in transit.
	recoveryHeartbeats = 2
	// settleTime is how long no replica must have joined before layers are assigned to
	// replicas that hold none. Instances of the service read entries within
	// replicaInterval of each other.
	settleTime = 1200 * time.Millisecond
	// stableTime is how long no replica of a zone must have joined, left or become
	// unresponsive before layers are moved between working replicas.
	stableTime = 2500 * time.Millisecond
	// loadTimeMargin is added to the expected load time before an assignment is repeated.
	loadTimeMargin = 3 * time.Second
)

// membership is the state that an instance keeps between joins.
type membership struct {
	// last is the last one received. A join that carries its generation shows the store that
	// this member knows what it no longer owns. changedAt is when it changed.
	last      Membership
	changedAt time.Time
	// listedToken is the token of the generation at which the member list was read, at readAt
	// and with members entries.
	listedToken int64
	readAt      time.Time
	members     int
	started     time.Time
	// isRestart is true if the system was running before this process.
	isRestart bool
}

// keepMembership stays in the group until ctx ends or ReleaseLeadership is called, and then
// leaves it.
func (c *Control) keepMembership(ctx context.Context) error {
	m := membership{started: time.Now(), isRestart: !c.opts.FirstStart}
	for ctx.Err() == nil && !c.leadershipReleased.Load() {
		sent := time.Now()
		if err := c.join(ctx, sent, &m); err != nil {
			c.storeFailed(ctx, membershipCall, sent, err)
			continue
		}
		c.awaitNextJoin(ctx, m.joinDelay(sent)-time.Since(sent))
	}
	c.setLeadership(time.Now(), Membership{Era: m.last.Era, Generation: m.last.Generation})
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), joinRetryInterval)
	defer cancel()
	if err := c.opts.Group.Leave(leaveCtx); err != nil {
		c.log.Info("leaving the group failed, the membership will expire", zap.Error(err))
	}
	return nil
}

// joinDelay returns the time until the next join. After a change of the group the leader
// changes within two joins, one of the old leader and one of the new, so joins are more
// frequent.
func (m *membership) joinDelay(sent time.Time) time.Duration {
	if sent.Sub(m.changedAt) < joinInterval {
		return changedGroupJoinInterval
	}
	return joinInterval
}

// listDue reports whether the member list is to be read.
func (m *membership) listDue(sent time.Time) bool {
	interval := memberReadInterval
	if sent.Sub(m.started) < startupPeriod {
		interval = startMemberReadInterval
		if m.isRestart {
			interval = restartMemberReadInterval
		}
	}
	return m.last.token() != m.listedToken && sent.Sub(m.readAt) >= interval
}

// join enters the group or stays in it. The generation grows with each change of the
// members. When the whole system starts, many instances join together, so the number of
// members is used only after it has stayed the same from one join to the next.
func (c *Control) join(ctx context.Context, sent time.Time, m *membership) error {
	select {
	case <-c.rejoin: // This join is. One that becomes due while it is under way is another.
	default:
	}
	got, err := c.opts.Group.Join(ctx, c.ttl(), c.knownGeneration(m.last))
	if err != nil {
		return err
	}
	if got.Era, err = c.resolveEra(got.Era); err != nil {
		return err
	}
	c.storeResponded(membershipCall)
	if got.token() != m.last.token() {
		m.changedAt = sent
	}
	m.last = got
	c.setLeadership(sent, got)
	if got.token() == m.listedToken {
		c.opts.Gateway.SetInstances(c.instances(m.members))
		return nil
	}
	if m.listDue(sent) {
		if n, ok := c.readMembers(ctx); ok {
			m.listedToken, m.readAt, m.members = got.token(), sent, n
		}
	}
	return nil
}

// knownGeneration returns the generation to send with a join, or 0 if it is of an era that has ended:
// with a number from there this member would confirm changes that it has not received.
func (c *Control) knownGeneration(last Membership) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last.Era != c.restored.Current() {
		return 0
	}
	return last.Generation
}

// awaitNextJoin waits for d, or until a join is due at once or ReleaseLeadership is called.
func (c *Control) awaitNextJoin(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.releaseSignal:
	case <-c.rejoin:
	case <-ctx.Done():
	}
}

// ReleaseLeadership leaves the group, so that another instance becomes the leader.
// Everything else continues until Run ends.
func (c *Control) ReleaseLeadership() {
	if c.leadershipReleased.CompareAndSwap(false, true) {
		close(c.releaseSignal)
	}
}

// setLeadership records the group's response to a join sent at sent.
func (c *Control) setLeadership(sent time.Time, m Membership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Era < c.restored.Current() {
		return // the next join tells who holds the task now
	}
	if m.Leader != c.leadership.Leader {
		c.log.Info("leader task of assigning layers changed", zap.Bool("held", m.Leader), zap.Int64("generation", m.Generation), zap.Int64("era", m.Era))
		clear(c.pending)
	}
	c.leadership.Membership = m
	c.leadership.until = sent.Add(c.ttl() - leaderMargin)
}

// readMembers publishes the member list and returns its length, or false if the store is
// unavailable.
func (c *Control) readMembers(ctx context.Context) (int, bool) {
	members, err := c.opts.Group.Members(ctx)
	if err != nil {
		c.log.Info("member list could not be read", zap.Error(err))
		return 0, false
	}
	if c.opts.OnMembers != nil {
		c.opts.OnMembers(members)
	}
	return len(members), true
}

// instances returns the number of instances. Members that own no partition yet are missing
// from the list, so connected peers count as well.
func (c *Control) instances(listed int) int {
	if c.opts.Peers == nil {
		return listed
	}
	return max(listed, c.opts.Peers()+1)
}

// fencingToken returns the token for assignments, or false unless this instance is the
// leader. While the store is unavailable, no other instance can become the leader through
// it, so the last leader continues for outageLeadership. This is safe because replicas
// refuse its token once they have seen a higher one, and a peer that is the leader
// publishes that.
func (c *Control) fencingToken(now time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fencingTokenLocked(now)
}

func (c *Control) fencingTokenLocked(now time.Time) (int64, bool) {
	until := c.leadership.until
	if c.store.unavailable {
		until = until.Add(outageLeadership)
	}
	token := c.leadership.token()
	if !c.leadership.Leader || !now.Before(until) || now.Before(c.leadership.notBefore) || token <= c.leadership.rejectedToken {
		return 0, false
	}
	return token, true
}

// OtherLeader records a peer's report that it is the leader under a fencing token. A higher one than
// this instance's ends its own leadership.
func (c *Control) OtherLeader(token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadership.Leader && token > c.leadership.token() {
		c.log.Info("another instance is the leader", zap.Int64("fence", token), zap.Int64("own", c.leadership.token()))
		c.leadership.Leader = false
	}
}

// LeaderToken returns the fencing token under which this instance may assign layers, or 0.
func (c *Control) LeaderToken() int64 {
	token, _ := c.fencingToken(time.Now())
	return token
}

// IsLeader reports whether this instance was the leader in the last response of the group,
// which may have expired.
func (c *Control) IsLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leadership.Leader
}

// assignment is a layer assignment in progress.
type assignment struct {
	from, to  int
	startTime int64
	until     time.Time
}

// runLayout assigns layers to replicas while this instance is the leader.
func (c *Control) runLayout(ctx context.Context) error {
	ticker := time.NewTicker(layoutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if token, ok := c.fencingToken(time.Now()); ok {
				c.assignLayers(ctx, token)
			}
		}
	}
}

// assignLayers plans the layout of each model service and sends the assignments.
func (c *Control) assignLayers(ctx context.Context, token int64) {
	table := c.opts.Gateway.Table()
	if table == nil || !c.replicasLoaded.Load() {
		return
	}
	for i := range table.Services() {
		service := &table.Services()[i]
		if service.Model == nil {
			continue
		}
		replicas, entries := c.layoutReplicas(service.Name)
		if c.stillJoining(time.Now(), replicas) {
			continue
		}
		now := time.Now()
		assignments := layout.Plan(service.Model, replicas, func(zone string) bool { return c.stable(now, zone) })
		c.sendAssignments(ctx, service.Model, entries, assignments, token)
	}
}

// ExcludeUnresponsive leaves an unresponsive replica out of the layout before its entry
// expires.
func (c *Control) ExcludeUnresponsive(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, _, ok := c.roster.Get(id)
	if !ok {
		return
	}
	if _, known := c.unresponsive[id]; !known {
		c.lastChange[e.Zone] = time.Now()
		c.log.Info("replica left out of the layout", zap.String("replica", id), zap.Int64("heartbeat", e.Sequence))
	}
	c.unresponsive[id] = failureReport{startTime: e.StartTime, heartbeat: e.Sequence, until: time.Now().Add(suspectedFailureTime)}
}

// suspected reports whether a replica is left out as unresponsive. The lock is held.
func (c *Control) suspected(now time.Time, e roster.Entry) bool {
	s, ok := c.unresponsive[e.ID]
	if !ok {
		return false
	}
	if s.startTime != e.StartTime || e.Sequence >= s.heartbeat+recoveryHeartbeats || now.After(s.until) {
		delete(c.unresponsive, e.ID)
		return false
	}
	return true
}

// stillJoining reports whether no replica holds layers yet and replicas are still joining,
// so that a layout would soon be outdated.
func (c *Control) stillJoining(now time.Time, replicas []layout.Replica) bool {
	for _, r := range replicas {
		if r.To > r.From || r.PendingTo > r.PendingFrom {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastJoin) < settleTime
}

// stable reports whether no replica of the zone has joined, left or become unresponsive
// for stableTime.
func (c *Control) stable(now time.Time, zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastChange[zone]) >= stableTime
}

// layoutReplicas returns the replicas that can hold layers, with the layers that they hold
// and those that were assigned to them.
func (c *Control) layoutReplicas(service string) ([]layout.Replica, map[string]roster.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	entries := map[string]roster.Entry{}
	var out []layout.Replica
	for _, e := range c.roster.Available(service) {
		if c.suspected(now, e) || c.opts.Gateway.Slow(e) {
			continue
		}
		entries[e.ID] = e
		r := layout.Replica{ID: e.ID, Zone: e.Zone, Kind: e.Kind}
		if e.Layers != nil {
			r.From, r.To = e.Layers.From, e.Layers.To
		}
		if from, to, ok := c.opts.Gateway.Layers(service, e.ID); ok && e.Layers != nil {
			r.From, r.To = from, to
		}
		if p, ok := c.pending[e.ID]; ok {
			if p.startTime != e.StartTime || now.After(p.until) || (p.from == r.From && p.to == r.To) {
				delete(c.pending, e.ID)
			} else {
				r.PendingFrom, r.PendingTo = p.from, p.to
			}
		}
		out = append(out, r)
	}
	return out, entries
}
