package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const startTimeout = 15 * time.Second

// isReady asks a machine as the platform does.
func isReady(m *machine) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready() + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func awaitReady(m *machine) error {
	for start := time.Now(); time.Since(start) < startTimeout; time.Sleep(50 * time.Millisecond) {
		if isReady(m) {
			return nil
		}
	}
	return fmt.Errorf("%s does not get ready", m.name)
}

var attempts atomic.Uint64

// answer is what a client got.
type answer struct {
	sent   time.Time
	id     string
	key    string
	status int // 0 without an answer
	body   string
	err    error
}

// send sends one request on a connection of its own, with the deadline of the site.
func send(m *machine, method, path, key string) answer {
	a := answer{sent: time.Now(), key: key, id: fmt.Sprintf("%016x", 0x9c41d07b00000000+attempts.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front()+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", "1500")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.body, a.err = string(data), err
	if err == nil {
		a.status = resp.StatusCode
	}
	return a
}

// callers send requests at a steady pace to a machine, with each of the keys in turn.
type callers struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	list []answer
}

func (s *system) call(m *machine, period time.Duration, keys ...string) *callers {
	c := &callers{stop: make(chan struct{})}
	c.wg.Go(func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-c.stop:
				return
			case <-t.C:
			}
			method, path, with := "GET", "/look/1", key
			if i%3 == 2 {
				method, path = "POST", "/order/1"
			}
			if len(keys) > 0 {
				with = keys[i%len(keys)]
			}
			c.wg.Go(func() {
				a := send(m, method, path, with)
				c.mu.Lock()
				c.list = append(c.list, a)
				c.mu.Unlock()
				outcome := fmt.Sprint(a.status)
				if a.err != nil {
					outcome = "no answer: " + shorten(a.err)
				}
				s.log("%s: %s %s %s, key %s, sent %.3f: %s", m.name, method, path, a.id, a.key, a.sent.Sub(s.start).Seconds(), outcome)
			})
		}
	})
	return c
}

func shorten(err error) string {
	var op *net.OpError
	switch {
	case errors.As(err, &op):
		return op.Op + " " + op.Err.Error()
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	default:
		return "connection closed"
	}
}

// end stops the callers and returns the numbers of answers by status; 0 counts those without.
func (c *callers) end() map[int]int {
	close(c.stop)
	c.wg.Wait()
	out := map[int]int{}
	for _, a := range c.list {
		out[a.status]++
	}
	return out
}
