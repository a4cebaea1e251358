package orders

import (
	"context"
	"errors"
	"time"

	"masticbank.example/core/order"
	"masticbank.example/core/record"
)

// attempt carries out the effects of one order.Attempt.
type attempt struct {
	coordinator *Coordinator
	machine     *order.Attempt
	call        order.Call
	waiter      *waiter
	// ctx is the caller's; claimCtx ends with the attempt.
	ctx      context.Context
	claimCtx context.Context
	send     func(ctx context.Context) order.Answer
	// refused is set if the claim was not queued.
	refused bool
}

// Do makes the call at most once by its key and returns what the caller is to be
// told. send is called at most once; its context does not end when the caller
// leaves, since the answer must be recorded. send must set the answer's Execution
// to NotRun only if nothing was written to the service or it refused the call.
func (c *Coordinator) Do(ctx context.Context, call order.Call, send func(ctx context.Context) order.Answer) order.Result {
	claimCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a := &attempt{coordinator: c, call: call, ctx: ctx, claimCtx: claimCtx, send: send}
	key := record.OrderKey{Workspace: call.Workspace, Service: call.Service, Key: call.Key}
	effects := a.begin(key)
	defer c.unsubscribe(key, a.waiter)
	for {
		var next []order.Effect
		for _, e := range effects {
			if reply, ok := e.(order.Reply); ok {
				return reply.Result
			}
			next = a.carryOut(e)
		}
		effects = next
	}
}

func (a *attempt) begin(key record.OrderKey) []order.Effect {
	c := a.coordinator
	failing := c.opts.Appender.Failing()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetAway(c.unread || failing)
	a.waiter = c.subscribe(key)
	a.machine = order.NewAttempt(c.table, a.call, newID(), c.opts.Claimant)
	return a.machine.Begin(time.Now())
}

// carryOut returns the effects of what e leads to, or nil.
func (a *attempt) carryOut(e order.Effect) []order.Effect {
	switch e := e.(type) {
	case order.AppendClaim:
		a.refused = !a.appendClaim(e)
		return nil
	case order.Append:
		a.coordinator.appendLater(e.Record)
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

// appendClaim queues the claim and tells whether there was room.
func (a *attempt) appendClaim(e order.AppendClaim) bool {
	data, err := record.Encode(e.Record)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithDeadline(a.claimCtx, e.Until)
	context.AfterFunc(ctx, cancel)
	_, err = a.coordinator.opts.Appender.Start(ctx, data)
	return err == nil
}

func (a *attempt) wait(until time.Time) order.Event {
	if a.refused {
		return order.QueueFull
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-a.waiter.wake:
	case <-timer.C:
	case <-a.ctx.Done():
		if errors.Is(a.ctx.Err(), context.Canceled) {
			return order.CallerGone
		}
		// The deadline of the context ends the wait of a caller who is still there.
		<-timer.C
	}
	return order.Wake
}

func (a *attempt) sendCall() []order.Effect {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(a.ctx), a.call.Deadline)
	defer cancel()
	answer := a.send(ctx)
	a.coordinator.mu.Lock()
	defer a.coordinator.mu.Unlock()
	return a.machine.Answered(answer)
}
