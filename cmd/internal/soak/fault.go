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

// fault is one kind of trouble.
type fault struct {
	name string
	// planned work breaks nothing off.
	planned bool
	// run returns when the trouble is over.
	run func(w *world, l *Ledger, random *rand.Rand)
}

// onProcess acts on one instance, when earlier faults there are over.
func onProcess(act func(p *process, l *Ledger, random *rand.Rand)) func(*world, *Ledger, *rand.Rand) {
	return func(w *world, l *Ledger, random *rand.Rand) {
		p := w.processes[random.IntN(len(w.processes))]
		p.turn.Lock()
		defer p.turn.Unlock()
		act(p, l, random)
	}
}

// onReplica is the same for one replica.
func onReplica(act func(w *world, r *replica, l *Ledger, random *rand.Rand)) func(*world, *Ledger, *rand.Rand) {
	return func(w *world, l *Ledger, random *rand.Rand) {
		r := w.replicas[random.IntN(len(w.replicas))]
		r.turn.Lock()
		defer r.turn.Unlock()
		act(w, r, l, random)
	}
}

// behave changes what a replica does for a while.
func behave(b func(random *rand.Rand) platformtest.Behavior) func(*world, *Ledger, *rand.Rand) {
	return onReplica(func(_ *world, r *replica, _ *Ledger, random *rand.Rand) {
		r.Set(b(random))
		time.Sleep(between(random, 300*time.Millisecond, 1500*time.Millisecond))
		r.Set(platformtest.Behavior{})
	})
}

func startAgain(p *process, l *Ledger) {
	if err := p.start(); err != nil {
		l.Found("instance not started: %v", err)
	}
}

func restartReplica(w *world, r *replica, l *Ledger, down time.Duration) {
	if err := w.restart(r, down); err != nil {
		l.Found("replica not started: %v", err)
	}
}

// faults returns all kinds of trouble.
func faults() []fault {
	return append(processFaults(), append(storeFaults(), replicaFaults()...)...)
}

func processFaults() []fault {
	return []fault{
		{"instance stopped and started", true, onProcess(func(p *process, l *Ledger, _ *rand.Rand) {
			if !p.stop(syscall.SIGTERM) {
				l.Found("an instance did not end within its grace time")
			}
			startAgain(p, l)
		})},
		{"settings signal", true, onProcess(func(p *process, _ *Ledger, _ *rand.Rand) { p.signal(syscall.SIGHUP) })},
		{"instance killed", false, onProcess(func(p *process, l *Ledger, random *rand.Rand) {
			p.stop(os.Kill)
			time.Sleep(between(random, 0, time.Second))
			startAgain(p, l)
		})},
		{"instance paused", false, onProcess(func(p *process, _ *Ledger, random *rand.Rand) {
			p.pause(between(random, 200*time.Millisecond, 3*time.Second))
		})},
	}
}

func storeFaults() []fault {
	return []fault{
		{"configuration", true, func(w *world, _ *Ledger, _ *rand.Rand) { w.publish() }},
		{"store away", false, func(w *world, _ *Ledger, random *rand.Rand) {
			w.store.Fail(http.StatusServiceUnavailable)
			time.Sleep(between(random, 300*time.Millisecond, 3*time.Second))
			w.store.Fail(0)
		}},
		{"store loses answers", false, func(w *world, _ *Ledger, random *rand.Rand) { w.store.LoseAnswers(1 + random.IntN(8)) }},
		{"store forgets history", false, func(w *world, _ *Ledger, _ *rand.Rand) { w.store.Forget(platform.ReplicaTopic) }},
	}
}

func replicaFaults() []fault {
	return []fault{
		{"replica restarted", false, onReplica(func(w *world, r *replica, l *Ledger, random *rand.Rand) {
			restartReplica(w, r, l, between(random, 200*time.Millisecond, 2*time.Second))
		})},
		{"replica leaves", false, onReplica(func(w *world, r *replica, l *Ledger, random *rand.Rand) {
			r.Set(platformtest.Behavior{Leaving: true})
			time.Sleep(between(random, 2500*time.Millisecond, 4*time.Second))
			restartReplica(w, r, l, 200*time.Millisecond)
		})},
		{"links", false, onReplica(func(_ *world, r *replica, _ *Ledger, random *rand.Rand) {
			r.proxy.Set(Mode(1 + random.IntN(int(modes)-1)))
			time.Sleep(between(random, 300*time.Millisecond, 2500*time.Millisecond))
			r.proxy.Set(Pass)
		})},
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
