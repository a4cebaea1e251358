package duty_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/node/duty"
	"masticbank.example/node/logstream"
	"masticbank.example/node/logstream/logtest"
)

const stream = "leases"

func start(ctx context.Context, log *logtest.Log, self string, duties int) *duty.Keeper {
	appender := logstream.NewAppender(log, stream, logstream.AppenderOptions{})
	k := duty.New(duty.Options{Log: log, Appender: appender, Stream: stream, Self: self, Terms: duty.DefaultTerms()})
	for i := range duties {
		k.Want(name(i), true)
	}
	go func() { _ = appender.Run(ctx) }()
	go func() { _ = k.Run(ctx) }()
	return k
}

func name(i int) string { return fmt.Sprint("duty", i) }

func holders(keepers []*duty.Keeper) (valid []*duty.Keeper, epoch uint64) {
	for _, k := range keepers {
		if e, ok := k.Valid(name(0)); ok {
			valid = append(valid, k)
			epoch = e
		}
	}
	return valid, epoch
}

// Exactly one instance holds a duty; it stops during an outage; it hands over at
// once when it leaves.
func TestHolderThroughOutageAndRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := &logtest.Log{Delay: time.Millisecond}
		var keepers []*duty.Keeper
		for i := range 3 {
			keepers = append(keepers, start(ctx, log, fmt.Sprint("i", i), 1))
		}
		terms := duty.DefaultTerms()
		time.Sleep(terms.TTL + terms.Renew)
		first, epoch := holders(keepers)
		require.Len(t, first, 1)
		log.LoseNext(2)
		time.Sleep(3 * terms.TTL)
		still, same := holders(keepers)
		require.Equal(t, first, still)
		require.Equal(t, epoch, same)

		log.SetDown(true)
		time.Sleep(terms.TTL - terms.Margin)
		none, _ := holders(keepers)
		require.Empty(t, none)
		log.SetDown(false)
		time.Sleep(2 * terms.TTL)
		again, _ := holders(keepers)
		require.Len(t, again, 1)

		log.Truncate(stream, log.Next(stream))
		_, before := holders(keepers)
		require.NoError(t, again[0].Release(ctx))
		time.Sleep(terms.Renew)
		next, after := holders(keepers)
		require.Len(t, next, 1)
		require.NotEqual(t, again, next)
		require.Greater(t, after, before)
		cancel()
		synctest.Wait()
	})
}

// Renewals of all duties of an instance share one append.
func TestRenewalsShareOneAppend(t *testing.T) {
	const period = 10 * time.Minute
	count := func(duties int) (appends, records int) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			log := &logtest.Log{}
			start(ctx, log, "i", duties)
			time.Sleep(period)
			appends, records = log.Counts()
			cancel()
			synctest.Wait()
		})
		t.Logf("%d duties: %.3f appends/s, %.3f records/s", duties, float64(appends)/period.Seconds(), float64(records)/period.Seconds())
		return appends, records
	}
	one, _ := count(1)
	many, records := count(16)
	require.Equal(t, one, many)
	require.Equal(t, 16*one, records)
}
