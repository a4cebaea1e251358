package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
				ctx, cancel := endRequests(start.Add(c.until), func() {
					time.Sleep(c.during)
					ended = time.Now()
				})
				defer cancel()
				<-ctx.Done()
				require.Equal(t, max(c.until, 0)+c.during, ended.Sub(start))
				require.Equal(t, answerTime, time.Since(ended))
			})
		})
	}
}
