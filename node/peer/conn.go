package peer

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes of one connection, including yamux framing but
// not TCP headers.
type countingConn struct {
	net.Conn

	sent     atomic.Uint64
	received atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}
