// Package admin is the HTTP interface for operators of one instance: health,
// metrics and the administration API. It has a listener of its own.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"masticbank.example/core/config"
)

// Instance is the entry instance that the administration API inspects and controls.
// Implementations are safe for concurrent use.
type Instance interface {
	// AcceptsRequests reports whether the load balancer should send requests to the
	// instance, and if not, why.
	AcceptsRequests() (bool, string)
	// Status returns the state of the instance, its pools and its peers.
	Status() Status
	// Config returns the active configuration and its revision. The configuration is
	// nil before the first one.
	Config() (*config.Config, uint64)
	// Publish proposes a configuration that replaces revision base and returns the
	// new revision.
	Publish(ctx context.Context, author string, c *config.Config, base uint64) (uint64, error)
	// Drain stops new requests to an upstream on all reachable instances and returns
	// their number, this one included. If this instance does not use the upstream,
	// it returns false and informs no other instance.
	Drain(upstream string) (instances int, known bool)
	// ExplainRequest returns the queue position of a waiting request or the result of
	// a recently finished one.
	ExplainRequest(id string) (*RequestExplanation, bool)
	// ExplainRoute returns the route that would be chosen now and the estimates it is
	// based on.
	ExplainRoute(model string, promptTokens, outputTokens int) (*RouteExplanation, bool)
	// ExplainPrompt is like ExplainRoute for a given prompt, and so accounts for
	// prefixes of it that replicas have cached.
	ExplainPrompt(model, prompt string, outputTokens int) (*RouteExplanation, bool)
}

// Options configures a Server.
type Options struct {
	// Key is the bearer token required by the administration API.
	Key      string
	Level    zap.AtomicLevel
	Instance Instance
}

// Server is the handler of the administration listener. It is safe for concurrent
// use.
type Server struct {
	opts Options
	mux  *http.ServeMux
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{opts: o, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.readiness)
	s.mux.Handle("GET /debug/vars", expvar.Handler())
	s.mux.HandleFunc("GET /admin/v1/status", s.requireKey(s.status))
	s.mux.HandleFunc("PUT /admin/v1/log-level", s.requireKey(s.logLevel))
	s.mux.HandleFunc("GET /admin/v1/config", s.requireKey(s.config))
	s.mux.HandleFunc("POST /admin/v1/config", s.requireKey(s.publish))
	s.mux.HandleFunc("POST /admin/v1/drain", s.requireKey(s.drain))
	s.mux.HandleFunc("GET /admin/v1/explain", s.requireKey(s.explain))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// requireKey wraps a handler so that it serves only requests with the administration
// key.
func (s *Server) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if key == "" || subtle.ConstantTimeCompare([]byte(key), []byte(s.opts.Key)) != 1 {
			writeError(w, http.StatusUnauthorized, "the administration key is missing or wrong")
			return
		}
		next(w, r)
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "alive"})
}

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.opts.Instance.AcceptsRequests()
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, Readiness{Reason: reason})
		return
	}
	writeJSON(w, http.StatusOK, Readiness{Ready: true})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.opts.Instance.Status())
}

func (s *Server) logLevel(w http.ResponseWriter, r *http.Request) {
	var body LogLevel
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "malformed JSON: "+err.Error())
		return
	}
	if err := s.opts.Level.UnmarshalText([]byte(body.Level)); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, LogLevel{Level: s.opts.Level.String()})
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorBody{Error: message})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"error":"the answer cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
