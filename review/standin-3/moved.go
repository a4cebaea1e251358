package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	// signaled is the number of machines of three that get a SIGHUP, and hupGap the pause between two. The
	// settings file of the third one changes without a signal.
	signaled = 2
	hupGap   = 2 * time.Second
	// oldAddressFor is how long the store is still reached at its old address after the last change.
	oldAddressFor = 3 * time.Second
)

// moved gives the store another address in the settings of all machines, two of which get a SIGHUP, and later closes
// the old one.
func moved(program, record string, trouble bool) (bool, error) {
	s, err := startSystem(program, record, 3, 2, 284)
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
		ordinary = append(ordinary, s.call(m, 50*time.Millisecond, key, droppedKey))
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := s.moveStore(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * contact)
	accepted := s.publish(5, otherService, false)
	s.log("the store has accepted version 5, which moves the route /look/ to %s and drops the key %s", otherService, droppedKey)
	time.Sleep(15 * time.Second)
	return s.handledByOlder(ordinary, accepted, accepted.Add(configApply)), nil
}

// moveStore changes the address of the store in the settings files, one machine after the other.
func (s *system) moveStore() error {
	next, err := startProxy(s.base+"3:0", s.store.address)
	if err != nil {
		return err
	}
	for i, m := range s.machines {
		if err := os.WriteFile(m.settings, []byte(m.settingsFile(next.address)), 0o600); err != nil {
			return err
		}
		if i < signaled {
			m.signal(syscall.SIGHUP)
		}
		s.log("%s: its settings file has changed, provider.address is %s in place of %s; SIGHUP: %t", m.name, next.address, s.proxy.address, i < signaled)
		time.Sleep(hupGap)
	}
	time.Sleep(oldAddressFor)
	s.proxy.close()
	s.log("the store is not reached at %s any more", s.proxy.address)
	return nil
}
