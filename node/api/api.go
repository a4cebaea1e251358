// Package api is the HTTP interface for clients: the OpenAI-compatible completion
// endpoints and calls to plain services. Every response reports whether the request
// was executed.
package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"masticbank.example/core/config"
	"masticbank.example/core/execution"
	"masticbank.example/node/openai"
	"masticbank.example/node/router"
)

// Headers of requests and responses.
const (
	// HeaderRank selects a rank, which must not be more urgent than the workspace's
	// default rank.
	HeaderRank = "X-Masticbank-Rank"
	// HeaderDeadline holds a number of seconds from now or an RFC 3339 time.
	HeaderDeadline = "X-Masticbank-Deadline"
	// HeaderExecution reports whether the request was executed: "not_run", "unknown"
	// or "ran".
	HeaderExecution = "X-Masticbank-Execution"
	// HeaderRequestID holds the ID under which the request is logged.
	HeaderRequestID = "X-Masticbank-Request-Id"
	// HeaderReplayed is "true" when the response is the recorded one of an earlier
	// call with the same idempotency key.
	HeaderReplayed = "X-Masticbank-Replayed"
	// HeaderKey holds the idempotency key of a call to a service.
	HeaderKey = "Idempotency-Key"
	// HeaderKeyDate holds the RFC 3339 time at which the client generated the
	// idempotency key. A key that is a UUID of version 7 contains it already.
	HeaderKeyDate = "X-Masticbank-Key-Date"
	// HeaderFirstUse is "true" when the client has not sent the key before.
	HeaderFirstUse = "X-Masticbank-First-Use"
)

// Options configures a Server.
type Options struct {
	Router       *router.Router
	Logger       *zap.Logger
	MaxBodyBytes int
	// Ready reports whether requests are served, and if not, why.
	Ready func() (bool, string)
}

// Server is the handler of all client requests. It is safe for concurrent use.
type Server struct {
	opts Options
	mux  *http.ServeMux
	keys atomic.Pointer[keyIndex]
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{opts: o, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.completion(openai.KindChat))
	s.mux.HandleFunc("POST /v1/completions", s.completion(openai.KindText))
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("/services/{service}/{path...}", s.callService)
	s.mux.HandleFunc("/", s.notFound)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// call holds the authenticated workspace, rank and deadline of one request and the
// configuration it is served with.
type call struct {
	id        string
	arrived   time.Time
	workspace string
	rank      config.Rank
	deadline  time.Time
	cfg       *config.Config
}

// apiError is an error response to a request that has not reached the router.
type apiError struct {
	status  int
	code    string
	message string
	param   string
}

// beginCall authenticates the client and parses rank and deadline. When the request
// cannot be served, it returns an error and a call of which only the ID is valid.
func (s *Server) beginCall(r *http.Request) (*call, *apiError) {
	c := &call{id: uuid.NewString(), arrived: time.Now()}
	if ok, reason := s.opts.Ready(); !ok {
		return c, &apiError{status: http.StatusServiceUnavailable, code: string(router.CodeNotReady), message: reason}
	}
	c.cfg = s.opts.Router.Config()
	if c.cfg == nil {
		return c, &apiError{status: http.StatusServiceUnavailable, code: string(router.CodeNotReady), message: "no configuration is in force"}
	}
	workspace, ok := s.currentKeyIndex(c.cfg).workspace(r.Header.Get("Authorization"))
	if !ok {
		return c, &apiError{status: http.StatusUnauthorized, code: "invalid_api_key", message: "the API key is missing or unknown"}
	}
	c.workspace = workspace
	if apiErr := c.setRank(r.Header.Get(HeaderRank)); apiErr != nil {
		return c, apiErr
	}
	return c, c.setDeadline(r.Header.Get(HeaderDeadline))
}

// setRank sets the rank to the named one, or to the workspace's default rank if
// name is empty.
func (c *call) setRank(name string) *apiError {
	highest, _ := c.cfg.RankByName(c.cfg.Workspaces[c.workspace].DefaultRank)
	c.rank = highest
	if name == "" {
		return nil
	}
	rank, ok := c.cfg.RankByName(name)
	if !ok {
		return &apiError{status: http.StatusBadRequest, code: "unknown_rank", message: "unknown rank " + name, param: HeaderRank}
	}
	if rank < highest {
		return &apiError{status: http.StatusForbidden, code: "rank_not_allowed", message: "the workspace may not use rank " + name, param: HeaderRank}
	}
	c.rank = rank
	return nil
}

// setDeadline sets the deadline to the earlier one of the rank's and the client's.
func (c *call) setDeadline(text string) *apiError {
	c.deadline = c.arrived.Add(c.cfg.Ranks[c.rank].Deadline)
	if text == "" {
		return nil
	}
	at, err := parseDeadline(text, c.arrived)
	if err != nil {
		return &apiError{status: http.StatusBadRequest, code: "invalid_deadline", message: err.Error(), param: HeaderDeadline}
	}
	if !at.After(c.arrived) {
		return &apiError{status: http.StatusGatewayTimeout, code: string(router.CodeDeadlinePassed), message: "the deadline has passed", param: HeaderDeadline}
	}
	if at.Before(c.deadline) {
		c.deadline = at
	}
	return nil
}

func (s *Server) notFound(w http.ResponseWriter, _ *http.Request) {
	s.writeError(w, uuid.NewString(), &apiError{status: http.StatusNotFound, code: "not_found", message: "no such endpoint"})
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, apiErr := s.beginCall(r)
	if apiErr != nil {
		s.writeError(w, c.id, apiErr)
		return
	}
	list := openai.ModelList{Object: "list", Data: []openai.ModelItem{}}
	for _, name := range sortedKeys(c.cfg.Models) {
		list.Data = append(list.Data, openai.ModelItem{ID: name, Object: "model", OwnedBy: "masticbank"})
	}
	writeJSON(w, http.StatusOK, list)
}

// writeError writes the error response to a request that has not reached the router.
func (s *Server) writeError(w http.ResponseWriter, id string, apiErr *apiError) {
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderExecution, execution.NotRun.String())
	writeJSON(w, apiErr.status, openai.ErrorBody{Error: openai.ErrorDetail{
		Message:   apiErr.message,
		Type:      errorType(apiErr.status),
		Code:      apiErr.code,
		Param:     apiErr.param,
		Execution: execution.NotRun.String(),
		RequestID: id,
	}})
}

// ServerErrorBody returns the body of an error response that the HTTP server writes
// without calling the handler: to a message that cannot be parsed, or to a request
// that arrives during shutdown.
func ServerErrorBody(status int) []byte {
	code := "malformed_request"
	switch status {
	case http.StatusRequestEntityTooLarge:
		code = "body_too_large"
	case http.StatusRequestHeaderFieldsTooLarge:
		code = "head_too_large"
	case http.StatusRequestTimeout:
		code = "head_too_slow"
	case http.StatusServiceUnavailable:
		code = string(router.CodeNotReady)
	}
	body, err := json.Marshal(openai.ErrorBody{Error: openai.ErrorDetail{
		Message:   http.StatusText(status),
		Type:      errorType(status),
		Code:      code,
		Execution: execution.NotRun.String(),
	}})
	if err != nil {
		return nil
	}
	return body
}

func errorType(status int) string {
	if status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte("{}")
	}
	writeBody(w, status, "application/json", body)
}

// writeBody writes a complete response with its Content-Length.
func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	h := w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
