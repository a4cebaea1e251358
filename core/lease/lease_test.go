package lease_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"masticbank.example/core/lease"
	"masticbank.example/core/record"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "200")
}

const (
	instances = 3
	maxSteps  = 500
	name      = "snapshots"
	// maxDrift is the maximum deviation of a clock's rate, in thousandths.
	maxDrift = 20
)

var terms = lease.Timing{TTL: time.Second, Margin: 100 * time.Millisecond, Renew: 300 * time.Millisecond}

// instance has a clock with its own offset and rate. checked is the epoch of the last
// validity check if the order that follows it was not sent yet.
type instance struct {
	name    string
	machine *lease.Machine
	offset  time.Duration
	rate    int64
	checked uint64
}

type simulation struct {
	rng       *rand.Rand
	elapsed   time.Duration
	log       [][]byte
	first     int
	inFlight  []record.Record
	instances []*instance
	names     int
	// accepted maps epochs to the writers of acquire records that followed everything their
	// writer had read. holders maps epochs to the instance seen valid in them. fence is the
	// highest epoch that the engine accepted.
	accepted map[uint64]string
	holders  map[uint64]string
	fence    uint64
	valid    uint64
}

func (w *simulation) now(i *instance) time.Time {
	return time.UnixMilli(0).Add(i.offset + w.elapsed + w.elapsed*time.Duration(i.rate)/1000)
}

func (w *simulation) newInstance() *instance {
	w.names++
	i := &instance{
		name:   fmt.Sprint("i", w.names),
		offset: time.Duration(w.rng.Int64N(int64(time.Hour))),
		rate:   w.rng.Int64N(2*maxDrift+1) - maxDrift,
	}
	i.machine = lease.New(terms, i.name, i.name)
	i.machine.SetWanted(name, true)
	return i
}

func (w *simulation) read(i *instance, limit int) {
	from := max(int(i.machine.Next()), w.first)
	b := record.Batch{First: uint64(w.first), Next: uint64(from)}
	for int(b.Next) < len(w.log) && len(b.Entries) < limit {
		b.Entries = append(b.Entries, record.Entry{Offset: b.Next, Data: w.log[b.Next]})
		b.Next++
	}
	i.machine.Apply(w.now(i), b)
}

func (w *simulation) append(t require.TestingT, r record.Record) {
	data, err := record.Encode(r)
	require.NoError(t, err)
	if r.Lease.Op == record.LeaseAcquire && r.Lease.ReadOffset == uint64(len(w.log)) {
		w.accepted[r.Lease.ReadOffset+1] = r.Lease.Holder
	}
	w.log = append(w.log, data)
}

func (w *simulation) deliver(t *rapid.T, n int) {
	w.append(t, w.inFlight[n])
	responseLost := w.rng.IntN(4) == 0
	if !responseLost {
		w.inFlight = append(w.inFlight[:n], w.inFlight[n+1:]...)
	}
}

// check requires that at most one instance is valid, that epochs increase, and that an
// epoch never changes its holder.
func (w *simulation) check(t require.TestingT) {
	valid := 0
	for _, i := range w.instances {
		if holder, epoch, ok := i.machine.Holder(name); ok {
			require.Equal(t, w.accepted[epoch], holder, "wrong holder of epoch %d", epoch)
		}
		epoch, ok := i.machine.Valid(w.now(i), name)
		if !ok {
			continue
		}
		valid++
		require.GreaterOrEqual(t, epoch, w.valid, "an older epoch became valid again")
		w.valid = epoch
		if holder, known := w.holders[epoch]; known {
			require.Equal(t, holder, i.name, "epoch %d has two holders", epoch)
		}
		w.holders[epoch] = i.name
	}
	require.LessOrEqual(t, valid, 1, "two holders are valid")
}

// order sends an order from an instance that was paused after its last check. An engine
// that checks epochs rejects it once it has accepted a newer one.
func (w *simulation) order(t *rapid.T, i *instance) {
	if i.checked == 0 {
		return
	}
	if i.checked >= w.fence {
		w.fence = i.checked
		require.Equal(t, i.name, w.holders[i.checked])
	}
	i.checked = 0
}

func (w *simulation) act(t *rapid.T) {
	i := w.instances[w.rng.IntN(len(w.instances))]
	switch n := w.rng.IntN(40); {
	case n < 12:
		w.read(i, 1+w.rng.IntN(4))
	case n < 19:
		w.inFlight = append(w.inFlight, i.machine.Step(w.now(i))...)
	case n < 26 && len(w.inFlight) > 0:
		w.deliver(t, w.rng.IntN(len(w.inFlight)))
	case n < 32:
		w.elapsed += time.Duration(w.rng.Int64N(int64(terms.TTL / 8)))
	case n == 32 && w.rng.IntN(3) == 0:
		w.elapsed += terms.TTL + terms.Margin
	case n == 33 && w.rng.IntN(3) == 0:
		w.first += w.rng.IntN(len(w.log) - w.first + 1)
	case n == 34 && w.rng.IntN(4) == 0:
		w.instances[w.rng.IntN(len(w.instances))] = w.newInstance()
	case n == 35 && w.rng.IntN(4) == 0:
		w.inFlight = append(w.inFlight, i.machine.Release(w.now(i))...)
		i.machine.SetWanted(name, true)
	case n < 38:
		i.checked, _ = i.machine.Valid(w.now(i), name)
	default:
		w.order(t, i)
	}
	w.check(t)
}

// With pauses at any step, lost and late appends, discarded records and clocks of different
// rates, no two instances are valid at once, epochs increase, and a late order carries a
// lower epoch than that of any newer leader.
func TestOneValidHolder(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "schedule"), 0)), holders: map[uint64]string{}, accepted: map[uint64]string{}}
		for range instances {
			w.instances = append(w.instances, w.newInstance())
		}
		for range maxSteps {
			w.act(t)
		}
		held += len(w.holders)
		w.settle(t)
	})
	require.Greater(t, held, 200, "too few leases were held for a meaningful test")
}

// settle checks that the task has a leader again soon when nothing fails.
func (w *simulation) settle(t *rapid.T) {
	for range 60 {
		w.elapsed += terms.TTL / 10
		for _, i := range w.instances {
			w.read(i, len(w.log)+1)
			w.inFlight = append(w.inFlight, i.machine.Step(w.now(i))...)
			for len(w.inFlight) > 0 {
				w.deliver(t, 0)
			}
			w.read(i, len(w.log)+1)
			w.check(t)
		}
	}
	valid := false
	for _, i := range w.instances {
		_, ok := i.machine.Valid(w.now(i), name)
		valid = valid || ok
	}
	require.True(t, valid, "no instance holds the lease")
}

// A leader with a slow clock stops before a candidate with a fast clock acquires the task,
// even if the candidate reads every record immediately.
func TestMarginCoversClockRates(t *testing.T) {
	w := &simulation{rng: rand.New(rand.NewPCG(1, 0)), holders: map[uint64]string{}, accepted: map[uint64]string{}}
	slow, fast := w.newInstance(), w.newInstance()
	slow.rate, fast.rate = -maxDrift, maxDrift
	w.instances = []*instance{slow, fast}
	w.read(slow, 1)
	w.elapsed += 2 * terms.TTL
	step := func(i *instance) bool {
		w.read(i, 1)
		for _, r := range i.machine.Step(w.now(i)) {
			w.append(t, r)
		}
		w.read(i, 1)
		_, ok := i.machine.Valid(w.now(i), name)
		return ok
	}
	require.True(t, step(slow))
	for !step(fast) {
		w.check(t)
		require.Less(t, w.elapsed, time.Minute)
		w.elapsed += time.Millisecond
	}
	w.check(t)

	w.log = append(w.log, []byte(`{"v":2,"id":"x"}`))
	w.read(fast, 1)
	_, ok := fast.machine.Valid(w.now(fast), name)
	require.False(t, ok, "still valid after a record of a newer version")
}
