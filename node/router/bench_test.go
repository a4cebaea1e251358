package router

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"masticbank.example/node/wire"
)

// cpuTime returns the processor time used by the process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// awaitProbes waits until every replica has responded to its first probe.
func awaitProbes(b *testing.B, r *Router) {
	deadline := time.Now().Add(10 * time.Second)
	for hasUnprobedReplica(r.pool(testModel)) {
		if time.Now().After(deadline) {
			b.Fatal("replicas did not respond to their first probe")
		}
		time.Sleep(time.Millisecond)
	}
}

func hasUnprobedReplica(p *pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		if !u.usable() {
			return true
		}
	}
	return false
}

// BenchmarkRequest measures the processor time that a router needs for one request to
// engines that respond at once. The cost of a token is the difference between two
// numbers of tokens.
func BenchmarkRequest(b *testing.B) {
	for _, stages := range []int{2, 3, 4} {
		for _, replicas := range []int{40, 256} {
			for _, tokens := range []int{1, 101} {
				b.Run(fmt.Sprintf("stages=%d/replicas=%d/tokens=%d", stages, replicas, tokens), func(b *testing.B) {
					r := newTestRouter(&fakeEngines{unrecorded: true}, &discardCounter{}, fleet(stages, replicas), 10)
					defer r.Close()
					awaitProbes(b, r)
					benchRequests(b, r, tokens)
				})
			}
		}
	}
}

func benchRequests(b *testing.B, r *Router, tokens int) {
	n := 0
	b.ReportAllocs()
	start := cpuTime(b)
	for b.Loop() {
		n++
		res := r.Generate(context.Background(), testRequest(strconv.Itoa(n), tokens, time.Minute), &textSink{})
		if !res.Complete {
			b.Fatal(res.Message)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-start)/float64(n), "cpu-ns/op")
}

// BenchmarkControl measures the periodic work of a router without requests: one check
// of all queues and replicas, one change of a replica's weight, and one read of all
// load reports, without the network.
func BenchmarkControl(b *testing.B) {
	for _, replicas := range []int{40, 256, 1024} {
		r := newTestRouter(&fakeEngines{unrecorded: true}, &discardCounter{}, fleet(4, replicas), 2000)
		awaitProbes(b, r)
		b.Run(fmt.Sprintf("tick/replicas=%d", replicas), func(b *testing.B) {
			for b.Loop() {
				r.tickOnce()
			}
		})
		b.Run(fmt.Sprintf("weight/replicas=%d", replicas), func(b *testing.B) {
			p := r.pool(testModel)
			for b.Loop() {
				p.mu.Lock()
				p.scheduleCapacityUpdate()
				p.mu.Unlock()
			}
		})
		b.Run(fmt.Sprintf("load/replicas=%d", replicas), func(b *testing.B) {
			for b.Loop() {
				r.readLoadOnce()
			}
		})
		r.Close()
	}
}

// BenchmarkConfigure measures applying a new configuration.
func BenchmarkConfigure(b *testing.B) {
	for _, workspaces := range []int{10, 200, 2000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			r := newTestRouter(&fakeEngines{unrecorded: true}, &discardCounter{}, fleet(4, 256), workspaces)
			defer r.Close()
			c := testConfig(workspaces)
			b.ReportAllocs()
			for b.Loop() {
				r.Configure(c)
			}
		})
	}
}

// BenchmarkSetInstances measures applying an unchanged instance list.
func BenchmarkSetInstances(b *testing.B) {
	for _, replicas := range []int{40, 256, 1024} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			list := fleet(4, replicas)
			r := newTestRouter(&fakeEngines{unrecorded: true}, &discardCounter{}, list, 10)
			defer r.Close()
			awaitProbes(b, r)
			b.ReportAllocs()
			for b.Loop() {
				r.SetInstances(list)
			}
		})
	}
}

// BenchmarkDecodeList measures decoding the platform's instance list.
func BenchmarkDecodeList(b *testing.B) {
	for _, replicas := range []int{40, 1024, 12000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			data, err := json.Marshal(wire.InstanceList{Instances: fleet(4, replicas)})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var list wire.InstanceList
				if err := json.Unmarshal(data, &list); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/float64(replicas), "B/replica")
		})
	}
}

// heapBytes returns the size of the live heap objects.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory measures the memory of an idle router by numbers of replicas and
// workspaces, without its connections, and that of a router that has served every
// workspace once.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ replicas, workspaces int }{
		{40, 10},
		{256, 10},
		{1024, 10},
		{256, 2000},
	} {
		b.Run(fmt.Sprintf("replicas=%d/workspaces=%d", size.replicas, size.workspaces), func(b *testing.B) {
			var idle, used uint64
			for b.Loop() {
				before := heapBytes()
				r := newTestRouter(&fakeEngines{unrecorded: true}, &discardCounter{}, fleet(4, size.replicas), size.workspaces)
				awaitProbes(b, r)
				idle = heapBytes() - before
				for i := range size.workspaces {
					req := testRequest(strconv.Itoa(i), 1, time.Minute)
					req.Workspace = workspaceName(i)
					r.Generate(context.Background(), req, &textSink{})
				}
				used = heapBytes() - before
				r.Close()
			}
			b.ReportMetric(float64(idle)/1024, "idle-KiB")
			b.ReportMetric(float64(used)/1024, "used-KiB")
		})
	}
}
