package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that reached a replica.
type Run struct {
	ID, Replica, Method, Target, Body string
	At                                time.Time
	// Ran is false for a request that was rejected.
	Ran bool
}

// Replica is a stand-in replica. A model replica holds all layers of the model.
type Replica struct {
	id, service, address string
	slots                int
	model                bool
	born                 int64
	server               *http.Server
	// events and pause shape the streams of a model replica.
	events int
	pause  time.Duration
	// work is the time of a plain request.
	work time.Duration
	// handler, if set, replaces the usual way to serve a request.
	handler func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	sequence int64
	state    string
	running  int
	runs     []Run
}

func newReplica(id, service string, slots int, model bool) (*Replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{id: id, service: service, address: l.Addr().String(), slots: slots, model: model,
		born: time.Now().UnixMilli(), state: "ready", events: 20, pause: 100 * time.Millisecond, work: 15 * time.Millisecond}
	r.server = &http.Server{Handler: r, IdleTimeout: 10 * time.Second}
	go r.server.Serve(l)
	return r, nil
}

const (
	modelLayers = 4
	// usualTokens is the number of tokens of a request in these cases.
	usualTokens = 100
)

// entry returns the next entry of the replica in the store.
func (r *Replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	e := map[string]any{"service": r.service, "address": r.address, "zone": "z", "version": "v1", "slots": r.slots,
		"state": r.state, "coldRemainingMs": 0, "sequence": r.sequence, "born": r.born}
	if r.model {
		e["routeKind"] = "k"
		e["layers"] = map[string]int{"from": 0, "target": modelLayers, "version": 1}
	}
	return e
}

// beat writes the entry to the store until ctx ends.
func (r *Replica) beat(ctx context.Context, s *Store) {
	for ctx.Err() == nil {
		s.putJSON(replicaTopic, r.id, r.entry())
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (r *Replica) list() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{"stage": "both", "busy": false, "sequence": 0, "waiting": 0, "running": r.running,
		"kvUsed": r.running * usualTokens * modelLayers, "kvTotal": 440000, "handles": 0, "pace": 1.0, "born": r.born, "routeKind": "k",
		"layers": map[string]int{"from": 0, "target": modelLayers, "version": 1}, "stalled": []any{}})
}

// answerOrder answers an order: the layers that it would place are held already, and no request is on a path of
// several replicas.
func answerOrder(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation    string
		From, Target int
	}
	switch {
	case json.NewDecoder(req.Body).Decode(&o) != nil:
		w.WriteHeader(http.StatusBadRequest)
	case o.Operation == "repath":
		w.WriteHeader(http.StatusNotFound)
	case o.Operation == "place" && o.From == 0 && o.Target == modelLayers:
		w.WriteHeader(http.StatusOK)
	case o.Operation == "place":
		w.WriteHeader(http.StatusConflict)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/-/report":
		r.report(w)
		return
	case "/-/order":
		answerOrder(w, req)
		return
	}
	id := req.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.handler != nil && r.handler(w, req) {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	full := r.running >= r.slots
	r.runs = append(r.runs, Run{ID: id, Replica: r.id, Method: req.Method, Target: req.RequestURI, Body: string(body), At: time.Now(), Ran: !full})
	load := fmt.Sprintf("%d,0,%d", r.running, r.slots)
	if !full {
		r.running++
	}
	r.mu.Unlock()
	w.Header().Set("Replica-Load", load)
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	w.Header().Set("Response-Signature", "sig."+r.id)
	if r.model {
		r.stream(w, req)
		return
	}
	select {
	case <-time.After(r.work):
	case <-req.Context().Done():
		return
	}
	answer := "answer to " + id + " by " + r.id
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(w, answer)
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	for n := first; n <= r.events; n++ {
		select {
		case <-time.After(r.pause):
		case <-req.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, req.Header.Get("Attempt-Id"), n)
		w.(http.Flusher).Flush()
	}
}
