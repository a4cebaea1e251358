package router

import "sync"

// historySize is the number of finished requests that ExplainRequest can find.
const historySize = 1024

// history keeps the results of the most recent requests. It is safe for concurrent
// use.
type history struct {
	mu   sync.Mutex
	ring [historySize]Result
	next int
	byID map[string]int
}

func newHistory() *history {
	return &history{byID: map[string]int{}}
}

func (h *history) add(r Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, h.ring[h.next].RequestID)
	h.ring[h.next] = r
	h.byID[r.RequestID] = h.next
	h.next = (h.next + 1) % historySize
}

func (h *history) find(id string) (Result, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i, ok := h.byID[id]
	if !ok {
		return Result{}, false
	}
	return h.ring[i], true
}
