package orders

import (
	"context"
	"errors"
	"time"

	"masticbank.example/core/order"
	"masticbank.example/core/record"
)

// attempt executes the effects of one order.Attempt.
type attempt struct {
	coordinator *Coordinator
	machine     *order.Attempt
	call        order.Call
	waiter      *waiter
	// clientCtx is the context of the client's request; claimCtx ends with the attempt.
	clientCtx context.Context
	claimCtx  context.Context
	send      func(ctx context.Context) order.Response
	// claimRefused is set if the claim could not be queued.
	claimRefused bool
}

// Do makes the call at most once per key and returns the result for the client. send is
// called at most once. Its context does not end when the client disconnects, because the
// response must be recorded. send must set the response's Execution to NotRun only if
// nothing was written to the service or the service refused the call.
func (c *Coordinator) Do(ctx context.Context, call order.Call, send func(ctx context.Context) order.Response) order.Result {
	claimCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a := &attempt{coordinator: c, call: call, clientCtx: ctx, claimCtx: claimCtx, send: send}
	key := record.OrderKey{Workspace: call.Workspace, Service: call.Service, Key: call.Key}
	effects := a.start(key)
	defer c.unsubscribe(key, a.waiter)
	for {
		var next []order.Effect
		for _, e := range effects {
			if reply, ok := e.(order.Reply); ok {
				return reply.Result
			}
			next = a.execute(e)
		}
		effects = next
	}
}

// start creates the order.Attempt and returns its first effects.
func (a *attempt) start(key record.OrderKey) []order.Effect {
	c := a.coordinator
	failing := c.opts.Appender.Failing()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetUnavailable(c.readFailing || failing)
	a.waiter = c.subscribe(key)
	a.machine = order.NewAttempt(c.table, a.call, newID(), c.opts.Claimant)
	return a.machine.Begin(time.Now())
}

// execute executes an effect and returns the effects that follow from it, if any.
func (a *attempt) execute(e order.Effect) []order.Effect {
	switch e := e.(type) {
	case order.AppendClaim:
		a.claimRefused = !a.appendClaim(e)
		return nil
	case order.Append:
		a.coordinator.appendInBackground(e.Record)
		return nil
	case order.Wait:
		return a.step(a.wait(e.Until))
	case order.Confirm:
		return a.step(order.ConfirmSend)
	case order.Send:
		return a.sendCall()
	default:
		return nil
	}
}

func (a *attempt) step(ev order.Event) []order.Effect {
	a.coordinator.mu.Lock()
	defer a.coordinator.mu.Unlock()
	return a.machine.Step(time.Now(), ev)
}

// appendClaim queues the claim and reports whether it was queued.
func (a *attempt) appendClaim(e order.AppendClaim) bool {
	data, err := record.Encode(e.Record)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithDeadline(a.claimCtx, e.Until)
	context.AfterFunc(ctx, cancel)
	_, err = a.coordinator.opts.Appender.AppendAsync(ctx, data)
	return err == nil
}

// wait waits for a change of the key, a time or the client's disconnect.
func (a *attempt) wait(until time.Time) order.Event {
	if a.claimRefused {
		return order.QueueFull
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-a.waiter.notified:
	case <-timer.C:
	case <-a.clientCtx.Done():
		if errors.Is(a.clientCtx.Err(), context.Canceled) {
			return order.ClientGone
		}
		// The context's deadline has passed, but the client is still connected.
		<-timer.C
	}
	return order.Wake
}

// sendCall sends the call and returns the effects of its response.
func (a *attempt) sendCall() []order.Effect {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(a.clientCtx), a.call.Deadline)
	defer cancel()
	response := a.send(ctx)
	a.coordinator.mu.Lock()
	defer a.coordinator.mu.Unlock()
	return a.machine.HandleResponse(response)
}
