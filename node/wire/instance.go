package wire

// PathInstances answers an InstanceList.
const PathInstances = "/v1/instances"

// Roles of an instance.
const (
	// RoleEngine is a model engine.
	RoleEngine = "engine"
	// RoleService is a plain service.
	RoleService = "service"
	// RoleEntry is an instance of the router.
	RoleEntry = "entry"
)

// InstanceList is the platform's list; it may lag behind the truth.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Instance is one entry of the platform's list.
type Instance struct {
	ID string `json:"id"`
	// Role is RoleEngine, RoleService or RoleEntry.
	Role string `json:"role"`
	// Address is host:port. For RoleEntry it is the peer address.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Leaving is true when the instance is to get no new work.
	Leaving bool `json:"leaving"`
	// Model and the layers are set for RoleEngine.
	Model      string `json:"model,omitempty"`
	Version    string `json:"version,omitempty"`
	FirstLayer int    `json:"first_layer"`
	LastLayer  int    `json:"last_layer"`
	// Accelerator is the kind of accelerator of an engine.
	Accelerator string `json:"accelerator,omitempty"`
	// Service is set for RoleService.
	Service string `json:"service,omitempty"`
}
