package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// crowdHold is how long the clients of the crowd hold their connections.
	crowdHold = 20 * time.Second
	// contact is contactMs, and askers the least number of clients that try meanwhile.
	contact, askers = 3 * time.Second, 8
	// crowdOfHeads is the number of connections that a machine takes with the descriptors of the site.
	crowdOfHeads = 2900
)

// slots lets clients that the operator does not control begin heads and not end them.
func slots(program, record string, trouble bool) (bool, error) {
	s, err := startSystem(program, record, 1, 3, 284)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	m := s.machines[0]
	var ordinary []*callers
	for range askers {
		ordinary = append(ordinary, s.call(m, 250*time.Millisecond))
	}
	time.Sleep(2 * time.Second)
	var crowd sync.WaitGroup
	end := time.Now().Add(crowdHold)
	refused := func() bool { return time.Now().After(end) }
	for range crowdOfHeads {
		if trouble {
			crowd.Go(func() { holdHeads(m, refused) })
		}
	}
	s.log("the crowd comes: %d", crowdOfHeads)
	notReady := 0
	for time.Now().Before(end) {
		if !isReady(m) {
			notReady++
			s.log("%s: not ready", m.name)
		}
		time.Sleep(200 * time.Millisecond)
	}
	crowd.Wait()
	total := map[int]int{}
	var served []time.Time
	for _, c := range ordinary {
		for status, n := range c.end() {
			total[status] += n
		}
		for _, a := range c.list {
			if a.status != 0 {
				served = append(served, a.sent)
			}
		}
	}
	longest := longestGap(served)
	s.log("requests by status (0: no answer): %v; longest time without any answer %v; not ready %d times", total, longest, notReady)
	fmt.Printf("requests by status (0: no answer): %v; longest time without any answer %v; not ready %d times\n", total, longest, notReady)
	return longest >= contact && notReady == 0, nil
}

func longestGap(at []time.Time) time.Duration {
	var longest time.Duration
	for _, a := range at {
		next := time.Duration(-1)
		for _, b := range at {
			if d := b.Sub(a); d > 0 && (next < 0 || d < next) {
				next = d
			}
		}
		longest = max(longest, next)
	}
	return longest
}

// holdHeads begins heads at a machine, one after the other.
func holdHeads(m *machine, stop func() bool) {
	for !stop() {
		c, err := net.DialTimeout("tcp", m.front(), time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_, _ = c.Write([]byte("GET /look/1 HTTP/1.1\r\nHost: " + host + "\r\nX: a"))
		_ = c.SetReadDeadline(time.Now().Add(crowdHold))
		_, err = c.Read(make([]byte, 512))
		_ = c.Close()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
}
