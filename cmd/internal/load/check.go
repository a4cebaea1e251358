package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/gravitational/trace"

	"masticbank.example/standin/fleet"
)

// Checks compares what the stand-ins recorded during a run with the responses that
// clients received.
type Checks struct {
	// Violations counts the steps that were out of order or repeated.
	Violations int `json:"violations"`
	// Examples holds the first violations.
	Examples []string `json:"examples,omitempty"`
	// OrdersRecorded counts the recorded orders, OrdersRepeated the idempotency
	// keys recorded more than once.
	OrdersRecorded int `json:"orders_recorded"`
	OrdersRepeated int `json:"orders_repeated"`
	// OrdersLost counts the idempotency keys that were reported as done but not
	// recorded.
	OrdersLost int `json:"orders_lost"`
	// NotRun counts the orders and model requests for which every response said
	// that they were not run. FalselyNotRun counts those among them that had run.
	NotRun        int `json:"not_run"`
	FalselyNotRun int `json:"falsely_not_run"`
	// Unseen counts the completed model requests for which no step was recorded. It
	// must be 0: otherwise the request IDs of responses and steps do not match, and
	// FalselyNotRun cannot detect anything.
	Unseen int `json:"unseen"`
}

// maxExamples limits the number of violations listed in Examples.
const maxExamples = 10

// Defects returns one line for each kind of error that must never occur and was
// observed.
func (r *Result) Defects() []string {
	var out []string
	add := func(n int, what string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, what))
		}
	}
	for _, p := range r.Phases {
		add(p.Summary.All.Outcomes[Wrong], "wrong responses in phase "+p.Name)
		add(p.Summary.All.Outcomes[Partial], "truncated responses in phase "+p.Name)
	}
	if c := r.Checks; c != nil {
		add(c.Violations, "steps out of order or repeated")
		add(c.OrdersRepeated, "orders recorded more than once")
		add(c.OrdersLost, "orders reported as done but not recorded")
		add(c.FalselyNotRun, "requests that ran but were reported as not run")
		add(c.Unseen, "completed requests without a recorded step")
	}
	return out
}

// fetchCheck returns what the stand-ins have recorded so far; nil without a control
// address.
func (c *client) fetchCheck(ctx context.Context) (*fleet.CheckResult, error) {
	if c.scenario.Control == "" {
		return nil, nil
	}
	check := new(fleet.CheckResult)
	return check, c.callControl(ctx, http.MethodGet, fleet.PathCheck, nil, check)
}

// callControl sends a request to the control address and decodes the response into
// out, unless that is nil.
func (c *client) callControl(ctx context.Context, method, path string, message, out any) error {
	var body io.Reader
	if message != nil {
		data, err := json.Marshal(message)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	url := "http://" + c.scenario.Control + path
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
		return trace.BadParameter("%s: status %d: %s", url, response.StatusCode, reason)
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.NewDecoder(response.Body).Decode(out))
}

// checkSince compares the records that the stand-ins made after before with the
// responses to the samples.
func (c *client) checkSince(ctx context.Context, before *fleet.CheckResult, samples []sample) (*Checks, error) {
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
	reported := c.collectReported(samples)
	var records fleet.Records
	if err := c.callControl(ctx, http.MethodPost, fleet.PathRecords, reported.recordsQuery(), &records); err != nil {
		return nil, trace.Wrap(err)
	}
	reported.compare(records, out)
	return out, nil
}

// reportedOutcomes holds the outcomes of orders and model requests according to the
// responses that clients received.
type reportedOutcomes struct {
	orders map[string]reportedOrder
	// notRun and completed hold the IDs of model requests.
	notRun    []string
	completed []string
}

// reportedOrder combines all responses to one idempotency key.
type reportedOrder struct {
	done bool
	// notRunOnly is true if every response said that the order was not run.
	notRunOnly bool
}

func (c *client) collectReported(samples []sample) reportedOutcomes {
	reported := reportedOutcomes{orders: make(map[string]reportedOrder)}
	for i := range samples {
		s := &samples[i]
		switch {
		case s.arrival.orderKey != "" && s.outcome != Unsent:
			reported.addOrder(c.idempotencyKey(s.arrival), s)
		case !s.arrival.isModel() || s.requestID == "":
		case s.execution == executionNotRun:
			reported.notRun = append(reported.notRun, s.requestID)
		case s.outcome == Completed:
			reported.completed = append(reported.completed, s.requestID)
		}
	}
	return reported
}

func (r reportedOutcomes) addOrder(key string, s *sample) {
	order, known := r.orders[key]
	r.orders[key] = reportedOrder{
		done:       order.done || s.outcome == Completed || s.outcome == Wrong,
		notRunOnly: s.execution == executionNotRun && (order.notRunOnly || !known),
	}
}

func (r reportedOutcomes) recordsQuery() fleet.RecordsQuery {
	q := fleet.RecordsQuery{Requests: slices.Concat(r.notRun, r.completed)}
	for key := range r.orders {
		q.Keys = append(q.Keys, key)
	}
	return q
}

// compare counts the differences between the reported outcomes and the records in
// out.
func (r reportedOutcomes) compare(records fleet.Records, out *Checks) {
	for key, order := range r.orders {
		if order.done && records.Orders[key] == 0 {
			out.OrdersLost++
		}
		if !order.notRunOnly {
			continue
		}
		out.NotRun++
		if records.Orders[key] > 0 {
			out.FalselyNotRun++
		}
	}
	for _, id := range r.notRun {
		out.NotRun++
		if records.Ran[id] {
			out.FalselyNotRun++
		}
	}
	for _, id := range r.completed {
		if !records.Ran[id] {
			out.Unseen++
		}
	}
}
