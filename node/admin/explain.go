package admin

import (
	"net/http"
	"net/url"
	"strconv"
)

// RequestExplanation describes the result of a finished request or the queue
// position of a waiting one.
type RequestExplanation struct {
	RequestID string `json:"request_id"`
	Pool      string `json:"pool"`
	// State is "waiting", "complete" or "failed".
	State               string  `json:"state"`
	QueuePosition       int     `json:"place,omitempty"`
	TokensAhead         float64 `json:"tokens_ahead,omitempty"`
	ExpectedWaitSeconds float64 `json:"expected_wait_seconds,omitempty"`

	Code              string   `json:"code,omitempty"`
	Message           string   `json:"message,omitempty"`
	Execution         string   `json:"execution,omitempty"`
	Workspace         string   `json:"workspace,omitempty"`
	Rank              int      `json:"rank"`
	Attempts          int      `json:"attempts"`
	Route             []string `json:"route,omitempty"`
	QueueSeconds      float64  `json:"queue_seconds"`
	FirstTokenSeconds float64  `json:"first_token_seconds"`
	TotalSeconds      float64  `json:"total_seconds"`
	EstimatedSeconds  float64  `json:"estimated_seconds"`
}

// RouteExplanation describes the route that would be chosen now and the estimates
// for all replicas.
type RouteExplanation struct {
	Outcome          string               `json:"outcome"`
	Route            []string             `json:"route"`
	EstimatedSeconds float64              `json:"estimated_seconds"`
	LowestSeconds    float64              `json:"lowest_seconds"`
	Replicas         []ReplicaExplanation `json:"replicas"`
}

// ReplicaExplanation holds the state and the estimate of one replica in a
// RouteExplanation.
type ReplicaExplanation struct {
	ID             string  `json:"id"`
	FirstLayer     int     `json:"first_layer"`
	LastLayer      int     `json:"last_layer"`
	Status         string  `json:"standing"`
	Weight         float64 `json:"weight"`
	Occupancy      int     `json:"occupancy"`
	Limit          int     `json:"limit"`
	CachedFraction float64 `json:"cached_part"`
	Seconds        float64 `json:"seconds"`
}

// explain explains the request with the given ID, or the route of a hypothetical
// request with the given model, prompt (or number of prompt tokens) and number of
// output tokens.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if id := q.Get("request"); id != "" {
		e, ok := s.opts.Instance.ExplainRequest(id)
		if !ok {
			writeError(w, http.StatusNotFound, "the request is neither waiting nor among the latest results of this instance")
			return
		}
		writeJSON(w, http.StatusOK, e)
		return
	}
	e, ok := s.explainRoute(q)
	if !ok {
		writeError(w, http.StatusNotFound, "unknown model")
		return
	}
	writeJSON(w, http.StatusOK, e)
}

func (s *Server) explainRoute(q url.Values) (*RouteExplanation, bool) {
	model, output := q.Get("model"), positiveNumber(q.Get("output_tokens"))
	if prompt := q.Get("prompt"); prompt != "" {
		return s.opts.Instance.ExplainPrompt(model, prompt, output)
	}
	return s.opts.Instance.ExplainRoute(model, positiveNumber(q.Get("prompt_tokens")), output)
}

// positiveNumber parses a positive integer. Anything else results in 1.
func positiveNumber(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 1
	}
	return max(n, 1)
}
