package follower_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"masticbank.example/core/config"
	"masticbank.example/node/follower"
	"masticbank.example/node/logstream"
	"masticbank.example/node/logstream/logtest"
)

const stream = "configuration"

func decode(content []byte) (*config.Config, error) {
	if len(content) == 0 || content[0] == '!' {
		return nil, errors.New("invalid")
	}
	return &config.Config{Ranks: []config.RankConfig{{Name: string(content)}}}, nil
}

func start(ctx context.Context, log *logtest.Log, change func(*follower.Options)) *follower.Follower {
	appender := logstream.NewAppender(log, stream, logstream.AppenderOptions{})
	opts := follower.Options{Log: log, Appender: appender, Stream: stream, Decode: decode}
	if change != nil {
		change(&opts)
	}
	f := follower.New(opts)
	go func() { _ = appender.Run(ctx) }()
	go func() { _ = f.Run(ctx) }()
	return f
}

func runInFakeTime(t *testing.T, run func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(t, ctx)
		cancel()
		synctest.Wait()
	})
}

// Nine instances publish on the same base while responses of the log are lost. One wins
// each round, and the others learn which.
func TestConcurrentPublishersHaveOneWinner(t *testing.T) {
	const instances, rounds = 9, 56
	runInFakeTime(t, func(t *testing.T, ctx context.Context) {
		log := &logtest.Log{Delay: time.Millisecond}
		followers := make([]*follower.Follower, instances)
		for i := range followers {
			followers[i] = start(ctx, log, nil)
		}
		for round := range uint64(rounds) {
			log.LoseResponses(3)
			synctest.Wait()
			errs := make([]error, instances)
			var wg sync.WaitGroup
			for i, f := range followers {
				wg.Go(func() {
					author := fmt.Sprint("author", i)
					_, errs[i] = f.Publish(ctx, author, fmt.Appendf(nil, "%d by %s", round, author), round)
				})
			}
			wg.Wait()
			synctest.Wait()
			requireOneWinner(t, followers, errs, round+1)
		}
	})
}

func requireOneWinner(t *testing.T, followers []*follower.Follower, errs []error, number uint64) {
	current := followers[0].Current()
	wins := 0
	for i, err := range errs {
		require.Equal(t, number, followers[i].Current().Number)
		require.Equal(t, current.Config, followers[i].Current().Config)
		if err == nil {
			wins++
			continue
		}
		var lost *follower.LostError
		require.ErrorAs(t, err, &lost)
		require.Equal(t, current.Winner, lost.Winner)
	}
	require.Equal(t, 1, wins)
}

// An instance that starts while the log is unavailable uses a peer's state. One that
// starts after the log has deleted the proposal uses a snapshot.
func TestStartDuringOutageAndAfterTruncation(t *testing.T) {
	runInFakeTime(t, func(t *testing.T, ctx context.Context) {
		log := &logtest.Log{}
		old := start(ctx, log, func(o *follower.Options) {
			o.IsSnapshotLeader = func() bool { return true }
			o.SnapshotEvery = time.Minute
		})
		synctest.Wait()
		_, err := old.Publish(ctx, "ana", []byte("!"), 0)
		require.ErrorIs(t, err, follower.ErrInvalid)
		number, err := old.Publish(ctx, "ana", []byte("a"), 0)
		require.NoError(t, err)
		require.EqualValues(t, 1, number)

		log.SetDown(true)
		synctest.Wait()
		fresh := start(ctx, log, nil)
		synctest.Wait()
		ready, reason := fresh.Ready()
		require.False(t, ready)
		require.Contains(t, reason, "log is unavailable")
		forged := old.State()
		forged.Content = []byte("!")
		require.False(t, fresh.MergePeerState(forged))
		sub := fresh.Subscribe()
		require.True(t, fresh.MergePeerState(old.State()))
		require.EqualValues(t, 1, (<-sub.C).Number)
		sub.Close()
		_, err = fresh.Publish(ctx, "eva", []byte("b"), 1)
		require.ErrorIs(t, err, logstream.ErrUnavailable)

		log.SetDown(false)
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		number, err = fresh.Publish(ctx, "eva", []byte("b"), 1)
		require.NoError(t, err)
		require.EqualValues(t, 2, number)
		time.Sleep(2 * time.Minute)
		log.Truncate(stream, log.Next(stream)-1)
		late := start(ctx, log, nil)
		synctest.Wait()
		require.EqualValues(t, 2, late.Current().Number)
		require.Equal(t, "b", late.Current().Config.Ranks[0].Name)
	})
}
