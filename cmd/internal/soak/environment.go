package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

const (
	instanceCount     = 3
	plainReplicas     = 3
	modelReplicas     = 3
	eventsPerStream   = 6
	modelLayers       = 4
	heartbeatInterval = 400 * time.Millisecond
)

// environment holds a store, replicas behind proxies, and entry instances.
type environment struct {
	store           *platformtest.Store
	replicas        []*replica
	processes       []*process
	clientAddresses []string
	log             *os.File
	// configVersion is the last published version of the configuration. configMu is held while one
	// is written.
	configMu      sync.Mutex
	configVersion int
}

// replica is a stand-in replica with its proxy and the contents of its entry in the store.
type replica struct {
	*platformtest.Replica
	proxy *Proxy
	model bool
	// faultMu is held by the fault that acts on the replica.
	faultMu sync.Mutex

	mu        sync.Mutex
	startTime int64
	heartbeat int64
	// While heartbeatsPaused is set, no entries are written. restartTimes holds the times of
	// all restarts.
	heartbeatsPaused bool
	restartTimes     []time.Time
}

func newEnvironment(binary, dir string) (*environment, error) {
	log, err := os.Create(filepath.Join(dir, "log.json"))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	env := &environment{store: platformtest.NewStore(), log: log}
	env.publish()
	for i := range plainReplicas + modelReplicas {
		r := &replica{Replica: platformtest.NewReplica(fmt.Sprintf("i-%d", i), eventsPerStream), model: i >= plainReplicas, startTime: 1000}
		if r.proxy, err = NewProxy(r.Address()); err != nil {
			return nil, err
		}
		env.replicas = append(env.replicas, r)
		env.writeEntry(r)
	}
	ports, err := freePorts(1 + 2*instanceCount)
	if err != nil {
		return nil, err
	}
	for i := range instanceCount {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		path := filepath.Join(dir, fmt.Sprintf("instance-%d.yaml", i))
		content := platformtest.SettingsFile(fmt.Sprintf("edge-%d", i), ip, ports[1+2*i], ports[2+2*i], ports[0], env.store.Address(), false)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		env.processes = append(env.processes, &process{binary: binary, settings: path, log: log})
		env.clientAddresses = append(env.clientAddresses, fmt.Sprintf("%s:%d", ip, ports[1+2*i]))
	}
	return env, nil
}

func freePorts(n int) ([]int, error) {
	var out []int
	var open []net.Listener // kept open until the end, so that no port is returned twice
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.Wrap(err)
		}
		open = append(open, l)
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// publish writes the next version of the configuration to the store.
func (env *environment) publish() { env.writeConfig(1) }

// writeConfig writes the version of the configuration that is step after the last one, or that one again.
func (env *environment) writeConfig(step int) {
	env.configMu.Lock()
	defer env.configMu.Unlock()
	env.configVersion += step
	env.store.Put(platform.OperatorTopic, "config", platformtest.Configuration(env.configVersion))
}

// writeEntry increments the heartbeat of a replica and writes its entry to the store.
func (env *environment) writeEntry(r *replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heartbeatsPaused {
		return
	}
	r.heartbeat++
	entry := r.Entry("plain", "z", "ready", r.startTime, r.heartbeat)
	if r.model {
		entry = r.ModelEntry("llm", "z", "ready", r.startTime, r.heartbeat, 0, modelLayers)
	}
	env.store.PutJSON(platform.ReplicaTopic, r.ID, platformtest.WithAddress(entry, r.proxy.Address()))
}

// writeHeartbeats writes the entries of all replicas periodically until ctx ends.
func (env *environment) writeHeartbeats(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, r := range env.replicas {
				env.writeEntry(r)
			}
		}
	}
}

// restart ends a replica and starts it again after the given time, with a later start time.
func (env *environment) restart(r *replica, down time.Duration) error {
	r.mu.Lock()
	r.heartbeatsPaused = true
	r.mu.Unlock()
	r.Crash()
	time.Sleep(down)
	r.SetBehavior(platformtest.Behavior{})
	r.mu.Lock()
	r.heartbeatsPaused, r.startTime, r.heartbeat, r.restartTimes = false, r.startTime+1, 0, append(r.restartTimes, time.Now())
	r.mu.Unlock()
	if err := r.Restart(); err != nil {
		return trace.Wrap(err)
	}
	env.writeEntry(r)
	return nil
}

// close stops everything that the environment has started.
func (env *environment) close() {
	var all sync.WaitGroup
	for _, p := range env.processes {
		all.Go(func() { p.stop(os.Kill) })
	}
	all.Wait()
	for _, r := range env.replicas {
		r.Close()
		r.proxy.Close()
	}
	env.store.Close()
	_ = env.log.Close()
}

// executions returns the executions of all replicas.
func (env *environment) executions() []Execution {
	var out []Execution
	for _, r := range env.replicas {
		for _, execution := range r.Runs() {
			out = append(out, Execution{Replica: r.ID, RequestID: execution.ID})
		}
	}
	return out
}

// restartsBefore returns how often a replica was restarted before a time.
func (env *environment) restartsBefore(id string, at time.Time) int {
	for _, r := range env.replicas {
		if r.ID == id {
			r.mu.Lock()
			defer r.mu.Unlock()
			n := 0
			for _, restart := range r.restartTimes {
				if restart.Before(at) {
					n++
				}
			}
			return n
		}
	}
	return 0
}

// randomDuration returns a random duration from lower to upper.
func randomDuration(random *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(random.Float64()*float64(upper-lower))
}
