package gateway

import (
	"time"

	"masticbank.example/core/pipeline"
)

// startedLater reports whether the listed process of a replica is later than the one that started at
// the given time, 0 if that is not known.
func startedLater(listed, start int64) bool { return start != 0 && listed > start }

// blockProcess blocks the replica of a stage unless a later process of it is listed.
func (p *modelPool) blockProcess(stage pipeline.Stage, d time.Duration, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !startedLater(p.startTimes[stage.ID], stage.StartTime) {
		p.addBlock(stage.ID, d, reason)
	}
}
