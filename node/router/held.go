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

// holding is what an engine said that it holds while the platform's list showed
// something else.
type holding struct {
	listed wire.Instance
	model  string
	ver    string
	first  int
	last   int
}

// correct returns in with what the engine said that it holds, until the list
// shows a change.
func (p *pool) correct(in wire.Instance) wire.Instance {
	h, ok := p.held[in.ID]
	if !ok {
		return in
	}
	if h.listed != in {
		delete(p.held, in.ID)
		return in
	}
	in.Model, in.Version, in.FirstLayer, in.LastLayer = h.model, h.ver, h.first, h.last
	return in
}

// readHolding asks an engine in the background what it holds, after it refused
// a step because of its layers. The caller holds p.mu.
func (p *pool) readHolding(t engine.Target) {
	p.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		defer cancel()
		s, err := p.engines.State(ctx, t)
		if err != nil || s.Loading {
			return
		}
		p.applyHolding(t.ID, s)
	})
}

// applyHolding takes what an engine holds and applies the list again if that is
// news.
func (p *pool) applyHolding(id string, s *wire.EngineState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, in := range p.list {
		if in.ID != id {
			continue
		}
		h := holding{listed: in, model: s.Model, ver: s.Version, first: s.FirstLayer, last: s.LastLayer}
		if p.held[id] == h || sameAsListed(h) {
			continue
		}
		p.held[id] = h
		p.log.Info("engine holds other layers than listed", zap.String("upstream", id), zap.String("version", s.Version),
			zap.Int("first", s.FirstLayer), zap.Int("last", s.LastLayer))
		p.applyList()
	}
}

func sameAsListed(h holding) bool {
	in := h.listed
	return h.model == in.Model && h.ver == in.Version && h.first == in.FirstLayer && h.last == in.LastLayer
}

// readOthers asks the engines that seem to hold another version than the one in
// use, while that lacks replicas of some layer. The caller holds p.mu.
func (p *pool) readOthers(engines []wire.Instance) {
	if p.tiles(engines, p.inUse) {
		return
	}
	for _, in := range engines {
		if in.Version != p.inUse {
			p.readHolding(engine.Target{ID: in.ID, Address: in.Address})
		}
	}
}
