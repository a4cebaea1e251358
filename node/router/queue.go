package router

import (
	"context"
	"math"
	"sync"
	"time"

	"masticbank.example/core/admission"
)

// queue blocks goroutines until an admission.Admitter decides on their requests. It is
// safe for concurrent use.
type queue struct {
	mu       sync.Mutex
	admitter admission.Admitter
	waiting  map[string]chan admission.Effect
	// capacity is the number of slots of the upstreams for all instances together,
	// share the number that this instance may use.
	capacity int
	share    int
	// slots is the smaller of the two, as last passed to admitter.
	slots int
	// onWait is called when a request has to wait for a slot.
	onWait func()
	// closed is true if the pool was removed or replaced.
	closed bool
}

// unlimited is the share of an instance without peers.
const unlimited = math.MaxInt

func newQueue(admitter admission.Admitter, onWait func()) *queue {
	return &queue{admitter: admitter, waiting: map[string]chan admission.Effect{}, share: unlimited, onWait: onWait}
}

// admit waits until the request is dispatched or refused. If ctx ends first, the
// request is removed from the queue and the error of ctx is returned.
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

// requeue returns a dispatched request to its position in the queue and waits again.
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

// close refuses all waiting and future requests. The pool was removed or replaced, so
// nothing would dispatch them.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for id, ch := range q.waiting {
		delete(q.waiting, id)
		ch <- poolReplacedEffect(id)
	}
}

// poolReplacedEffect returns the refusal of a request whose pool was removed or
// replaced.
func poolReplacedEffect(id string) admission.Effect {
	return admission.Effect{Kind: admission.Refuse, ID: id, RetryAfter: retryAfterReplaced}
}

// refusalMessage describes a refusal for the client.
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

// cancel removes a request, whether it is waiting or running.
func (q *queue) cancel(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	q.deliver(q.admitter.Cancel(time.Now(), id))
}

// done records that a dispatched request has completed with the given cost in tokens.
func (q *queue) done(id string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admitter.Done(time.Now(), id, cost))
}

// setCapacity sets the number of slots of the upstreams for all instances together.
func (q *queue) setCapacity(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = slots
	q.updateSlots()
}

// setShare sets the number of slots that this instance may use.
func (q *queue) setShare(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.share = slots
	q.updateSlots()
}

// updateSlots passes a changed number of slots to the admitter. The caller must hold
// q.mu.
func (q *queue) updateSlots() {
	slots := min(q.capacity, q.share)
	if slots == q.slots {
		return
	}
	q.slots = slots
	q.deliver(q.admitter.SetSlots(time.Now(), slots))
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

// deliver sends effects to the goroutines that wait for them. The caller must hold
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
