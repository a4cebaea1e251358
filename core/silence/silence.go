// Package silence decides when a stream that passes through several replicas is silent, and which
// replica is the cause. A slow replica delays all streams through it but still responds; a dead one
// does not. The streams through other replicas and the responses to direct probes tell them apart.
package silence

import (
	"slices"
	"time"
)

const (
	// gapFactor times the usual gap between two events of a stream is the silence after which
	// its replicas are suspected, within minSilence and maxSilence. Callers count a longer gap
	// than 0.2 s as late on most deployments.
	gapFactor  = 3
	minSilence = 120 * time.Millisecond
	maxSilence = 600 * time.Millisecond
	// transitFactor times the usual gap is how long events that have passed the dead replica
	// may still arrive.
	transitFactor = 1.5
	minTransit    = 40 * time.Millisecond
	// Rounds is the number of probes in a row that a replica must leave without a response. A
	// single one may be lost in the network.
	Rounds = 2
)

// After returns the silence after which the replicas of a stream are suspected. gap is the usual
// time between two of its events, high the longest usual one of any stream.
func After(gap, high time.Duration) time.Duration {
	return min(max(gapFactor*gap, minSilence, time.Duration(highFactor*float64(high))), maxSilence)
}

// Transit returns how long events that have passed a dead replica may still arrive. gap is the usual
// time between two events.
func Transit(gap time.Duration) time.Duration {
	return max(minTransit, time.Duration(transitFactor*float64(gap)))
}

// Stream is a stream and the replicas that it passes through.
type Stream struct {
	Replicas []string
	// LastEvent is when its last event arrived; zero if none has.
	LastEvent time.Time
	// Gap is the usual time between two events.
	Gap time.Duration
}

// maxAnswerAge is how long the response of a replica to anyone counts, so that one that ends after it is
// still suspected soon.
const maxAnswerAge = 400 * time.Millisecond

// Suspects returns the replicas of a silent stream that may be the cause: those through which no
// other stream has made progress since, and that have not responded since to a probe or to the survey
// of another instance. answeredAt returns when a replica last did.
func Suspects(now time.Time, s Stream, others []Stream, answeredAt func(id string) time.Time) []string {
	since := s.LastEvent.Add(Transit(s.Gap))
	responsive := map[string]bool{}
	for _, id := range s.Replicas {
		at := answeredAt(id)
		responsive[id] = at.After(since) && now.Sub(at) < maxAnswerAge
	}
	for _, o := range others {
		if !o.LastEvent.After(since) {
			continue
		}
		for _, id := range o.Replicas {
			responsive[id] = true
		}
	}
	var out []string
	for _, id := range s.Replicas {
		if !responsive[id] {
			out = append(out, id)
		}
	}
	return out
}

// Witness returns a replica of the stream that is not a suspect, or "". It is probed beside suspects
// that do not respond, because that may be the fault of this instance.
func Witness(s Stream, suspects []string) string {
	for _, id := range s.Replicas {
		if !slices.Contains(suspects, id) {
			return id
		}
	}
	return ""
}

// Inquiry asks the suspects of a stream in rounds, and collects the results.
type Inquiry struct {
	suspects   []string
	witness    string
	unanswered map[string]int
	answered   map[string]bool
	rounds     int
}

// NewInquiry returns an Inquiry without results about the suspects, with the witness, or "".
func NewInquiry(suspects []string, witness string) *Inquiry {
	return &Inquiry{suspects: suspects, witness: witness, unanswered: map[string]int{}, answered: map[string]bool{}}
}

// Ask returns the replicas to probe in the next round; none if the inquiry has ended. Those that have
// responded are not probed again. The witness is needed only if none has.
func (q *Inquiry) Ask() []string {
	if q.rounds == Rounds || (q.rounds > 0 && q.allAnswered()) {
		return nil
	}
	var out []string
	for _, id := range q.suspects {
		if !q.answered[id] {
			out = append(out, id)
		}
	}
	if q.witness != "" && q.rounds > 0 && len(q.answered) == 0 {
		out = append(out, q.witness)
	}
	return out
}

// Record records the results of one round: whether each probed replica responded.
func (q *Inquiry) Record(results map[string]bool) {
	q.rounds++
	for id, ok := range results {
		if ok {
			q.answered[id] = true
		} else {
			q.unanswered[id]++
		}
	}
}

// allAnswered reports whether every probed replica has responded, so that no further round is needed.
func (q *Inquiry) allAnswered() bool {
	for id := range q.unanswered {
		if !q.answered[id] {
			return false
		}
	}
	return true
}

// Failed returns the replicas that responded to no probe of any round, sorted. It returns none
// unless another replica responded: if nobody does, this instance is cut off or was paused.
func (q *Inquiry) Failed() []string {
	if q.rounds < Rounds || len(q.answered) == 0 {
		return nil
	}
	var out []string
	for id, n := range q.unanswered {
		if n == q.rounds && !q.answered[id] {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
