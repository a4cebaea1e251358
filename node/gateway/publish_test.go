package gateway

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"masticbank.example/core/poison"
	"masticbank.example/node/exchange"
)

// crashOnce records the loss of a run and the end of its process.
func (k *crashGuard) crashOnce(n int) {
	c := &call{fingerprint: poison.FingerprintOf("m", "deadly")}
	c.ID = strconv.Itoa(n)
	r := poison.Process{Replica: c.ID, StartTime: 1}
	k.recordLostRun(c, []poison.Process{r}, time.Now(), false)
	k.recordEnd(r, endRefused)
}

// runPublishing runs a gateway and returns it and the times of its messages with evidence.
func runPublishing(t *testing.T) (*Gateway, *[]time.Time) {
	var sent []time.Time
	g := New(Options{
		Client: exchange.New(exchange.Options{}), Logger: zap.NewNop(), Metrics: NewMetrics(),
		OnEvidence: func(poison.Evidence, []poison.Crash) { sent = append(sent, time.Now()) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return g, &sent
}

// TestCrashWaitsForTheNextPublication guards against crashes that others learn of only after the
// client has sent a copy of the request to them.
func TestCrashWaitsForTheNextPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sent := runPublishing(t)
		time.Sleep(1030 * time.Millisecond)
		now := time.Now()
		g.crashes.crashOnce(1)
		synctest.Wait()
		require.Equal(t, []time.Time{now}, *sent)
		time.Sleep(10 * time.Millisecond)
		g.crashes.crashOnce(2)
		time.Sleep(publishInterval)
		synctest.Wait()
		require.Len(t, *sent, 2, "the next crash does not wait for longer than the interval")
	})
}

// TestPublicationsOfManyCrashesAreBounded guards against a message to all instances for each crash.
func TestPublicationsOfManyCrashesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sent := runPublishing(t)
		time.Sleep(1030 * time.Millisecond)
		for i := range 1000 {
			g.crashes.crashOnce(i)
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		require.LessOrEqual(t, len(*sent), int(time.Second/publishInterval)+1)
	})
}
