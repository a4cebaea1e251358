package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/standin/fault"
	"masticbank.example/standin/fleet"
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
	body, err := json.Marshal(f.Fault)
	if err != nil {
		return trace.Wrap(err)
	}
	url := "http://" + r.scenario.Control + fault.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := r.client.http.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxDetail))
		return trace.BadParameter("status %d: %s", response.StatusCode, reason)
	}
	return nil
}

// Checks is what the stand-ins saw during a run.
type Checks struct {
	// Violations counts the steps that were a gap or a repeat.
	Violations int `json:"violations"`
	// Examples holds the first of them.
	Examples []string `json:"examples,omitempty"`
	// OrdersRecorded and OrdersRepeated count the orders recorded, and the keys
	// recorded more than once.
	OrdersRecorded int `json:"orders_recorded"`
	OrdersRepeated int `json:"orders_repeated"`
}

// maxExamples bounds the violations shown.
const maxExamples = 10

// fetchCheck asks the stand-ins for what they have seen so far.
func (c *client) fetchCheck(ctx context.Context) (*fleet.Check, error) {
	if c.scenario.Control == "" {
		return nil, nil
	}
	url := "http://" + c.scenario.Control + fleet.PathCheck
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	check := new(fleet.Check)
	return check, trace.Wrap(json.NewDecoder(response.Body).Decode(check))
}

// checkSince returns what the stand-ins saw since before.
func (c *client) checkSince(ctx context.Context, before *fleet.Check) (*Checks, error) {
	after, err := c.fetchCheck(ctx)
	if err != nil || after == nil {
		return nil, trace.Wrap(err)
	}
	out := &Checks{
		Violations:     len(after.Violations) - len(before.Violations),
		OrdersRecorded: after.Orders - before.Orders,
		OrdersRepeated: len(after.RepeatedKeys) - len(before.RepeatedKeys),
	}
	for i := len(before.Violations); i < len(after.Violations) && len(out.Examples) < maxExamples; i++ {
		v := after.Violations[i]
		out.Examples = append(out.Examples, v.Engine+" "+v.Code+": "+v.Detail)
	}
	return out, nil
}
