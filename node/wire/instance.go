package wire

// PathInstances returns an InstanceList.
const PathInstances = "/v1/instances"

// Roles of an instance.
const (
	// RoleEngine is a model engine.
	RoleEngine = "engine"
	// RoleService is a plain service.
	RoleService = "service"
	// RoleRouter is an instance of the router.
	RoleRouter = "entry"
)

// InstanceList is the platform's list of instances. It may be out of date.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Instance is one entry of the platform's list.
type Instance struct {
	ID string `json:"id"`
	// Role is RoleEngine, RoleService or RoleRouter.
	Role string `json:"role"`
	// Address is host:port. For RoleRouter it is the address for peers.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Leaving is true if the instance must get no new work.
	Leaving bool `json:"leaving"`
	// Model, Version and the layers are set for RoleEngine.
	Model      string `json:"model,omitempty"`
	Version    string `json:"version,omitempty"`
	FirstLayer int    `json:"first_layer"`
	LastLayer  int    `json:"last_layer"`
	// Accelerator is the accelerator type of an engine.
	Accelerator string `json:"accelerator,omitempty"`
	// Service is set for RoleService.
	Service string `json:"service,omitempty"`
}
