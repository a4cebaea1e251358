package soak

import (
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Mode determines how a Proxy handles its connections.
type Mode int

// Proxy modes.
const (
	// Pass forwards data in both directions.
	Pass Mode = iota
	// Delay delays each chunk of data by proxyDelay.
	Delay
	// Reset resets all connections, including new ones.
	Reset
	// OneWay forwards requests and holds back responses.
	OneWay
	// Blackhole forwards nothing.
	Blackhole
	modeCount
)

// String returns the name of the mode.
func (m Mode) String() string { return [...]string{"pass", "delay", "reset", "one_way", "silent"}[m] }

const (
	proxyDelay        = 120 * time.Millisecond
	proxyPollInterval = 20 * time.Millisecond
)

// Proxy forwards TCP connections to a replica on the loopback interface. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	mode       Mode
	conns      map[net.Conn]bool
	goroutines sync.WaitGroup
	closed     bool
}

// NewProxy starts a proxy for the address target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the address of the proxy as IP:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode for new and existing connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == Reset {
		p.closeAll()
	}
}

// Close closes the listener and all connections, and waits for the goroutines of the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.closeAll()
	p.goroutines.Wait()
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with a reset instead of FIN
		}
		_ = c.Close()
	}
}

func (p *Proxy) state() (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.closed
}

// add registers a connection. If the mode is Reset or the proxy is closed, it closes the
// connection and returns false.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Reset {
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
			p.goroutines.Go(func() { p.serve(c) })
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

// copy forwards one direction until either side closes its connection. response is true for the
// direction from the replica to the instance.
func (p *Proxy) copy(to, from net.Conn, response bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.awaitForwarding(response) {
			return
		}
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			return
		}
	}
}

// awaitForwarding waits while the mode holds data back. It returns false if the proxy is
// closed.
func (p *Proxy) awaitForwarding(response bool) bool {
	for {
		mode, closed := p.state()
		switch {
		case closed:
			return false
		case mode == Blackhole, mode == OneWay && response:
			time.Sleep(proxyPollInterval)
			continue
		case mode == Delay:
			time.Sleep(proxyDelay)
		}
		return true
	}
}
