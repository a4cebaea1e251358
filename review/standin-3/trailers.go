package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// crowdSize is the number of connections of the crowd at each machine.
	crowdSize = 1000
	// maxHead is the limit of the configuration on the head of a request.
	maxHead = 16384
	// endsThatBreak is the number of times that processes end by themselves on each of two machines that
	// breaks the rule.
	endsThatBreak = 3
	trailersTime  = 60 * time.Second
)

// begunRequest returns a request inside the limits: its head names many fields that will follow its body,
// of which only the first chunk is sent.
func begunRequest() []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /look/1 HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\nTrailer: aa", host)
	for i := 0; b.Len() < maxHead-20; i++ {
		b.WriteByte(',')
		b.WriteByte(letters[i/len(letters)/len(letters)%26])
		b.WriteByte(letters[i/len(letters)%len(letters)])
		b.WriteByte(letters[i%len(letters)])
	}
	b.WriteString("\r\n\r\n")
	b.WriteString("5\r\nhello\r\n")
	return b.Bytes()
}

// trailers lets clients that the operator does not control begin requests and not end them.
func trailers(program, record string, trouble bool) (bool, error) {
	s, err := startSystem(program, record, 2, 3, 284)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	var ordinary []*callers
	for _, m := range s.machines {
		ordinary = append(ordinary, s.call(m, 200*time.Millisecond))
	}
	end := time.Now().Add(trailersTime)
	var crowds sync.WaitGroup
	for _, m := range s.machines {
		crowds.Go(func() {
			for trouble && time.Now().Before(end) && !s.isOver() {
				s.crowd(m)
			}
		})
	}
	crowds.Wait()
	if !trouble {
		time.Sleep(10 * time.Second)
	}
	isBroken := s.isOver()
	if s.short && !isBroken {
		return false, fmt.Errorf("the crowd did not get its connections")
	}
	for i, m := range s.machines {
		over, ended, peak := m.counts()
		statuses := ordinary[i].end()
		s.log("%s: %d processes killed for their memory, %d ended otherwise, largest %.0f MB; ordinary requests by status (0: no answer): %v", m.name, over, ended, peak, statuses)
		fmt.Printf("%s: %d processes killed for their memory, %d ended otherwise, largest %.0f MB; ordinary requests by status (0: no answer): %v\n", m.name, over, ended, peak, statuses)
	}
	return isBroken, nil
}

// isOver reports whether processes have ended by themselves as often as breaks the rule on all machines.
func (s *system) isOver() bool {
	for _, m := range s.machines {
		if over, ended, _ := m.counts(); over+ended < endsThatBreak {
			return false
		}
	}
	return true
}

// crowd connects to a machine, begins a request on each connection, and holds them for a while.
func (s *system) crowd(m *machine) {
	if awaitReady(m) != nil {
		return
	}
	time.Sleep(contact) // the start of the process is no excuse any more
	overBefore, endedBefore, _ := m.counts()
	hasEnded := func() bool {
		over, ended, _ := m.counts()
		return over+ended > overBefore+endedBefore
	}
	request := begunRequest()
	s.log("%s: a crowd comes: %d connections, each with %d bytes of a request", m.name, crowdSize, len(request))
	var open []net.Conn
	for len(open) < crowdSize && !hasEnded() {
		c, err := net.DialTimeout("tcp", m.front(), time.Second)
		if err != nil {
			break
		}
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		open = append(open, c)
		if _, err := c.Write(request); err != nil {
			break
		}
	}
	s.log("%s: the crowd has %d connections", m.name, len(open))
	if len(open) < crowdSize && !hasEnded() {
		time.Sleep(time.Second)
		s.short = s.short || !hasEnded()
	}
	for start := time.Now(); time.Since(start) < 5*time.Second && !hasEnded(); {
		time.Sleep(50 * time.Millisecond)
	}
	for _, c := range open {
		_ = c.Close()
	}
	s.log("%s: the crowd has left", m.name)
	time.Sleep(time.Second)
}
