package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"masticbank.example/standin/fault"
)

// FaultResult describes an injected fault and the recovery from it.
type FaultResult struct {
	Name string `json:"name"`
	// AtSeconds is measured from the start of the run.
	AtSeconds float64     `json:"at_s"`
	Fault     fault.Fault `json:"fault"`
	// Error is set if the stand-in rejected the fault or could not be reached.
	Error string `json:"error,omitempty"`
	// RecoverySeconds is the time until the goodput, averaged over
	// recoveryWindowSeconds, was back at 90 % of its value before the fault; -1 if
	// no recovery was observed.
	RecoverySeconds float64 `json:"recovery_s"`
}

// startFaults schedules the injection of all faults. The returned function waits
// until all are injected or ctx ends.
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
	return r.client.callControl(ctx, http.MethodPost, fault.Path, f.Fault, nil)
}
