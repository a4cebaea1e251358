package pipeline_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/pipeline"
)

// TestManyInstancesAskALeavingPartRarely replays an outage of the store in which a
// part leaves: sixty instances have a request for it all the time. Those that are told
// ask after the one that was rejected.
func TestManyInstancesAskALeavingPartRarely(t *testing.T) {
	const instances = 60
	random := rand.New(rand.NewPCG(1, 2))
	const way = 3 * time.Millisecond // of a message between instances
	all := make([]*pipeline.Rejections, instances)
	until := make([]time.Time, instances)
	for i := range all {
		all[i] = pipeline.NewRejections()
	}
	asked := 0
	type notice struct {
		at    time.Time
		from  int
		count int
	}
	var notices []notice
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		for len(notices) > 0 && !notices[0].at.After(now) {
			for i := range all {
				if i != notices[0].from {
					if u := now.Add(all[i].Told(now, "b", notices[0].count, random.Float64())); u.After(until[i]) {
						until[i] = u
					}
				}
			}
			notices = notices[1:]
		}
		for i := range all {
			if now.Before(until[i]) || (asked == 0 && i > 0) {
				continue
			}
			asked++
			count, d := all[i].Add(now, "b")
			until[i] = now.Add(d)
			notices = append(notices, notice{at: now.Add(way), from: i, count: count})
		}
	}
	// The first is not known to the others for the time of a message, in which each
	// asks once. Later a few do each second.
	require.LessOrEqual(t, asked, instances+3*10)
}

func TestRejectionsEndWithWhatTookARequest(t *testing.T) {
	r := pipeline.NewRejections()
	_, d := r.Add(start, "b")
	count, longer := r.Add(start.Add(time.Second), "b")
	require.Equal(t, 2, count)
	require.Equal(t, 2*d, longer)
	r.Took("b", start.Add(500*time.Millisecond))
	count, _ = r.Add(start.Add(2*time.Second), "b")
	require.Equal(t, 3, count, "a request that was there before shows nothing")
	r.Took("b", start.Add(3*time.Second))
	count, _ = r.Add(start.Add(4*time.Second), "b")
	require.Equal(t, 1, count)
	r.Forget("b")
	count, _ = r.Add(start.Add(5*time.Second), "b")
	require.Equal(t, 1, count)
}

func TestWhatOthersToldCounts(t *testing.T) {
	r := pipeline.NewRejections()
	d := r.Told(start, "b", 2, 0)
	require.Greater(t, r.Told(start, "b", 2, 0.5), d)
	require.Equal(t, d, r.Told(start, "b", 1, 0), "an older message does not shorten it")
	count, own := r.Add(start.Add(time.Second), "b")
	require.Equal(t, 3, count)
	require.Greater(t, r.Told(start, "b", 3, 0), own, "the one that was rejected asks first")
}
