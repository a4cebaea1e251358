package exchange

import (
	"hash/maphash"
	"slices"
)

// maxCarried is the number of requests after which a connection is not reused, which bounds
// the memory for their IDs.
const maxCarried = 512

// carried holds hashes of the IDs of the requests that a connection has carried. Two IDs
// with the same hash only cost a new connection.
type carried []uint64

var hashSeed = maphash.MakeSeed()

// contains reports whether the connection may have carried a request with the ID.
func (c carried) contains(id string) bool {
	return id != "" && slices.Contains(c, maphash.String(hashSeed, id))
}

// add records that the connection carries a request with the ID.
func (c *carried) add(id string) {
	if id != "" {
		*c = append(*c, maphash.String(hashSeed, id))
	}
}

// full reports whether the connection must not carry further requests.
func (c carried) full() bool { return len(c) >= maxCarried }

// popIdle removes the most recently used idle connection that has not carried the ID from
// the pool and returns it, or nil if there is none.
func (c *Client) popIdle(address, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i, cn := range slices.Backward(list) {
		if !cn.carried.contains(id) {
			c.idle[address] = slices.Delete(list, i, i+1)
			return cn
		}
	}
	return nil
}
