package mesh

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"masticbank.example/core/retry"
	"masticbank.example/node/peer/peerpb"
)

// retryUnit is the number on the wire that stands for one retry.
const retryUnit = 1000

// AskForRetries asks some peers for retries of a service, and returns how many were asked.
func (m *Mesh) AskForRetries(service string, ask retry.Ask) int {
	m.mu.Lock()
	connected := slices.Collect(maps.Keys(m.connected))
	m.mu.Unlock()
	request := &peerpb.RetryRequest{Service: service, Millis: uint32(math.Ceil(ask.Each * retryUnit)), Round: ask.ID}
	sent := 0
	for _, id := range retry.Choose(connected, ask.Peers, rand.IntN) {
		if err := m.node.Send(id, request); err != nil {
			m.opts.Logger.Debug("failed to ask a peer for retries", zap.String("peer", id), zap.Error(err))
			continue
		}
		sent++
	}
	return sent
}

// RetryRequest implements peer.Handler. A loan that can't be sent is lost.
func (h *handler) RetryRequest(from string, r *peerpb.RetryRequest) {
	lent := h.mesh.opts.Gateway.LendRetries(r.GetService(), float64(r.GetMillis())/retryUnit)
	millis := uint32(lent * retryUnit)
	if millis == 0 {
		return
	}
	loan := &peerpb.RetryLoan{Service: r.GetService(), Millis: millis, Round: r.GetRound()}
	if err := h.mesh.node.Send(from, loan); err != nil {
		h.mesh.opts.Logger.Debug("failed to lend retries to a peer", zap.String("peer", from), zap.Error(err))
	}
}

// RetryLoan implements peer.Handler.
func (h *handler) RetryLoan(_ string, l *peerpb.RetryLoan) {
	h.mesh.opts.Gateway.ReceiveRetries(l.GetService(), l.GetRound(), float64(l.GetMillis())/retryUnit)
}
