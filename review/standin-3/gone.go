package main

import (
	"fmt"
	"time"
)

const (
	// rounds is how often connections go silent and a replica leaves, and roundPause the calm before each.
	rounds, roundPause = 6, 3500 * time.Millisecond
	// servesOn is how long a replica whose entry is removed continues to serve.
	servesOn = 6 * time.Second
	// goneLimit is drainMs.
	goneLimit = 2 * time.Second
	// leavesAfter is when a replica leaves after the connections went silent.
	leavesAfter = 400 * time.Millisecond
	// joinAge bounds the time since the first machine has joined its group when connections go silent.
	minJoinAge, maxJoinAge = 80 * time.Millisecond, 200 * time.Millisecond
)

// gone lets all open connections between the machines, and from them to the store, go silent shortly before a
// replica leaves that doesn't report it.
func gone(program, record string, trouble bool) (bool, error) {
	s, err := startSystemWithMesh(program, record, 8, 9, 284)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(beforeTraffic - time.Since(s.start))
	var ordinary []*callers
	for _, m := range s.machines {
		ordinary = append(ordinary, s.call(m, 40*time.Millisecond))
	}
	type departure struct {
		replica *replica
		bound   time.Time
		silent  time.Time
	}
	var departures []departure
	for i := range rounds {
		time.Sleep(roundPause)
		if err := s.awaitJoin(); err != nil {
			return false, err
		}
		if trouble {
			n := 0
			for _, p := range append(s.mesh, s.proxy) {
				for _, c := range p.all() {
					c.silence()
					n++
				}
			}
			s.log("all %d open connections between the machines and to the store go silent", n)
		}
		silentAt := time.Now()
		time.Sleep(leavesAfter)
		r := s.replicas[i]
		removed := r.vanish()
		s.log("the store has removed the entry of %s, which serves on for %v", r.id, servesOn)
		departures = append(departures, departure{r, later(removed.Add(goneLimit), silentAt.Add(contact)), silentAt})
		time.Sleep(servesOn)
		r.down()
	}
	sentTo := map[string]string{}
	for i, c := range ordinary {
		s.log("%s: requests by status (0: no answer): %v", s.machines[i].name, c.end())
		for _, a := range c.list {
			sentTo[a.id] = s.machines[i].name
		}
	}
	late, times := 0, 0
	for _, d := range departures {
		before := late
		for _, a := range d.replica.arrived() {
			if a.at.After(d.bound) {
				late++
				s.log("%s %s, sent by %s, reached %s %.0f ms after the connections went silent and %.0f ms after the bound",
					a.path, a.id, sentTo[a.id], a.replica, a.at.Sub(d.silent).Seconds()*1000, a.at.Sub(d.bound).Seconds()*1000)
			}
		}
		if late > before {
			times++
		}
	}
	text := fmt.Sprintf("%d requests reached replicas that are gone later than %v after that, by machines in touch, in %d of %d rounds", late, goneLimit, times, rounds)
	s.log("%s", text)
	fmt.Println(text)
	return late > 0, nil
}

// awaitJoin waits until the first machine has joined its group a moment ago.
func (s *system) awaitJoin() error {
	for start := time.Now(); time.Since(start) < startTimeout; time.Sleep(2 * time.Millisecond) {
		if age := s.store.joinAge(s.machines[0].name); age >= minJoinAge && age <= maxJoinAge {
			return nil
		}
	}
	return fmt.Errorf("%s does not join its group", s.machines[0].name)
}
