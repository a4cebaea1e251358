package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/logsink"
)

// TestHeldUpProcessCutsItsAnswers guards against answers without any time to be sent, because the
// process was held up before their requests were ended or meanwhile.
func TestHeldUpProcessCutsItsAnswers(t *testing.T) {
	const heldUp = time.Second
	for name, c := range map[string]struct{ until, during time.Duration }{
		"in time":                   {until: heldUp},
		"before requests are ended": {until: -heldUp},
		"while requests are ended":  {until: heldUp, during: heldUp},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var ended time.Time
				answers, all, cancel := endRequests(start.Add(c.until), func() {
					time.Sleep(c.during)
					ended = time.Now()
				})
				defer cancel()
				<-answers.Done()
				require.Equal(t, max(c.until, 0)+c.during, ended.Sub(start))
				require.Equal(t, answerTime, time.Since(ended))
				<-all.Done()
				require.Equal(t, answerTime+closeTime, time.Since(ended))
			})
		})
	}
}

// TestLimitsOfAStopAddUpBeyondItsGracePeriod guards against limits that are kept one by one, and
// together take longer than the platform waits before it kills the process.
func TestLimitsOfAStopAddUpBeyondItsGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := time.Now()
		_, all, cancel := endRequests(end.Add(answerMargin), func() {})
		defer cancel()
		stuck := make(chan struct{})
		defer close(stuck)
		err := within(all, func() error { <-stuck; return nil })
		require.ErrorIs(t, err, errStillOpen)
		require.LessOrEqual(t, time.Since(end)+logsink.FlushTimeout, stopMargin)
	})
}
