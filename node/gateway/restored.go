package gateway

import "masticbank.example/core/poison"

// RecurringEvidence returns all evidence about requests that have crashed replicas more than once, which
// outlasts all instances in the platform's store.
func (g *Gateway) RecurringEvidence() []poison.Crash { return g.crashes.allRecurring() }

func (k *crashGuard) allRecurring() []poison.Crash {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []poison.Crash
	for _, c := range k.ledger.Evidence().Crashes {
		if k.ledger.Incidents(c.Fingerprint) >= recurringIncidents {
			out = append(out, c)
		}
	}
	return out
}
