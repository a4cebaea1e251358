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

// fault is one kind of fault.
type fault struct {
	name string
	// planned faults are planned operations. They must not interrupt any request.
	planned bool
	// run injects the fault and returns when it is over.
	run func(env *environment, rec *Recorder, random *rand.Rand)
}

// processFault returns a fault function that acts on a random instance, after earlier faults of
// that instance have ended.
func processFault(act func(p *process, rec *Recorder, random *rand.Rand)) func(*environment, *Recorder, *rand.Rand) {
	return func(env *environment, rec *Recorder, random *rand.Rand) {
		p := env.processes[random.IntN(len(env.processes))]
		p.faultMu.Lock()
		defer p.faultMu.Unlock()
		act(p, rec, random)
	}
}

// replicaFault returns a fault function that acts on a random replica, after earlier faults of
// that replica have ended.
func replicaFault(act func(env *environment, r *replica, rec *Recorder, random *rand.Rand)) func(*environment, *Recorder, *rand.Rand) {
	return func(env *environment, rec *Recorder, random *rand.Rand) {
		r := env.replicas[random.IntN(len(env.replicas))]
		r.faultMu.Lock()
		defer r.faultMu.Unlock()
		act(env, r, rec, random)
	}
}

// temporaryBehavior returns a fault function that changes the behavior of a replica for a
// random time.
func temporaryBehavior(behavior func(random *rand.Rand) platformtest.Behavior) func(*environment, *Recorder, *rand.Rand) {
	return replicaFault(func(_ *environment, r *replica, _ *Recorder, random *rand.Rand) {
		r.SetBehavior(behavior(random))
		time.Sleep(randomDuration(random, 300*time.Millisecond, 1500*time.Millisecond))
		r.SetBehavior(platformtest.Behavior{})
	})
}

func restartProcess(p *process, rec *Recorder) {
	if err := p.start(); err != nil {
		rec.AddFinding("starting the instance failed: %v", err)
	}
}

func restartReplica(env *environment, r *replica, rec *Recorder, down time.Duration) {
	if err := env.restart(r, down); err != nil {
		rec.AddFinding("restarting the replica failed: %v", err)
	}
}

// faults returns all kinds of faults.
func faults() []fault {
	return append(processFaults(), append(storeFaults(), replicaFaults()...)...)
}

func processFaults() []fault {
	return []fault{
		{"instance stopped and started", true, processFault(func(p *process, rec *Recorder, _ *rand.Rand) {
			if !p.stop(syscall.SIGTERM) {
				rec.AddFinding("an instance did not exit within its grace time")
			}
			restartProcess(p, rec)
		})},
		{"settings reloaded", true, processFault(func(p *process, _ *Recorder, _ *rand.Rand) { p.signal(syscall.SIGHUP) })},
		{"instance killed", false, processFault(func(p *process, rec *Recorder, random *rand.Rand) {
			p.stop(os.Kill)
			time.Sleep(randomDuration(random, 0, time.Second))
			restartProcess(p, rec)
		})},
		{"instance paused", false, processFault(func(p *process, _ *Recorder, random *rand.Rand) {
			p.pause(randomDuration(random, 200*time.Millisecond, 3*time.Second))
		})},
	}
}

func storeFaults() []fault {
	return []fault{
		{"configuration", true, func(env *environment, _ *Recorder, _ *rand.Rand) { env.publish() }},
		{"store unavailable", false, func(env *environment, _ *Recorder, random *rand.Rand) {
			env.store.Fail(http.StatusServiceUnavailable)
			time.Sleep(randomDuration(random, 300*time.Millisecond, 3*time.Second))
			env.store.Fail(0)
		}},
		{"store responses lost", false, func(env *environment, _ *Recorder, random *rand.Rand) { env.store.DropResponses(1 + random.IntN(8)) }},
		{"store history deleted", false, func(env *environment, _ *Recorder, _ *rand.Rand) { env.store.DeleteHistory(platform.ReplicaTopic) }},
	}
}

// restoreDrill takes the store back to a copy that is some seconds old. The operator and the replicas write
// again what they wrote. It has a series of its own, so that seeds from before it keep their faults.
var restoreDrill = fault{"store restored", false, func(env *environment, _ *Recorder, random *rand.Rand) {
	copied := env.store.Copy()
	time.Sleep(randomDuration(random, time.Second, 4*time.Second))
	env.store.Fail(http.StatusServiceUnavailable)
	time.Sleep(randomDuration(random, 0, time.Second))
	env.store.Restore(copied)
	env.store.Fail(0)
	time.Sleep(randomDuration(random, 0, time.Second))
	env.writeConfig(0)
}}

func replicaFaults() []fault {
	return []fault{
		{"replica restarted", false, replicaFault(func(env *environment, r *replica, rec *Recorder, random *rand.Rand) {
			restartReplica(env, r, rec, randomDuration(random, 200*time.Millisecond, 2*time.Second))
		})},
		{"replica leaves", false, replicaFault(func(env *environment, r *replica, rec *Recorder, random *rand.Rand) {
			r.SetBehavior(platformtest.Behavior{Leaving: true})
			time.Sleep(randomDuration(random, 2500*time.Millisecond, 4*time.Second))
			restartReplica(env, r, rec, 200*time.Millisecond)
		})},
		{"links", false, replicaFault(func(_ *environment, r *replica, _ *Recorder, random *rand.Rand) {
			r.proxy.Set(Mode(1 + random.IntN(int(modeCount)-1)))
			time.Sleep(randomDuration(random, 300*time.Millisecond, 2500*time.Millisecond))
			r.proxy.Set(Pass)
		})},
		{"replica rejects", false, temporaryBehavior(func(*rand.Rand) platformtest.Behavior { return platformtest.Behavior{Reject: true} })},
		{"replica sends Retry-After", false, temporaryBehavior(func(*rand.Rand) platformtest.Behavior {
			return platformtest.Behavior{Reject: true, RetryAfter: "0.7"}
		})},
		{"responses lost", false, temporaryBehavior(func(*rand.Rand) platformtest.Behavior { return platformtest.Behavior{DropResponse: true} })},
		{"responses to other requests", false, temporaryBehavior(func(*rand.Rand) platformtest.Behavior { return platformtest.Behavior{OtherID: true} })},
		{"responses unsigned", false, temporaryBehavior(func(*rand.Rand) platformtest.Behavior { return platformtest.Behavior{Unsigned: true} })},
		{"streams truncated", false, temporaryBehavior(func(random *rand.Rand) platformtest.Behavior {
			return platformtest.Behavior{BreakAfter: 1 + random.IntN(eventsPerStream-1)}
		})},
	}
}
