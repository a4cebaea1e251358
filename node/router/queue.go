package router

import (
	"context"
	"math"
	"sync"
	"time"

	"masticbank.example/core/admission"
)

// queue lets goroutines wait for the decisions of one admission.Admitter. It
// is safe for concurrent use.
type queue struct {
	mu       sync.Mutex
	admitter admission.Admitter
	waiting  map[string]chan admission.Effect
	// capacity is what the upstreams carry for all instances together, share
	// what this instance may use of it.
	capacity int
	share    int
	// slots is the smaller of the two, as told to adm.
	slots int
	// onWait is called when a request has to wait.
	onWait func()
	// closed tells that the pool is not in force any more.
	closed bool
}

// unlimited is the share of an instance that runs alone.
const unlimited = math.MaxInt

func newQueue(admitter admission.Admitter, onWait func()) *queue {
	return &queue{admitter: admitter, waiting: map[string]chan admission.Effect{}, share: unlimited, onWait: onWait}
}

// admit waits until the request is dispatched or refused. When ctx ends first,
// the request leaves the queue and the error of ctx is returned.
func (q *queue) admit(ctx context.Context, r admission.Request) (admission.Effect, error) {
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return poolReplacedEffect(r.ID), nil
	}
	ch := q.register(r.ID)
	q.deliver(q.admitter.Arrive(time.Now(), r))
	q.mu.Unlock()
	return q.await(ctx, r.ID, ch)
}

// requeue returns a dispatched request to its place and waits again.
func (q *queue) requeue(ctx context.Context, id string) (admission.Effect, error) {
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return poolReplacedEffect(id), nil
	}
	ch := q.register(id)
	q.deliver(q.admitter.Requeue(time.Now(), id))
	q.mu.Unlock()
	return q.await(ctx, id, ch)
}

// close refuses the requests that wait and those that still come. The pool is
// not in force any more, so that nothing would dispatch them.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for id, ch := range q.waiting {
		delete(q.waiting, id)
		ch <- poolReplacedEffect(id)
	}
}

// poolReplacedEffect refuses a request whose pool is not in force any more.
func poolReplacedEffect(id string) admission.Effect {
	return admission.Effect{Kind: admission.Refuse, ID: id, RetryAfter: retryAfterReplaced}
}

// refusalMessage describes a refusal to the caller.
func refusalMessage(e admission.Effect) string {
	if e.Reason == admission.ReasonNone {
		return "a new configuration replaced the pool in which the request waited"
	}
	return e.Reason.String()
}

func (q *queue) register(id string) chan admission.Effect {
	ch := make(chan admission.Effect, 1)
	q.waiting[id] = ch
	return ch
}

func (q *queue) await(ctx context.Context, id string, ch chan admission.Effect) (admission.Effect, error) {
	select {
	case e := <-ch:
		return e, nil
	default:
		q.onWait()
	}
	select {
	case e := <-ch:
		return e, nil
	case <-ctx.Done():
		q.cancel(id)
		return admission.Effect{}, ctx.Err()
	}
}

// cancel takes a request out of the queue, whether it waits or runs.
func (q *queue) cancel(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	q.deliver(q.admitter.Cancel(time.Now(), id))
}

// done reports that a dispatched request ended after cost tokens.
func (q *queue) done(id string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admitter.Done(time.Now(), id, cost))
}

// setCapacity sets what the upstreams carry for all instances together.
func (q *queue) setCapacity(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = slots
	q.updateSlots()
}

// setShare sets what this instance may use of the capacity.
func (q *queue) setShare(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.share = slots
	q.updateSlots()
}

// updateSlots tells a change to adm. The caller holds q.mu.
func (q *queue) updateSlots() {
	slots := min(q.capacity, q.share)
	if slots == q.slots {
		return
	}
	q.slots = slots
	q.deliver(q.admitter.Capacity(time.Now(), slots))
}

func (q *queue) totalCapacity() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.capacity
}

func (q *queue) configure(c admission.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admitter.Configure(time.Now(), c))
}

func (q *queue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admitter.Tick(time.Now()))
}

func (q *queue) stats(top int) admission.Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admitter.Stats(top)
}

func (q *queue) loads() []admission.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admitter.Loads()
}

func (q *queue) position(id string) (admission.Position, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admitter.Position(time.Now(), id)
}

// deliver hands effects to the goroutines that wait for them. The caller holds
// q.mu.
func (q *queue) deliver(effects []admission.Effect) {
	for _, e := range effects {
		ch, ok := q.waiting[e.ID]
		if !ok {
			continue
		}
		delete(q.waiting, e.ID)
		ch <- e
	}
}
