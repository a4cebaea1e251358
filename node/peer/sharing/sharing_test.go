package sharing

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"masticbank.example/core/demand"
	"masticbank.example/core/membership"
	"masticbank.example/node/peer"
	"masticbank.example/node/peer/peerpb"
	"masticbank.example/node/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	capacity  = 90
	instances = 9
)

// bus delivers messages between the sharers of a test.
type bus struct {
	mu        sync.Mutex
	instances map[string]*testInstance
	state     map[string]peerpb.InstanceState
}

// testInstance is one instance on the bus. wanted is the number of its
// requests, waiting and running.
type testInstance struct {
	bus     *bus
	id      string
	sharer  *Sharer
	cancel  context.CancelFunc
	done    chan error
	mu      sync.Mutex
	limit   int
	wanted  int
	running int
}

func (e *testInstance) Broadcast(message proto.Message) (int, error) {
	e.bus.mu.Lock()
	defer e.bus.mu.Unlock()
	info := peer.Info{ID: e.id, Incarnation: 1, State: e.bus.state[e.id]}
	for id, other := range e.bus.instances {
		if id == e.id {
			continue
		}
		other.sharer.PeerReceived(info)
		digest := proto.CloneOf(message.(*peerpb.Digest))
		digest.Instance, digest.Incarnation = e.id, 1
		other.sharer.Digest(digest)
	}
	return len(e.bus.instances) - 1, nil
}

func (e *testInstance) Pools() []Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := demand.Load{Workspace: "u", Queued: e.wanted - e.running, InFlight: e.running, Weight: demand.WeightUnit}
	return []Pool{{
		Pool:  demand.Pool{Name: "asistente", Capacity: capacity, MinShares: []float64{0.2, 0.1}},
		Loads: []demand.Load{load},
	}}
}

// SetLimit runs as many requests as the limit allows; those above it end at
// once.
func (e *testInstance) SetLimit(_ string, slots int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = slots
	e.running = min(slots, e.wanted)
}

func (e *testInstance) currentLimit() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
}

func (b *bus) start(ctx context.Context, id string, wanted int) *testInstance {
	ctx, cancel := context.WithCancel(ctx)
	e := &testInstance{bus: b, id: id, cancel: cancel, done: make(chan error, 1), wanted: wanted}
	e.sharer = New(Options{ID: id, Peers: e, Pools: e})
	b.mu.Lock()
	b.instances[id] = e
	b.state[id] = peerpb.InstanceState_INSTANCE_STATE_READY
	b.mu.Unlock()
	go func() { e.done <- e.sharer.Run(ctx) }()
	return e
}

// kill stops an instance without notice to the others.
func (b *bus) kill(t *testing.T, e *testInstance) {
	t.Helper()
	b.mu.Lock()
	delete(b.instances, e.id)
	b.mu.Unlock()
	e.cancel()
	require.NoError(t, <-e.done)
}

func (b *bus) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, e := range b.instances {
		sum += e.currentLimit()
	}
	return sum
}

func (b *bus) list() []wire.Instance {
	var list []wire.Instance
	for i := range instances {
		list = append(list, wire.Instance{ID: fmt.Sprintf("m%d", i), Role: wire.RoleRouter})
	}
	return append(list, wire.Instance{ID: "replica-1", Role: wire.RoleEngine})
}

// TestSlotsOfKilledInstanceAreReused lets nine instances share one pool and
// kills one that stays in the platform's list. The others must use its slots
// within 5 s.
func TestSlotsOfKilledInstanceAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bus{instances: map[string]*testInstance{}, state: map[string]peerpb.InstanceState{}}
		var all []*testInstance
		for i := range instances {
			all = append(all, b.start(t.Context(), fmt.Sprintf("m%d", i), 100))
		}
		for _, e := range all {
			e.sharer.SetList(b.list())
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, capacity, b.total())
		require.Equal(t, capacity/instances, all[3].currentLimit())

		killedAt := time.Now()
		b.kill(t, all[0])
		for b.total() < capacity && time.Since(killedAt) < 5*time.Second {
			time.Sleep(DefaultTick)
			synctest.Wait()
		}
		require.Equal(t, capacity, b.total())
		t.Logf("slots in use again after %v", time.Since(killedAt))
		require.Less(t, time.Since(killedAt), 5*time.Second)
		require.Equal(t, membership.Failed, all[1].sharer.Members()[0].State)
		for _, e := range all[1:] {
			b.kill(t, e)
		}
	})
}

// TestLimitsFollowDemand checks that idle instances give up their slots and get
// them back when they have work: immediately after Wake.
func TestLimitsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bus{instances: map[string]*testInstance{}, state: map[string]peerpb.InstanceState{}}
		busy := b.start(t.Context(), "m0", 200)
		idle := b.start(t.Context(), "m1", 0)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, capacity, busy.currentLimit())
		require.Zero(t, idle.currentLimit())

		idle.mu.Lock()
		idle.wanted = 30
		idle.mu.Unlock()
		idle.sharer.Wake()
		time.Sleep(2 * minInterval)
		synctest.Wait()
		require.Equal(t, 30, idle.currentLimit(), "work must start immediately after Wake")
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, capacity, b.total())
		require.Equal(t, capacity-30, busy.currentLimit())

		b.kill(t, idle)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, capacity, busy.currentLimit())
		require.Len(t, busy.sharer.Members(), 1, "a member that is not listed and sends no messages must be removed")
		b.kill(t, busy)
	})
}
