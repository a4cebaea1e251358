package leader_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/leader"
	"masticbank.example/node/logstream"
	"masticbank.example/node/logstream/logtest"
)

const stream = "leases"

func startKeeper(ctx context.Context, log *logtest.Log, self string, tasks int) *leader.Keeper {
	appender := logstream.NewAppender(log, stream, logstream.AppenderOptions{})
	k := leader.New(leader.Options{Log: log, Appender: appender, Stream: stream, Self: self, Timing: leader.DefaultTiming()})
	for i := range tasks {
		k.Want(leaseName(i), true)
	}
	go func() { _ = appender.Run(ctx) }()
	go func() { _ = k.Run(ctx) }()
	return k
}

func leaseName(i int) string { return fmt.Sprint("duty", i) }

func validHolders(keepers []*leader.Keeper) (valid []*leader.Keeper, epoch uint64) {
	for _, k := range keepers {
		if e, ok := k.Valid(leaseName(0)); ok {
			valid = append(valid, k)
			epoch = e
		}
	}
	return valid, epoch
}

// Exactly one instance holds a lease. It stops acting as the leader during an outage of the
// log, and another instance acquires the lease immediately when the leader releases it.
func TestLeaseThroughOutageAndRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := &logtest.Log{Delay: time.Millisecond}
		var keepers []*leader.Keeper
		for i := range 3 {
			keepers = append(keepers, startKeeper(ctx, log, fmt.Sprint("i", i), 1))
		}
		terms := leader.DefaultTiming()
		time.Sleep(terms.TTL + terms.Renew)
		first, epoch := validHolders(keepers)
		require.Len(t, first, 1)
		log.LoseResponses(2)
		time.Sleep(3 * terms.TTL)
		still, same := validHolders(keepers)
		require.Equal(t, first, still)
		require.Equal(t, epoch, same)

		log.SetDown(true)
		time.Sleep(terms.TTL - terms.Margin)
		none, _ := validHolders(keepers)
		require.Empty(t, none)
		log.SetDown(false)
		time.Sleep(2 * terms.TTL)
		again, _ := validHolders(keepers)
		require.Len(t, again, 1)

		log.Truncate(stream, log.Next(stream))
		_, before := validHolders(keepers)
		require.NoError(t, again[0].Release(ctx))
		time.Sleep(terms.Renew)
		next, after := validHolders(keepers)
		require.Len(t, next, 1)
		require.NotEqual(t, again, next)
		require.Greater(t, after, before)
		cancel()
		synctest.Wait()
	})
}

// Renewals of all leases of an instance share one append.
func TestRenewalsShareOneAppend(t *testing.T) {
	const period = 10 * time.Minute
	count := func(tasks int) (appends, records int) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			log := &logtest.Log{}
			startKeeper(ctx, log, "i", tasks)
			time.Sleep(period)
			appends, records = log.Counts()
			cancel()
			synctest.Wait()
		})
		t.Logf("%d leader tasks: %.3f appends/s, %.3f records/s", tasks, float64(appends)/period.Seconds(), float64(records)/period.Seconds())
		return appends, records
	}
	one, _ := count(1)
	many, records := count(16)
	require.Equal(t, one, many)
	require.Equal(t, 16*one, records)
}
