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

var timing = lease.Timing{TTL: time.Second, Margin: 100 * time.Millisecond, Renew: 300 * time.Millisecond}

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
	created   int // number of instances created so far
	// accepted maps epochs to the writers of acquire records that followed everything their
	// writer had read. holders maps epochs to the instance seen valid in them. fence is the
	// highest epoch that the engine accepted, highestValid the highest that an instance was
	// seen valid in.
	accepted     map[uint64]string
	holders      map[uint64]string
	fence        uint64
	highestValid uint64
}

func (s *simulation) now(i *instance) time.Time {
	return time.UnixMilli(0).Add(i.offset + s.elapsed + s.elapsed*time.Duration(i.rate)/1000)
}

func (s *simulation) newInstance() *instance {
	s.created++
	i := &instance{
		name:   fmt.Sprint("i", s.created),
		offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
		rate:   s.rng.Int64N(2*maxDrift+1) - maxDrift,
	}
	i.machine = lease.New(timing, i.name, i.name)
	i.machine.SetWanted(name, true)
	return i
}

func (s *simulation) read(i *instance, limit int) {
	from := max(int(i.machine.Next()), s.first)
	b := record.Batch{First: uint64(s.first), Next: uint64(from)}
	for int(b.Next) < len(s.log) && len(b.Entries) < limit {
		b.Entries = append(b.Entries, record.Entry{Offset: b.Next, Data: s.log[b.Next]})
		b.Next++
	}
	i.machine.Apply(s.now(i), b)
}

func (s *simulation) append(t require.TestingT, r record.Record) {
	data, err := record.Encode(r)
	require.NoError(t, err)
	if r.Lease.Op == record.LeaseAcquire && r.Lease.ReadOffset == uint64(len(s.log)) {
		s.accepted[r.Lease.ReadOffset+1] = r.Lease.Holder
	}
	s.log = append(s.log, data)
}

func (s *simulation) deliver(t *rapid.T, n int) {
	s.append(t, s.inFlight[n])
	responseLost := s.rng.IntN(4) == 0
	if !responseLost {
		s.inFlight = append(s.inFlight[:n], s.inFlight[n+1:]...)
	}
}

// check requires that at most one instance is valid, that epochs increase, and that an
// epoch never changes its holder.
func (s *simulation) check(t require.TestingT) {
	valid := 0
	for _, i := range s.instances {
		if holder, epoch, ok := i.machine.Holder(name); ok {
			require.Equal(t, s.accepted[epoch], holder, "wrong holder of epoch %d", epoch)
		}
		epoch, ok := i.machine.Valid(s.now(i), name)
		if !ok {
			continue
		}
		valid++
		require.GreaterOrEqual(t, epoch, s.highestValid, "an older epoch became valid again")
		s.highestValid = epoch
		if holder, known := s.holders[epoch]; known {
			require.Equal(t, holder, i.name, "epoch %d has two holders", epoch)
		}
		s.holders[epoch] = i.name
	}
	require.LessOrEqual(t, valid, 1, "two holders are valid")
}

// order sends an order from an instance that was paused after its last check. An engine
// that checks epochs rejects it once it has accepted a newer one.
func (s *simulation) order(t *rapid.T, i *instance) {
	if i.checked == 0 {
		return
	}
	if i.checked >= s.fence {
		s.fence = i.checked
		require.Equal(t, i.name, s.holders[i.checked])
	}
	i.checked = 0
}

func (s *simulation) act(t *rapid.T) {
	i := s.instances[s.rng.IntN(len(s.instances))]
	switch n := s.rng.IntN(40); {
	case n < 12:
		s.read(i, 1+s.rng.IntN(4))
	case n < 19:
		s.inFlight = append(s.inFlight, i.machine.Step(s.now(i))...)
	case n < 26 && len(s.inFlight) > 0:
		s.deliver(t, s.rng.IntN(len(s.inFlight)))
	case n < 32:
		s.elapsed += time.Duration(s.rng.Int64N(int64(timing.TTL / 8)))
	case n == 32 && s.rng.IntN(3) == 0:
		s.elapsed += timing.TTL + timing.Margin
	case n == 33 && s.rng.IntN(3) == 0:
		s.first += s.rng.IntN(len(s.log) - s.first + 1)
	case n == 34 && s.rng.IntN(4) == 0:
		s.instances[s.rng.IntN(len(s.instances))] = s.newInstance()
	case n == 35 && s.rng.IntN(4) == 0:
		s.inFlight = append(s.inFlight, i.machine.Release(s.now(i))...)
		i.machine.SetWanted(name, true)
	case n < 38:
		i.checked, _ = i.machine.Valid(s.now(i), name)
	default:
		s.order(t, i)
	}
	s.check(t)
}

// With pauses at any step, lost and late appends, discarded records and clocks of different
// rates, no two instances are valid at once, epochs increase, and a late order carries a
// lower epoch than that of any newer leader.
func TestOneValidHolder(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "schedule"), 0)), holders: map[uint64]string{}, accepted: map[uint64]string{}}
		for range instances {
			s.instances = append(s.instances, s.newInstance())
		}
		for range maxSteps {
			s.act(t)
		}
		held += len(s.holders)
		s.settle(t)
	})
	require.Greater(t, held, 200, "too few leases were held for a meaningful test")
}

// settle checks that the task has a leader again soon when nothing fails.
func (s *simulation) settle(t *rapid.T) {
	for range 60 {
		s.elapsed += timing.TTL / 10
		for _, i := range s.instances {
			s.read(i, len(s.log)+1)
			s.inFlight = append(s.inFlight, i.machine.Step(s.now(i))...)
			for len(s.inFlight) > 0 {
				s.deliver(t, 0)
			}
			s.read(i, len(s.log)+1)
			s.check(t)
		}
	}
	valid := false
	for _, i := range s.instances {
		_, ok := i.machine.Valid(s.now(i), name)
		valid = valid || ok
	}
	require.True(t, valid, "no instance holds the lease")
}

// A leader with a slow clock stops before a candidate with a fast clock acquires the task,
// even if the candidate reads every record immediately.
func TestMarginCoversClockRates(t *testing.T) {
	s := &simulation{rng: rand.New(rand.NewPCG(1, 0)), holders: map[uint64]string{}, accepted: map[uint64]string{}}
	slow, fast := s.newInstance(), s.newInstance()
	slow.rate, fast.rate = -maxDrift, maxDrift
	s.instances = []*instance{slow, fast}
	s.read(slow, 1)
	s.elapsed += 2 * timing.TTL
	step := func(i *instance) bool {
		s.read(i, 1)
		for _, r := range i.machine.Step(s.now(i)) {
			s.append(t, r)
		}
		s.read(i, 1)
		_, ok := i.machine.Valid(s.now(i), name)
		return ok
	}
	require.True(t, step(slow))
	for !step(fast) {
		s.check(t)
		require.Less(t, s.elapsed, time.Minute)
		s.elapsed += time.Millisecond
	}
	s.check(t)

	s.log = append(s.log, []byte(`{"v":2,"id":"x"}`))
	s.read(fast, 1)
	_, ok := fast.machine.Valid(s.now(fast), name)
	require.False(t, ok, "still valid after a record of a newer version")
}
