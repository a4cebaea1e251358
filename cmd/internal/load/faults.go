package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"masticbank.example/standin/fault"
)

// FaultResult tells how a fault was injected and what followed.
type FaultResult struct {
	Name string `json:"name"`
	// AtSeconds is the time from the start of the run.
	AtSeconds float64     `json:"at_s"`
	Fault     fault.Fault `json:"fault"`
	// Error is set when the stand-in did not take the fault.
	Error string `json:"error,omitempty"`
	// RecoverySeconds is the time until the goodput over recoveryWindow was
	// back at 90 % of that before the fault; -1 when that was not seen.
	RecoverySeconds float64 `json:"recovery_s"`
}

// startFaults injects the faults at their times. The returned function waits
// for them.
func (r *runner) startFaults(ctx context.Context) (wait func()) {
	r.faults = make([]FaultResult, len(r.scenario.Faults))
	var group sync.WaitGroup
	for i, f := range r.scenario.Faults {
		r.faults[i] = FaultResult{Name: f.Name, AtSeconds: f.At.Seconds(), Fault: f.Fault}
		group.Go(func() {
			if err := r.inject(ctx, f); err != nil {
				r.faults[i].Error = err.Error()
			}
		})
	}
	return group.Wait
}

func (r *runner) inject(ctx context.Context, f TimedFault) error {
	timer := time.NewTimer(time.Until(r.start.Add(f.At)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	return r.client.control(ctx, http.MethodPost, fault.Path, f.Fault, nil)
}
