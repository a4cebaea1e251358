package pipeline

import "time"

// Expected is what the load known to this instance lets expect of a request on a path, by what takes the
// time. It explains a late request afterwards.
type Expected struct {
	// Prefill is the time of the request's own prefill, Backlog that of the prompts before it, and
	// LinkPrefill that of sending the prompt between zones.
	Prefill, Backlog, LinkPrefill time.Duration
	// Step is the time between two tokens in a batch of one sequence, Batch what the other sequences
	// add, and Parts what the visits to busy replicas and passing a token on add.
	Step, Batch, Parts time.Duration
	// Links is what sending a token between zones adds.
	Links time.Duration
	// SlowPrefill and SlowStep are what replicas that are slower than their kind add before the first
	// token, and to each further one.
	SlowPrefill, SlowStep time.Duration
	// Stages is the number of parts, ZoneChanges that of transfers between zones.
	Stages, ZoneChanges int
	// Busiest is the replica with the highest utilization of its KV cache, and Sequences how many
	// requests use it.
	Busiest     string
	Utilization float64
	Sequences   float64
	// Remote is the highest number of requests of other instances on a replica, if there are any
	// instances.
	Remote float64
	// Shared is true unless this instance is known to be the only one.
	Shared bool
	// StepTimeRatio is the highest ratio of a replica's step time to the usual one.
	StepTimeRatio float64
}

// Expect returns what is expected of a request on a path. reserved is set if its load is part of the
// fleet's already, and its prefill has ended.
func (f *Fleet) Expect(now time.Time, p Path, d Demand, reserved bool) Expected {
	e := Expected{Stages: len(p), Shared: f.sharing.Instances != 1}
	var prefill, backlog, slowPrefill, links, step, batch, slowStep, parts, tokenLinks float64
	model := f.model
	for i, stage := range p {
		m := f.replicas[stage.ID]
		if m == nil {
			continue
		}
		kind := model.Kinds[m.Kind]
		layers := float64(stage.To - stage.From)
		share := layers / float64(max(1, model.Layers))
		ratio := f.StepTimeRatio(now, m.ID)
		perToken := kind.PrefillFactor / model.PrefillTokensPerMS / float64(max(1, model.Layers))
		own := d.Prompt * layers * perToken
		before := (m.prefill + m.remotePrefill) * perToken
		prefill += own
		backlog += before
		slowPrefill += (own + before) * (ratio - 1)

		others := m.sequences + m.remoteSequences
		if reserved {
			others = max(0, others-1)
		}
		perSequence := model.PerSequenceMS + model.PerContextMS*(model.MeanPromptTokens+model.MeanOutputTokens/2)/tokensPerContextMS
		alone := (model.StepMS + perSequence) * kind.StepFactor
		shared := perSequence * others * kind.StepFactor
		step += alone * share
		batch += shared * share
		if others > 0 {
			// As in the cost of a path: a visit to a busy replica costs the pass under way and a whole one.
			held := float64(max(0, m.To-m.From)) / float64(max(1, model.Layers))
			parts += f.busyShare(m) * (alone + shared) * (held*(1+passWaitShare) - share)
		}
		slowStep += (alone + shared) * share * (ratio - 1)
		if i > 0 {
			parts += ZoneTransferMS
			if stage.Zone != p[i-1].Zone {
				e.ZoneChanges++
				links += f.linkTransferMS(now, d, 0)
				tokenLinks += f.linkTransferMS(now, Demand{Prompt: 1}, 0)
			}
		}
		if u := f.State(m.ID).Utilization(); e.Busiest == "" || u > e.Utilization {
			e.Busiest, e.Utilization, e.Sequences = m.ID, u, m.sequences+m.remoteSequences
		}
		e.Remote = max(e.Remote, m.remoteSequences)
		e.StepTimeRatio = max(e.StepTimeRatio, ratio)
	}
	e.Prefill, e.Backlog, e.LinkPrefill = milliseconds(prefill), milliseconds(backlog), milliseconds(links)
	e.Step, e.Batch, e.Parts, e.Links = milliseconds(step), milliseconds(batch), milliseconds(parts), milliseconds(tokenLinks)
	e.SlowPrefill, e.SlowStep = milliseconds(slowPrefill), milliseconds(slowStep)
	return e
}

// tokensPerContextMS is the number of tokens of context for which a step takes PerContextMS longer.
const tokensPerContextMS = 1000

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
