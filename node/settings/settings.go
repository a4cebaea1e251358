// Package settings loads the settings of one process from an INI file. Settings are
// read once at startup. What operators change at run time is the configuration, see
// package config.
package settings

import (
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"masticbank.example/node/inifile"
)

// Settings holds the settings of one entry instance.
type Settings struct {
	Instance Instance
	Listen   Listen
	Platform Platform
	Peers    Peers
	Admin    Admin
	Log      Log
	Limits   Limits
	Policy   Policy
}

// Instance identifies the entry instance and its location.
type Instance struct {
	ID     string
	Zone   string
	Region string
}

// Listen holds the addresses on which the process listens, as IP:port. Without an
// address for Peers, the instance has no connections to other entry instances.
type Listen struct {
	Clients string
	Admin   string
	Peers   string
}

// Platform holds the base URLs of the platform's services and how they are used.
type Platform struct {
	InstanceList   string
	InstancePeriod time.Duration
	Log            string
	ConfigStream   string
	OrderStream    string
	LeaseStream    string
	LogRetention   time.Duration
	LoadModels     bool
	MaxLoads       int
}

// Peers holds the settings of the protocol between entry instances.
type Peers struct {
	Key          string
	DigestPeriod time.Duration
}

// Admin holds the settings of the administration API.
type Admin struct {
	Key string
}

// Log holds the settings of the process's own log output.
type Log struct {
	Level string
}

// Limits holds limits on requests, connections and the duration of the shutdown.
type Limits struct {
	MaxBodyBytes     int
	MaxBufferedBytes int
	MaxRequests      int
	MaxConnections   int
	IdleTimeout      time.Duration
	ShutdownTimeout  time.Duration
	UnreadyDelay     time.Duration
}

// Policy selects the algorithms of routing and admission. Values other than the
// defaults exist for comparison in measurements.
type Policy struct {
	Route     string
	Admission string
}

// Load loads and validates the settings file at path. The error is an
// *inifile.Error.
func Load(path string) (*Settings, error) {
	f, err := inifile.Parse(path, path)
	if err != nil {
		return nil, err
	}
	return parse(path, f)
}

// Parse parses and validates settings from memory. The error is an *inifile.Error
// whose File is name.
func Parse(name string, data []byte) (*Settings, error) {
	f, err := inifile.Parse(name, data)
	if err != nil {
		return nil, err
	}
	return parse(name, f)
}

func parse(name string, f *ini.File) (*Settings, error) {
	if err := rejectUnknown(name, f); err != nil {
		return nil, err
	}
	s := &Settings{}
	for _, field := range settingSpecs {
		if err := field.load(name, f, s); err != nil {
			return nil, err
		}
	}
	if err := s.checkListeners(name); err != nil {
		return nil, err
	}
	return s, nil
}

// rejectUnknown returns an error if f has a section or key that no setting has.
func rejectUnknown(name string, f *ini.File) error {
	known := map[string]bool{}
	sections := map[string]bool{}
	for _, field := range settingSpecs {
		known[field.section+"\x00"+field.key] = true
		sections[field.section] = true
	}
	for _, sec := range f.Sections() {
		for _, key := range sec.Keys() {
			if !sections[sec.Name()] {
				return &inifile.Error{File: name, Section: sec.Name(), Key: key.Name(), Reason: "unknown section"}
			}
			if !known[sec.Name()+"\x00"+key.Name()] {
				return &inifile.Error{File: name, Section: sec.Name(), Key: key.Name(), Reason: "unknown key"}
			}
		}
	}
	return nil
}

// checkListeners checks that the listening addresses differ and that a listener for
// peers has a shared key.
func (s *Settings) checkListeners(name string) error {
	seen := map[string]string{}
	for _, l := range []struct{ key, address string }{
		{"callers", s.Listen.Clients},
		{"admin", s.Listen.Admin},
		{"peers", s.Listen.Peers},
	} {
		// Port 0 selects a free port, so equal addresses do not collide.
		if l.address == "" || strings.HasSuffix(l.address, ":0") {
			continue
		}
		if other, ok := seen[l.address]; ok {
			return &inifile.Error{File: name, Section: "listen", Key: l.key, Reason: fmt.Sprintf("address %s is already used by key %q", l.address, other)}
		}
		seen[l.address] = l.key
	}
	if s.Listen.Peers != "" && len(s.Peers.Key) < minKeyBytes {
		return &inifile.Error{File: name, Section: "peers", Key: "key", Reason: fmt.Sprintf("must have at least %d characters when listen.peers is set", minKeyBytes)}
	}
	return nil
}
