package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bufio"
	"strconv"
)

// The crowd of the case "memory", at one of the smallest machines of the sheets.
const (
	memoryMB    = 184
	descriptors = 4100
	// ordinaryClients ask for a stream and read it, and ask once more.
	ordinaryClients = 200
	// unfinished is the number of clients that send a head without its end.
	unfinished = 2680
	// headLines is the number of lines that are added to a head, which then has less than 4 KiB.
	headLines = 790
	// bytesPerSecond is what the link of such a machine carries, 20 Mbit/s.
	bytesPerSecond = 2_500_000
	roundsNeeded   = 3
	roundTime      = 10 * time.Second
)

// machine is an instance with the platform's watch on its memory.
type machine struct {
	*Instance
	b    *Bench
	ends int
	most atomic.Int64 // kB
}

// watch ends the process when its memory exceeds that of its machine, as the platform does. Only
// anonymous memory is counted, without the file of the program.
func (m *machine) watch() (over <-chan struct{}, stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	m.most.Store(0)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			kb := int64(m.status("RssAnon"))
			m.most.Store(max(m.most.Load(), kb))
			if kb*1024 > memoryMB*1e6 {
				m.signal(syscall.SIGKILL)
				<-m.exited
				close(ended)
				return
			}
		}
	}()
	return ended, func() { close(done) }
}

// chatHead returns a whole request for a stream, with further lines in its head.
func chatHead(id string, lines int) []byte {
	var s strings.Builder
	fmt.Fprintf(&s, "POST /chat/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 20000\r\nToken-Usage: 20,100\r\nAuthorization: Token key1\r\nContent-Length: 0\r\n", host, id)
	for l := range lines {
		s.WriteString(strconv.FormatInt(int64(l), 36) + ":\r\n")
	}
	s.WriteString("\r\n")
	return []byte(s.String())
}

// tally counts what was sent, and the streams of ordinary clients that were answered whole and cut.
type tally struct{ sent, answered, cut int64 }

// crowdAt lets the crowd come to a machine until over, for roundTime at most.
func (m *machine) crowdAt(round int, over <-chan struct{}) (t tally) {
	var clients sync.WaitGroup
	var sent, answered, cut atomic.Int64
	var conns []net.Conn
	others := 0
	if m.b.trouble {
		others = unfinished
	}
	began := time.Now()
	// No more heads are sent than the link carries.
	pace := time.Duration(len(chatHead(m.name+"-0-1000-0", headLines))) * time.Second / bytesPerSecond
	heads := 0
	for k := range ordinaryClients + others {
		time.Sleep(time.Until(began.Add(time.Duration(heads) * pace)))
		heads++
		c, err := net.DialTimeout("tcp", m.front, time.Second)
		if err != nil {
			break // the process has ended
		}
		conns = append(conns, c)
		id := fmt.Sprintf("%s-%d-%d", m.name, round, k)
		clients.Go(func() {
			if k >= ordinaryClients {
				head := chatHead(id, headLines)
				if _, err := c.Write(head[:len(head)-2]); err == nil {
					sent.Add(1)
				}
				return
			}
			br := bufio.NewReader(c)
			for q := range 2 { // the second one after the answer to the first
				if _, err := c.Write(chatHead(fmt.Sprintf("%s-%d", id, q), 0)); err != nil {
					return
				}
				sent.Add(1)
				resp, err := http.ReadResponse(br, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err != nil {
					cut.Add(1)
					return
				}
				answered.Add(1)
			}
		})
	}
	select {
	case <-over:
	case <-time.After(time.Until(began.Add(roundTime))):
	}
	for _, c := range conns {
		c.Close()
	}
	clients.Wait()
	return tally{sent.Load(), answered.Load(), cut.Load()}
}

// memory lets clients send heads without end, at two machines by turns.
func memory(ctx context.Context, b *Bench) (bool, error) {
	b.store.put(operatorTopic, "config", configuration(1))
	var replicas []*Replica
	for n := range 16 {
		r, err := b.addReplica(ctx, fmt.Sprintf("i-llm-%d", n), "llm", 192, true)
		if err != nil {
			return false, err
		}
		r.pause, r.events = 100*time.Millisecond, 40
		replicas = append(replicas, r)
	}
	ports, err := freePorts("127.0.0.1", 1)
	if err != nil {
		return false, err
	}
	var machines []*machine
	for n := range 2 {
		i, err := b.addInstance(ctx, fmt.Sprintf("edge-%d", n+1), fmt.Sprintf("127.0.0.%d", n+1), ports[0], Limits{memoryMB, descriptors})
		if err != nil {
			return false, err
		}
		machines = append(machines, &machine{Instance: i, b: b})
	}
	b.log("each head of the crowd has %d bytes", len(chatHead("edge-1-0-1000-0", headLines)))
	time.Sleep(4 * time.Second)
	for round := range roundsNeeded {
		for _, m := range machines {
			if ctx.Err() != nil {
				return false, ctx.Err()
			}
			over, stop := m.watch()
			t := m.crowdAt(round, over)
			stop()
			ran := 0
			for _, r := range replicas {
				ran += len(r.list())
			}
			b.log("%s, round %d: at most %.1f MB of anonymous memory of %d, alive %v; %d heads sent; ordinary clients read %d streams whole, %d were cut; replicas have run %d",
				m.name, round+1, float64(m.most.Load())*1024/1e6, memoryMB, m.alive(), t.sent, t.answered, t.cut, ran)
			if m.alive() {
				continue
			}
			m.ends++
			time.Sleep(time.Second)
			if err := m.start(); err != nil {
				return false, err
			}
			if !m.awaitReady(ctx) {
				return false, fmt.Errorf("%s is not ready again", m.name)
			}
		}
	}
	b.log("ends for memory: %s %d, %s %d of %d rounds each", machines[0].name, machines[0].ends, machines[1].name, machines[1].ends, roundsNeeded)
	return machines[0].ends >= roundsNeeded && machines[1].ends >= roundsNeeded, nil
}

func init() { cases["memory"] = memory }
