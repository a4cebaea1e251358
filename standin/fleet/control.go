package fleet

import (
	"encoding/json"
	"net/http"

	"masticbank.example/standin/engine"
	"masticbank.example/standin/fault"
)

// Paths of the control address besides fault.Path.
const (
	// PathCheck answers a Check.
	PathCheck = "/check"
	// PathRecords takes a RecordsQuery by POST and answers Records.
	PathRecords = "/records"
)

// RecordsQuery asks what became of orders and model requests.
type RecordsQuery struct {
	// Keys are idempotency keys of orders.
	Keys []string `json:"keys"`
	// Requests are IDs of model requests.
	Requests []string `json:"requests"`
}

// Records answers a RecordsQuery.
type Records struct {
	// Orders holds the number of records of each key that has any.
	Orders map[string]int `json:"orders"`
	// Ran holds the requests of which at least one step ran.
	Ran map[string]bool `json:"ran"`
}

// Check is what the stand-ins have seen since their start.
type Check struct {
	// Violations holds every gap and repeat of model steps.
	Violations []engine.Violation `json:"violations"`
	// Orders is the number of orders recorded by all services.
	Orders int `json:"orders"`
	// RepeatedKeys holds the idempotency keys recorded more than once.
	RepeatedKeys []string `json:"repeated_keys"`
}

// Check returns what the stand-ins have seen.
func (f *Fleet) Check() Check {
	return Check{
		Violations:   f.Violations(),
		Orders:       f.Orders(),
		RepeatedKeys: f.RepeatedOrders(),
	}
}

// Records returns what became of the orders and requests asked for.
func (f *Fleet) Records(q RecordsQuery) Records {
	out := Records{Orders: make(map[string]int), Ran: make(map[string]bool)}
	for _, key := range q.Keys {
		for _, r := range f.records {
			if n := r.Records(key); n > 0 {
				out.Orders[key] += n
			}
		}
	}
	for _, id := range q.Requests {
		for _, l := range f.ledgers {
			if l.Ran(id) {
				out.Ran[id] = true
			}
		}
	}
	return out
}

// control returns the handler of the control address.
func (f *Fleet) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCheck, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, f.Check())
	})
	mux.HandleFunc("POST "+PathRecords, func(w http.ResponseWriter, r *http.Request) {
		var q RecordsQuery
		if readJSON(w, r, &q) {
			writeJSON(w, f.Records(q))
		}
	})
	mux.HandleFunc("POST "+fault.Path, func(w http.ResponseWriter, r *http.Request) {
		var x fault.Fault
		if !readJSON(w, r, &x) {
			return
		}
		if err := f.Inject(x); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// readJSON reads a body into v; it answers itself when it cannot.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
