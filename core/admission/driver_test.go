package admission

import (
	"fmt"
	"time"

	"masticbank.example/core/config"
)

// driver carries out the effects of an Admitter in virtual time and records its
// decisions.
type driver struct {
	q       Admitter
	now     time.Time
	nextID  int
	waiting map[string]Request
	running []Request // in order of dispatch
	actual  func(Request) float64
	refused []Effect
	// observe is called after each dispatch.
	observe func(Request)
}

func newDriver(q Admitter) *driver {
	return &driver{
		q: q, now: epoch, waiting: map[string]Request{},
		actual:  func(r Request) float64 { return r.Cost },
		observe: func(Request) {},
	}
}

func (d *driver) apply(effects []Effect) {
	for _, e := range effects {
		r, ok := d.waiting[e.ID]
		if !ok {
			panic(fmt.Sprintf("%s of %s, which does not wait", e.Kind, e.ID))
		}
		delete(d.waiting, e.ID)
		if e.Kind == Refuse {
			d.refused = append(d.refused, e)
			continue
		}
		d.running = append(d.running, r)
		d.observe(r)
	}
}

func (d *driver) arrive(workspace string, rank int, cost float64, timeout time.Duration) Request {
	r := Request{ID: fmt.Sprint("r", d.nextID), Workspace: workspace, Rank: config.Rank(rank), Cost: cost}
	if timeout > 0 {
		r.Deadline = d.now.Add(timeout)
	}
	d.nextID++
	d.waiting[r.ID] = r
	d.apply(d.q.Arrive(d.now, r))
	return r
}

func (d *driver) capacity(slots int) { d.apply(d.q.SetSlots(d.now, slots)) }

// done completes the running request at index i.
func (d *driver) done(i int) {
	r := d.running[i]
	d.running = append(d.running[:i:i], d.running[i+1:]...)
	d.apply(d.q.Done(d.now, r.ID, d.actual(r)))
}

// queued counts the waiting requests of a rank, of all workspaces if workspace is
// empty.
func (d *driver) queued(workspace string, rank int) int {
	n := 0
	for _, r := range d.waiting {
		if int(r.Rank) == rank && (workspace == "" || r.Workspace == workspace) {
			n++
		}
	}
	return n
}

// isWaiting reports whether r is neither running nor refused.
func (d *driver) isWaiting(r Request) bool {
	_, ok := d.waiting[r.ID]
	return ok
}
