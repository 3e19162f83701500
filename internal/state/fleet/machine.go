// Package fleet holds the replicated configuration, the recent bundles that led to it, the evacuated zones, and the hosts that keep replicated state.
package fleet

import (
	"bytes"
	"io"
	"sync"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// keptBundles is how many recent bundles are kept, so that a process with an
	// older version gets only the changes.
	keptBundles = 1024
	// keptDigests is how many recent digests are kept, so that a bundle committed
	// again is recognised.
	keptDigests = 65536
)

// Command is one Raft log entry; exactly one field is set.
type Command struct {
	// Bundle changes or replaces the configuration.
	Bundle *rhubarbgate.Bundle
	// Host is added, or replaces the record with its ID.
	Host *HostRecord `msgpack:",omitempty"`
	// Drop is the ID of a host to remove.
	Drop uint64 `msgpack:",omitempty"`
	// Retire marks a store host as retiring.
	Retire *RetireHost `msgpack:",omitempty"`
	// First is stored unless there are initial store hosts already.
	First *InitialStoreHosts `msgpack:",omitempty"`
	// Evacuate evacuates or restores an availability zone.
	Evacuate *evacuation.Order `msgpack:",omitempty"`
}

// EvacuationResult is the result of a committed evacuation order.
type EvacuationResult struct {
	// Set is in force after the order.
	Set evacuation.Set
	// Changed is false if the order had been carried out before.
	Changed bool
}

// CommitResult is the result of a committed command.
type CommitResult struct {
	Err *rhubarbgate.Error
	// Repeated means that the same bundle had been committed earlier.
	Repeated bool
	// Overtaken means that a full configuration changed nothing, since its version
	// is not above the one in force.
	Overtaken bool
	// Version is the version in force after the command, or 0 if the command is
	// malformed.
	Version uint64
}

// Machine implements rhubarbgate.StateMachine.
type Machine struct {
	// Changed, if set, is called after each new version, also a restored one.
	Changed func(*config.Config)
	// EvacuationChanged, if set, is called after each change of the evacuated zones, also by a
	// restored snapshot.
	EvacuationChanged func(evacuation.Set)

	mu      sync.RWMutex
	state   state
	current *config.Config
}

// state is what a snapshot encodes.
type state struct {
	// Version, Digest and Section are up to date only in a snapshot; otherwise
	// Machine.current holds them.
	Version uint64
	Digest  []byte
	Section rhubarbgate.Section
	// Bundles are those that led to the version in force, the newest last.
	Bundles []rhubarbgate.Bundle
	Digests [][]byte // of the versions up to Version, the newest last
	// Document is the operator's text of the full configuration in force, or nil
	// if a later bundle changed it.
	Document []byte
	Hosts    []HostRecord
	First    *InitialStoreHosts
	// Evacuated is nil in the snapshots of earlier builds and until the first order.
	Evacuated *evacuation.Set `msgpack:",omitempty"`
}

var _ rhubarbgate.StateMachine = (*Machine)(nil)

// New returns a state machine with the empty configuration, version 0.
func New() *Machine { return &Machine{current: config.New()} }

// Apply implements rhubarbgate.StateMachine; its result is a *CommitResult, and an *EvacuationResult for
// an evacuation order.
func (m *Machine) Apply(_ uint64, data []byte) any {
	var c Command
	if err := wire.Unmarshal(data, &c); err != nil {
		return &CommitResult{Err: rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "%v", err)}
	}
	switch {
	case c.Bundle != nil:
		r, changed := m.commit(c.Bundle)
		if changed && m.Changed != nil {
			m.Changed(m.Current())
		}
		return r
	case c.Host != nil:
		return m.putHost(*c.Host)
	case c.Drop != 0:
		return m.removeHost(c.Drop)
	case c.Retire != nil:
		return m.retire(c.Retire)
	case c.First != nil:
		return m.setInitialStoreHosts(c.First)
	case c.Evacuate != nil:
		r := m.evacuate(*c.Evacuate)
		if r.Changed && m.EvacuationChanged != nil {
			m.EvacuationChanged(r.Set)
		}
		return r
	default:
		return &CommitResult{Err: rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "empty command")}
	}
}

func (m *Machine) commit(b *rhubarbgate.Bundle) (*CommitResult, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := config.CheckFinite(b); err != nil {
		return &CommitResult{Err: rhubarbgate.AsError(err), Version: m.current.Version}, false
	}
	if b.Version <= m.current.Version {
		if b.Whole {
			return m.staleFullResult(b), false
		}
		return m.staleDeltaResult(b), false
	}
	next, err := m.current.With(b)
	if err != nil {
		return &CommitResult{Err: rhubarbgate.AsError(err), Version: m.current.Version}, false
	}
	m.current = next
	if b.Whole {
		m.state.Bundles, m.state.Digests, m.state.Document = nil, [][]byte{next.Digest}, b.Document
		return &CommitResult{Version: next.Version}, true
	}
	m.state.Document = nil
	m.state.Bundles = keepLast(append(m.state.Bundles, *b), keptBundles)
	m.state.Digests = keepLast(append(m.state.Digests, next.Digest), keptDigests)
	return &CommitResult{Version: next.Version}, true
}

// staleFullResult returns the result for a full configuration that is not newer
// than the version in force.
func (m *Machine) staleFullResult(b *rhubarbgate.Bundle) *CommitResult {
	r := &CommitResult{Version: m.current.Version}
	r.Repeated = b.Version == m.current.Version && bytes.Equal(config.Digest(b), m.current.Digest)
	r.Overtaken = !r.Repeated
	return r
}

// staleDeltaResult returns the result for a bundle of changes whose version is not
// above the one in force. It is an error unless this same bundle was committed as
// that version.
func (m *Machine) staleDeltaResult(b *rhubarbgate.Bundle) *CommitResult {
	d := config.Digest(b)
	r := &CommitResult{Version: m.current.Version}
	i := len(m.state.Digests) - 1 - int(m.current.Version-b.Version)
	if b.Version > 0 && i >= 0 && bytes.Equal(m.state.Digests[i], d) {
		r.Repeated = true
		return r
	}
	committedDigest := "no longer known"
	if b.Version > 0 && i >= 0 {
		committedDigest = errors.Errorf("%x", m.state.Digests[i][:8]).Error()
	}
	r.Err = rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun,
		"version %d is already committed with digest %s, this bundle has %x; version %d is in force", b.Version, committedDigest, d[:8], m.current.Version)
	return r
}

// keepLast returns the last n elements of s, in a copy if s is longer, so that
// the memory of the others is freed.
func keepLast[T any](s []T, n int) []T {
	if len(s) <= n {
		return s
	}
	return append([]T(nil), s[len(s)-n:]...)
}

// Current returns the configuration in force.
func (m *Machine) Current() *config.Config {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current
}

// Since returns the bundles that lead from version to the one in force, or false
// if they are not all kept.
func (m *Machine) Since(version uint64) ([]rhubarbgate.Bundle, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n := m.current.Version - version
	if version > m.current.Version || n > uint64(len(m.state.Bundles)) {
		return nil, false
	}
	return append([]rhubarbgate.Bundle(nil), m.state.Bundles[uint64(len(m.state.Bundles))-n:]...), true
}

// Snapshot implements rhubarbgate.StateMachine.
func (m *Machine) Snapshot() rhubarbgate.SnapshotWriter {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := m.state
	return &snapshotWriter{state: s, config: m.current}
}

// snapshotWriter implements rhubarbgate.SnapshotWriter. It shares the slices of
// state with the machine, which only appends to them or replaces them.
type snapshotWriter struct {
	state  state
	config *config.Config
}

// WriteSnapshot implements rhubarbgate.SnapshotWriter.
func (w *snapshotWriter) WriteSnapshot(out io.Writer) error {
	s := w.state
	s.Version, s.Digest, s.Section = w.config.Version, w.config.Digest, w.config.Section()
	b, err := wire.Marshal(&s)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = out.Write(b)
	return errors.Trace(err)
}

// Release implements rhubarbgate.SnapshotWriter; there is nothing to release.
func (w *snapshotWriter) Release() {}

// Restore implements rhubarbgate.StateMachine.
func (m *Machine) Restore(r rhubarbgate.SnapshotReader) error {
	defer r.Close()
	b := make([]byte, r.Size())
	if _, err := r.ReadAt(b, 0); err != nil {
		return errors.Trace(err)
	}
	var s state
	if err := wire.Unmarshal(b, &s); err != nil {
		return errors.Trace(err)
	}
	c := config.FromSection(s.Version, s.Digest, s.Section)
	s.Section = rhubarbgate.Section{}
	m.mu.Lock()
	evacuationChanged := s.evacuated().Version != m.state.evacuated().Version
	m.state, m.current = s, c
	m.mu.Unlock()
	if evacuationChanged && m.EvacuationChanged != nil {
		m.EvacuationChanged(s.evacuated())
	}
	if m.Changed != nil {
		m.Changed(c)
	}
	return nil
}
