package httpserver

import "github.com/lesismal/nbio/mempool"

const (
	// newBufferBytes is the size of a new buffer of the pool.
	newBufferBytes = 1 << 10
	// maxPooledBytes is the size up to which buffers return to the pool. A buffer is handed out for any
	// smaller size, so that a small request may hold this much.
	maxPooledBytes = 4 << 10
)

// nbio's pool keeps buffers of up to 1 GiB. Those of large bodies would be held by small requests.
func init() { mempool.DefaultMemPool = mempool.New(newBufferBytes, maxPooledBytes) }
