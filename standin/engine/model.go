package engine

import (
	"encoding/binary"
	"errors"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"masticbank.example/node/wire"
)

const (
	// vocabulary is the number of distinct tokens.
	vocabulary = 4096
	// hiddenBytes is the size of the hidden state of one position.
	hiddenBytes = 8
)

var errHidden = errors.New("hidden state of the wrong size")

// mix hashes two values into one with the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	z := bits.RotateLeft64(a, 29) ^ (b + 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// embedPrompt returns the input of position 0.
func embedPrompt(model, prompt string) uint64 {
	return mix(xxhash.Sum64String(model), xxhash.Sum64String(prompt))
}

// embedToken returns the input of the position that follows the token.
func embedToken(id int) uint64 {
	return mix(1, uint64(id))
}

// layerState stands for the KV cache of one layer of one sequence.
type layerState uint64

// run computes one position of a layer and returns its output, which depends on the
// number of the layer, the input and all earlier inputs of this layer.
func (s *layerState) run(layer int, input uint64) uint64 {
	*s = layerState(mix(uint64(*s), input))
	return mix(uint64(layer)+1, uint64(*s))
}

// runLayers computes one position of consecutive layers, beginning with layer first.
func runLayers(first int, states []layerState, hidden uint64) uint64 {
	for i := range states {
		hidden = states[i].run(first+i, hidden)
	}
	return hidden
}

// tokenOf derives the token from the output of the last layer.
func tokenOf(hidden uint64) wire.Token {
	id := int(hidden % vocabulary)
	return wire.Token{ID: id, Text: tokenText(id)}
}

// tokenText returns the text of a token: two syllables and a space.
func tokenText(id int) string {
	const consonants = "bcdfghlmnprstvyz"
	const vowels = "aeio"
	text := make([]byte, 0, 5)
	for range 2 {
		text = append(text, consonants[id%16], vowels[id/16%4])
		id /= 64
	}
	return string(append(text, ' '))
}

// ExpectedTokens returns the n tokens that a model with the given number of layers
// generates for the prompt. They do not depend on the tiling of the layers or on where
// an attempt was resumed. The last one has finish reason "length".
func ExpectedTokens(model string, layers int, prompt string, n int) []wire.Token {
	states := make([]layerState, layers)
	tokens := make([]wire.Token, 0, n)
	input := embedPrompt(model, prompt)
	for range n {
		token := tokenOf(runLayers(0, states, input))
		tokens = append(tokens, token)
		input = embedToken(token.ID)
	}
	if n > 0 {
		tokens[n-1].Finish = finishLength
	}
	return tokens
}

// hiddenState is the decoded hidden state in step requests and responses.
type hiddenState struct {
	// blocks holds the hashes of the prompt's prefix blocks; only set at prefill.
	blocks []uint64
	// positions holds the hidden state of each position that the step covers.
	positions []uint64
}

func (h hiddenState) encode() []byte {
	out := make([]byte, 0, hiddenBytes*(1+len(h.blocks)+len(h.positions)))
	out = binary.LittleEndian.AppendUint64(out, uint64(len(h.blocks)))
	for _, b := range h.blocks {
		out = binary.LittleEndian.AppendUint64(out, b)
	}
	for _, p := range h.positions {
		out = binary.LittleEndian.AppendUint64(out, p)
	}
	return out
}

func decodeHidden(data []byte) (hiddenState, error) {
	if len(data) < hiddenBytes || len(data)%hiddenBytes != 0 {
		return hiddenState{}, errHidden
	}
	values := make([]uint64, 0, len(data)/hiddenBytes)
	for i := 0; i < len(data); i += hiddenBytes {
		values = append(values, binary.LittleEndian.Uint64(data[i:]))
	}
	blocks := values[0]
	if blocks > uint64(len(values)-1) {
		return hiddenState{}, errHidden
	}
	return hiddenState{blocks: values[1 : 1+blocks], positions: values[1+blocks:]}, nil
}

// PrefixBlocks returns a hash for every whole prefix block of the prompt: the xxHash64
// of the prompt up to the end of the block.
func PrefixBlocks(prompt string) []uint64 {
	digest := xxhash.New()
	blocks := make([]uint64, 0, len(prompt)/wire.PrefixBlockBytes)
	for len(prompt) >= wire.PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[:wire.PrefixBlockBytes])
		blocks = append(blocks, digest.Sum64())
		prompt = prompt[wire.PrefixBlockBytes:]
	}
	return blocks
}
