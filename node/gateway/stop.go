package gateway

import (
	"context"
	"errors"
	"time"
)

// outcomeStopping is the logged outcome of requests that end because the instance shuts down.
const outcomeStopping = "stopping"

// errStopping is the cause with which the requests in progress end when the instance does.
var errStopping = errors.New("the instance shuts down")

// drainTimes are the times of a shutdown: when other instances get all new requests, and when this
// one ends.
type drainTimes struct{ notice, end time.Time }

// Drain begins a shutdown. Other instances get all new requests from notice on; those in progress have
// until end.
func (g *Gateway) Drain(notice, end time.Time) { g.drain.Store(&drainTimes{notice: notice, end: end}) }

// EndRequests ends the requests in progress: those without an answer get one.
func (g *Gateway) EndRequests() { g.endAll() }

// mayOutliveInstance reports whether a request is refused because the instance shuts down and may end
// before it: any for a model, which take long, and others that may run once only.
func (g *Gateway) mayOutliveInstance(c *call) bool {
	d := g.drain.Load()
	if d == nil || !time.Now().After(d.notice) {
		return false
	}
	return c.service.Model != nil || (!c.route.Repeatable() && c.deadline.After(d.end))
}

// isStopping reports whether a request ends because the instance does.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// callerLeft reports whether a request's context has ended because its client has left.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !isStopping(ctx)
}
