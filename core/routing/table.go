package routing

import (
	"sort"
	"strings"
)

// Table answers look-ups in one version of the configuration. It is safe for
// concurrent use, as it is not changed after NewTable.
type Table struct {
	config   *Config
	hosts    map[string][]*Route // longest prefix first
	keys     map[string]*Workspace
	services map[string]*Service
}

// NewTable indexes a configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		config:   c,
		hosts:    map[string][]*Route{},
		keys:     map[string]*Workspace{},
		services: map[string]*Service{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.keys[key] = &c.Workspaces[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the bounds for callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// NeedsKeys tells whether requests on routes that are not public carry a key.
func (t *Table) NeedsKeys() bool { return len(t.config.Workspaces) > 0 }

// Services returns all services.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that holds the key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Route returns the route of the host with the longest prefix of the path, or
// nil. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[hostOnly(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Pick returns the service for a draw from 0 to 1, by the weights of the
// targets, or "" if the route has none.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	left := draw * total
	for _, t := range r.Targets {
		left -= t.Weight
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
