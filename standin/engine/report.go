package engine

import (
	"time"

	"masticbank.example/node/wire"
)

// reportHistory keeps past load reports, so that the engine can return an old one.
type reportHistory struct {
	entries []timedReport
}

// timedReport is the load since the given time.
type timedReport struct {
	at     time.Time
	report wire.LoadReport
}

// entriesPerLag is the maximum number of entries that are added per report lag.
const entriesPerLag = 4

// add records the load since the given time. Loads in quick succession share one entry,
// so that the effective lag may be shorter by up to a quarter.
func (h *reportHistory) add(at time.Time, lag time.Duration, report wire.LoadReport) {
	n := len(h.entries)
	if n > 0 && at.Sub(h.entries[n-1].at) < lag/entriesPerLag {
		h.entries[n-1].report = report
		return
	}
	if n > 2*entriesPerLag {
		h.entries = h.entries[1:]
	}
	h.entries = append(h.entries, timedReport{at: at, report: report})
}

// newestAt returns the newest report that is not later than the given time, or the
// oldest one if there is none.
func (h *reportHistory) newestAt(at time.Time) wire.LoadReport {
	for i := len(h.entries) - 1; i > 0; i-- {
		if !h.entries[i].at.After(at) {
			return h.entries[i].report
		}
	}
	return h.entries[0].report
}

// recordLoad records the load after a change. The caller holds e.mu.
func (e *Engine) recordLoad() {
	if e.options.ReportLag > 0 {
		e.reports.add(e.clock.Now(), e.options.ReportLag, e.currentLoad())
	}
}

// currentLoad returns the present load. The caller holds e.mu.
func (e *Engine) currentLoad() wire.LoadReport {
	return wire.LoadReport{
		Running:                e.running,
		Waiting:                e.waiting.len(),
		Slots:                  e.options.Slots,
		StepMillis:             float64(e.slowed(e.options.StepTime)) / float64(time.Millisecond),
		PrefillTokensPerSecond: e.options.PrefillTokensPerSecond / e.faults.factor,
		Leaving:                e.faults.leaving,
	}
}

// LoadReport returns the engine's load as it was one report lag ago.
func (e *Engine) LoadReport() wire.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ReportLag <= 0 {
		return e.currentLoad()
	}
	return e.reports.newestAt(e.clock.Now().Add(-e.options.ReportLag))
}
