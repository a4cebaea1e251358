package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy stands between the machines and the store. Connections that go silent stay open and pass nothing
// on; new ones work.
type proxy struct {
	address, target string
	listener        net.Listener

	mu    sync.Mutex
	conns map[*proxied]struct{}
}

// proxied is a connection to the store.
type proxied struct {
	client, store net.Conn

	mu     sync.Mutex
	silent bool
	// polls is true while the last request waits for a new configuration, since polledAt.
	polls    bool
	polledAt time.Time
}

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, conns: map[*proxied]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxied{client: client, store: target}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.pump(client, target, c.noteRequest) })
	both.Go(func() { c.pump(target, client, func([]byte) {}) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pump passes on what it reads until either side closes, or nothing while the connection is silent.
func (c *proxied) pump(from, to net.Conn, note func([]byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if n > 0 && !silent {
			note(buffer[:n])
			_, _ = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if !silent {
			_ = to.Close()
		}
		return
	}
}

func (c *proxied) noteRequest(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls = bytes.HasPrefix(data, []byte("GET /-/log-read?")) && bytes.Contains(data, []byte("topic=keyed.op")) && bytes.Contains(data, []byte("waitMs="))
	c.polledAt = time.Now()
}

// waitingPolls returns the connections that wait for a configuration, and how long the one that was sent
// first waits.
func (p *proxy) waitingPolls() (list []*proxied, longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		if c.polls && !c.silent {
			list = append(list, c)
			longest = max(longest, time.Since(c.polledAt))
		}
		c.mu.Unlock()
	}
	return list, longest
}

// all returns all connections.
func (p *proxy) all() []*proxied {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*proxied
	for c := range p.conns {
		list = append(list, c)
	}
	return list
}

func (c *proxied) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// close ends all connections; further ones are refused.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.Close()
		_ = c.store.Close()
	}
}
