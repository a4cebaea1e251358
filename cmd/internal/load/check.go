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

// Checks is what the stand-ins saw during a run, beside what callers were told.
type Checks struct {
	// Violations counts the steps that were a gap or a repeat.
	Violations int `json:"violations"`
	// Examples holds the first of them.
	Examples []string `json:"examples,omitempty"`
	// OrdersRecorded and OrdersRepeated count the orders recorded, and the keys
	// recorded more than once.
	OrdersRecorded int `json:"orders_recorded"`
	OrdersRepeated int `json:"orders_repeated"`
	// OrdersLost counts the keys answered as done that were not recorded.
	OrdersLost int `json:"orders_lost"`
	// NotRun counts the orders and requests whose callers were only told that
	// they were not run; FalselyNotRun those of them that had run.
	NotRun        int `json:"not_run"`
	FalselyNotRun int `json:"falsely_not_run"`
	// Unseen counts the completed model requests of which no step was seen. It
	// shows that the IDs of answers and steps are the same, without which
	// FalselyNotRun would say nothing.
	Unseen int `json:"unseen"`
}

// maxExamples bounds the violations shown.
const maxExamples = 10

// Defects names what must never happen and did.
func (r *Result) Defects() []string {
	var out []string
	add := func(n int, what string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, what))
		}
	}
	for _, p := range r.Phases {
		add(p.Summary.All.Outcomes[Wrong], "wrong answers in phase "+p.Name)
		add(p.Summary.All.Outcomes[Partial], "cut answers in phase "+p.Name)
	}
	if c := r.Checks; c != nil {
		add(c.Violations, "steps out of order or repeated")
		add(c.OrdersRepeated, "orders recorded more than once")
		add(c.OrdersLost, "orders answered as done and not recorded")
		add(c.FalselyNotRun, "requests that ran and were told not run")
		add(c.Unseen, "answers completed without a step seen")
	}
	return out
}

// fetchCheck asks the stand-ins for what they have seen so far; nil without a
// control address.
func (c *client) fetchCheck(ctx context.Context) (*fleet.Check, error) {
	if c.scenario.Control == "" {
		return nil, nil
	}
	check := new(fleet.Check)
	return check, c.control(ctx, http.MethodGet, fleet.PathCheck, nil, check)
}

// control sends a request to the control address and decodes the answer.
func (c *client) control(ctx context.Context, method, path string, message, out any) error {
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
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxDetail))
		return trace.BadParameter("%s: status %d: %s", url, response.StatusCode, reason)
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.NewDecoder(response.Body).Decode(out))
}

// checkSince returns what the stand-ins saw since before.
func (c *client) checkSince(ctx context.Context, before *fleet.Check, samples []sample) (*Checks, error) {
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
	told := c.whatCallersWereTold(samples)
	var records fleet.Records
	if err := c.control(ctx, http.MethodPost, fleet.PathRecords, told.query(), &records); err != nil {
		return nil, trace.Wrap(err)
	}
	told.compare(records, out)
	return out, nil
}

// told is what callers were told of orders and model requests.
type told struct {
	orders map[string]toldOrder
	// notRun and completed hold the IDs of model requests.
	notRun    []string
	completed []string
}

// toldOrder is what was told of one key by all answers together.
type toldOrder struct {
	done bool
	// notRunOnly is true when every answer said that the order was not run.
	notRunOnly bool
}

func (c *client) whatCallersWereTold(samples []sample) told {
	t := told{orders: make(map[string]toldOrder)}
	for i := range samples {
		s := &samples[i]
		switch {
		case s.arrival.orderKey != "" && s.outcome != Unsent:
			t.addOrder(c.fullKey(s.arrival), s)
		case !s.arrival.isModel() || s.requestID == "":
		case s.execution == executionNotRun:
			t.notRun = append(t.notRun, s.requestID)
		case s.outcome == Completed:
			t.completed = append(t.completed, s.requestID)
		}
	}
	return t
}

func (t told) addOrder(key string, s *sample) {
	order, known := t.orders[key]
	t.orders[key] = toldOrder{
		done:       order.done || s.outcome == Completed || s.outcome == Wrong,
		notRunOnly: s.execution == executionNotRun && (order.notRunOnly || !known),
	}
}

func (t told) query() fleet.RecordsQuery {
	q := fleet.RecordsQuery{Requests: slices.Concat(t.notRun, t.completed)}
	for key := range t.orders {
		q.Keys = append(q.Keys, key)
	}
	return q
}

// compare adds to out where the records differ from what was told.
func (t told) compare(records fleet.Records, out *Checks) {
	for key, order := range t.orders {
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
	for _, id := range t.notRun {
		out.NotRun++
		if records.Ran[id] {
			out.FalselyNotRun++
		}
	}
	for _, id := range t.completed {
		if !records.Ran[id] {
			out.Unseen++
		}
	}
}
