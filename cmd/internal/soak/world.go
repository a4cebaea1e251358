package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/platform"
	"masticbank.example/platform/platformtest"
)

const (
	instances     = 3
	plainReplicas = 3
	modelReplicas = 3
	events        = 6
	layers        = 4
	beat          = 400 * time.Millisecond
)

// world is a store, replicas behind proxies and entry instances.
type world struct {
	store     *platformtest.Store
	replicas  []*replica
	processes []*process
	callers   []string
	log       *os.File
	// config is the last version that was published.
	config atomic.Int64
}

// replica is a stand-in with its proxy and what it says of itself.
type replica struct {
	*platformtest.Replica
	proxy *Proxy
	model bool
	// turn is held by the fault that acts on the replica.
	turn sync.Mutex

	mu   sync.Mutex
	born int64
	beat int64
	// silent replicas write no entries; starts are the times at which it started again.
	silent bool
	starts []time.Time
}

func newWorld(binary, dir string) (*world, error) {
	log, err := os.Create(filepath.Join(dir, "log.json"))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	w := &world{store: platformtest.NewStore(), log: log}
	w.publish()
	for i := range plainReplicas + modelReplicas {
		r := &replica{Replica: platformtest.NewReplica(fmt.Sprintf("i-%d", i), events), model: i >= plainReplicas, born: 1000}
		if r.proxy, err = NewProxy(r.Address()); err != nil {
			return nil, err
		}
		w.replicas = append(w.replicas, r)
		w.write(r)
	}
	ports, err := freePorts(1 + 2*instances)
	if err != nil {
		return nil, err
	}
	for i := range instances {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		path := filepath.Join(dir, fmt.Sprintf("instance-%d.yaml", i))
		content := platformtest.SettingsFile(fmt.Sprintf("edge-%d", i), ip, ports[1+2*i], ports[2+2*i], ports[0], w.store.Address(), false)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		w.processes = append(w.processes, &process{binary: binary, settings: path, log: log})
		w.callers = append(w.callers, fmt.Sprintf("%s:%d", ip, ports[1+2*i]))
	}
	return w, nil
}

func freePorts(n int) ([]int, error) {
	var out []int
	var open []net.Listener // until the end, so that no port comes twice
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

// publish writes the next version of the configuration.
func (w *world) publish() {
	w.store.Put(platform.OperatorTopic, "config", platformtest.Configuration(int(w.config.Add(1))))
}

// write writes the entry of a replica.
func (w *world) write(r *replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return
	}
	r.beat++
	e := r.Entry("plain", "z", "ready", r.born, r.beat)
	if r.model {
		e = r.ModelEntry("llm", "z", "ready", r.born, r.beat, 0, layers)
	}
	w.store.PutJSON(platform.ReplicaTopic, r.ID, platformtest.At(e, r.proxy.Address()))
}

// beats writes heartbeats until ctx ends.
func (w *world) beats(ctx context.Context) {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, r := range w.replicas {
				w.write(r)
			}
		}
	}
}

// restart ends a replica and starts it again after a while, with a later start.
func (w *world) restart(r *replica, down time.Duration) error {
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	r.Crash()
	time.Sleep(down)
	r.Set(platformtest.Behavior{})
	r.mu.Lock()
	r.silent, r.born, r.beat, r.starts = false, r.born+1, 0, append(r.starts, time.Now())
	r.mu.Unlock()
	if err := r.Restart(); err != nil {
		return trace.Wrap(err)
	}
	w.write(r)
	return nil
}

// close ends everything that the world has started.
func (w *world) close() {
	var all sync.WaitGroup
	for _, p := range w.processes {
		all.Go(func() { p.stop(os.Kill) })
	}
	all.Wait()
	for _, r := range w.replicas {
		r.Close()
		r.proxy.Close()
	}
	w.store.Close()
	_ = w.log.Close()
}

// runs returns what all replicas ran.
func (w *world) runs() []Ran {
	var out []Ran
	for _, r := range w.replicas {
		for _, run := range r.Runs() {
			out = append(out, Ran{Replica: r.ID, ID: run.ID})
		}
	}
	return out
}

// startsBefore returns how often a replica had started again before a time.
func (w *world) startsBefore(id string, at time.Time) int {
	for _, r := range w.replicas {
		if r.ID == id {
			r.mu.Lock()
			defer r.mu.Unlock()
			n := 0
			for _, start := range r.starts {
				if start.Before(at) {
					n++
				}
			}
			return n
		}
	}
	return 0
}

// between returns a random time from least to most.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Float64()*float64(most-least))
}
