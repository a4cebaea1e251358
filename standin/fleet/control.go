package fleet

import (
	"encoding/json"
	"net/http"

	"masticbank.example/standin/engine"
	"masticbank.example/standin/fault"
)

// PathCheck answers a Check on the control address.
const PathCheck = "/check"

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

// control returns the handler of the control address.
func (f *Fleet) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCheck, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f.Check())
	})
	mux.HandleFunc("POST "+fault.Path, func(w http.ResponseWriter, r *http.Request) {
		var x fault.Fault
		err := json.NewDecoder(r.Body).Decode(&x)
		if err == nil {
			err = f.Inject(x)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
