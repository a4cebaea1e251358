package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	at       time.Time
	replica  string
	id, path string
	ran      bool
}

// replica is a stand-in of a replica of a plain service, which may be started several times.
type replica struct {
	id, service, address string
	store                *store
	work                 time.Duration
	// clock is what the time of day at its machine is ahead, in nanoseconds.
	clock atomic.Int64
	log   func(string, ...any)

	mu       sync.Mutex
	server   *http.Server
	born     int64
	sequence int64
	state    string
	stopBeat chan struct{}
	arrivals []arrival
	running  int
}

const (
	heartbeat = 1200 * time.Millisecond
	slots     = 6
)

// up starts a process of the replica, which registers itself in the store.
func (r *replica) up() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	stop := make(chan struct{})
	r.mu.Lock()
	r.born = time.Now().Add(time.Duration(r.clock.Load())).UnixMilli()
	r.sequence, r.state, r.stopBeat = 0, "ready", stop
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				r.beat()
			}
		}
	}()
	return nil
}

// beat writes the entry of the replica.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	entry, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "quito", "version": "v1", "slots": slots, "state": r.state,
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	})
	if err != nil {
		panic(err)
	}
	if r.sequence == 1 || r.state != "ready" {
		r.log("store accepts the entry of %s: %s", r.id, entry)
	}
	r.store.put("keyed.servers", r.id, entry)
}

// drain reports that the replica leaves, and returns when the store has accepted that.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.beat()
	return time.Now()
}

// vanish removes the entry of a replica that leaves without a report, and returns when the store has
// accepted that. The replica serves on.
func (r *replica) vanish() time.Time {
	r.endBeats()
	r.store.put("keyed.servers", r.id, nil)
	return time.Now()
}

func (r *replica) endBeats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopBeat != nil {
		close(r.stopBeat)
	}
	r.stopBeat = nil
}

// down ends the process; connections are reset.
func (r *replica) down() {
	r.endBeats()
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.mu.Unlock()
	_ = server.Close()
}

// leave ends the process of a replica that leaves, and removes its entry.
func (r *replica) leave() {
	r.down()
	r.store.put("keyed.servers", r.id, nil)
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		w.Header().Set("Replica-Id", r.id)
		return
	}
	if strings.HasPrefix(req.URL.Path, "/-/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	h := w.Header()
	h.Set("Replica-Id", r.id)
	id := req.Header.Get("Attempt-Id")
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), r.id, id, req.URL.Path, true})
	leaving := r.state != "ready"
	r.running++
	h.Set("Replica-Load", fmt.Sprintf("%d,0,%d", r.running, slots))
	r.mu.Unlock()
	time.Sleep(r.work)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	if leaving {
		h.Set("Connection", "close")
	}
	h.Set("Response-Signature", "stamp."+r.id+"."+id)
	_, _ = io.WriteString(w, "answer of "+r.id+"\n")
}

func (r *replica) arrived() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
