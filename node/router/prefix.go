package router

import (
	"github.com/cespare/xxhash/v2"

	"masticbank.example/node/wire"
)

// maxPrefixBlocks bounds the number of prefix hashes of one prompt.
const maxPrefixBlocks = 256

// prefixBlocks returns the hashes of the prompt's prefixes whose lengths are multiples
// of wire.PrefixBlockBytes. Engines report the same hashes in their cache events.
func prefixBlocks(prompt string) []uint64 {
	n := min(len(prompt)/wire.PrefixBlockBytes, maxPrefixBlocks)
	out := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(prompt[i*wire.PrefixBlockBytes : (i+1)*wire.PrefixBlockBytes])
		out = append(out, d.Sum64())
	}
	return out
}
