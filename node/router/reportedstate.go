package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"masticbank.example/node/engine"
	"masticbank.example/node/wire"
)

// stateTimeout bounds one request for an engine's state.
const stateTimeout = time.Second

// reportedState is the model, version and layer range that an engine reported when the
// platform's list showed another state.
type reportedState struct {
	listed     wire.Instance
	model      string
	version    string
	firstLayer int
	lastLayer  int
}

// withReportedState returns in with the state that the engine reported, until its list
// entry changes.
func (p *pool) withReportedState(in wire.Instance) wire.Instance {
	reported, ok := p.reportedStates[in.ID]
	if !ok {
		return in
	}
	if reported.listed != in {
		delete(p.reportedStates, in.ID)
		return in
	}
	in.Model, in.Version, in.FirstLayer, in.LastLayer = reported.model, reported.version, reported.firstLayer, reported.lastLayer
	return in
}

// readState reads in the background which layers an engine holds, for example after
// the engine refused a step because of its layer range. The caller must hold p.mu.
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

// applyState stores the state that an engine reported, and applies the list again if
// that state is new and differs from the list.
func (p *pool) applyState(id string, s *wire.EngineState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, in := range p.list {
		if in.ID != id {
			continue
		}
		reported := reportedState{listed: in, model: s.Model, version: s.Version, firstLayer: s.FirstLayer, lastLayer: s.LastLayer}
		if p.reportedStates[id] == reported || matchesList(reported) {
			continue
		}
		p.reportedStates[id] = reported
		p.log.Info("engine state differs from the instance list", zap.String("upstream", id), zap.String("version", s.Version),
			zap.Int("first", s.FirstLayer), zap.Int("last", s.LastLayer))
		p.applyList()
	}
}

func matchesList(reported reportedState) bool {
	in := reported.listed
	return reported.model == in.Model && reported.version == in.Version && reported.firstLayer == in.FirstLayer && reported.lastLayer == in.LastLayer
}

// readOtherVersions reads the states of the engines that are listed with a version
// other than the active one, while the active one does not cover all layers. The
// caller must hold p.mu.
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
