package engine

import "container/heap"

// waitQueue is a queue of prefills ordered by priority, then by arrival.
type waitQueue struct {
	items   waitHeap
	arrival uint64
}

func (q *waitQueue) len() int { return len(q.items) }

func (q *waitQueue) push(s *step) {
	q.arrival++
	s.arrival = q.arrival
	heap.Push(&q.items, s)
}

func (q *waitQueue) pop() *step {
	return heap.Pop(&q.items).(*step)
}

func (q *waitQueue) remove(s *step) {
	if s.index >= 0 && s.index < len(q.items) && q.items[s.index] == s {
		heap.Remove(&q.items, s.index)
	}
}

// waitHeap implements container/heap for waitQueue.
type waitHeap []*step

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].req.Priority != h[j].req.Priority {
		return h[i].req.Priority < h[j].req.Priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends a step, as container/heap requires.
func (h *waitHeap) Push(x any) {
	s := x.(*step)
	s.index = len(*h)
	*h = append(*h, s)
}

// Pop removes the last step, as container/heap requires.
func (h *waitHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	s.index = -1
	return s
}
