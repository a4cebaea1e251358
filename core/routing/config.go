// Package routing holds the operator's configuration of routes, services and
// workspaces, and the lookup of routes and API keys in it.
package routing

import (
	"time"

	"masticbank.example/core/pipeline"
)

// Kind is the kind of a route; it decides whether requests may run more than
// once.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming responses are series of events. A streaming request runs at
	// most once unless the route is resumable.
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

// Target is a service to which a route sends a share of its requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route is the rule for requests to a host whose path has a given prefix.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time until the client gets a response; 0 means no
	// limit.
	Timeout time.Duration
	// LatencyObjective is the longest time to the response, or to the first
	// event of a stream, that still gets full credit.
	LatencyObjective time.Duration
	// EventGapObjective is the longest time between two events of a stream that
	// still gets full credit.
	EventGapObjective time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of replicas that one request may be
	// sent to.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue on another replica after the last event
	// sent.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Workspace is a named set of API keys whose requests are accounted for
// together.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is set.
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
	// Model is set if the replicas of the service hold layers of a model.
	Model *pipeline.Model
}

// Limits bounds what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration. It is immutable after
// decoding.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Anonymous lets requests without an API key use all routes. Otherwise routes that
	// are not public require the key of a workspace, also while there is no workspace.
	Anonymous bool
	Limits    Limits
}
