package pipeline

import "time"

// Report holds the measured state of a replica: the replica's own measurements, received directly
// or relayed by another instance.
type Report struct {
	// StepTimeRatio is the step time divided by the usual step time; 0 if unknown.
	StepTimeRatio float64
	// CacheUsed and CacheCapacity are the used and the total KV cache in tokens times layers.
	CacheUsed, CacheCapacity float64
	// From and To bound the layers held, if HasLayers is set. Otherwise the layers of the
	// previous report stay in force.
	From, To  int
	HasLayers bool
}

// maxReportAge is the maximum age of a report that is taken into account.
const maxReportAge = 3 * time.Second

// Observe replaces the last report of a replica. Layers that differ from those in the replica list
// apply at once.
func (f *Fleet) Observe(now time.Time, id string, report Report) {
	m := f.replicas[id]
	if m == nil {
		return
	}
	if report.HasLayers {
		m.layersReportedAt = now
	} else {
		report.HasLayers, report.From, report.To = m.observed.HasLayers, m.observed.From, m.observed.To
	}
	m.observed, m.observedAt = report, now
	if report.CacheCapacity > 0 && !now.Before(f.orphansUntil) {
		f.use.observe(now, report.CacheUsed, m.reserved+m.remoteReserved)
	}
	m.stepTimeRatio = 1
	if report.StepTimeRatio > 0 {
		m.stepTimeRatio = report.StepTimeRatio
	}
	if m.layersReportedAt.Equal(now) && (report.From != m.From || report.To != m.To) {
		m.From, m.To = report.From, report.To
		m.setCapacity(now, f.model.CacheCapacity(m.Kind, m.To-m.From), false)
		f.rebuildIndex()
	}
}

// forgetReports removes what an earlier process of the replica reported.
func (m *member) forgetReports() {
	m.observed, m.observedAt, m.layersReportedAt, m.stepTimeRatio = Report{}, time.Time{}, time.Time{}, 1
}

// Layers returns the layers of a replica's last report that contained them, if it is recent.
func (f *Fleet) Layers(now time.Time, id string) (from, to int, ok bool) {
	m := f.replicas[id]
	if m == nil || !m.observed.HasLayers || now.Sub(m.layersReportedAt) > maxLayersAge {
		return 0, 0, false
	}
	return m.observed.From, m.observed.To, true
}

// maxLayersAge is how long the reported layers take precedence over those of the replica's entry in
// the store, which is read less often, and not at all while the store is unavailable.
const maxLayersAge = 1500 * time.Millisecond

// cacheUsage returns the KV cache capacity of a replica and the used part of it. It takes the
// replica's own report into account if that is recent.
func (f *Fleet) cacheUsage(now time.Time, m *member) (capacity, used float64) {
	capacity, used = m.cacheCapacity, (m.reserved+m.remoteReserved)*f.use.factor(now)
	if m.observedAt.IsZero() || now.Sub(m.observedAt) > maxReportAge {
		m.stepTimeRatio = 1
		return capacity, used
	}
	if m.observed.CacheCapacity > 0 {
		capacity = min(capacity, m.observed.CacheCapacity)
	}
	if now.Before(f.orphansUntil) {
		used = max(used, m.observed.CacheUsed)
	}
	return capacity, used
}

// StepTimeRatio returns the step time of a replica divided by the usual step time, or 1 without a
// recent report.
func (f *Fleet) StepTimeRatio(now time.Time, id string) float64 {
	m := f.replicas[id]
	if m == nil || m.observedAt.IsZero() || now.Sub(m.observedAt) > maxReportAge {
		return 1
	}
	return m.stepTimeRatio
}
