package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"masticbank.example/core/layout"
	"masticbank.example/core/roster"
)

const (
	// dutyMargin is the part of memberTTL after the last join was sent at which an
	// instance stops to act on it.
	dutyMargin = 700 * time.Millisecond
	// awayDuty is how long the duty goes on while the store does not answer. Outages
	// last some seconds; after more than that the view of the fleet is too old.
	awayDuty = 12 * time.Second
	// layoutInterval is the time between two looks at the layout.
	layoutInterval = 200 * time.Millisecond
	// orderPatience is how long an order without an answer counts as under way.
	orderPatience = 1500 * time.Millisecond
	// conflictPatience is the time until a replica that is busy with an earlier order
	// gets another one; it waits for requests that pass through what it gives up.
	conflictPatience = 3 * time.Second
	// suspicionTime is how long a silent replica is left out of the layout if its
	// entry stays: a little longer than the platform keeps entries of dead ones.
	suspicionTime = 5 * time.Second
	// aliveBeats is the number of heartbeats after which a silent replica is taken to
	// be alive; one may have been on its way.
	aliveBeats = 2
	// settleTime is how long no replica must have joined before a fleet without
	// layers is laid out. Entries are read within replicaInterval of each other.
	settleTime = 1200 * time.Millisecond
	// calmTime is how long no replica must have joined, left or fallen silent for
	// layers to be moved between replicas that work.
	calmTime = 2500 * time.Millisecond
	// loadSlack is added to the expected time of a load before it is ordered again.
	loadSlack = 3 * time.Second
)

// membership is what an instance remembers between joins.
type membership struct {
	// generation is the last one received. It tells the store that this member knows
	// what it gave up. changed is when it changed.
	generation int64
	changed    time.Time
	// listed is the generation of the member list, which was read at readAt and had
	// members.
	listed  int64
	readAt  time.Time
	members int
	started time.Time
	// restart is true when the system was there before this process.
	restart bool
}

// keepMembership stays in the group until ctx ends, and leaves it then.
func (c *Control) keepMembership(ctx context.Context) error {
	m := membership{started: time.Now(), restart: !c.opts.FirstStart}
	for ctx.Err() == nil && !c.retired.Load() {
		sent := time.Now()
		if err := c.join(ctx, sent, &m); err != nil {
			c.failed(ctx, membershipCall, err)
			continue
		}
		c.rest(ctx, m.pause(sent)-time.Since(sent))
	}
	c.setDuty(time.Now(), Membership{Generation: m.generation})
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), retryInterval)
	defer cancel()
	if err := c.opts.Group.Leave(leaveCtx); err != nil {
		c.log.Info("the group drops this member by itself", zap.Error(err))
	}
	return nil
}

// pause returns the time until the next join. The duty changes hands in two joins
// after a change of the group: one of the old holder, one of the new.
func (m *membership) pause(sent time.Time) time.Duration {
	if sent.Sub(m.changed) < joinInterval {
		return changedJoinInterval
	}
	return joinInterval
}

// listDue tells whether the member list is to be read.
func (m *membership) listDue(sent time.Time) bool {
	interval := memberInterval
	if sent.Sub(m.started) < startTime {
		interval = startMemberInterval
		if m.restart {
			interval = restartMemberInterval
		}
	}
	return m.generation != m.listed && sent.Sub(m.readAt) >= interval
}

// join enters the group or stays in it. The generation grows with each change of the
// members. Many change at once when the whole system starts; their number counts once
// it has been the same for a join.
func (c *Control) join(ctx context.Context, sent time.Time, m *membership) error {
	got, err := c.opts.Group.Join(ctx, c.ttl(), m.generation)
	if err != nil {
		return err
	}
	c.answered(membershipCall)
	if got.Generation != m.generation {
		m.generation, m.changed = got.Generation, sent
	}
	c.setDuty(sent, got)
	if m.generation == m.listed {
		c.opts.Gateway.SetInstances(c.instances(m.members))
		return nil
	}
	if m.listDue(sent) {
		if n, ok := c.readMembers(ctx); ok {
			m.listed, m.readAt, m.members = m.generation, sent, n
		}
	}
	return nil
}

// rest waits until the next join, or until the instance retires.
func (c *Control) rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.retire:
	case <-ctx.Done():
	}
}

// Retire gives the duty to another instance. The rest goes on until Run ends.
func (c *Control) Retire() {
	if c.retired.CompareAndSwap(false, true) {
		close(c.retire)
	}
}

func (c *Control) setDuty(sent time.Time, m Membership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Duty != c.duty.Duty {
		c.log.Info("duty of ordering replicas", zap.Bool("held", m.Duty), zap.Int64("generation", m.Generation))
		clear(c.placed)
	}
	c.duty.Membership = m
	c.duty.until = sent.Add(c.ttl() - dutyMargin)
}

// readMembers passes on the list of members and returns their number; it returns
// false when the store does not answer.
func (c *Control) readMembers(ctx context.Context) (int, bool) {
	members, err := c.opts.Group.Members(ctx)
	if err != nil {
		c.log.Info("members not read", zap.Error(err))
		return 0, false
	}
	if c.opts.OnMembers != nil {
		c.opts.OnMembers(members)
	}
	return len(members), true
}

// instances returns the number of instances. Members are missing in the list while
// they hold no partition yet.
func (c *Control) instances(listed int) int {
	if c.opts.Peers == nil {
		return listed
	}
	return max(listed, c.opts.Peers()+1)
}

// fence returns the token for orders, or false without the duty. While the store
// does not answer, nobody can take the duty over through it, and the last holder
// goes on for awayDuty: replicas refuse its token once they have seen a higher one,
// and a peer that holds the duty tells so.
func (c *Control) fence(now time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.duty.until
	if c.store.away {
		until = until.Add(awayDuty)
	}
	if !c.duty.Duty || !now.Before(until) || c.duty.Generation <= c.duty.fenced {
		return 0, false
	}
	return c.duty.Generation, true
}

// OtherDuty takes a peer's word that it holds the duty. A later generation ends
// this instance's.
func (c *Control) OtherDuty(generation int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duty.Duty && generation > c.duty.Generation {
		c.log.Info("another instance holds the duty", zap.Int64("generation", generation), zap.Int64("own", c.duty.Generation))
		c.duty.Duty = false
	}
}

// DutyGeneration returns the generation under which this instance may give orders,
// or 0.
func (c *Control) DutyGeneration() int64 {
	token, _ := c.fence(time.Now())
	return token
}

// Duty tells whether this instance held the duty by the last word of the group,
// which may be old.
func (c *Control) Duty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duty.Duty
}

// placement is an order under way.
type placement struct {
	from, to int
	born     int64
	until    time.Time
}

// keepLayout orders replicas to hold layers while this instance has the duty.
func (c *Control) keepLayout(ctx context.Context) error {
	ticker := time.NewTicker(layoutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if token, ok := c.fence(time.Now()); ok {
				c.orderLayout(ctx, token)
			}
		}
	}
}

func (c *Control) orderLayout(ctx context.Context, token int64) {
	table := c.opts.Gateway.Table()
	if table == nil || !c.loaded.Load() {
		return
	}
	for i := range table.Services() {
		s := &table.Services()[i]
		if s.Model == nil {
			continue
		}
		nodes, entries := c.nodes(s.Name)
		if c.stillJoining(time.Now(), nodes) {
			continue
		}
		now := time.Now()
		orders := layout.Plan(s.Model, nodes, func(zone string) bool { return c.calm(now, zone) })
		c.send(ctx, s.Model, entries, orders, token)
	}
}

// Suspect leaves a silent replica out of the layout before its entry lapses.
func (c *Control) Suspect(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, _, ok := c.roster.Get(id)
	if !ok {
		return
	}
	if _, known := c.suspects[id]; !known {
		c.changedAt[e.Zone] = time.Now()
		c.log.Info("replica left out of the layout", zap.String("replica", id), zap.Int64("heartbeat", e.Sequence))
	}
	c.suspects[id] = suspicion{born: e.Born, heartbeat: e.Sequence, until: time.Now().Add(suspicionTime)}
}

// suspected tells whether a replica is left out. The caller holds the lock.
func (c *Control) suspected(now time.Time, e roster.Entry) bool {
	s, ok := c.suspects[e.ID]
	if !ok {
		return false
	}
	if s.born != e.Born || e.Sequence >= s.heartbeat+aliveBeats || now.After(s.until) {
		delete(c.suspects, e.ID)
		return false
	}
	return true
}

// stillJoining tells whether a fleet without layers is growing yet, so that a
// layout would soon be wrong.
func (c *Control) stillJoining(now time.Time, nodes []layout.Node) bool {
	for _, n := range nodes {
		if n.To > n.From || n.WantTo > n.WantFrom {
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.joinedAt) < settleTime
}

// calm tells whether no replica of the zone has joined or left for a while.
func (c *Control) calm(now time.Time, zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.changedAt[zone]) >= calmTime
}

// nodes returns the replicas that take layers.
func (c *Control) nodes(service string) ([]layout.Node, map[string]roster.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	entries := map[string]roster.Entry{}
	var out []layout.Node
	for _, e := range c.roster.Usable(service) {
		if c.suspected(now, e) || c.opts.Gateway.Slow(e) {
			continue
		}
		entries[e.ID] = e
		n := layout.Node{ID: e.ID, Zone: e.Zone, Kind: e.Kind}
		if e.Layers != nil {
			n.From, n.To = e.Layers.From, e.Layers.To
		}
		if from, to, ok := c.opts.Gateway.Layers(service, e.ID); ok && e.Layers != nil {
			n.From, n.To = from, to
		}
		if p, ok := c.placed[e.ID]; ok {
			if p.born != e.Born || now.After(p.until) || (p.from == n.From && p.to == n.To) {
				delete(c.placed, e.ID)
			} else {
				n.WantFrom, n.WantTo = p.from, p.to
			}
		}
		out = append(out, n)
	}
	return out, entries
}
