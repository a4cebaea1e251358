package engine

import (
	"time"

	"masticbank.example/node/wire"
)

// reportHistory keeps past load reports, so that an old one can be shown.
type reportHistory struct {
	entries []timedReport
}

type timedReport struct {
	at     time.Time
	report wire.LoadReport
}

// snapshotsPerLag is the number of reports kept within one report lag.
const snapshotsPerLag = 4

// add notes the load that holds from at on. Loads that follow each other
// quickly share one entry, so that the lag may be shorter by a quarter.
func (h *reportHistory) add(at time.Time, lag time.Duration, report wire.LoadReport) {
	n := len(h.entries)
	if n > 0 && at.Sub(h.entries[n-1].at) < lag/snapshotsPerLag {
		h.entries[n-1].report = report
		return
	}
	if n > 2*snapshotsPerLag {
		h.entries = h.entries[1:]
	}
	h.entries = append(h.entries, timedReport{at: at, report: report})
}

// before returns the newest report that is not younger than at, else the
// oldest one.
func (h *reportHistory) before(at time.Time) wire.LoadReport {
	for i := len(h.entries) - 1; i > 0; i-- {
		if !h.entries[i].at.After(at) {
			return h.entries[i].report
		}
	}
	return h.entries[0].report
}

// noteLoad keeps the load after a change. The caller holds e.mu.
func (e *Engine) noteLoad() {
	if e.options.ReportLag > 0 {
		e.reports.add(e.clock.Now(), e.options.ReportLag, e.load())
	}
}

func (e *Engine) load() wire.LoadReport {
	return wire.LoadReport{
		Running:                e.running,
		Waiting:                e.waiting.len(),
		Slots:                  e.options.Slots,
		StepMillis:             float64(e.scaled(e.options.StepTime)) / float64(time.Millisecond),
		PrefillTokensPerSecond: e.options.PrefillTokensPerSecond / e.faults.factor,
		Leaving:                e.faults.leaving,
	}
}

// LoadReport returns the engine's load as it was one report lag ago.
func (e *Engine) LoadReport() wire.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ReportLag <= 0 {
		return e.load()
	}
	return e.reports.before(e.clock.Now().Add(-e.options.ReportLag))
}
