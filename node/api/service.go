package api

import (
	"net/http"
	"strings"
	"time"

	"masticbank.example/node/router"
)

// hopHeaders are not passed between callers and services (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// service passes a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c, f := s.begin(r)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	body, f := s.readBody(r)
	if f != nil {
		s.fail(w, c.id, f)
		return
	}
	date, f := keyDate(r)
	if f != nil {
		s.fail(w, c.id, f)
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
	if res.Answer == nil {
		writeResultError(w, &res.Result)
		return
	}
	writeServiceAnswer(w, &res)
}

// keyDate reads the date of the idempotency key, which is zero when it is not
// given.
func keyDate(r *http.Request) (time.Time, *failure) {
	text := r.Header.Get(HeaderKeyDate)
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, &failure{status: http.StatusBadRequest, code: "invalid_key_date", message: "not a time as in RFC 3339", param: HeaderKeyDate}
	}
	return at, nil
}

func servicePath(r *http.Request) string {
	path := "/" + strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+r.PathValue("service")+"/")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// serviceHeader returns the headers for the service. The API key stays here;
// the service gets the workspace instead.
func serviceHeader(r *http.Request, c *call) http.Header {
	h := r.Header.Clone()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Del("Authorization")
	h.Set("X-Masticbank-Workspace", c.workspace)
	h.Set(HeaderRequestID, c.id)
	return h
}

func writeServiceAnswer(w http.ResponseWriter, res *router.ServiceResult) {
	for name, values := range res.Answer.Header {
		for _, v := range values {
			w.Header().Add(name, v)
		}
	}
	for _, name := range hopHeaders {
		w.Header().Del(name)
	}
	w.Header().Set(HeaderExecution, res.Execution.String())
	if res.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	writeBody(w, res.Answer.Status, "", res.Answer.Body)
}
