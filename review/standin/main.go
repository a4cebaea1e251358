// Command standin plays one case of the review: it starts stand-ins of the platform's store and of
// replicas, and the entry instances as separate processes, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(*world, bool) bool{
	"silent-store":    silentStore,
	"partition-drain": partitionDrain,
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file to which what was sent, answered and run is written")
	program := flag.String("program", "target/masticbank", "the program under test")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	if _, err := os.Stat(*program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	runtime.LockOSThread() // the processes end with the thread that started them
	w := newWorld(*record, *program)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.fatal("interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { w.fatal("out of time") })
	broken := play(w, os.Getenv("TROUBLE") != "0")
	w.stop()
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// quietFor is how long a connection was quiet that goes silent.
const quietFor = 1500 * time.Millisecond

// silentStore: connections to the store that are quiet go silent; later the operator changes the configuration.
func silentStore(w *world, trouble bool) bool {
	routes := []route{plainRoute("/lohu/", "idempotent", "xano55b", 2)}
	services := []string{"xano55b"}
	w.publish(3, routes, services, "keyone", "keytwo")
	for i, z := range zones {
		w.startReplica(fmt.Sprintf("i-7f3a91c%d", i), "xano55b", z, 10*time.Millisecond)
	}
	w.start(9)
	w.awaitReady(10 * time.Second)
	time.Sleep(10 * time.Second)
	routes = append(routes, plainRoute("/cufi/", "idempotent", "xano55b", 2))
	w.publish(5, routes, services, "keyone", "keytwo")
	time.Sleep(3 * time.Second)
	for _, in := range w.instances {
		if a := w.send(in, "GET", "/cufi/2f", "keytwo", 1500*time.Millisecond); a.status != 200 {
			w.fatal("version 5 is not in force at %s: %d %v", in.name, a.status, a.err)
		}
	}
	if trouble {
		lost, all := w.storeLink.lose(quietFor)
		w.logf("%d of %d open connections to the store go silent, those that were quiet for %v; new ones work", lost, all, quietFor)
	}
	time.Sleep(3500 * time.Millisecond) // contactMs and a half second
	routes = append(routes, plainRoute("/pufi/", "idempotent", "xano55b", 2))
	acked := w.publish(8, routes, services, "keyone")
	time.Sleep(time.Until(acked.Add(2050 * time.Millisecond)))
	broken := 0
	for time.Since(acked) < 26*time.Second {
		for _, in := range w.instances {
			since := time.Since(acked).Seconds()
			if a := w.send(in, "GET", "/pufi/2f", "keyone", 1500*time.Millisecond); a.status == 404 {
				broken++
				w.logf("BROKEN %s: 404 for the route that version 8 added, sent %.2f s after its acknowledgement", in.name, since)
			} else if a.status != 200 {
				w.logf("%s: %s status %d %v", in.name, a.attempt, a.status, a.err)
			}
			if a := w.send(in, "GET", "/lohu/2f", "keytwo", 1500*time.Millisecond); len(w.runsOf(a.attempt)) > 0 {
				broken++
				w.logf("BROKEN %s: %s ran with the key that version 8 dropped, status %d, sent %.2f s after its acknowledgement", in.name, a.attempt, a.status, since)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.logf("%d requests were handled as only an older version allows", broken)
	fmt.Println(broken, "requests handled as only an older version allows")
	return broken > 0
}

// partitionDrain: the instances of a zone are cut off for some seconds; just before they are back a
// replica leaves that does not report draining.
func partitionDrain(w *world, trouble bool) bool {
	w.partition, w.firstStart = newPartition(), false
	services := []string{"xano55b"}
	w.publish(3, []route{plainRoute("/lohu/", "idempotent", "xano55b", 2)}, services, "keyone")
	var replicas []*replica
	for i := range 4 {
		work := 16 * time.Millisecond
		if i == 0 {
			work = 8 * time.Millisecond // replicas differ in speed
		}
		replicas = append(replicas, w.startReplica(fmt.Sprintf("i-7f3a91c%d", i), "xano55b", zones[i%3], work))
	}
	w.start(9)
	w.awaitReady(10 * time.Second)
	time.Sleep(10 * time.Second)
	for _, in := range w.instances {
		if a := w.send(in, "GET", "/lohu/2f", "keyone", 1500*time.Millisecond); a.status != 200 {
			w.fatal("%s does not serve: %d %v", in.name, a.status, a.err)
		}
	}
	done := make(chan struct{})
	var requests sync.WaitGroup
	var mu sync.Mutex
	var answers []partitionAnswer
	for _, in := range w.instances {
		requests.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
					requests.Go(func() {
						a := w.send(in, "GET", "/lohu/2f", "keyone", 1500*time.Millisecond)
						mu.Lock()
						defer mu.Unlock()
						answers = append(answers, partitionAnswer{in, a})
					})
				}
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		w.partition.set(true)
		w.logf("the instances of %s are cut off from the store and from the other instances", zones[0])
	}
	time.Sleep(cutFor - 600*time.Millisecond)
	left := replicas[0]
	left.remove()
	acked := time.Now()
	w.logf("the removal of the entry of %s is acknowledged; it goes on serving", left.id)
	time.Sleep(600 * time.Millisecond)
	w.partition.set(false)
	healed := time.Now()
	w.logf("the partition is healed")
	time.Sleep(time.Until(acked.Add(servesOn)))
	w.logf("%s ends", left.id)
	left.stop()
	time.Sleep(time.Second)
	close(done)
	requests.Wait()
	from := acked.Add(2050 * time.Millisecond)
	if inTouch := healed.Add(3050 * time.Millisecond); trouble && inTouch.After(from) {
		from = inTouch
	}
	broken := 0
	for _, x := range answers {
		if !x.sent.After(from) || !slices.Contains(w.runsOf(x.attempt), left.id) {
			continue
		}
		broken++
		w.logf("BROKEN %s: %s was sent %.2f s after the acknowledgement (%.2f s after the partition was healed) and ran at %s",
			x.in.name, x.attempt, x.sent.Sub(acked).Seconds(), x.sent.Sub(healed).Seconds(), left.id)
	}
	w.logf("%d requests reached %s later than drainMs after the acknowledgement, sent on by instances in touch", broken, left.id)
	fmt.Println(broken, "requests reached the replica that had left")
	return broken > 0
}

type partitionAnswer struct {
	in *instance
	answer
}

const (
	// cutFor is how long the instances are cut off.
	cutFor = 7 * time.Second
	// servesOn is how long the replica serves after the removal of its entry: drainMs and some seconds.
	servesOn = 6 * time.Second
)
