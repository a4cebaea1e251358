package fleet

import (
	"encoding/json"
	"net/http"

	"masticbank.example/standin/engine"
	"masticbank.example/standin/fault"
)

// Paths of the control address. It serves fault.Path too.
const (
	// PathCheck serves, by GET, a summary of what the stand-ins have recorded.
	PathCheck = "/check"
	// PathRecords accepts a query by POST and responds with the records of the
	// orders and requests in it.
	PathRecords = "/records"
)

// RecordsQuery selects the orders and model requests whose records are returned.
type RecordsQuery struct {
	// Keys holds the idempotency keys of orders.
	Keys []string `json:"keys"`
	// Requests holds the IDs of model requests.
	Requests []string `json:"requests"`
}

// Records is the response to a RecordsQuery.
type Records struct {
	// Orders holds the number of recorded orders of each key that has any.
	Orders map[string]int `json:"orders"`
	// Ran holds true for each request of which at least one step ran.
	Ran map[string]bool `json:"ran"`
}

// CheckResult summarizes what the stand-ins have recorded since their start.
type CheckResult struct {
	// Violations holds every gap and repetition of model steps.
	Violations []engine.Violation `json:"violations"`
	// Orders is the number of orders recorded by all services.
	Orders int `json:"orders"`
	// RepeatedKeys holds the idempotency keys recorded more than once.
	RepeatedKeys []string `json:"repeated_keys"`
}

// Check returns a summary of what the stand-ins have recorded.
func (f *Fleet) Check() CheckResult {
	return CheckResult{
		Violations:   f.Violations(),
		Orders:       f.Orders(),
		RepeatedKeys: f.RepeatedOrders(),
	}
}

// Records returns the records of the orders and requests in the query.
func (f *Fleet) Records(q RecordsQuery) Records {
	out := Records{Orders: make(map[string]int), Ran: make(map[string]bool)}
	for _, key := range q.Keys {
		for _, r := range f.serviceRecords {
			if n := r.Count(key); n > 0 {
				out.Orders[key] += n
			}
		}
	}
	for _, id := range q.Requests {
		for _, c := range f.stepCheckers {
			if c.Ran(id) {
				out.Ran[id] = true
			}
		}
	}
	return out
}

// controlHandler returns the HTTP handler of the control address.
func (f *Fleet) controlHandler() http.Handler {
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

// readJSON decodes the request body into v. If that fails, it responds with status 400
// and returns false.
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
