// Package settings reads the settings of one process from an INI file. The
// settings are fixed while the process runs; what operators change at run time
// is configuration, which package config reads.
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

// Instance identifies the process.
type Instance struct {
	ID     string
	Zone   string
	Region string
}

// Listen holds the addresses the process listens on, as IP:port.
type Listen struct {
	Callers string
	Admin   string
	Peers   string
}

// Platform holds the base URLs of the platform's services.
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

// Limits bounds what the process accepts.
type Limits struct {
	MaxBodyBytes    int
	MaxRequests     int
	MaxConnections  int
	IdleTimeout     time.Duration
	ShutdownTimeout time.Duration
	UnreadyDelay    time.Duration
}

// Policy selects the decision rules; values other than the defaults serve
// measurement.
type Policy struct {
	Route     string
	Admission string
}

// Load reads and checks the settings file at path. The error is an
// *inifile.Error.
func Load(path string) (*Settings, error) {
	f, err := inifile.Parse(path, path)
	if err != nil {
		return nil, err
	}
	return parse(path, f)
}

// Parse reads and checks settings from memory. The error is an *inifile.Error
// that names the source as name.
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
	for _, field := range fields {
		if err := field.read(name, f, s); err != nil {
			return nil, err
		}
	}
	if err := s.checkListeners(name); err != nil {
		return nil, err
	}
	return s, nil
}

func rejectUnknown(name string, f *ini.File) error {
	known := map[string]bool{}
	sections := map[string]bool{}
	for _, field := range fields {
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

func (s *Settings) checkListeners(name string) error {
	seen := map[string]string{}
	for _, l := range []struct{ key, address string }{
		{"callers", s.Listen.Callers},
		{"admin", s.Listen.Admin},
		{"peers", s.Listen.Peers},
	} {
		// Port 0 takes a free port each time.
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
