package wire

// Sets of roles that methods admit.
var (
	// Daemons are all processes of the fleet.
	Daemons = []Role{RoleEntry, RoleSide, RoleControl}
	// Controls are control processes only.
	Controls = []Role{RoleControl}
	// Entries are entry processes only.
	Entries = []Role{RoleEntry}
	// Sides are side processes only.
	Sides = []Role{RoleSide}
	// Operators are operators' tools and the control processes that relay them.
	Operators = []Role{RoleOperator, RoleControl}
)
