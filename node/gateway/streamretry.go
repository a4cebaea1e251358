package gateway

import (
	"context"
	"errors"

	"masticbank.example/core/forward"
	"masticbank.example/node/exchange"
)

// claimRetry spends the retry that is to replace the run in progress. It returns false if there is no
// replacement now: silence alone does not end a run, which may go on. Whether a path is free is not
// asked, as the request gets one in its turn only once it waits for it.
func (s *stream) claimRetry(ctx context.Context) bool {
	s.denialReason = ""
	switch {
	case !s.history.MayRetryLost():
		return false
	case !s.pool.covered():
		return false
	}
	s.denialReason = s.g.retryDenial(ctx, s.call)
	if s.denialReason != "" {
		return false
	}
	s.history.Paid++
	return true
}

// returnUnused gives back the retries that were spent for a request and are not needed, as nothing was
// sent for them. more is set if the request is to be sent once more.
func (g *Gateway) returnUnused(c *call, h *forward.History, more bool) {
	for range h.Unused(more) {
		g.returnRetry(c.service.Name, c.retrySpent)
	}
}

// givenUpError returns the error of a run that was given up while its response was awaited, which had
// ended with err by then, or with a response if err is nil. A request that was still waiting for its
// connection has reached no replica.
func givenUpError(err error) error {
	var ee *exchange.Error
	if errors.As(err, &ee) && !ee.Sent {
		return err
	}
	return &exchange.Error{Sent: true, Err: errStageUnresponsive}
}
