package pipeline_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/pipeline"
)

// While the store is unavailable a replica leaves, and each of sixty instances always has a
// request for it. Only a few requests may reach it, because the other instances retry later than
// the one that was rejected.
func TestManyInstancesRarelyRetryALeavingReplica(t *testing.T) {
	const instances = 60
	random := rand.New(rand.NewPCG(1, 2))
	const messageDelay = 3 * time.Millisecond // between instances
	all := make([]*pipeline.Rejections, instances)
	until := make([]time.Time, instances)
	for i := range all {
		all[i] = pipeline.NewRejections()
	}
	requests := 0
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
					if u := now.Add(all[i].AddRemote(now, "b", notices[0].count, random.Float64())); u.After(until[i]) {
						until[i] = u
					}
				}
			}
			notices = notices[1:]
		}
		for i := range all {
			if now.Before(until[i]) || (requests == 0 && i > 0) {
				continue
			}
			requests++
			count, d := all[i].AddLocal(now, "b")
			until[i] = now.Add(d)
			notices = append(notices, notice{at: now.Add(messageDelay), from: i, count: count})
		}
	}
	// The first rejection reaches the others after the delay of a message, in which each
	// sends one request. Later there are a few requests per second.
	require.LessOrEqual(t, requests, instances+3*10)
}

func TestAcceptedRequestResetsRejections(t *testing.T) {
	r := pipeline.NewRejections()
	_, d := r.AddLocal(start, "b")
	count, longer := r.AddLocal(start.Add(time.Second), "b")
	require.Equal(t, 2, count)
	require.Equal(t, 2*d, longer)
	r.RecordAccepted("b", start.Add(500*time.Millisecond))
	count, _ = r.AddLocal(start.Add(2*time.Second), "b")
	require.Equal(t, 3, count, "a request that was sent before the rejection is ignored")
	r.RecordAccepted("b", start.Add(3*time.Second))
	count, _ = r.AddLocal(start.Add(4*time.Second), "b")
	require.Equal(t, 1, count)
	r.Delete("b")
	count, _ = r.AddLocal(start.Add(5*time.Second), "b")
	require.Equal(t, 1, count)
}

func TestRejectionsOfOtherInstancesCount(t *testing.T) {
	r := pipeline.NewRejections()
	d := r.AddRemote(start, "b", 2, 0)
	require.Greater(t, r.AddRemote(start, "b", 2, 0.5), d)
	require.Equal(t, d, r.AddRemote(start, "b", 1, 0), "an older message does not shorten the time")
	count, own := r.AddLocal(start.Add(time.Second), "b")
	require.Equal(t, 3, count)
	require.Greater(t, r.AddRemote(start, "b", 3, 0), own, "the instance that was rejected retries first")
}
