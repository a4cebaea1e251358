package router

import (
	"context"
	"time"

	"masticbank.example/core/health"
	"masticbank.example/core/limit"
	"masticbank.example/core/poison"
	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// upstream is one engine replica as its pool knows it. The pool's lock guards
// it.
type upstream struct {
	instance wire.Instance
	health   *health.Upstream
	pace     health.Pace
	// limit learns how many sequences the replica takes.
	limit *limit.Limiter
	// inForce is the limit that the route table and the queue know.
	inForce int
	// cacheNext is the sequence number of the next cache event to read.
	cacheNext uint64
	// unreported counts the load reports in a row that did not come.
	unreported int
	// retired is true while only open attempts keep the replica known.
	retired bool
	// inFlight counts the attempts of this instance on the replica.
	inFlight int
	// open holds the requests whose steps run now, by call number, and lost
	// those whose connection broke and whose verdict is open.
	open map[uint64]poison.Fingerprint
	lost map[uint64]poison.Fingerprint
	// verdicts are waited for by steps that made no progress, by call number.
	verdicts map[uint64]chan bool
	// live ends when the open attempts on the replica are to end.
	live context.Context
	fail context.CancelFunc
}

func newUpstream(in wire.Instance, h *health.Upstream) *upstream {
	u := &upstream{
		instance: in,
		health:   h,
		limit:    limit.New(),
		open:     map[uint64]poison.Fingerprint{},
		lost:     map[uint64]poison.Fingerprint{},
		verdicts: map[uint64]chan bool{},
	}
	u.revive()
	return u
}

// revive begins a new period in which attempts may run on the replica.
func (u *upstream) revive() {
	u.live, u.fail = context.WithCancel(context.Background())
}

func (u *upstream) target() engine.Target {
	return engine.Target{ID: u.instance.ID, Address: u.instance.Address}
}

// suspects returns the requests that were running when the replica crashed, and
// forgets those whose connection broke.
func (u *upstream) suspects() []poison.Fingerprint {
	out := make([]poison.Fingerprint, 0, len(u.open)+len(u.lost))
	for _, f := range u.lost {
		out = append(out, f)
	}
	for _, f := range u.open {
		out = append(out, f)
	}
	clear(u.lost)
	return out
}

// usable tells whether the replica gets new work.
func (u *upstream) usable() bool {
	return !u.retired && u.health.Weight() > 0
}

// decide tells the step of one call whether the replica answers.
func (u *upstream) decide(number uint64, alive bool) {
	if ch, ok := u.verdicts[number]; ok {
		delete(u.verdicts, number)
		ch <- alive
	}
}

// failAttempts ends every open attempt on the replica.
func (u *upstream) failAttempts() {
	for number := range u.verdicts {
		u.decide(number, false)
	}
	u.fail()
	u.revive()
}

// call is one step under way on a replica.
type call struct {
	number  uint64
	target  engine.Target
	timeout time.Duration
	// live ends when the replica's open attempts are to end.
	live context.Context
}
