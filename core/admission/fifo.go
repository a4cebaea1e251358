package admission

import (
	"container/list"
	"fmt"
	"time"
)

// FIFO serves requests in order of arrival, without ranks, fairness, limits by
// workspace or deadlines. It is the baseline that Queue is measured against.
type FIFO struct {
	maxQueued int
	slots     int
	waiting   list.List // of *fifoRequest
	requests  map[string]*fifoRequest
	inFlight  int
	cost      float64 // of waiting requests, tokens
	rate      serviceRate
	effects   []Effect
}

type fifoRequest struct {
	Request
	element      *list.Element // nil while running
	dispatchedAt time.Time
}

// NewFIFO returns an empty FIFO that holds at most maxQueued waiting requests; 0 means
// no limit.
func NewFIFO(maxQueued int) *FIFO {
	return &FIFO{maxQueued: maxQueued, requests: map[string]*fifoRequest{}}
}

// Arrive appends a request, or refuses it if the queue is full.
func (f *FIFO) Arrive(now time.Time, r Request) []Effect {
	f.effects = f.effects[:0]
	if _, ok := f.requests[r.ID]; ok {
		panic(fmt.Sprintf("admission: request %q arrived twice", r.ID))
	}
	if f.maxQueued > 0 && f.inFlight >= f.slots && f.waiting.Len() >= f.maxQueued {
		wait, known := f.expectedWait(f.cost)
		return append(f.effects, Effect{Kind: Refuse, ID: r.ID, Reason: ReasonPoolFull, RetryAfter: retryAfter(wait, known)})
	}
	req := &fifoRequest{Request: r}
	req.element = f.waiting.PushBack(req)
	f.cost += r.Cost
	f.requests[r.ID] = req
	return f.fillSlots(now)
}

// SetSlots sets how many requests may run at once.
func (f *FIFO) SetSlots(now time.Time, slots int) []Effect {
	f.effects = f.effects[:0]
	f.slots = max(slots, 0)
	return f.fillSlots(now)
}

// Done reports that a dispatched request ran to completion.
func (f *FIFO) Done(now time.Time, id string, _ float64) []Effect {
	f.effects = f.effects[:0]
	r, ok := f.requests[id]
	if !ok || r.element != nil {
		return f.effects
	}
	f.rate.observe(r.Cost, now.Sub(r.dispatchedAt), f.slots)
	delete(f.requests, id)
	f.inFlight--
	return f.fillSlots(now)
}

// Cancel reports that a request ended early.
func (f *FIFO) Cancel(now time.Time, id string) []Effect {
	f.effects = f.effects[:0]
	r, ok := f.requests[id]
	if !ok {
		return f.effects
	}
	delete(f.requests, id)
	if r.element != nil {
		f.waiting.Remove(r.element)
		f.cost -= r.Cost
	} else {
		f.inFlight--
	}
	return f.fillSlots(now)
}

// Requeue returns a dispatched request to the front of the queue.
func (f *FIFO) Requeue(_ time.Time, id string) []Effect {
	f.effects = f.effects[:0]
	if r, ok := f.requests[id]; ok && r.element == nil {
		f.inFlight--
		r.element = f.waiting.PushFront(r)
		f.cost += r.Cost
	}
	return f.effects
}

// Configure applies the limit on waiting requests from c.
func (f *FIFO) Configure(now time.Time, c Config) []Effect {
	f.effects = f.effects[:0]
	f.maxQueued = c.MaxQueued
	return f.fillSlots(now)
}

// Tick dispatches requeued requests.
func (f *FIFO) Tick(now time.Time) []Effect {
	f.effects = f.effects[:0]
	return f.fillSlots(now)
}

// Stats summarizes the queue as a single rank, without workspaces.
func (f *FIFO) Stats(int) Stats {
	return Stats{
		Slots:    f.slots,
		InFlight: f.inFlight,
		Queued:   f.waiting.Len(),
		Rate:     f.rate.perSlot() * float64(f.slots),
		Ranks:    []RankStats{{Queued: f.waiting.Len(), QueuedCost: f.cost}},
	}
}

// Loads returns all work as that of one workspace in the most urgent rank.
func (f *FIFO) Loads() []Load {
	if f.waiting.Len()+f.inFlight == 0 {
		return nil
	}
	return []Load{{Weight: 1, Queued: f.waiting.Len(), QueuedCost: f.cost, InFlight: f.inFlight}}
}

// Position returns the position of a waiting request in the whole queue.
func (f *FIFO) Position(_ time.Time, id string) (Position, bool) {
	p := Position{Place: 1}
	for e := f.waiting.Front(); e != nil; e = e.Next() {
		r := e.Value.(*fifoRequest)
		if r.ID == id {
			wait, known := f.expectedWait(p.CostAhead)
			p.Wait, p.WaitKnown = secondsToDuration(wait), known
			return p, true
		}
		p.Place++
		p.CostAhead += r.Cost
	}
	return Position{}, false
}

func (f *FIFO) fillSlots(now time.Time) []Effect {
	for f.inFlight < f.slots && f.waiting.Len() > 0 {
		r := f.waiting.Remove(f.waiting.Front()).(*fifoRequest)
		r.element = nil
		f.cost -= r.Cost
		r.dispatchedAt = now
		f.inFlight++
		f.effects = append(f.effects, Effect{Kind: Dispatch, ID: r.ID})
	}
	return f.effects
}

func (f *FIFO) expectedWait(ahead float64) (seconds float64, known bool) {
	rate := f.rate.perSlot() * float64(f.slots)
	if rate == 0 {
		return 0, false
	}
	return ahead / rate, true
}
