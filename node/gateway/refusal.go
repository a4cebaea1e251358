package gateway

import (
	"errors"
	"net/http"
)

// errUnprovenRefusal means that a replica responded with a status that clients understand as
// "not run" without stating that the request did not run.
var errUnprovenRefusal = errors.New("the replica does not state that the refused request did not run")

// isUnprovenRefusal reports whether forwarding a response that does not state that the
// request did not run could make the client repeat a request that ran.
func (c *call) isUnprovenRefusal(status int) bool {
	if c.route.Repeatable() {
		return false
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
