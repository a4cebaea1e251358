// Package pipeline chooses the replicas that a request passes through when the layers of its
// model are spread over several replicas, and keeps track of the load on each replica. It
// performs no I/O and reads no clock.
package pipeline

// Kind holds the properties of one kind of accelerator.
type Kind struct {
	Name string
	// MemoryMB is the memory for layers and KV cache.
	MemoryMB float64
	// StepFactor multiplies the time of a decoding step.
	StepFactor float64
	// PrefillFactor multiplies the prefill time.
	PrefillFactor float64
}

// Model holds the published parameters of a model and of the engines that run it.
type Model struct {
	Name    string
	Layers  int
	LayerMB float64
	// ActivationBytes is the size of the activations passed between two replicas for each
	// token.
	ActivationBytes float64
	// KVTokenBytes is the size of the KV cache of one token over all layers.
	KVTokenBytes float64
	// StepMS is the time of one decoding step through all layers. Each sequence in the batch
	// adds PerSequenceMS, each 1,000 tokens of context PerContextMS.
	StepMS        float64
	PerSequenceMS float64
	PerContextMS  float64
	// StepsPerPass is the number of decoding steps that an engine runs before it admits other work; 0 if
	// unknown.
	StepsPerPass float64
	// PrefillTokensPerMS is the number of prompt tokens processed per millisecond of prefill.
	PrefillTokensPerMS float64
	// LoadSeconds is the time to load all layers on one replica.
	LoadSeconds float64
	// MaxConcurrentLoads is the number of replicas that can load weights concurrently at full
	// speed.
	MaxConcurrentLoads int
	// Slots is the maximum number of running requests whose path starts at a replica.
	Slots int
	// LinkMbps is the bandwidth between zones, shared by all transfers.
	LinkMbps float64
	// MeanPromptTokens and MeanOutputTokens are the mean numbers of prompt and output tokens.
	MeanPromptTokens float64
	MeanOutputTokens float64
	Kinds            map[string]Kind
}

// bytesPerMB is the number of bytes in a megabyte, and also the number of bits in a megabit.
const bytesPerMB = 1e6

// CacheCapacity returns the capacity of the KV cache, in tokens times layers, of a replica of the
// kind that holds the given number of layers.
func (m *Model) CacheCapacity(kind string, layers int) float64 {
	k, ok := m.Kinds[kind]
	if !ok || layers <= 0 || m.KVTokenBytes <= 0 {
		return 0
	}
	return m.CacheTokens(k.MemoryMB - float64(layers)*m.LayerMB)
}

// CacheTokens returns the capacity of a KV cache of the given size, in tokens times layers.
func (m *Model) CacheTokens(mb float64) float64 {
	return max(0, mb*bytesPerMB/m.KVTokenBytes*float64(m.Layers))
}

// MaxLayers returns the number of layers that fit into the memory of the kind.
func (m *Model) MaxLayers(kind string) int {
	k, ok := m.Kinds[kind]
	if !ok || m.LayerMB <= 0 {
		return 0
	}
	return m.LayersIn(k.MemoryMB)
}

// LayersIn returns the number of layers that fit into the given memory. It compares before it
// converts, because a ratio may be too large for an int.
func (m *Model) LayersIn(mb float64) int {
	if m.LayerMB <= 0 {
		return 0
	}
	return int(max(0, min(float64(m.Layers), mb/m.LayerMB)))
}
