package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// flood is the number of streams in progress, orders the number of orders beside them.
	flood  = 3000
	orders = 100
	// routeTimeout is timeoutMs of the orders' route, orderDeadline how long their clients wait.
	routeTimeout  = 800 * time.Millisecond
	orderDeadline = 1500 * time.Millisecond
)

// streamCall is what one client saw of its stream.
type streamCall struct {
	status   int
	complete bool
}

// askStream sends a request for a stream on a connection of its own and reads the answer.
func askStream(address, id string) (call streamCall) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return call
	}
	defer c.Close()
	if _, err := c.Write(chatHead(id, 0)); err != nil {
		return call
	}
	c.SetReadDeadline(time.Now().Add(20 * time.Second)) // the client's own deadline
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		call.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
	}
	call.complete = err == nil
	return call
}

// order is what one client saw of its order.
type order struct {
	after  time.Duration // from its last byte sent to the answer
	status int           // 0 if none came
}

// askOrder sends an order and waits for its answer until its deadline.
func askOrder(address, id string) (o order) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return o
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token key1\r\nContent-Length: 2\r\n\r\nhi", host, id, orderDeadline.Milliseconds())
	sent := time.Now()
	c.SetReadDeadline(sent.Add(orderDeadline))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	o.after = time.Since(sent)
	if err == nil {
		o.status = resp.StatusCode
		io.Copy(io.Discard, resp.Body)
	}
	return o
}

// handlers lets one machine carry the streams of all and sends orders beside them.
func handlers(ctx context.Context, b *Bench) (bool, error) {
	b.store.put(operatorTopic, "config", bytes.ReplaceAll(configuration(1), []byte(`"timeoutMs":1500`), []byte(`"timeoutMs":800`)))
	var replicas []*Replica
	for n := range 20 {
		r, err := b.addReplica(ctx, fmt.Sprintf("i-llm-%d", n), "llm", 192, true)
		if err != nil {
			return false, err
		}
		r.pause, r.events = 150*time.Millisecond, 100
	}
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
	i, err := b.addInstance(ctx, "edge-1", "127.0.0.1", ports[0], Limits{433, 10478})
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // it is in touch from here on
	n := flood
	if !b.trouble {
		n = flood / 10
	}
	var streams, clients sync.WaitGroup
	var mu sync.Mutex
	outcome := map[string]int{}
	for k := range n {
		streams.Go(func() {
			call := askStream(i.front, fmt.Sprintf("stream-%d", k))
			mu.Lock()
			defer mu.Unlock()
			outcome[fmt.Sprintf("stream: status %d, whole %v", call.status, call.complete)]++
		})
		time.Sleep(400 * time.Microsecond)
	}
	time.Sleep(time.Second)
	b.log("%d streams in progress; %d orders follow", n, orders)
	got := make([]order, orders)
	for k := range got {
		clients.Go(func() { got[k] = askOrder(i.front, fmt.Sprintf("order-%d", k)) })
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	unanswered, late := 0, 0
	for k, o := range got {
		mu.Lock()
		outcome[fmt.Sprintf("order: status %d", o.status)]++
		mu.Unlock()
		if o.status == 0 || o.after > routeTimeout {
			unanswered++
			if o.status == 0 || o.after > routeTimeout+500*time.Millisecond {
				if late++; late <= 5 {
					b.log("order-%d: status %d after %.2f s", k, o.status, o.after.Seconds())
				}
			}
		}
	}
	ran := 0
	for _, r := range replicas {
		ran += len(r.list())
	}
	streams.Wait()
	b.log("outcomes: %v; orders that reached a replica: %d; alive %v", outcome, ran, i.alive())
	b.log("of %d orders, %d were unanswered at their route's timeout of %v, and %d of these 0.5 s later", orders, unanswered, routeTimeout, late)
	return late >= 8 && 2*late > unanswered, nil
}

func init() { cases["handlers"] = handlers }
