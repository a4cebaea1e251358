package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partition is the network between some instances on one side, and the store and the other instances on
// the other. While it is cut nothing passes, without a reset; what was sent meanwhile arrives when it
// is healed. Clients and replicas reach all instances all the time.
type partition struct {
	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
}

func newPartition() *partition {
	p := &partition{}
	p.healed = sync.NewCond(&p.mu)
	return p
}

func (p *partition) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.healed.Broadcast()
}

// wait returns when the partition is not cut.
func (p *partition) wait() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.healed.Wait()
	}
}

// forward passes connections from one address to another through the partition.
func (p *partition) forward(from, to string) error {
	l, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(in, to)
		}
	}()
	return nil
}

func (p *partition) pass(in net.Conn, to string) {
	defer in.Close()
	p.wait()
	out, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			p.wait()
			if n > 0 {
				if _, werr := dst.Write(buffer[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pump(out, in)
	go pump(in, out)
	<-done
}

// owner returns the instance whose process has the socket with the local address, or nil.
func (w *world) owner(local net.Addr) *instance {
	a, ok := local.(*net.TCPAddr)
	if !ok || a.IP.To4() == nil {
		return nil
	}
	ip := a.IP.To4()
	key := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) < 10 || f[1] != key {
			continue
		}
		want := "socket:[" + f[9] + "]"
		for _, in := range w.instances {
			list, _ := filepath.Glob("/proc/" + strconv.Itoa(in.cmd.Process.Pid) + "/fd/*")
			for _, fd := range list {
				if name, err := os.Readlink(fd); err == nil && name == want {
					return in
				}
			}
		}
	}
	return nil
}
