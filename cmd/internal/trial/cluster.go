// Package trial measures how entry instances agree: it drives instances that
// run already, and judges what they and the stand-ins say. It starts no
// process.
package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/cmd/internal/adminclient"
	"masticbank.example/node/admin"
)

const (
	// statusPeriod is the time between two looks at one instance.
	statusPeriod = 5 * time.Millisecond
	callTimeout  = 5 * time.Second
)

// Instance holds the addresses of one entry instance.
type Instance struct {
	// Caller is the address for callers, host:port.
	Caller string
	// Admin is the base URL of the administration API.
	Admin string
}

// Cluster is the set of instances under measurement, and the stand-ins.
type Cluster struct {
	Instances []Instance
	AdminKey  string
	// Key is the API key of a workspace.
	Key string
	// Control is the address of the stand-ins' control, host:port.
	Control string
}

func (c *Cluster) admin(i int) *adminclient.Client {
	return adminclient.New(c.Instances[i].Admin, c.AdminKey)
}

// status returns the state of instance i.
func (c *Cluster) status(ctx context.Context, i int) (*admin.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := c.admin(i).Status(ctx)
	return s, trace.Wrap(err)
}

// control calls the stand-ins' control address.
func (c *Cluster) control(ctx context.Context, method, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Control+path, bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return trace.BadParameter("%s: status %d: %s", path, resp.StatusCode, text)
	}
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

// watcher polls the revision of every instance and counts reversions.
type watcher struct {
	cluster *Cluster
	mu      sync.Mutex
	changed chan struct{}
	// revision holds the last revision seen of each instance.
	revision   []uint64
	since      []time.Time
	polls      int
	reversions int
	group      sync.WaitGroup
	cancel     context.CancelFunc
}

// watch starts to poll; stop ends it.
func (c *Cluster) watch(ctx context.Context) *watcher {
	ctx, cancel := context.WithCancel(ctx)
	n := len(c.Instances)
	w := &watcher{
		cluster: c, cancel: cancel, changed: make(chan struct{}),
		revision: make([]uint64, n), since: make([]time.Time, n),
	}
	for i := range c.Instances {
		w.group.Go(func() { w.poll(ctx, i) })
	}
	return w
}

func (w *watcher) poll(ctx context.Context, i int) {
	ticker := time.NewTicker(statusPeriod)
	defer ticker.Stop()
	client := w.cluster.admin(i)
	for {
		if s, err := client.Status(ctx); err == nil {
			w.seen(i, s.Revision, time.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *watcher) seen(i int, revision uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if revision < w.revision[i] {
		w.reversions++
	}
	if revision == w.revision[i] {
		return
	}
	w.revision[i], w.since[i] = revision, now
	close(w.changed)
	w.changed = make(chan struct{})
}

// reached waits until every instance has the revision and returns the time at
// which the last one was seen with it.
func (w *watcher) reached(ctx context.Context, revision uint64) (time.Time, error) {
	for {
		w.mu.Lock()
		changed := w.changed
		lowest := slices.Min(w.revision)
		last := slices.MaxFunc(w.since, time.Time.Compare)
		w.mu.Unlock()
		if lowest >= revision {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, trace.Wrap(ctx.Err(), "revision %d is not in force everywhere", revision)
		case <-changed:
		}
	}
}

// stop ends the polls.
func (w *watcher) stop() {
	w.cancel()
	w.group.Wait()
}
