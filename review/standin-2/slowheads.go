package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slowClients = 3000
	callers     = 10
	// contact is contactMs of the small deployments' sheets.
	contact = 3 * time.Second
	// takenAfter is how long a connection has to stay open to count as taken.
	takenAfter = 200 * time.Millisecond
	slowFor    = 30 * time.Second
)

// takings keeps when the machine took connections and when ordinary callers tried.
type takings struct {
	mu      sync.Mutex
	start   time.Time
	last    time.Time
	tried   map[int]bool // callers that tried since the last taking
	longest time.Duration
	from    time.Duration
	outcome map[string]int
}

func (t *takings) taken(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.last) {
		t.end(at)
		t.last = at
		clear(t.tried)
	}
}

// end closes the span without a taken connection that ends at now.
func (t *takings) end(now time.Time) {
	const leastClients = 7
	if span := now.Sub(t.last); len(t.tried) >= leastClients && span > t.longest {
		t.longest, t.from = span, t.last.Sub(t.start)
	}
}

// slowhead is a client whose head has no end. It comes back when its connection is closed.
func slowhead(ctx context.Context, address string, t *takings, opened *atomic.Int64) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		at := time.Now()
		opened.Add(1)
		fmt.Fprintf(c, "GET /look/1 HTTP/1.1\r\nHost: %s\r\nx: ", host)
		c.SetReadDeadline(at.Add(takenAfter))
		_, err = c.Read(make([]byte, 512))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.taken(at)
		}
		for ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
			if _, err = io.WriteString(c, "x"); err != nil {
				break
			}
			c.SetReadDeadline(time.Now().Add(time.Second))
			_, err = c.Read(make([]byte, 512))
		}
		c.Close()
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// caller is an ordinary client, with a new connection for each request.
func caller(n int, address string, end time.Time, t *takings) {
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for q := 0; time.Now().Before(end); q++ {
		req, err := http.NewRequest("GET", "http://"+address+"/look/1", nil)
		if err != nil {
			panic(err)
		}
		req.Host = host
		req.Header.Set("Attempt-Id", fmt.Sprintf("caller-%d-%d", n, q))
		req.Header.Set("Deadline-Ms", "1500")
		req.Header.Set("Authorization", "Token key1")
		at := time.Now()
		t.mu.Lock()
		t.tried[n] = true
		t.mu.Unlock()
		resp, err := client.Do(req)
		what := "no answer"
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			what = resp.Status
			t.taken(at)
		}
		t.mu.Lock()
		t.outcome[what]++
		t.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// slowheads lets many clients send heads without end and asks whether ordinary callers are taken.
func slowheads(ctx context.Context, b *Bench) (bool, error) {
	b.store.put(operatorTopic, "config", configuration(1))
	var replicas []*Replica
	for n := range 3 {
		r, err := b.addReplica(ctx, fmt.Sprintf("i-%d", n), "plain", 6, false)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	ports, err := freePorts("127.0.0.1", 1)
	if err != nil {
		return false, err
	}
	i, err := b.addInstance(ctx, "edge-1", "127.0.0.1", ports[0], Limits{284, 4100})
	if err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second) // it is in touch from here on
	t := &takings{start: b.start, last: time.Now(), tried: map[int]bool{}, outcome: map[string]int{}}
	crowdCtx, leave := context.WithCancel(ctx)
	defer leave()
	var crowd, ordinary sync.WaitGroup
	var opened atomic.Int64
	if b.trouble {
		for range slowClients {
			crowd.Go(func() { slowhead(crowdCtx, i.front, t, &opened) })
		}
	}
	end := time.Now().Add(slowFor)
	for n := range callers {
		ordinary.Go(func() { caller(n, i.front, end, t) })
	}
	ready, asked := 0, 0
	for time.Now().Before(end) {
		asked++
		if i.isReady() {
			ready++
		}
		time.Sleep(time.Second)
	}
	ordinary.Wait()
	leave()
	crowd.Wait()
	t.end(time.Now())
	runs := 0
	for _, r := range replicas {
		runs += len(r.list())
	}
	b.log("slow clients opened %d connections; ordinary callers got %v; replicas ran %d requests", opened.Load(), t.outcome, runs)
	b.log("ready in %d of %d questions; alive %v", ready, asked, i.alive())
	b.log("longest span without a taken connection, with seven callers or more trying: %.2f s, from %.2f s on; the bound is %v", t.longest.Seconds(), t.from.Seconds(), contact)
	return t.longest > contact && ready == asked && i.alive(), nil
}

func init() { cases["slowheads"] = slowheads }
