package poison

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// evictionDivisor determines how many entries are evicted from a full map at once: the
// maximum number divided by it.
const evictionDivisor = 8

// evictExcess evicts the entries that expire first from a map that exceeds maxBlocks.
func evictExcess(entries map[Fingerprint]time.Time) {
	if len(entries) <= maxBlocks {
		return
	}
	blocks := make([]Block, 0, len(entries))
	for f, expiry := range entries {
		blocks = append(blocks, Block{Fingerprint: f, Expiry: expiry})
	}
	slices.SortFunc(blocks, compareBlocks)
	for _, b := range blocks[maxBlocks-maxBlocks/evictionDivisor:] {
		delete(entries, b.Fingerprint)
	}
}

func expireMap(now time.Time, entries map[Fingerprint]time.Time) {
	maps.DeleteFunc(entries, func(_ Fingerprint, at time.Time) bool { return !at.After(now) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// compareBlocks orders blocks by expiry, latest first, then by fingerprint.
func compareBlocks(a, b Block) int {
	if c := b.Expiry.Compare(a.Expiry); c != 0 {
		return c
	}
	return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
}
