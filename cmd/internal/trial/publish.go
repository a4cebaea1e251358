package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticbank.example/cmd/internal/adminclient"
	"masticbank.example/node/admin"
)

// inForceTimeout bounds the wait for one revision.
const inForceTimeout = 20 * time.Second

// Spread is the distribution of a set of times.
type Spread struct {
	Count         int
	P50, P95, Max time.Duration
}

// spreadOf returns the distribution of times; it sorts them.
func spreadOf(times []time.Duration) Spread {
	if len(times) == 0 {
		return Spread{}
	}
	slices.Sort(times)
	at := func(q float64) time.Duration { return times[int(q*float64(len(times)-1)+0.5)] }
	return Spread{Count: len(times), P50: at(0.5), P95: at(0.95), Max: times[len(times)-1]}
}

// String returns the figures in one line.
func (s Spread) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("n=%d p50=%.1fms p95=%.1fms max=%.1fms", s.Count, ms(s.P50), ms(s.P95), ms(s.Max))
}

// Published is the result of Publish.
type Published struct {
	// Sent counts from sending the proposal, Accepted from the answer that it
	// is accepted, both until the last instance was seen with the revision. A
	// revision seen everywhere before the answer counts as 0.
	Sent, Accepted Spread
	Reversions     int
}

// Publish publishes n revisions one after the other, each through the next
// instance, and measures the time until all have them in force.
func (c *Cluster) Publish(ctx context.Context, n int) (*Published, error) {
	w := c.watch(ctx)
	defer w.stop()
	var sent, accepted []time.Duration
	for k := range n {
		a, b, err := c.publishOnce(ctx, w, k%len(c.Instances), k)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		sent, accepted = append(sent, a), append(accepted, b)
	}
	w.stop()
	return &Published{Sent: spreadOf(sent), Accepted: spreadOf(accepted), Reversions: w.reversions}, nil
}

func (c *Cluster) publishOnce(ctx context.Context, w *watcher, i, k int) (sent, accepted time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	client := c.admin(i)
	current, err := client.Config(ctx)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	start := time.Now()
	out, err := client.Publish(ctx, variant(current, fmt.Sprintf("publisher-%d", k), k))
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	answered := time.Now()
	last, err := w.reached(ctx, out.Revision)
	return last.Sub(start), max(0, last.Sub(answered)), trace.Wrap(err)
}

// variant returns a proposal on current that differs from others by k.
func variant(current *admin.Config, author string, k int) *admin.Publish {
	for name, workspace := range current.Config.Workspaces {
		workspace.Weight = 1 + float64(k%1000)/1000
		current.Config.Workspaces[name] = workspace
	}
	return &admin.Publish{Author: author, Base: current.Revision, Config: current.Config}
}

// Race is the result of Race.
type Race struct {
	Proposals, Rounds     int
	Won, Lost, Undecided  int
	Refused               int
	BasesWithoutOneWinner int
	// ToldWrongWinner counts the losers told another than the winner's name, or,
	// when the winner does not know its fate, another than the first of them.
	ToldWrongWinner int
	Reversions      int
	Polls           int
	// Different counts the instances whose last configuration or revision
	// differs from that of the first.
	Different int
	Took      time.Duration
}

// Defects names what must never happen and did.
func (r *Race) Defects() []string {
	return defects(map[string]int{
		"bases without exactly one winner": r.BasesWithoutOneWinner,
		"losers told a wrong winner":       r.ToldWrongWinner,
		"reversions":                       r.Reversions,
		"instances that differ":            r.Different,
		"proposals with another error":     r.Refused,
	})
}

// defects returns one sorted line for each count above 0.
func defects(counts map[string]int) []string {
	var out []string
	for what, n := range counts {
		if n > 0 {
			out = append(out, fmt.Sprintf("%d %s", n, what))
		}
	}
	slices.Sort(out)
	return out
}

// proposal is the fate of one proposal as its operator was told.
type proposal struct {
	author   string
	revision uint64
	winner   string
	lost     bool
	err      error
}

// Race lets one operator an instance publish at once on the same base, for as
// many rounds as are needed for n proposals.
func (c *Cluster) Race(ctx context.Context, n int) (*Race, error) {
	start := time.Now()
	w := c.watch(ctx)
	defer w.stop()
	out := &Race{}
	for out.Proposals < n {
		if err := c.round(ctx, w, out); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	w.stop()
	out.Reversions, out.Polls, out.Took = w.reversions, w.polls, time.Since(start)
	var err error
	out.Different, err = c.different(ctx)
	return out, trace.Wrap(err)
}

// round publishes once through every instance on the newest base.
func (c *Cluster) round(ctx context.Context, w *watcher, out *Race) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	proposals := make([]proposal, len(c.Instances))
	base, err := c.admin(0).Config(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	var group sync.WaitGroup
	release := make(chan struct{})
	for i := range c.Instances {
		own, err := c.admin(i).Config(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		own.Revision = base.Revision
		author := fmt.Sprintf("operator-%d-%d", out.Rounds, i)
		message := variant(own, author, out.Rounds*len(c.Instances)+i)
		group.Go(func() {
			<-release
			proposals[i] = c.propose(ctx, i, message)
		})
	}
	close(release)
	group.Wait()
	out.judge(base.Revision, proposals)
	_, err = w.reached(ctx, base.Revision+1)
	return trace.Wrap(err)
}

func (c *Cluster) propose(ctx context.Context, i int, message *admin.Publish) proposal {
	p := proposal{author: message.Author}
	published, err := c.admin(i).Publish(ctx, message)
	if err == nil {
		p.revision = published.Revision
		return p
	}
	p.err = err
	var status *adminclient.StatusError
	if !errors.As(err, &status) || status.Status != http.StatusConflict {
		return p
	}
	var lost admin.Lost
	if json.Unmarshal(status.Body, &lost) == nil {
		p.lost, p.winner = true, lost.Winner
	}
	return p
}

// judge counts the fates of the proposals on one base.
func (r *Race) judge(base uint64, proposals []proposal) {
	r.Rounds++
	r.Proposals += len(proposals)
	winner, winners, undecided := "", 0, 0
	for _, p := range proposals {
		var status *adminclient.StatusError
		switch {
		case p.revision == base+1:
			winner = p.author
			winners++
		case p.lost:
			r.Lost++
		case errors.As(p.err, &status) && status.Status == http.StatusAccepted:
			undecided++
		default:
			r.Refused++
		}
	}
	r.Won += winners
	r.Undecided += undecided
	// The winner itself may not have been told its fate.
	if winners > 1 || winners == 0 && undecided == 0 {
		r.BasesWithoutOneWinner++
	}
	for _, p := range proposals {
		if p.lost && winner == "" {
			winner = p.winner
		}
		if p.lost && p.winner != winner {
			r.ToldWrongWinner++
		}
	}
}

// different compares the configurations in force.
func (c *Cluster) different(ctx context.Context) (int, error) {
	var first []byte
	n := 0
	for i := range c.Instances {
		current, err := c.admin(i).Config(ctx)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		data, err := json.Marshal(current)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		if i == 0 {
			first = data
		}
		if string(data) != string(first) {
			n++
		}
	}
	return n, nil
}
