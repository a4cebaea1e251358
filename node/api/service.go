package api

import (
	"net/http"
	"strings"
	"time"

	"masticbank.example/node/router"
)

// unforwardedHeaders are the headers that are not forwarded between clients and
// services: the hop-by-hop headers (RFC 9110, section 7.6.1), and the length and host,
// which are set anew.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// callService forwards a call to a plain service.
func (s *Server) callService(w http.ResponseWriter, r *http.Request) {
	c, apiErr := s.beginCall(r)
	if apiErr != nil {
		s.writeError(w, c.id, apiErr)
		return
	}
	body, apiErr := s.readBody(r)
	if apiErr != nil {
		s.writeError(w, c.id, apiErr)
		return
	}
	date, apiErr := parseKeyDate(r)
	if apiErr != nil {
		s.writeError(w, c.id, apiErr)
		return
	}
	res := s.opts.Router.CallService(r.Context(), &router.ServiceRequest{
		ID:        c.id,
		Workspace: c.workspace,
		Rank:      c.rank,
		Service:   r.PathValue("service"),
		Method:    r.Method,
		Path:      servicePath(r),
		Header:    serviceHeader(r, c),
		Body:      body,
		Key:       r.Header.Get(HeaderKey),
		KeyDate:   date,
		FirstUse:  r.Header.Get(HeaderFirstUse) == "true",
		Deadline:  c.deadline,
		Arrived:   c.arrived,
	})
	w.Header().Set(HeaderRequestID, c.id)
	if res.Response == nil {
		writeResultError(w, &res.Result)
		return
	}
	writeServiceResponse(w, &res)
}

// parseKeyDate parses the time at which the idempotency key was generated. It is zero
// when the header is missing.
func parseKeyDate(r *http.Request) (time.Time, *apiError) {
	text := r.Header.Get(HeaderKeyDate)
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, &apiError{status: http.StatusBadRequest, code: "invalid_key_date", message: "not a time as in RFC 3339", param: HeaderKeyDate}
	}
	return at, nil
}

// servicePath returns the path and query for the service, which are those of the
// request without the prefix that selects the service.
func servicePath(r *http.Request) string {
	path := "/" + strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+r.PathValue("service")+"/")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// serviceHeader returns the headers for the service. The API key is replaced by the
// workspace, so that services never see keys.
func serviceHeader(r *http.Request, c *call) http.Header {
	h := r.Header.Clone()
	for _, name := range unforwardedHeaders {
		h.Del(name)
	}
	h.Del("Authorization")
	h.Set("X-Masticbank-Workspace", c.workspace)
	h.Set(HeaderRequestID, c.id)
	return h
}

func writeServiceResponse(w http.ResponseWriter, res *router.ServiceResult) {
	for name, values := range res.Response.Header {
		for _, v := range values {
			w.Header().Add(name, v)
		}
	}
	for _, name := range unforwardedHeaders {
		w.Header().Del(name)
	}
	w.Header().Set(HeaderExecution, res.Execution.String())
	if res.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	writeBody(w, res.Response.Status, "", res.Response.Body)
}
