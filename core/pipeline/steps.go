package pipeline

// passWaitShare is the part of a pass for which a token waits on average at a replica that is always
// busy: it arrives at any moment of the pass under way.
const passWaitShare = 0.5

// stepMS returns the time of one decoding step through all layers in a batch of all sequences that pass
// through the replica and one more.
func (f *Fleet) stepMS(m *member) float64 {
	model := f.model
	sequences := m.sequences + m.remoteSequences + 1
	context := sequences * (model.MeanPromptTokens + model.MeanOutputTokens/2) / 1000
	return (model.StepMS + model.PerSequenceMS*sequences + model.PerContextMS*context) * model.Kinds[m.Kind].StepFactor
}

// busyShare returns the share of the time in which the replica is in a pass for other sequences. A
// token then waits for the pass under way, and shares the next one, which runs all layers that the
// replica holds, with others. So a visit to a busy replica costs the same for few layers as for all: under
// load a path of pieces of many stages is slower than one of whole stages. Each sequence keeps a replica
// busy for about the share of the model's layers that it holds.
func (f *Fleet) busyShare(m *member) float64 {
	share := float64(max(0, m.To-m.From)) / float64(max(1, f.model.Layers))
	return min(1, (m.sequences+m.remoteSequences)*share)
}
