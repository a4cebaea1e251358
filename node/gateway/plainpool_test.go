package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/roster"
)

// TestReplicaThatChangedAfterItWasChosenGetsNothing guards against a request that is sent to an
// address which has another process since, or to a replica that has left or asked for a pause.
func TestReplicaThatChangedAfterItWasChosenGetsNothing(t *testing.T) {
	entry := roster.Entry{ID: "a", Address: "10.0.0.1:80", Zone: "z", StartTime: 1}
	for name, change := range map[string]func(p *plainPool, chosen Replica){
		"left":          func(p *plainPool, _ Replica) { p.setReplicas(nil) },
		"paused":        func(p *plainPool, chosen Replica) { p.pause(chosen, time.Minute) },
		"restarted":     func(p *plainPool, _ Replica) { e := entry; e.StartTime++; p.setReplicas([]roster.Entry{e}) },
		"other address": func(p *plainPool, _ Replica) { e := entry; e.Address = "10.0.0.2:80"; p.setReplicas([]roster.Entry{e}) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlainPool("z")
			p.setReplicas([]roster.Entry{entry})
			chosen, ok := p.selectReplica(time.Now(), nil)
			require.True(t, ok)
			require.True(t, p.mayGet(time.Now(), chosen))
			change(p, chosen)
			require.False(t, p.mayGet(time.Now(), chosen))
		})
	}
}
