package soak

import (
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

// fault is one kind of trouble. It returns when it is over.
type fault struct {
	name string
	// planned work breaks nothing off.
	planned bool
	run     func(w *world, l *Ledger, random *rand.Rand)
}

func (w *world) anyReplica(random *rand.Rand) *replica {
	return w.replicas[random.IntN(len(w.replicas))]
}

func (w *world) anyProcess(random *rand.Rand) *process {
	return w.processes[random.IntN(len(w.processes))]
}

// behave changes what a replica does for a while.
func behave(b func(random *rand.Rand) platformtest.Behavior) func(*world, *Ledger, *rand.Rand) {
	return func(w *world, _ *Ledger, random *rand.Rand) {
		r := w.anyReplica(random)
		r.Set(b(random))
		time.Sleep(between(random, 300*time.Millisecond, 1500*time.Millisecond))
		r.Set(platformtest.Behavior{})
	}
}

// faults returns all kinds of trouble.
func faults() []fault {
	return []fault{
		{"instance stopped and started", true, func(w *world, l *Ledger, random *rand.Rand) {
			p := w.anyProcess(random)
			if !p.stop(syscall.SIGTERM) {
				l.Found("an instance did not end within its grace time")
			}
			if err := p.start(); err != nil {
				l.Found("instance not started: %v", err)
			}
		}},
		{"settings signal", true, func(w *world, _ *Ledger, random *rand.Rand) { w.anyProcess(random).signal(syscall.SIGHUP) }},
		{"configuration", true, func(w *world, _ *Ledger, _ *rand.Rand) { w.publish() }},
		{"instance killed", false, func(w *world, l *Ledger, random *rand.Rand) {
			p := w.anyProcess(random)
			p.stop(os.Kill)
			time.Sleep(between(random, 0, time.Second))
			if err := p.start(); err != nil {
				l.Found("instance not started: %v", err)
			}
		}},
		{"instance paused", false, func(w *world, _ *Ledger, random *rand.Rand) {
			w.anyProcess(random).pause(between(random, 200*time.Millisecond, 3*time.Second))
		}},
		{"store away", false, func(w *world, _ *Ledger, random *rand.Rand) {
			w.store.Fail(http.StatusServiceUnavailable)
			time.Sleep(between(random, 300*time.Millisecond, 3*time.Second))
			w.store.Fail(0)
		}},
		{"store loses answers", false, func(w *world, _ *Ledger, random *rand.Rand) { w.store.LoseAnswers(1 + random.IntN(8)) }},
		{"store forgets history", false, func(w *world, _ *Ledger, _ *rand.Rand) { w.store.Forget(platform.ReplicaTopic) }},
		{"replica restarted", false, func(w *world, l *Ledger, random *rand.Rand) {
			if err := w.restart(w.anyReplica(random), between(random, 200*time.Millisecond, 2*time.Second)); err != nil {
				l.Found("replica not started: %v", err)
			}
		}},
		{"replica leaves", false, func(w *world, l *Ledger, random *rand.Rand) {
			r := w.anyReplica(random)
			r.Set(platformtest.Behavior{Leaving: true})
			time.Sleep(between(random, 2500*time.Millisecond, 4*time.Second))
			if err := w.restart(r, 200*time.Millisecond); err != nil {
				l.Found("replica not started: %v", err)
			}
		}},
		{"links", false, func(w *world, _ *Ledger, random *rand.Rand) {
			r := w.anyReplica(random)
			r.proxy.Set(Mode(1 + random.IntN(int(modes)-1)))
			time.Sleep(between(random, 300*time.Millisecond, 2500*time.Millisecond))
			r.proxy.Set(Pass)
		}},
		{"replica rejects", false, behave(func(*rand.Rand) platformtest.Behavior { return platformtest.Behavior{Reject: true} })},
		{"replica asks for a pause", false, behave(func(*rand.Rand) platformtest.Behavior {
			return platformtest.Behavior{Reject: true, Pause: "0.7"}
		})},
		{"answers lost", false, behave(func(*rand.Rand) platformtest.Behavior { return platformtest.Behavior{Lose: true} })},
		{"answers of other requests", false, behave(func(*rand.Rand) platformtest.Behavior { return platformtest.Behavior{OtherID: true} })},
		{"answers unsigned", false, behave(func(*rand.Rand) platformtest.Behavior { return platformtest.Behavior{Unsigned: true} })},
		{"streams broken off", false, behave(func(random *rand.Rand) platformtest.Behavior {
			return platformtest.Behavior{BreakAfter: 1 + random.IntN(events-1)}
		})},
	}
}
