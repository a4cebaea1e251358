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
	// slotPollInterval is the interval between two samples of the slots.
	slotPollInterval = 50 * time.Millisecond
	// recoveredFraction is the fraction of the slots before the kill that counts as
	// complete recovery.
	recoveredFraction = 0.95
	// warmUpTime is the duration of the load before the kill.
	warmUpTime = 12 * time.Second
	// recoveryTimeout limits the wait for recovery after the kill.
	recoveryTimeout = 10 * time.Second
)

// KillResult is the result of KillLastInstance.
type KillResult struct {
	// Before and Survivors count the slots of all instances, and of the surviving
	// ones, at the time of the kill. After counts the slots of the survivors at the
	// end.
	Before, Survivors, After int
	// UsedBefore, UsedSurvivors and UsedAfter count the slots in use at these
	// times.
	UsedBefore, UsedSurvivors, UsedAfter int
	// Taken is the time after the kill at which the slots of the survivors reached
	// 95 % of Before, Used the time at which their slots in use did; 0 if they did
	// not.
	Taken, Used time.Duration
	// WarmUp holds samples of all instances from the start of the load to the kill,
	// Series holds samples of the survivors after it.
	WarmUp, Series []SlotSample
	Load           *LoadResult
}

// SlotSample is the number of slots of several instances at one time.
type SlotSample struct {
	After       time.Duration
	Slots, Used int
}

// slotCount counts slots and slots in use.
type slotCount struct{ slots, used int }

// countSlots returns the slots of all instances, and of all except instance
// without. Instances that do not respond are not counted.
func (c *Cluster) countSlots(ctx context.Context, without int) (all, survivors slotCount) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range c.Instances {
		group.Go(func() {
			s, err := c.status(ctx, i)
			if err != nil {
				return
			}
			n := modelSlots(s)
			mu.Lock()
			defer mu.Unlock()
			all = slotCount{all.slots + n.slots, all.used + n.used}
			if i != without {
				survivors = slotCount{survivors.slots + n.slots, survivors.used + n.used}
			}
		})
	}
	group.Wait()
	return all, survivors
}

func modelSlots(s *admin.Status) (n slotCount) {
	for _, p := range s.Pools {
		if p.Kind == "model" {
			n.slots += p.Slots
			n.used += p.InFlight
		}
	}
	return n
}

// KillLastInstance loads all instances, kills the last one, whose process ID is
// pid, and measures the time until the others use its slots.
func (c *Cluster) KillLastInstance(ctx context.Context, o LoadOptions, pid int) (*KillResult, error) {
	loadCtx, stop := context.WithCancel(ctx)
	result := make(chan *LoadResult, 1)
	go func() { result <- c.Load(loadCtx, o) }()
	warmUpSamples := c.sampleWarmUp(ctx)
	last := len(c.Instances) - 1
	all, survivors := c.countSlots(ctx, last)
	out := &KillResult{
		Before: all.slots, Survivors: survivors.slots,
		UsedBefore: all.used, UsedSurvivors: survivors.used, WarmUp: warmUpSamples,
	}
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		stop()
		return nil, trace.Wrap(err)
	}
	c.sampleUntilRecovered(ctx, out, time.Now(), last)
	stop()
	out.Load = <-result
	return out, nil
}

func (c *Cluster) sampleWarmUp(ctx context.Context) (samples []SlotSample) {
	for start := time.Now(); time.Since(start) < warmUpTime; {
		all, _ := c.countSlots(ctx, -1)
		samples = append(samples, SlotSample{time.Since(start), all.slots, all.used})
		sleep(ctx, slotPollInterval)
	}
	return samples
}

func (c *Cluster) sampleUntilRecovered(ctx context.Context, out *KillResult, killed time.Time, last int) {
	for time.Since(killed) < recoveryTimeout && (out.Taken == 0 || out.Used == 0) {
		_, n := c.countSlots(ctx, last)
		now := time.Since(killed)
		out.After, out.UsedAfter = n.slots, n.used
		out.Series = append(out.Series, SlotSample{now, n.slots, n.used})
		if out.Taken == 0 && float64(n.slots) >= recoveredFraction*float64(out.Before) {
			out.Taken = now
		}
		if out.Used == 0 && out.Taken > 0 && float64(n.used) >= recoveredFraction*float64(out.Before) {
			out.Used = now
		}
		sleep(ctx, slotPollInterval)
	}
}

// Usage is the mean resource usage of an instance.
type Usage struct {
	// CPU is the CPU usage as a fraction of one core.
	CPU float64
	// SentPerSecond and ReceivedPerSecond count bytes sent to and received from
	// peers.
	SentPerSecond, ReceivedPerSecond float64
	// ResidentBytes is the resident memory, MaxResidentBytes that of the largest
	// instance.
	ResidentBytes, MaxResidentBytes float64
}

// String returns the usage in one line.
func (u Usage) String() string {
	return fmt.Sprintf("cpu=%.1f%% of a core, peers: sent=%.0f B/s received=%.0f B/s, resident: mean=%.1f MB max=%.1f MB",
		100*u.CPU, u.SentPerSecond, u.ReceivedPerSecond, u.ResidentBytes/1e6, u.MaxResidentBytes/1e6)
}

// usageTotals holds the counters of all instances.
type usageTotals struct{ ticks, sent, received, resident, largest float64 }

// ticksPerSecond is the unit of CPU times in /proc (USER_HZ).
const ticksPerSecond = 100

// MeasureUsage measures the mean resource usage of the instances, with the given
// process IDs, over the given duration.
func (c *Cluster) MeasureUsage(ctx context.Context, pids []int, duration time.Duration) (Usage, error) {
	start := time.Now()
	before, err := c.usageTotals(ctx, pids)
	if err != nil {
		return Usage{}, trace.Wrap(err)
	}
	sleep(ctx, duration)
	after, err := c.usageTotals(ctx, pids)
	if err != nil {
		return Usage{}, trace.Wrap(err)
	}
	n := float64(len(pids))
	instanceSeconds := n * time.Since(start).Seconds()
	return Usage{
		CPU:               (after.ticks - before.ticks) / ticksPerSecond / instanceSeconds,
		SentPerSecond:     (after.sent - before.sent) / instanceSeconds,
		ReceivedPerSecond: (after.received - before.received) / instanceSeconds,
		ResidentBytes:     after.resident / n, MaxResidentBytes: after.largest,
	}, nil
}

func (c *Cluster) usageTotals(ctx context.Context, pids []int) (usageTotals, error) {
	var t usageTotals
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

// addProcess adds the CPU time and the resident memory of a process, read from
// /proc/PID/stat as described in proc(5).
func (t *usageTotals) addProcess(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return trace.Wrap(err)
	}
	// The first field after the name in parentheses is number 3. Fields 14 and 15
	// are the times in user and kernel mode, 24 is the number of resident pages.
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
