// Package routing decides where a request may go: the operator's configuration,
// its order of versions, and the look-up of routes and API keys.
package routing

import (
	"time"

	"masticbank.example/core/pipeline"
)

// Kind tells what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming answers are series of events; such a request runs at most once
	// unless the route is resumable.
	Streaming
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	case NonIdempotent:
		return "non_idempotent"
	}
	return "unknown"
}

// Target is a service that a route sends a share of its requests to.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight float64
}

// Route tells what is done with the requests of a host below a path.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting; 0 means no limit.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// for full credit.
	Objective time.Duration
	// GapObjective is the longest pause between two events for full credit.
	GapObjective time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the number of replicas that one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another replica after the last event.
	Resumable bool
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes the place of the route's priority if it is set.
	Priority *int
}

// Service is a set of replicas behind one name.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one replica accepts from
	// all instances together.
	MaxConnections int
	// Slots is the number of requests that a model replica runs at once.
	Slots int
	// Model is set for services whose replicas hold layers of a model.
	Model *pipeline.Model
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It is not changed
// after it was decoded.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
