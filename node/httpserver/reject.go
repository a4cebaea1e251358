package httpserver

import (
	"errors"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// reject writes the error response to a message that cannot be parsed or kept and closes the
// connection after rejectGracePeriod. The requests before it on the connection are answered
// first. The session is marked as rejected.
func (s *Server) reject(sess *session, cause error) {
	c := sess.conn
	status, reason := http.StatusBadRequest, errMalformed(cause)
	switch {
	case errors.Is(cause, nbhttp.ErrTooLong), errors.Is(cause, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(cause, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(cause, errHeadTooSlow):
		status = http.StatusRequestTimeout
		s.reportRefused(cause)
	case errors.Is(cause, errTooManyAhead):
		status = http.StatusServiceUnavailable
		s.reportRefused(cause)
	case errors.Is(cause, errOutOfMemory):
		status, reason = http.StatusServiceUnavailable, cause
		s.reportRefused(cause)
	}
	c.Execute(func() {
		if !hasLeft(c) {
			// If the write fails, it closes the connection.
			_, _ = sess.Write(rawResponse(status, s.opts.ServerErrorBody(status)))
		}
		time.AfterFunc(rejectGracePeriod, func() {
			closeUnlessLeft(c, reason)
		})
	})
}
