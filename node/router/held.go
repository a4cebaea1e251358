package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// stateTimeout bounds the reading of what an engine holds.
const stateTimeout = time.Second

// reportedState is what an engine said that it holds while the platform's list showed
// something else.
type reportedState struct {
	listed     wire.Instance
	model      string
	version    string
	firstLayer int
	lastLayer  int
}

// withReportedState returns in with what the engine said that it holds, until the list
// shows a change.
func (p *pool) withReportedState(in wire.Instance) wire.Instance {
	h, ok := p.reportedStates[in.ID]
	if !ok {
		return in
	}
	if h.listed != in {
		delete(p.reportedStates, in.ID)
		return in
	}
	in.Model, in.Version, in.FirstLayer, in.LastLayer = h.model, h.version, h.firstLayer, h.lastLayer
	return in
}

// readState asks an engine in the background what it holds, after it refused
// a step because of its layers. The caller holds p.mu.
func (p *pool) readState(t engine.Target) {
	p.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		defer cancel()
		s, err := p.engines.State(ctx, t)
		if err != nil || s.Loading {
			return
		}
		p.applyState(t.ID, s)
	})
}

// applyState takes what an engine holds and applies the list again if that is
// news.
func (p *pool) applyState(id string, s *wire.EngineState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, in := range p.list {
		if in.ID != id {
			continue
		}
		h := reportedState{listed: in, model: s.Model, version: s.Version, firstLayer: s.FirstLayer, lastLayer: s.LastLayer}
		if p.reportedStates[id] == h || matchesList(h) {
			continue
		}
		p.reportedStates[id] = h
		p.log.Info("engine holds other layers than listed", zap.String("upstream", id), zap.String("version", s.Version),
			zap.Int("first", s.FirstLayer), zap.Int("last", s.LastLayer))
		p.applyList()
	}
}

func matchesList(h reportedState) bool {
	in := h.listed
	return h.model == in.Model && h.version == in.Version && h.firstLayer == in.FirstLayer && h.lastLayer == in.LastLayer
}

// readOtherVersions asks the engines that seem to hold another version than the one in
// use, while that lacks replicas of some layer. The caller holds p.mu.
func (p *pool) readOtherVersions(engines []wire.Instance) {
	if p.coversAllLayers(engines, p.activeVersion) {
		return
	}
	for _, in := range engines {
		if in.Version != p.activeVersion {
			p.readState(engine.Target{ID: in.ID, Address: in.Address})
		}
	}
}
