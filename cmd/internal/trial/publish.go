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

// inForceTimeout limits the wait until one revision is in force on all instances.
const inForceTimeout = 20 * time.Second

// TimeDistribution holds the percentiles of a set of durations.
type TimeDistribution struct {
	Count         int
	P50, P95, Max time.Duration
}

// newTimeDistribution returns the distribution of times, and sorts them.
func newTimeDistribution(times []time.Duration) TimeDistribution {
	if len(times) == 0 {
		return TimeDistribution{}
	}
	slices.Sort(times)
	at := func(q float64) time.Duration { return times[int(q*float64(len(times)-1)+0.5)] }
	return TimeDistribution{Count: len(times), P50: at(0.5), P95: at(0.95), Max: times[len(times)-1]}
}

// String returns the distribution in one line.
func (d TimeDistribution) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("n=%d p50=%.1fms p95=%.1fms max=%.1fms", d.Count, ms(d.P50), ms(d.P95), ms(d.Max))
}

// PublishResult is the result of Publish.
type PublishResult struct {
	// Sent is measured from sending the proposal and Accepted from receiving its
	// acceptance, both until the last instance was observed with the revision. If
	// all instances had it before the acceptance was received, Accepted is 0.
	Sent, Accepted TimeDistribution
	Reversions     int
}

// Publish publishes n revisions one after the other, through each instance in turn,
// and measures the time until each is in force on all instances.
func (c *Cluster) Publish(ctx context.Context, n int) (*PublishResult, error) {
	w := c.watch(ctx)
	defer w.stop()
	var sent, accepted []time.Duration
	for k := range n {
		sinceSent, sinceAccepted, err := c.publishOnce(ctx, w, k%len(c.Instances), k)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		sent, accepted = append(sent, sinceSent), append(accepted, sinceAccepted)
	}
	w.stop()
	return &PublishResult{Sent: newTimeDistribution(sent), Accepted: newTimeDistribution(accepted), Reversions: w.reversions}, nil
}

func (c *Cluster) publishOnce(ctx context.Context, w *revisionWatcher, i, k int) (sent, accepted time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	client := c.admin(i)
	current, err := client.Config(ctx)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	start := time.Now()
	out, err := client.Publish(ctx, newVariant(current, fmt.Sprintf("publisher-%d", k), k))
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	acceptedAt := time.Now()
	last, err := w.waitForRevision(ctx, out.Revision)
	return last.Sub(start), max(0, last.Sub(acceptedAt)), trace.Wrap(err)
}

// newVariant returns a proposal based on current. The workspace weights depend on
// k, so that the proposals of different operators differ.
func newVariant(current *admin.Config, author string, k int) *admin.PublishRequest {
	for name, workspace := range current.Config.Workspaces {
		workspace.Weight = 1 + float64(k%1000)/1000
		current.Config.Workspaces[name] = workspace
	}
	return &admin.PublishRequest{Author: author, Base: current.Revision, Config: current.Config}
}

// RaceResult is the result of Race.
type RaceResult struct {
	Proposals, Rounds     int
	Won, Lost, Undecided  int
	Refused               int
	BasesWithoutOneWinner int
	// ToldWrongWinner counts the losing proposals whose response named a wrong
	// winner. If no operator received the response that its proposal won, all
	// losers must name the same winner.
	ToldWrongWinner int
	Reversions      int
	Polls           int
	// Different counts the instances whose final revision or configuration differs
	// from that of the first instance.
	Different int
	Took      time.Duration
}

// Defects returns one line for each kind of error that must never occur and was
// observed.
func (r *RaceResult) Defects() []string {
	return defects(map[string]int{
		"bases without exactly one winner":           r.BasesWithoutOneWinner,
		"losers with a wrong winner in the response": r.ToldWrongWinner,
		"reversions": r.Reversions,
		"instances with a different configuration": r.Different,
		"proposals with an unexpected error":       r.Refused,
	})
}

// defects returns one line for each count above 0, sorted.
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

// proposalOutcome is the outcome of one proposal as reported to its operator.
type proposalOutcome struct {
	author   string
	revision uint64
	winner   string
	lost     bool
	err      error
}

// Race repeats rounds in which one operator per instance publishes on the same base
// at the same time, until n proposals have been made.
func (c *Cluster) Race(ctx context.Context, n int) (*RaceResult, error) {
	start := time.Now()
	w := c.watch(ctx)
	defer w.stop()
	out := &RaceResult{}
	for out.Proposals < n {
		if err := c.runRound(ctx, w, out); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	w.stop()
	out.Reversions, out.Polls, out.Took = w.reversions, w.polls, time.Since(start)
	var err error
	out.Different, err = c.countDifferent(ctx)
	return out, trace.Wrap(err)
}

// runRound publishes once through every instance, based on the current revision.
func (c *Cluster) runRound(ctx context.Context, w *revisionWatcher, out *RaceResult) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	proposals := make([]proposalOutcome, len(c.Instances))
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
		message := newVariant(own, author, out.Rounds*len(c.Instances)+i)
		group.Go(func() {
			<-release
			proposals[i] = c.propose(ctx, i, message)
		})
	}
	close(release)
	group.Wait()
	out.evaluateRound(base.Revision, proposals)
	_, err = w.waitForRevision(ctx, base.Revision+1)
	return trace.Wrap(err)
}

func (c *Cluster) propose(ctx context.Context, i int, message *admin.PublishRequest) proposalOutcome {
	p := proposalOutcome{author: message.Author}
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
	var lost admin.PublishConflict
	if json.Unmarshal(status.Body, &lost) == nil {
		p.lost, p.winner = true, lost.Winner
	}
	return p
}

// evaluateRound counts the outcomes of the proposals on one base.
func (r *RaceResult) evaluateRound(base uint64, proposals []proposalOutcome) {
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
	// The winner may be among the undecided proposals.
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

// countDifferent returns the number of instances whose configuration in force
// differs from that of the first instance.
func (c *Cluster) countDifferent(ctx context.Context) (int, error) {
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
