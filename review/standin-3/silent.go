package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// configApply is configApplyMs, contact contactMs.
	configApply, contact = 2 * time.Second, 3 * time.Second
	// beforeTraffic is the time from the start of the machines to that of the traffic.
	beforeTraffic = 10 * time.Second
	otherService  = "socios-2"
)

// silent lets the open connections on which the machines wait for a configuration go silent, shortly
// before a version moves a route to another service.
func silent(program, record string, trouble bool) (bool, error) {
	s, err := startSystem(program, record, 8, 2, 284)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	for i := range 2 {
		if err := s.addReplica(fmt.Sprintf("i-b4158f%02x", i), otherService, 110+i); err != nil {
			return false, err
		}
	}
	time.Sleep(beforeTraffic - time.Since(s.start))
	var ordinary []*callers
	for _, m := range s.machines {
		ordinary = append(ordinary, s.call(m, 60*time.Millisecond, key, droppedKey))
	}
	s.publish(4, service, true)
	time.Sleep(2 * time.Second)
	silentAt, err := s.silencePolls(trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	accepted := s.publish(5, otherService, false)
	s.log("the store has accepted version 5, which moves the route /look/ to %s and drops the key %s", otherService, droppedKey)
	time.Sleep(8 * time.Second)
	inTouch := silentAt.Add(contact)
	bound := later(accepted.Add(configApply), inTouch)
	s.log("the machines are in touch again %v after their connections went silent, %.0f ms after the acknowledgement", contact, inTouch.Sub(accepted).Seconds()*1000)
	return s.handledByOlder(ordinary, accepted, bound), nil
}

// handledByOlder reports whether requests that were sent after the bound were handled as only a version
// before 5 allows, and records them. It ends the callers.
func (s *system) handledByOlder(ordinary []*callers, accepted, bound time.Time) bool {
	sent := map[string]answer{}
	for i, m := range s.machines {
		s.log("%s: requests by status (0: no answer): %v", m.name, ordinary[i].end())
		for _, a := range ordinary[i].list {
			sent[a.id] = a
		}
	}
	moved, dropped, last := 0, 0, time.Time{}
	for _, r := range s.replicas {
		for _, a := range r.arrived() {
			request, ok := sent[a.id]
			if !ok || !request.sent.After(bound) {
				continue
			}
			reason := ""
			switch {
			case request.key == droppedKey:
				dropped++
				reason = "with the dropped key"
			case a.path == "/look/1" && r.service == service:
				moved++
				reason = "though its route leads to " + otherService
			default:
				continue
			}
			last = later(last, request.sent)
			s.log("%s %s, sent %.0f ms after the acknowledgement, is run by %s of %s %s",
				a.path, a.id, request.sent.Sub(accepted).Seconds()*1000, r.id, r.service, reason)
		}
	}
	text := fmt.Sprintf("of the requests sent later than %v after the acknowledgement, to machines in touch, %d were run by the old service and %d with the dropped key", configApply, moved, dropped)
	if moved+dropped > 0 {
		text += fmt.Sprintf(", the last one sent %.0f ms after it", last.Sub(accepted).Seconds()*1000)
	}
	s.log("%s", text)
	fmt.Println(text)
	return moved+dropped > 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// silencePolls lets the connections on which all machines wait for a configuration go silent, soon after
// they have begun to wait, and returns the time. Without trouble it only waits for that moment. With
// TROUBLE=all all open connections to the store go silent.
func (s *system) silencePolls(trouble bool) (time.Time, error) {
	for start := time.Now(); time.Since(start) < startTimeout; time.Sleep(5 * time.Millisecond) {
		list, longest := s.proxy.waitingPolls()
		if len(list) != len(s.machines) || longest > 400*time.Millisecond {
			continue
		}
		if os.Getenv("TROUBLE") == "all" {
			list = s.proxy.all()
		}
		for _, c := range list {
			if trouble {
				c.silence()
			}
		}
		if trouble {
			s.log("%d open connections to the store go silent; the machines wait on them for a configuration since %v at most", len(list), longest)
		}
		return time.Now(), nil
	}
	return time.Time{}, fmt.Errorf("the machines do not wait for a configuration at the same time")
}
