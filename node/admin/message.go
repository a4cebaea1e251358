package admin

import "masticbank.example/core/config"

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error string `json:"error"`
}

// Readiness is the response of /readyz.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// LogLevel is the request and response body of /admin/v1/log-level.
type LogLevel struct {
	Level string `json:"level"`
}

// Status is the response of /admin/v1/status.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"revision"`
	InFlight int    `json:"in_flight"`
	// Blocked is the number of different requests that are refused because they crash
	// upstreams, at most poison.MaxShared.
	Blocked int          `json:"blocked_requests"`
	Pools   []PoolStatus `json:"pools"`
	Peers   []PeerStatus `json:"peers"`
	// LogReason is why the log cannot be followed; it is empty while it can be.
	LogReason string `json:"log_reason,omitempty"`
}

// PeerStatus describes the session with one other entry instance.
type PeerStatus struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	Connected     bool   `json:"connected"`
	State         string `json:"state"`
	Revision      uint64 `json:"revision"`
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
}

// Config is the active configuration.
type Config struct {
	Revision uint64         `json:"revision"`
	Config   *config.Config `json:"config"`
}

// PublishRequest is the body of a request that proposes a configuration.
type PublishRequest struct {
	// Author is shown to operators whose proposal is rejected because this one was
	// accepted first.
	Author string `json:"author"`
	// Base is the revision that the proposal replaces.
	Base   uint64         `json:"base"`
	Config *config.Config `json:"config"`
}

// PublishResponse is the response to an accepted proposal.
type PublishResponse struct {
	Revision uint64 `json:"revision"`
}

// PublishConflict is the response to a proposal that was rejected because another one
// for the same base revision was accepted first. Winner is the author of that one.
type PublishConflict struct {
	Error    string `json:"error"`
	Revision uint64 `json:"revision"`
	Winner   string `json:"winner"`
}

// DrainRequest is the request body of /admin/v1/drain.
type DrainRequest struct {
	Upstream string `json:"upstream"`
}

// DrainResponse is the response body of /admin/v1/drain.
type DrainResponse struct {
	// Instances is the number of instances that were sent the request, this one
	// included.
	Instances int `json:"instances"`
}

// PoolStatus describes the queue and the replicas of one model or service.
type PoolStatus struct {
	Name      string           `json:"name"`
	Kind      string           `json:"kind"`
	Slots     int              `json:"slots"`
	InFlight  int              `json:"in_flight"`
	Queued    int              `json:"queued"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus describes one upstream.
type UpstreamStatus struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Layers   string `json:"layers,omitempty"`
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
}
