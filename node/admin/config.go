package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"masticbank.example/node/follower"
)

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	c, revision := s.opts.Instance.Config()
	writeJSON(w, http.StatusOK, Config{Revision: revision, Config: c})
}

// publish proposes a configuration. It responds with 409 when another proposal for
// the same base revision was accepted first, and with 202 when the outcome of the
// proposal is unknown.
func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	var body PublishRequest
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil || body.Config == nil {
		writeError(w, http.StatusBadRequest, "malformed JSON, or no config")
		return
	}
	if err := body.Config.Validate(); err != nil {
		writeError(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	revision, err := s.opts.Instance.Publish(r.Context(), body.Author, body.Config, body.Base)
	if err != nil {
		writePublishError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, PublishResponse{Revision: revision})
}

func writePublishError(w http.ResponseWriter, err error) {
	var lost *follower.LostError
	switch {
	case errors.As(err, &lost):
		writeJSON(w, http.StatusConflict, PublishConflict{Error: lost.Error(), Revision: lost.Revision, Winner: lost.Winner.Author})
	case errors.Is(err, follower.ErrUndecided):
		writeError(w, http.StatusAccepted, err.Error())
	case errors.Is(err, follower.ErrInvalid), trace.IsBadParameter(err):
		writeError(w, http.StatusUnprocessableEntity, err.Error())
	case errors.Is(err, follower.ErrBaseUnknown):
		writeError(w, http.StatusPreconditionFailed, err.Error())
	default:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	}
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var body DrainRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Upstream == "" {
		writeError(w, http.StatusBadRequest, "malformed JSON, or no upstream")
		return
	}
	instances, known := s.opts.Instance.Drain(body.Upstream)
	if !known {
		writeError(w, http.StatusNotFound, "no model or service in force has an upstream "+strconv.Quote(body.Upstream))
		return
	}
	writeJSON(w, http.StatusOK, DrainResponse{Instances: instances})
}
