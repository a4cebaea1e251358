// Package admin serves health, metrics and the administration API of one
// instance on its own listener.
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

// Instance is what the administration API shows and changes. Implementations
// are safe for concurrent use.
type Instance interface {
	// Advertised tells whether the balancer is to send requests, and why not.
	Advertised() (bool, string)
	// Status describes the instance.
	Status() Status
	// Config returns the configuration in force, which may be nil, and its
	// revision.
	Config() (*config.Config, uint64)
	// Publish proposes a configuration in place of revision base and returns
	// the new revision.
	Publish(ctx context.Context, author string, c *config.Config, base uint64) (uint64, error)
	// Drain stops new work to an upstream on all instances that can be reached
	// and returns their number. It returns false, and tells nobody, when this
	// instance does not use the upstream.
	Drain(upstream string) (instances int, known bool)
	// ExplainRequest tells what is known of a request.
	ExplainRequest(id string) (*RequestExplanation, bool)
	// ExplainRoute gives the grounds of a route choice made now.
	ExplainRoute(model string, promptTokens, outputTokens int) (*RouteExplanation, bool)
	// ExplainPrompt is ExplainRoute for a prompt, whose prefixes may be cached.
	ExplainPrompt(model, prompt string, outputTokens int) (*RouteExplanation, bool)
}

// Options configures a Server.
type Options struct {
	// Key is the bearer token that the API asks for.
	Key      string
	Level    zap.AtomicLevel
	Instance Instance
}

// Server serves the administration listener. It is safe for concurrent use.
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
	s.mux.HandleFunc("GET /admin/v1/status", s.guard(s.status))
	s.mux.HandleFunc("PUT /admin/v1/log-level", s.guard(s.logLevel))
	s.mux.HandleFunc("GET /admin/v1/config", s.guard(s.config))
	s.mux.HandleFunc("POST /admin/v1/config", s.guard(s.publish))
	s.mux.HandleFunc("POST /admin/v1/drain", s.guard(s.drain))
	s.mux.HandleFunc("GET /admin/v1/explain", s.guard(s.explain))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// guard lets only holders of the key pass.
func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(s.opts.Key)) != 1 {
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
	ok, reason := s.opts.Instance.Advertised()
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
