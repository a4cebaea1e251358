package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/node/metrics"
)

// Result holds the measurements of one run.
type Result struct {
	Name    string    `json:"name"`
	Seed    uint64    `json:"seed"`
	Started time.Time `json:"started"`
	Targets []string  `json:"targets"`
	// Seconds is the duration of all phases, or the time until the run was
	// interrupted.
	Seconds float64 `json:"seconds"`
	// Interrupted is true if the run ended before all requests were sent.
	Interrupted bool `json:"interrupted"`
	// Whole covers all phases except warm-up phases.
	Whole  Summary       `json:"whole"`
	Phases []PhaseResult `json:"phases"`
	// Series holds time series with one point per second: one for all ranks, named
	// "all", and one for each rank.
	Series []Series      `json:"series"`
	Faults []FaultResult `json:"faults,omitempty"`
	// Checks holds the observations of the stand-ins; nil without a control
	// address.
	Checks    *Checks   `json:"checks,omitempty"`
	Generator Generator `json:"generator"`
}

// Generator describes how well the generator kept to its schedule.
type Generator struct {
	// LateSend is the delay between the intended arrival and the actual send.
	LateSend metrics.Distribution `json:"late_send"`
	// MaxInFlight is the largest number of requests in progress at once.
	MaxInFlight int `json:"max_in_flight"`
}

// PhaseResult summarizes the requests that arrived in one phase.
type PhaseResult struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Warmup  bool    `json:"warmup"`
	Summary Summary `json:"summary"`
}

// Summary describes a set of requests, in total and by rank, workspace and flow.
type Summary struct {
	All        Group            `json:"all"`
	Ranks      map[string]Group `json:"ranks"`
	Workspaces map[string]Group `json:"workspaces"`
	Flows      map[string]Group `json:"flows"`
	// BoundTokensPerSecond is the maximum throughput that the fleet allows for this
	// mix of requests; 0 if it is unknown.
	BoundTokensPerSecond float64 `json:"bound_tokens_per_second"`
	// Jain is Jain's fairness index of the workspaces' goodput relative to their
	// max-min fair shares of the total goodput; 1 is perfectly fair. It is 0 if
	// there is no goodput.
	Jain float64 `json:"jain"`
}

// Group describes the requests of one rank, workspace or flow.
type Group struct {
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Statuses and Executions count responses by HTTP status and by execution
	// header; "none" counts requests without one.
	Statuses   map[string]int `json:"statuses"`
	Executions map[string]int `json:"executions"`
	// Details counts the requests that did not complete by reason.
	Details map[string]int `json:"details,omitempty"`
	// InTime is the number of requests that completed within their deadline.
	InTime int `json:"in_time"`
	// DemandTokens is the number of tokens requested.
	DemandTokens int `json:"demand_tokens"`
	// GoodTokens is the number of tokens of requests that completed within
	// their deadline.
	GoodTokens int `json:"good_tokens"`
	// GoodputTokensPerSecond counts the good tokens received within the phases
	// covered, regardless of when their request arrived.
	GoodputTokensPerSecond float64 `json:"goodput_tokens_per_second"`
	// FirstToken and BetweenTokens cover completed streams, Total covers all
	// completed requests.
	FirstToken    metrics.Distribution `json:"first_token"`
	BetweenTokens metrics.Distribution `json:"between_tokens"`
	Total         metrics.Distribution `json:"total"`
}

// Series is the time series of one rank, with one point per second.
type Series struct {
	Rank   string  `json:"rank"`
	Points []Point `json:"points"`
}

// Point describes one second of a run.
type Point struct {
	// Arrived, Completed, Refused and Lost count requests by the second of their
	// arrival. Lost are those neither completed nor refused.
	Arrived   int `json:"arrived"`
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	Lost      int `json:"lost"`
	// GoodTokens counts tokens by the second in which they were received.
	GoodTokens int `json:"good_tokens"`
	// FirstTokenP95 covers completed streams by the second of their arrival, in
	// microseconds; 0 if there are none.
	FirstTokenP95 int64 `json:"first_token_p95_us"`
}

// WriteFile writes the result as JSON.
func (r *Result) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, append(data, '\n'), 0o644))
}

// ReadFile reads a result written by WriteFile.
func ReadFile(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	r := new(Result)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, trace.Wrap(err, "reading %s", path)
	}
	return r, nil
}
