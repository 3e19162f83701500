package wire

// Lists of roles to register methods with.
var (
	// Daemons admits all processes of the fleet, but no operators' tools.
	Daemons = []Role{RoleEntry, RoleSide, RoleControl}
	// Controls admits only control hosts and store hosts.
	Controls = []Role{RoleControl}
	// Entries admits only entries.
	Entries = []Role{RoleEntry}
	// Sides admits only sides.
	Sides = []Role{RoleSide}
	// Operators admits operators' tools and the control hosts that forward their calls.
	Operators = []Role{RoleOperator, RoleControl}
)
