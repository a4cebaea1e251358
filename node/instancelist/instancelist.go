// Package instancelist reads the platform's list of instances. The list may be
// outdated, so every copy is returned with its age.
package instancelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"masticbank.example/node/bounded"
	"masticbank.example/node/statusline"
	"masticbank.example/node/wire"
)

// MaxListBytes is the maximum size of the list in JSON.
const MaxListBytes = 16 << 20

// Lister reads the platform's list. Implementations are safe for concurrent use.
type Lister interface {
	// List returns the instances of all roles, leaving ones included.
	List(ctx context.Context) ([]wire.Instance, error)
}

// HTTP reads the list from the platform's HTTP endpoint wire.PathInstances. It is safe
// for concurrent use.
type HTTP struct {
	client *http.Client
	url    string
}

var _ Lister = (*HTTP)(nil)

// NewHTTP returns a lister for the platform at baseURL, such as
// "http://10.0.0.1:9000". A nil client means bounded.DefaultClient.
func NewHTTP(baseURL string, client *http.Client) (*HTTP, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, trace.BadParameter("platform address %q is not an http URL", baseURL)
	}
	if client == nil {
		client = bounded.DefaultClient
	}
	return &HTTP{client: client, url: u.JoinPath(wire.PathInstances).String()}, nil
}

// List implements Lister. Entries without an ID or with fields of another type are omitted,
// and entries with the same ID are merged.
func (h *HTTP) List(ctx context.Context) ([]wire.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "list instances")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusline.CheckFinal(resp, h.client); err != nil {
		return nil, trace.ConnectionProblem(err, "list instances")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "list instances: status %d", resp.StatusCode)
	}
	return decode(resp.Body)
}

func decode(r io.Reader) ([]wire.Instance, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxListBytes+1))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "read instance list")
	}
	if len(body) > MaxListBytes {
		return nil, trace.LimitExceeded("instance list exceeds %d bytes", MaxListBytes)
	}
	// The entries, those of wire.InstanceList, are decoded one by one: an odd one is omitted.
	var list struct {
		Instances *[]json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, trace.BadParameter("instance list: %v", err)
	}
	if list.Instances == nil {
		return nil, trace.BadParameter("instance list: the instances are missing or null")
	}
	instances := make([]wire.Instance, 0, len(*list.Instances))
	for _, raw := range *list.Instances {
		var instance wire.Instance
		if json.Unmarshal(raw, &instance) == nil && statesLayers(&instance, raw) {
			instances = append(instances, instance)
		}
	}
	return merge(instances), nil
}

// statesLayers reports whether an entry states both ends of the layers that an engine of a
// model holds. A missing one would stand for the first layer.
func statesLayers(instance *wire.Instance, raw json.RawMessage) bool {
	if instance.Role != wire.RoleEngine || instance.Model == "" {
		return true
	}
	var layers struct {
		First *int `json:"first_layer"`
		Last  *int `json:"last_layer"`
	}
	return json.Unmarshal(raw, &layers) == nil && layers.First != nil && layers.Last != nil
}

// merge removes entries without an ID and merges entries with the same ID: the last one
// is used, and it is leaving if any of them is.
func merge(instances []wire.Instance) []wire.Instance {
	index := make(map[string]int, len(instances))
	merged := make([]wire.Instance, 0, len(instances))
	for _, instance := range instances {
		if instance.ID == "" {
			continue
		}
		at, known := index[instance.ID]
		if !known {
			index[instance.ID] = len(merged)
			merged = append(merged, instance)
			continue
		}
		instance.Leaving = instance.Leaving || merged[at].Leaving
		merged[at] = instance
	}
	return merged
}
