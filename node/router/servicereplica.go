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

// serviceReplica is the state of one replica of a plain service. It is guarded by the
// lock of its pool.
type serviceReplica struct {
	instance wire.Instance
	health   *health.Upstream
	inFlight int
	// lostCalls holds, by call number, the requests whose connections broke while it
	// is undecided whether the replica still responds.
	lostCalls map[uint64]poison.Fingerprint
	// attemptCtx is cancelled to end all open calls to the replica.
	attemptCtx     context.Context
	cancelAttempts context.CancelFunc
}

func newServiceReplica(in wire.Instance, h *health.Upstream) *serviceReplica {
	rep := &serviceReplica{instance: in, health: h, lostCalls: map[uint64]poison.Fingerprint{}}
	rep.attemptCtx, rep.cancelAttempts = context.WithCancel(context.Background())
	return rep
}

// failAttempts cancels all open calls to the replica.
func (rep *serviceReplica) failAttempts() {
	rep.cancelAttempts()
	rep.attemptCtx, rep.cancelAttempts = context.WithCancel(context.Background())
}

// lessLoadedThan reports whether the next call should go to rep rather than to other.
// Both must have a weight above 0.
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

// probe counts any HTTP response as success, because plain services need not implement
// wire.PathProbe.
func (a *serviceActions) probe(e health.Probe) {
	address := a.replica.instance.Address
	a.pool.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
		defer cancel()
		// A non-idempotent call always opens a new connection.
		response, err := a.pool.client.Do(ctx, address, getCall(wire.PathProbe, false))
		if err != nil {
			a.pool.observe(a.replica, health.ProbeFailed{Probe: e.Number})
			return
		}
		if isLeavingRefusal(response) {
			a.pool.observe(a.replica, health.Leaving{Source: health.FromUpstream})
		}
		a.pool.observe(a.replica, health.ProbeSucceeded{Probe: e.Number})
	})
}

// replaceConnection closes all idle connections, because any of them may be as
// unresponsive as the reported one. That one is closed when its call ends.
func (a *serviceActions) replaceConnection(number uint64) {
	delete(a.replica.lostCalls, number)
	a.pool.client.Close()
}

// setWeight does nothing: beginCall reads the weight from the state machine.
func (a *serviceActions) setWeight(float64) {}

// failAttempts cancels the open calls to an unresponsive replica. If connections to it
// broke before, it is assumed to have crashed, and their requests are recorded as
// possible causes.
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

// readLoad reads the load report of a replica to detect that it is leaving. A replica
// that serves no load report is assumed not to be leaving.
func (s *servicePool) readLoad(ctx context.Context, rep *serviceReplica) {
	s.mu.Lock()
	address := rep.instance.Address
	s.mu.Unlock()
	response, err := s.client.Do(ctx, address, getCall(wire.PathLoad, true))
	if err != nil || response.Status != http.StatusOK {
		return
	}
	var report wire.LoadReport
	if err := json.Unmarshal(response.Body, &report); err != nil || !report.Leaving {
		return
	}
	s.observe(rep, health.Leaving{Source: health.FromUpstream})
}

func getCall(path string, idempotent bool) service.Call {
	return service.Call{Method: http.MethodGet, Path: path, Header: http.Header{}, Idempotent: idempotent}
}

// isLeavingRefusal reports whether the replica refused the call because it is leaving.
// Such a call was not executed.
func isLeavingRefusal(r *service.Response) bool {
	if r.Status != http.StatusServiceUnavailable {
		return false
	}
	var body wire.ErrorBody
	return json.Unmarshal(r.Body, &body) == nil && body.Code == wire.CodeLeaving
}

// connectionFailed reports whether a call failed because of its connection. Other
// errors, such as a malformed client request, do not indicate a fault of the replica.
func connectionFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
