package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// clockAhead and clockFor are the size and the length of a jump of the time of day.
	clockAhead, clockFor = 2400 * time.Millisecond, 6 * time.Second
	// flapPeriod and flapFor are the period in which a replica goes down and up, and for how long it does.
	flapPeriod, flapFor = 1300 * time.Millisecond, 5400 * time.Millisecond
	// drainLimit is drainMs of the grown site.
	drainLimit = 3000 * time.Millisecond
	// lingers is how long a replica that leaves continues to serve.
	lingers = 8 * time.Second
)

// restarted lets the time of day jump at the machine of a replica that goes down and up, and later takes
// that replica away in an orderly way.
func restarted(program, record string, trouble bool) (bool, error) {
	s, err := start(program, record, 2, 12, 184, false, grown)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	var ordinary []*callers
	for _, m := range s.machines {
		ordinary = append(ordinary, s.call(m, 50*time.Millisecond))
	}
	r := s.replicas[0]
	if trouble {
		if err := s.flapWhileTheClockJumps(r); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	before := len(r.arrived())
	accepted := r.drain()
	s.log("the store has accepted that %s leaves", r.id)
	time.Sleep(lingers)
	late := 0
	for _, a := range r.arrived() {
		if after := a.at.Sub(accepted); after > drainLimit {
			late++
			s.log("request %s %s reached %s %.0f ms after that", a.id, a.path, r.id, after.Seconds()*1000)
		}
	}
	r.leave()
	s.log("%s has left", r.id)
	time.Sleep(2 * time.Second)
	for i, m := range s.machines {
		s.log("%s: requests by status (0: no answer): %v", m.name, ordinary[i].end())
	}
	fmt.Printf("%s got %d requests before it reported that it leaves, %d of them later than %v after that\n", r.id, before, late, drainLimit)
	s.log("%s got %d requests before it reported that it leaves, and %d later than %v after that", r.id, before, late, drainLimit)
	return late > 0, nil
}

// flapWhileTheClockJumps lets the replica go down and up while the time of day at its machine is ahead,
// and once more after that. TROUBLE=jump and TROUBLE=flap bring about only one of the two.
func (s *system) flapWhileTheClockJumps(r *replica) error {
	start, only := time.Now(), os.Getenv("TROUBLE")
	if only != "flap" {
		r.clock.Store(int64(clockAhead))
		s.log("the time of day at the machine of %s jumps ahead by %v", r.id, clockAhead)
		back := time.AfterFunc(clockFor, func() {
			r.clock.Store(0)
			s.log("the time of day at the machine of %s jumps back", r.id)
		})
		defer back.Stop()
	}
	time.Sleep(1800 * time.Millisecond)
	for began := time.Now(); only != "jump" && time.Since(began) < flapFor-flapPeriod/2; {
		s.log("%s goes down", r.id)
		r.down()
		time.Sleep(flapPeriod / 2)
		if err := r.up(); err != nil {
			return err
		}
		s.log("%s is up", r.id)
		time.Sleep(flapPeriod / 2)
	}
	time.Sleep(time.Until(start.Add(clockFor + time.Second)))
	return nil
}
