// Package trial runs measurements against entry instances that are already running,
// and compares the responses to clients with the records of the stand-ins. It
// starts no process.
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
	// statusPollInterval is the interval between two status requests to one
	// instance.
	statusPollInterval = 5 * time.Millisecond
	statusTimeout      = 5 * time.Second
)

// Instance holds the addresses of one entry instance.
type Instance struct {
	// ClientAddress is the address for client requests, host:port.
	ClientAddress string
	// Admin is the base URL of the administration API.
	Admin string
}

// Cluster holds the addresses and keys of the measured instances and of the
// stand-ins.
type Cluster struct {
	Instances []Instance
	AdminKey  string
	// APIKey is the API key of a workspace.
	APIKey string
	// Control is the control address of the stand-ins, host:port.
	Control string
}

func (c *Cluster) admin(i int) *adminclient.Client {
	return adminclient.New(c.Instances[i].Admin, c.AdminKey)
}

// status returns the status of instance i.
func (c *Cluster) status(ctx context.Context, i int) (*admin.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s, err := c.admin(i).Status(ctx)
	return s, trace.Wrap(err)
}

// control sends a request to the control address of the stand-ins and decodes the
// response.
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

// revisionWatcher polls the configuration revision of every instance and counts
// reversions, in which an instance returns to an earlier revision.
type revisionWatcher struct {
	cluster *Cluster
	mu      sync.Mutex
	changed chan struct{}
	// revisions holds the last observed revision of each instance, reachedAt the
	// time of the first poll that returned it.
	revisions  []uint64
	reachedAt  []time.Time
	polls      int
	reversions int
	pollers    sync.WaitGroup
	cancel     context.CancelFunc
}

// watch starts a revisionWatcher, which runs until its stop method is called.
func (c *Cluster) watch(ctx context.Context) *revisionWatcher {
	ctx, cancel := context.WithCancel(ctx)
	n := len(c.Instances)
	w := &revisionWatcher{
		cluster: c, cancel: cancel, changed: make(chan struct{}),
		revisions: make([]uint64, n), reachedAt: make([]time.Time, n),
	}
	for i := range c.Instances {
		w.pollers.Go(func() { w.poll(ctx, i) })
	}
	return w
}

func (w *revisionWatcher) poll(ctx context.Context, i int) {
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	client := w.cluster.admin(i)
	for {
		if s, err := client.Status(ctx); err == nil {
			w.observe(i, s.Revision, time.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *revisionWatcher) observe(i int, revision uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if revision < w.revisions[i] {
		w.reversions++
	}
	if revision == w.revisions[i] {
		return
	}
	w.revisions[i], w.reachedAt[i] = revision, now
	close(w.changed)
	w.changed = make(chan struct{})
}

// waitForRevision waits until every instance has at least the given revision. It
// returns the time at which the last instance was observed to change its revision.
func (w *revisionWatcher) waitForRevision(ctx context.Context, revision uint64) (time.Time, error) {
	for {
		w.mu.Lock()
		changed := w.changed
		lowest := slices.Min(w.revisions)
		last := slices.MaxFunc(w.reachedAt, time.Time.Compare)
		w.mu.Unlock()
		if lowest >= revision {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, trace.Wrap(ctx.Err(), "revision %d is not in force on all instances", revision)
		case <-changed:
		}
	}
}

// stop ends polling and waits for the pollers.
func (w *revisionWatcher) stop() {
	w.cancel()
	w.pollers.Wait()
}
