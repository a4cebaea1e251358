package peer

import (
	"time"

	"masticbank.example/core/poison"
	"masticbank.example/node/peer/peerpb"
)

// EncodeEvidence returns the message for evidence on requests that crash
// upstreams.
func EncodeEvidence(s poison.Evidence, now time.Time) *peerpb.CrashEvidence {
	out := &peerpb.CrashEvidence{}
	for _, c := range s.Crashes {
		out.Crashes = append(out.Crashes, &peerpb.Crash{
			Fingerprint: c.Fingerprint[:],
			Attempt:     c.Run.Attempt,
			Run:         c.Run.Number,
			Upstream:    c.Process.Replica,
			Born:        c.Process.StartTime,
			Progressed:  c.Progressed,
			AgeMs:       ageMillis(now, c.At),
		})
	}
	for _, c := range s.Clearances {
		out.Cleared = append(out.Cleared, &peerpb.ClearedRequest{Fingerprint: c.Fingerprint[:], AgeMs: ageMillis(now, c.At)})
	}
	return out
}

// ageMillis returns the time from at to now in milliseconds, at least 0.
func ageMillis(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

// DecodeEvidence returns the evidence in a message. Entries with an incomplete
// fingerprint are skipped.
func DecodeEvidence(m *peerpb.CrashEvidence, now time.Time) poison.Evidence {
	var s poison.Evidence
	for _, c := range m.GetCrashes() {
		f, ok := poison.FingerprintFrom(c.GetFingerprint())
		if !ok {
			continue
		}
		s.Crashes = append(s.Crashes, poison.Crash{
			Fingerprint: f,
			Run:         poison.Run{Attempt: c.GetAttempt(), Number: c.GetRun()},
			Process:     poison.Process{Replica: c.GetUpstream(), StartTime: c.GetBorn()},
			Progressed:  c.GetProgressed(),
			At:          now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond),
		})
	}
	for _, c := range m.GetCleared() {
		if f, ok := poison.FingerprintFrom(c.GetFingerprint()); ok {
			s.Clearances = append(s.Clearances, poison.Clearance{Fingerprint: f, At: now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)})
		}
	}
	return s
}
