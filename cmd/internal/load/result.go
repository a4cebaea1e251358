package load

import (
	"encoding/json"
	"os"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/node/metrics"
)

// Result is what one run measured.
type Result struct {
	Name    string    `json:"name"`
	Seed    uint64    `json:"seed"`
	Started time.Time `json:"started"`
	Targets []string  `json:"targets"`
	// Seconds is the length of the phases that were sent.
	Seconds float64 `json:"seconds"`
	// Interrupted is true when the run was ended early.
	Interrupted bool `json:"interrupted"`
	// Whole covers all phases but warm-ups.
	Whole  Summary       `json:"whole"`
	Phases []PhaseResult `json:"phases"`
	// Series holds one value a second for all ranks together, named "all", and
	// for each rank.
	Series []Series      `json:"series"`
	Faults []FaultResult `json:"faults,omitempty"`
	// Checks is what the stand-ins saw; nil without a control address.
	Checks    *Checks   `json:"checks,omitempty"`
	Generator Generator `json:"generator"`
}

// Generator describes how well the generator kept its schedule.
type Generator struct {
	// LateSend is the time from the intended arrival to the sending.
	LateSend metrics.Distribution `json:"late_send"`
	// MaxInFlight is the largest number of requests in progress.
	MaxInFlight int `json:"max_in_flight"`
}

// PhaseResult is the summary of the requests that arrived in one phase.
type PhaseResult struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Warmup  bool    `json:"warmup"`
	Summary Summary `json:"summary"`
}

// Summary describes a set of requests.
type Summary struct {
	All        Group            `json:"all"`
	Ranks      map[string]Group `json:"ranks"`
	Workspaces map[string]Group `json:"workspaces"`
	Flows      map[string]Group `json:"flows"`
	// BoundTokensPerSecond is the most that the fleet allows for this mix of
	// requests; 0 when it is not known.
	BoundTokensPerSecond float64 `json:"bound_tokens_per_second"`
	// Jain is Jain's index of the workspaces' goodput relative to their max-min
	// fair share of all goodput; 1 is fair. It is 0 without goodput.
	Jain float64 `json:"jain"`
}

// Group describes the requests of one rank, workspace or flow.
type Group struct {
	Requests int             `json:"requests"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Statuses and Executions count answers; "none" means that none came.
	Statuses   map[string]int `json:"statuses"`
	Executions map[string]int `json:"executions"`
	// Details counts the reasons of requests that did not complete.
	Details map[string]int `json:"details,omitempty"`
	// InTime counts the completed requests within their deadline.
	InTime int `json:"in_time"`
	// DemandTokens is the number of tokens asked for.
	DemandTokens int `json:"demand_tokens"`
	// GoodTokens is the number of tokens of requests in time.
	GoodTokens int `json:"good_tokens"`
	// GoodputTokensPerSecond counts the tokens of requests in time that came
	// within the phases covered, whenever their request arrived.
	GoodputTokensPerSecond float64 `json:"goodput_tokens_per_second"`
	// FirstToken and BetweenTokens cover completed streams, Total all completed
	// requests.
	FirstToken    metrics.Distribution `json:"first_token"`
	BetweenTokens metrics.Distribution `json:"between_tokens"`
	Total         metrics.Distribution `json:"total"`
}

// Series is a time series of one rank, one point a second.
type Series struct {
	Rank   string  `json:"rank"`
	Points []Point `json:"points"`
}

// Point is one second.
type Point struct {
	// Arrived, Completed, Refused and Lost count by the second of arrival; Lost
	// are those neither completed nor refused.
	Arrived   int `json:"arrived"`
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	Lost      int `json:"lost"`
	// GoodTokens counts by the second in which a token came.
	GoodTokens int `json:"good_tokens"`
	// FirstTokenP95 covers completed streams by the second of arrival, in
	// microseconds; 0 when there are none.
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

// ReadFile reads a result that WriteFile wrote.
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
