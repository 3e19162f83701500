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
	// ControlHost replicates the configuration.
	ControlHost HostKind = iota
	// StoreHost replicates batch jobs.
	StoreHost
)

// HostRecord is a host that keeps replicated state. The ID is drawn with the data
// folder, so a host that lost its disk comes back under another one.
type HostRecord struct {
	Kind             HostKind
	Name             string
	Member           raft.Member
	AvailabilityZone string
	// Retiring hosts give their replicas away.
	Retiring bool `msgpack:",omitempty"`
}

// Address returns where the host's replicas are reached.
func (h *HostRecord) Address() netip.AddrPort { return h.Member.Address }

// RetireHost asks that a store host gives its replicas away.
type RetireHost struct {
	Name string
	// Least is how many store hosts must remain.
	Least int
}

// InitialStoreHosts is the membership that the job groups begin with.
type InitialStoreHosts struct {
	Hosts  []HostRecord
	Groups int
}

// putHost adds or replaces a host. Another host at the same address is gone.
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

// dropHost forgets a host.
func (m *Machine) dropHost(id uint64) *CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Hosts = slices.DeleteFunc(slices.Clone(m.state.Hosts), func(x HostRecord) bool { return x.Member.ID == id })
	return &CommitResult{Version: m.current.Version}
}

// retire marks a store host. A repeated order changes nothing.
func (m *Machine) retire(r *RetireHost) *CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &CommitResult{Version: m.current.Version}
	at, staying := -1, 0
	for i, x := range m.state.Hosts {
		switch {
		case x.Kind != StoreHost:
		case x.Name == r.Name:
			at = i
		case !x.Retiring:
			staying++
		}
	}
	switch {
	case at < 0:
		c.Err = rhubarbgate.Errorf(rhubarbgate.CodeNotFound, rhubarbgate.NotRun, "no store host %q", r.Name)
	case m.state.Hosts[at].Retiring:
	case staying < r.Least:
		c.Err = rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun, "without store host %q only %d would remain, %d are needed", r.Name, staying, r.Least)
	default:
		m.state.Hosts = slices.Clone(m.state.Hosts)
		m.state.Hosts[at].Retiring = true
	}
	return c
}

// begin sets the first membership of the job groups, once.
func (m *Machine) begin(f *InitialStoreHosts) *CommitResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.First == nil {
		m.state.First = f
	}
	return &CommitResult{Version: m.current.Version}
}

// Hosts returns the known hosts, ordered by ID.
func (m *Machine) Hosts() []HostRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Hosts
}

// First returns the first membership of the job groups, or nil if there is none yet.
func (m *Machine) First() *InitialStoreHosts {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.First
}

// Document returns the configuration in force as its operator sent it.
func (m *Machine) Document() (version uint64, document []byte) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current.Version, m.state.Document
}
