package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"

	"masticbank.example/core/health"
	"masticbank.example/core/poison"
	"masticbank.example/node/service"
	"masticbank.example/node/wire"
)

// serviceReplica is one replica of a plain service. The pool's lock guards it.
type serviceReplica struct {
	instance wire.Instance
	health   *health.Upstream
	inFlight int
	// lostCalls holds the requests whose connection broke and of which it is not known yet
	// whether the replica answers, by call number.
	lostCalls map[uint64]poison.Fingerprint
	// attemptCtx ends when the open attempts on the replica are to end.
	attemptCtx     context.Context
	cancelAttempts context.CancelFunc
}

func newServiceReplica(in wire.Instance, h *health.Upstream) *serviceReplica {
	rep := &serviceReplica{instance: in, health: h, lostCalls: map[uint64]poison.Fingerprint{}}
	rep.attemptCtx, rep.cancelAttempts = context.WithCancel(context.Background())
	return rep
}

// failAttempts ends every open attempt on the replica.
func (rep *serviceReplica) failAttempts() {
	rep.cancelAttempts()
	rep.attemptCtx, rep.cancelAttempts = context.WithCancel(context.Background())
}

// lessLoadedThan tells whether the next call is for rep rather than for other. Both
// have a weight above 0.
func (rep *serviceReplica) lessLoadedThan(other *serviceReplica) bool {
	a := float64(rep.inFlight+1) / rep.health.Weight()
	b := float64(other.inFlight+1) / other.health.Weight()
	if a != b {
		return a < b
	}
	return rep.instance.ID < other.instance.ID
}

// serviceActions implements actions for a service replica.
type serviceActions struct {
	pool    *servicePool
	replica *serviceReplica
}

// probe counts every answer in HTTP, as plain services need not serve
// wire.PathProbe.
func (a *serviceActions) probe(e health.Probe) {
	address := a.replica.instance.Address
	a.pool.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
		defer cancel()
		// A call that may not be repeated gets a new connection.
		answer, err := a.pool.client.Do(ctx, address, getCall(wire.PathProbe, false))
		if err != nil {
			a.pool.observe(a.replica, health.ProbeFailed{Probe: e.Number})
			return
		}
		if isLeavingRefusal(answer) {
			a.pool.observe(a.replica, health.Leaving{Source: health.FromUpstream})
		}
		a.pool.observe(a.replica, health.ProbeAnswered{Probe: e.Number})
	})
}

// replaceConnection closes the idle connections, of which any may be as silent
// as the one that was replaced. That one ends with its call.
func (a *serviceActions) replaceConnection(number uint64) {
	delete(a.replica.lostCalls, number)
	a.pool.client.Close()
}

// setWeight does nothing: the state machine holds the weight.
func (a *serviceActions) setWeight(float64) {}

// failAttempts ends the open calls on a replica that does not answer. When connections
// broke before, it crashed.
func (a *serviceActions) failAttempts() {
	if lost := a.replica.lostCalls; len(lost) > 0 {
		a.pool.poison.recordCrash(a.replica.instance.ID, slices.Collect(maps.Values(lost)))
		clear(lost)
	}
	a.replica.failAttempts()
}

func (a *serviceActions) remove() {
	if a.pool.replicas[a.replica.instance.ID] == a.replica {
		delete(a.pool.replicas, a.replica.instance.ID)
	}
}

// readLoad asks a replica for its load report. Replicas that serve none are
// taken as staying.
func (s *servicePool) readLoad(ctx context.Context, rep *serviceReplica) {
	s.mu.Lock()
	address := rep.instance.Address
	s.mu.Unlock()
	answer, err := s.client.Do(ctx, address, getCall(wire.PathLoad, true))
	if err != nil || answer.Status != http.StatusOK {
		return
	}
	var report wire.LoadReport
	if err := json.Unmarshal(answer.Body, &report); err != nil || !report.Leaving {
		return
	}
	s.observe(rep, health.Leaving{Source: health.FromUpstream})
}

func getCall(path string, idempotent bool) service.Call {
	return service.Call{Method: http.MethodGet, Path: path, Header: http.Header{}, Idempotent: idempotent}
}

// isLeavingRefusal tells whether a replica refused a call because it leaves; nothing
// ran then.
func isLeavingRefusal(a *service.Answer) bool {
	if a.Status != http.StatusServiceUnavailable {
		return false
	}
	var body wire.ErrorBody
	return json.Unmarshal(a.Body, &body) == nil && body.Code == wire.CodeLeaving
}

// connectionFailed tells whether a call failed by its connection. Calls that a
// caller made malformed say nothing about the replica.
func connectionFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
