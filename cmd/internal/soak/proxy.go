package soak

import (
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Mode is what a Proxy does with its connections.
type Mode int

// Modes of a Proxy.
const (
	// Pass forwards both ways.
	Pass Mode = iota
	// Delay holds each piece back for proxyDelay.
	Delay
	// Reset ends the connections and each new one.
	Reset
	// OneWay forwards requests and keeps the answers.
	OneWay
	// Silent forwards nothing.
	Silent
	modes
)

// String returns the name used in summaries.
func (m Mode) String() string { return [...]string{"pass", "delay", "reset", "one_way", "silent"}[m] }

const (
	proxyDelay = 120 * time.Millisecond
	proxyPoll  = 20 * time.Millisecond
)

// Proxy stands before a replica on the loopback interface. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	done  sync.WaitGroup
	ended bool
}

// NewProxy starts a proxy before the address target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.done.Go(p.accept)
	return p, nil
}

// Address returns IP:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode, also of the connections that are there.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == Reset {
		p.closeAll()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.closeAll()
	p.done.Wait()
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset, not an orderly end
		}
		_ = c.Close()
	}
}

func (p *Proxy) state() (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.ended
}

// add registers a connection, or closes it if the proxy resets or has ended.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.mode == Reset {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.add(c) {
			p.done.Go(func() { p.serve(c) })
		}
	}
}

func (p *Proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil || !p.add(out) {
		_ = in.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, false) })
	both.Go(func() { p.copy(in, out, true) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, in)
	delete(p.conns, out)
}

// copy forwards one direction until either side ends; answers tells which.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass(answers) {
			return
		}
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			return
		}
	}
}

// pass waits while the mode holds back a piece; it returns false when the proxy has ended.
func (p *Proxy) pass(answers bool) bool {
	for {
		mode, ended := p.state()
		switch {
		case ended:
			return false
		case mode == Silent, mode == OneWay && answers:
			time.Sleep(proxyPoll)
			continue
		case mode == Delay:
			time.Sleep(proxyDelay)
		}
		return true
	}
}
