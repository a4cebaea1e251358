package trial

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/node/admin"
)

const (
	// slotPeriod is the time between two looks at the slots.
	slotPeriod = 50 * time.Millisecond
	// usedShare is the share of the slots before the kill that counts as all.
	usedShare = 0.95
	// warmUp is the load before the kill.
	warmUp = 12 * time.Second
	// slotTimeout bounds the wait after the kill.
	slotTimeout = 10 * time.Second
)

// Slots is the result of KillOne.
type Slots struct {
	// Before and Survivors count the slots of all instances, and of those that
	// live on, at the kill; After those of the survivors at the end.
	Before, Survivors, After int
	// UsedBefore, UsedSurvivors and UsedAfter count the slots in use.
	UsedBefore, UsedSurvivors, UsedAfter int
	// Taken is the time after the kill at which the survivors' slots, and Used
	// that at which those that they use, reached 95 % of all slots before it; 0
	// if they did not.
	Taken, Used time.Duration
	// WarmUp holds looks at all instances from the begin of the load to the
	// kill, Series looks at the survivors after it.
	WarmUp, Series []SlotSample
	Load           *LoadResult
}

// SlotSample is one look at the slots of several instances.
type SlotSample struct {
	After       time.Duration
	Slots, Used int
}

// sum is a count of slots.
type sum struct{ slots, used int }

// slotSum returns the sums over all instances, and over all but the one left
// out.
func (c *Cluster) slotSum(ctx context.Context, without int) (all, survivors sum) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range c.Instances {
		group.Go(func() {
			s, err := c.status(ctx, i)
			if err != nil {
				return
			}
			n := sumOf(s)
			mu.Lock()
			defer mu.Unlock()
			all = sum{all.slots + n.slots, all.used + n.used}
			if i != without {
				survivors = sum{survivors.slots + n.slots, survivors.used + n.used}
			}
		})
	}
	group.Wait()
	return all, survivors
}

func sumOf(s *admin.Status) (n sum) {
	for _, p := range s.Pools {
		if p.Kind == "model" {
			n.slots += p.Slots
			n.used += p.InFlight
		}
	}
	return n
}

// KillOne loads all instances, kills the last one, whose process is pid, and
// measures until the others use its slots.
func (c *Cluster) KillOne(ctx context.Context, o LoadOptions, pid int) (*Slots, error) {
	loaded, stop := context.WithCancel(ctx)
	result := make(chan *LoadResult, 1)
	go func() { result <- c.Load(loaded, o) }()
	warm := c.watchWarmUp(ctx)
	last := len(c.Instances) - 1
	all, survivors := c.slotSum(ctx, last)
	out := &Slots{
		Before: all.slots, Survivors: survivors.slots,
		UsedBefore: all.used, UsedSurvivors: survivors.used, WarmUp: warm,
	}
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		stop()
		return nil, trace.Wrap(err)
	}
	c.watchSlots(ctx, out, time.Now(), last)
	stop()
	out.Load = <-result
	return out, nil
}

func (c *Cluster) watchWarmUp(ctx context.Context) (samples []SlotSample) {
	for start := time.Now(); time.Since(start) < warmUp; {
		all, _ := c.slotSum(ctx, -1)
		samples = append(samples, SlotSample{time.Since(start), all.slots, all.used})
		pause(ctx, slotPeriod)
	}
	return samples
}

func (c *Cluster) watchSlots(ctx context.Context, out *Slots, killed time.Time, last int) {
	for time.Since(killed) < slotTimeout && (out.Taken == 0 || out.Used == 0) {
		_, n := c.slotSum(ctx, last)
		now := time.Since(killed)
		out.After, out.UsedAfter = n.slots, n.used
		out.Series = append(out.Series, SlotSample{now, n.slots, n.used})
		if out.Taken == 0 && float64(n.slots) >= usedShare*float64(out.Before) {
			out.Taken = now
		}
		if out.Used == 0 && out.Taken > 0 && float64(n.used) >= usedShare*float64(out.Before) {
			out.Used = now
		}
		pause(ctx, slotPeriod)
	}
}

// Usage is what one instance takes of the machine, in the mean of all.
type Usage struct {
	// CPU is the share of one core.
	CPU float64
	// SentPerSecond and ReceivedPerSecond are bytes to and from peers.
	SentPerSecond, ReceivedPerSecond float64
	// ResidentBytes is the resident memory, MaxResidentBytes that of the
	// largest instance.
	ResidentBytes, MaxResidentBytes float64
}

// String returns the figures in one line.
func (u Usage) String() string {
	return fmt.Sprintf("cpu=%.1f%% of a core, peers: sent=%.0f B/s received=%.0f B/s, resident: mean=%.1f MB max=%.1f MB",
		100*u.CPU, u.SentPerSecond, u.ReceivedPerSecond, u.ResidentBytes/1e6, u.MaxResidentBytes/1e6)
}

// usageTotal holds counters of all instances together.
type usageTotal struct{ ticks, sent, received, resident, largest float64 }

// ticksPerSecond is the unit of CPU time in /proc, USER_HZ.
const ticksPerSecond = 100

// Use measures the instances with the given processes over a time.
func (c *Cluster) Use(ctx context.Context, pids []int, lasting time.Duration) (Usage, error) {
	start := time.Now()
	before, err := c.total(ctx, pids)
	if err != nil {
		return Usage{}, trace.Wrap(err)
	}
	pause(ctx, lasting)
	after, err := c.total(ctx, pids)
	if err != nil {
		return Usage{}, trace.Wrap(err)
	}
	n := float64(len(pids))
	each := n * time.Since(start).Seconds()
	return Usage{
		CPU:               (after.ticks - before.ticks) / ticksPerSecond / each,
		SentPerSecond:     (after.sent - before.sent) / each,
		ReceivedPerSecond: (after.received - before.received) / each,
		ResidentBytes:     after.resident / n, MaxResidentBytes: after.largest,
	}, nil
}

func (c *Cluster) total(ctx context.Context, pids []int) (usageTotal, error) {
	var t usageTotal
	for i, pid := range pids {
		s, err := c.status(ctx, i)
		if err != nil {
			return t, trace.Wrap(err)
		}
		for _, p := range s.Peers {
			t.sent += float64(p.BytesSent)
			t.received += float64(p.BytesReceived)
		}
		if err := t.addProcess(pid); err != nil {
			return t, trace.Wrap(err)
		}
	}
	return t, nil
}

// addProcess adds the CPU time and the memory of a process, as in proc(5).
func (t *usageTotal) addProcess(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return trace.Wrap(err)
	}
	// The fields after the name in parentheses begin with the third; 14 and 15
	// are the times in user and system mode, 24 the resident pages.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const third = 3
	for _, n := range []int{14, 15} {
		v, err := strconv.ParseFloat(fields[n-third], 64)
		if err != nil {
			return trace.Wrap(err)
		}
		t.ticks += v
	}
	pages, err := strconv.ParseFloat(fields[24-third], 64)
	if err != nil {
		return trace.Wrap(err)
	}
	resident := pages * float64(os.Getpagesize())
	t.resident += resident
	t.largest = max(t.largest, resident)
	return nil
}
