// Package service is a small stand-in for a plain service with idempotent calls
// (status) and non-idempotent calls (orders). It records an order for each call that
// it runs, so that a repeated call shows as two records.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"masticbank.example/node/wire"
	"masticbank.example/standin/fault"
)

const (
	// KeyHeader is the header that carries the idempotency key of an order.
	KeyHeader = "Idempotency-Key"
	// maxBody is the maximum size of an order's body in bytes.
	maxBody = 1 << 20
	// defaultSlots is the capacity given in load reports. It is not enforced.
	defaultSlots = 32
)

// Records counts the orders of all replicas of a service by idempotency key. It is
// safe for concurrent use.
type Records struct {
	mu    sync.Mutex
	byKey map[string]int
	total int
}

// NewRecords returns empty records.
func NewRecords() *Records { return &Records{byKey: make(map[string]int)} }

// Count returns the number of orders recorded under key.
func (r *Records) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byKey[key]
}

// Total returns the number of all recorded orders.
func (r *Records) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// RepeatedKeys returns the keys under which more than one order was recorded.
func (r *Records) RepeatedKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key, n := range r.byKey {
		if key != "" && n > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// add records an order and returns the number of all recorded orders.
func (r *Records) add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey[key]++
	r.total++
	return r.total
}

// Options configures one replica of a service.
type Options struct {
	ID   string
	Name string
	// Latency is the processing time of one call.
	Latency time.Duration
	// Records are shared by the replicas of a service; nil means that the replica
	// has records of its own.
	Records *Records
}

// Service is one replica. It is an http.Handler and safe for concurrent use.
type Service struct {
	options Options
	mux     *http.ServeMux

	mu        sync.Mutex
	running   int
	leaving   bool
	factor    float64
	remaining map[fault.Kind]int
}

// Order is the response to a recorded order.
type Order struct {
	// Number is the number of orders that the service has recorded, including
	// this one.
	Number int    `json:"number"`
	Key    string `json:"key"`
	// Body is the body of the request.
	Body string `json:"body"`
}

// Status is the response to GET /status.
type Status struct {
	Service string `json:"service"`
	Orders  int    `json:"orders"`
}

// New returns a replica.
func New(o Options) *Service {
	if o.Records == nil {
		o.Records = NewRecords()
	}
	s := &Service{options: o, factor: 1, remaining: make(map[fault.Kind]int)}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /orders", s.serveOrder)
	s.mux.HandleFunc("GET /status", s.serveStatus)
	s.mux.HandleFunc("GET /status/{id...}", s.serveStatus)
	s.mux.HandleFunc("GET "+wire.PathLoad, s.serveLoad)
	s.mux.HandleFunc("GET "+wire.PathProbe, s.serveProbe)
	s.mux.HandleFunc("POST "+fault.Path, s.serveFault)
	return s
}

// ServeHTTP serves orders, status, load reports, probes and faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// OrderCount returns the number of orders recorded under key by all replicas that
// share the records.
func (s *Service) OrderCount(key string) int { return s.options.Records.Count(key) }

// Inject applies a fault of one of the kinds Slow, Leaving, CloseAfterRecording,
// RefuseBeforeRecording and Restore.
func (s *Service) Inject(f fault.Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case fault.Slow:
		s.factor = f.Factor
	case fault.Leaving:
		s.leaving = true
	case fault.CloseAfterRecording, fault.RefuseBeforeRecording:
		s.remaining[f.Kind] = f.Responses()
	case fault.Restore:
		s.factor, s.leaving = 1, false
		clear(s.remaining)
	default:
		return fmt.Errorf("%w %q", fault.ErrUnknown, f.Kind)
	}
	if f.DurationMillis > 0 {
		time.AfterFunc(f.Duration(), func() { _ = s.Inject(fault.Fault{Kind: fault.Restore}) })
	}
	return nil
}

func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.CodeMalformed, err.Error())
		return
	}
	if s.isLeaving() {
		writeError(w, http.StatusServiceUnavailable, wire.CodeLeaving, "no new calls")
		return
	}
	if s.consumeFault(fault.RefuseBeforeRecording) {
		writeError(w, http.StatusTooManyRequests, wire.CodeOverloaded, "nothing was recorded")
		return
	}
	defer s.startWork()()
	key := r.Header.Get(KeyHeader)
	number := s.options.Records.add(key)
	if s.consumeFault(fault.CloseAfterRecording) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, Order{Number: number, Key: key, Body: string(body)})
}

func (s *Service) serveStatus(w http.ResponseWriter, _ *http.Request) {
	if s.isLeaving() {
		writeError(w, http.StatusServiceUnavailable, wire.CodeLeaving, "no new calls")
		return
	}
	defer s.startWork()()
	writeJSON(w, http.StatusOK, Status{Service: s.options.Name, Orders: s.options.Records.Total()})
}

// startWork counts the call as running and sleeps for the processing time. The returned
// function ends the call.
func (s *Service) startWork() func() {
	s.mu.Lock()
	s.running++
	latency := time.Duration(float64(s.options.Latency) * s.factor)
	s.mu.Unlock()
	time.Sleep(latency)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}
}

func (s *Service) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// consumeFault reports whether the fault applies to this response, and counts it down.
func (s *Service) consumeFault(kind fault.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.remaining[kind]
	if left > 0 {
		s.remaining[kind] = left - 1
	}
	return left != 0
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := wire.LoadReport{
		Running: s.running, Slots: defaultSlots, Leaving: s.leaving,
		StepMillis: float64(s.options.Latency) * s.factor / float64(time.Millisecond),
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (s *Service) serveProbe(w http.ResponseWriter, _ *http.Request) {
	if s.isLeaving() {
		writeError(w, http.StatusServiceUnavailable, wire.CodeLeaving, "no new calls")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var f fault.Fault
	err := json.NewDecoder(r.Body).Decode(&f)
	if err == nil {
		err = s.Inject(f)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.CodeMalformed, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, wire.ErrorBody{Code: code, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
