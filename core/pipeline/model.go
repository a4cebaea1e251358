// Package pipeline chooses the replicas that a request passes through when the
// layers of its model lie on several replicas, and keeps the load that this
// needs. It has no I/O and no clock.
package pipeline

// Kind holds what differs between the accelerators of a fleet.
type Kind struct {
	Name string
	// MemoryMB holds the layers and the KV cache.
	MemoryMB float64
	// StepFactor multiplies the time of a token step.
	StepFactor float64
	// ReadFactor multiplies the time to read a prompt.
	ReadFactor float64
}

// Model holds the published figures of a model and of the engines that run it.
type Model struct {
	Name    string
	Layers  int
	LayerMB float64
	// ActivationBytes pass between two replicas for each token.
	ActivationBytes float64
	// KVTokenBytes is the KV cache of one token in all layers.
	KVTokenBytes float64
	// StepMS is the time of one token step through all layers, PerSequenceMS
	// what each sequence adds, PerContextMS what 1,000 tokens of context add.
	StepMS        float64
	PerSequenceMS float64
	PerContextMS  float64
	// ReadPerMS is the number of prompt tokens read in a millisecond.
	ReadPerMS float64
	// LoadSeconds is the time to load all layers on one replica.
	LoadSeconds float64
	// LoadsAtOnce is the number of loads that run side by side at full speed.
	LoadsAtOnce int
	// Slots is the number of requests that a replica runs as first of a path.
	Slots int
	// LinkMbps is shared by all transfers between zones.
	LinkMbps float64
	// UsualPrompt and UsualOutput are mean numbers of tokens.
	UsualPrompt float64
	UsualOutput float64
	Kinds       map[string]Kind
}

// bytesPerMB converts the memory figures.
const bytesPerMB = 1e6

// Room returns the KV cache, in tokens times layers, of a replica of the kind
// that holds the number of layers.
func (m *Model) Room(kind string, layers int) float64 {
	k, ok := m.Kinds[kind]
	if !ok || layers <= 0 || m.KVTokenBytes <= 0 {
		return 0
	}
	return m.CacheTokens(k.MemoryMB - float64(layers)*m.LayerMB)
}

// CacheTokens returns the KV cache, in tokens times layers, that fits into memory.
func (m *Model) CacheTokens(mb float64) float64 {
	return max(0, mb*bytesPerMB/m.KVTokenBytes*float64(m.Layers))
}

// MaxLayers returns the number of layers that fit into the memory of the kind.
func (m *Model) MaxLayers(kind string) int {
	k, ok := m.Kinds[kind]
	if !ok || m.LayerMB <= 0 {
		return 0
	}
	return min(m.Layers, int(k.MemoryMB/m.LayerMB))
}
