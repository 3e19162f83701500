package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=HostKind -output=hostkind_string.go

// HostKind is the role of a host that keeps replicated state.
type HostKind uint8

const (
	// ControlHost replicates the configuration and the list of these hosts.
	ControlHost HostKind = iota
	// StoreHost replicates batch jobs, idempotency keys and service-level counts.
	StoreHost
)

// HostRecord is a host that keeps replicated state. Its ID is generated with its
// data folder, so a host that lost its disk registers with another ID.
type HostRecord struct {
	Kind             HostKind
	Name             string
	Member           raft.Member
	AvailabilityZone string
	// Retiring means that the host's replicas are to be moved to other hosts.
	Retiring bool `msgpack:",omitempty"`
}

// Address returns the address at which the host's replicas are reached.
func (h *HostRecord) Address() netip.AddrPort { return h.Member.Address }

// RetireHost marks a store host, so that its replicas are moved to other hosts.
type RetireHost struct {
	Name string
	// Least is the number of other store hosts, not retiring ones, that must
	// remain; with fewer the command is refused.
	Least int
}

// InitialStoreHosts are the hosts from which the first members of each of the
// job groups are chosen.
type InitialStoreHosts struct {
	Hosts []HostRecord
	// Groups is the number of job groups.
	Groups int
}

// putHost adds a host, or replaces the record with its ID; a host that was
// retiring stays so. Another host of the same kind at the same address is removed,
// since its process no longer runs there.
func (m *Machine) putHost(h HostRecord) *CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(m.state.Hosts), func(x HostRecord) bool {
		if x.Member.ID == h.Member.ID {
			h.Retiring = h.Retiring || x.Retiring
		}
		return x.Member.ID == h.Member.ID || x.Kind == h.Kind && x.Address() == h.Address()
	})
	list = append(list, h)
	slices.SortFunc(list, func(a, b HostRecord) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	m.state.Hosts = list
	return &CommitResult{Version: m.current.Version}
}

// removeHost removes the host with the ID.
func (m *Machine) removeHost(id uint64) *CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Hosts = slices.DeleteFunc(slices.Clone(m.state.Hosts), func(x HostRecord) bool { return x.Member.ID == id })
	return &CommitResult{Version: m.current.Version}
}

// retire marks a store host as retiring. A repeated command changes nothing.
func (m *Machine) retire(r *RetireHost) *CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &CommitResult{Version: m.current.Version}
	index, remaining := -1, 0
	for i, x := range m.state.Hosts {
		switch {
		case x.Kind != StoreHost:
		case x.Name == r.Name:
			index = i
		case !x.Retiring:
			remaining++
		}
	}
	switch {
	case index < 0:
		c.Err = rhubarbgate.Errorf(rhubarbgate.CodeNotFound, rhubarbgate.NotRun, "no store host %q", r.Name)
	case m.state.Hosts[index].Retiring:
	case remaining < r.Least:
		c.Err = rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun, "without store host %q only %d would remain, %d are needed", r.Name, remaining, r.Least)
	default:
		m.state.Hosts = slices.Clone(m.state.Hosts)
		m.state.Hosts[index].Retiring = true
	}
	return c
}

// setInitialStoreHosts stores f unless initial store hosts are already stored, so
// that all store hosts choose the initial members from the same list.
func (m *Machine) setInitialStoreHosts(f *InitialStoreHosts) *CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.First == nil {
		m.state.First = f
	}
	return &CommitResult{Version: m.current.Version}
}

// Hosts returns the registered hosts, ordered by ID. The slice must not be changed.
func (m *Machine) Hosts() []HostRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Hosts
}

// First returns the initial store hosts, or nil if there are none yet.
func (m *Machine) First() *InitialStoreHosts {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.First
}

// Document returns the version in force and its document as the operator sent it.
// The document is nil if the version was made by a bundle of changes.
func (m *Machine) Document() (version uint64, document []byte) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current.Version, m.state.Document
}
