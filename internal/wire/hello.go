package wire

import "github.com/medlarswitch/medlarswitch/internal/topology"

// Role is the type of the process at one end of a connection.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleRelay Role = "relay"
	RoleAgent Role = "agent"
	RoleAdmin Role = "admin"
	RoleNode  Role = "node"
)

// Hello is the first message in each direction of a connection.
type Hello struct {
	VM   topology.VMID   `msgpack:"v"`
	Boot topology.BootID `msgpack:"b"`
	Zone topology.Zone   `msgpack:"z"`
	Role Role            `msgpack:"r"`
}
