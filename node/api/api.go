// Package api serves callers: the OpenAI-compatible completion endpoints and
// the calls to plain services. Every answer says whether the request ran.
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

// Headers of requests and answers.
const (
	// HeaderRank names a rank that is not more urgent than the workspace's.
	HeaderRank = "X-Masticbank-Rank"
	// HeaderDeadline holds seconds from now, or a time as in RFC 3339.
	HeaderDeadline = "X-Masticbank-Deadline"
	// HeaderExecution holds "not_run", "unknown" or "ran".
	HeaderExecution = "X-Masticbank-Execution"
	// HeaderRequestID holds the ID under which the request is logged.
	HeaderRequestID = "X-Masticbank-Request-Id"
	// HeaderReplayed is "true" when an answer was recorded earlier.
	HeaderReplayed = "X-Masticbank-Replayed"
	// HeaderKey holds the idempotency key of a call to a service.
	HeaderKey = "Idempotency-Key"
	// HeaderKeyDate holds the time, as in RFC 3339, at which the caller made the
	// key; a key that is a UUID of version 7 carries it.
	HeaderKeyDate = "X-Masticbank-Key-Date"
	// HeaderFirstUse is "true" when the caller has not sent the key before.
	HeaderFirstUse = "X-Masticbank-First-Use"
)

// Options configures a Server.
type Options struct {
	Router       *router.Router
	Logger       *zap.Logger
	MaxBodyBytes int
	// Ready tells whether requests are served, and why not.
	Ready func() (bool, string)
}

// Server serves callers. It is safe for concurrent use.
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
	s.mux.HandleFunc("/services/{service}/{path...}", s.service)
	s.mux.HandleFunc("/", s.notFound)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// call is what every request needs before it is served.
type call struct {
	id        string
	arrived   time.Time
	workspace string
	rank      config.Rank
	deadline  time.Time
	cfg       *config.Config
}

// failure is an answer that is given before a request reaches the router.
type failure struct {
	status  int
	code    string
	message string
	param   string
}

// begin authenticates the caller and reads rank and deadline. It returns a
// failure when the request cannot be served.
func (s *Server) begin(r *http.Request) (*call, *failure) {
	c := &call{id: uuid.NewString(), arrived: time.Now()}
	if ok, reason := s.opts.Ready(); !ok {
		return c, &failure{status: http.StatusServiceUnavailable, code: string(router.CodeNotReady), message: reason}
	}
	c.cfg = s.opts.Router.Config()
	if c.cfg == nil {
		return c, &failure{status: http.StatusServiceUnavailable, code: string(router.CodeNotReady), message: "no configuration is in force"}
	}
	workspace, ok := s.index(c.cfg).workspace(r.Header.Get("Authorization"))
	if !ok {
		return c, &failure{status: http.StatusUnauthorized, code: "invalid_api_key", message: "the API key is missing or unknown"}
	}
	c.workspace = workspace
	if f := c.readRank(r.Header.Get(HeaderRank)); f != nil {
		return c, f
	}
	return c, c.readDeadline(r.Header.Get(HeaderDeadline))
}

func (c *call) readRank(name string) *failure {
	highest, _ := c.cfg.RankByName(c.cfg.Workspaces[c.workspace].DefaultRank)
	c.rank = highest
	if name == "" {
		return nil
	}
	rank, ok := c.cfg.RankByName(name)
	if !ok {
		return &failure{status: http.StatusBadRequest, code: "unknown_rank", message: "unknown rank " + name, param: HeaderRank}
	}
	if rank < highest {
		return &failure{status: http.StatusForbidden, code: "rank_not_allowed", message: "the workspace may not use rank " + name, param: HeaderRank}
	}
	c.rank = rank
	return nil
}

func (c *call) readDeadline(text string) *failure {
	c.deadline = c.arrived.Add(c.cfg.Ranks[c.rank].Deadline)
	if text == "" {
		return nil
	}
	at, err := parseDeadline(text, c.arrived)
	if err != nil {
		return &failure{status: http.StatusBadRequest, code: "invalid_deadline", message: err.Error(), param: HeaderDeadline}
	}
	if !at.After(c.arrived) {
		return &failure{status: http.StatusGatewayTimeout, code: string(router.CodeDeadline), message: "the deadline has passed", param: HeaderDeadline}
	}
	if at.Before(c.deadline) {
		c.deadline = at
	}
	return nil
}

func (s *Server) notFound(w http.ResponseWriter, _ *http.Request) {
	s.fail(w, uuid.NewString(), &failure{status: http.StatusNotFound, code: "not_found", message: "no such endpoint"})
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, f := s.begin(r)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	list := openai.ModelList{Object: "list", Data: []openai.ModelItem{}}
	for _, name := range sortedKeys(c.cfg.Models) {
		list.Data = append(list.Data, openai.ModelItem{ID: name, Object: "model", OwnedBy: "masticbank"})
	}
	writeJSON(w, http.StatusOK, list)
}

// fail answers a request that did not reach an upstream.
func (s *Server) fail(w http.ResponseWriter, id string, f *failure) {
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(HeaderExecution, execution.NotRun.String())
	writeJSON(w, f.status, openai.ErrorBody{Error: openai.ErrorDetail{
		Message:   f.message,
		Type:      errorType(f.status),
		Code:      f.code,
		Param:     f.param,
		Execution: execution.NotRun.String(),
		RequestID: id,
	}})
}

// Malformed returns the body of an answer that the server gives by itself: to a
// message that cannot be parsed, and to a request that comes during shutdown.
func Malformed(status int) []byte {
	code := "malformed_request"
	switch status {
	case http.StatusRequestEntityTooLarge:
		code = "body_too_large"
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

// writeBody writes a whole answer with its length.
func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	h := w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
