// Package fleet is the replicated state of the configuration: the version in force and the bundles that led to it.
package fleet

import (
	"bytes"
	"io"
	"sync"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// keptBundles is how many bundles are kept to serve deltas.
	keptBundles = 1024
	// keptDigests is how many digests are kept to recognise a repeated commit.
	keptDigests = 65536
)

// Command is one log entry; one field is set.
type Command struct {
	Bundle *rhubarbgate.Bundle
	Host   *HostRecord        `msgpack:",omitempty"`
	Drop   uint64             `msgpack:",omitempty"`
	Retire *RetireHost        `msgpack:",omitempty"`
	First  *InitialStoreHosts `msgpack:",omitempty"`
}

// CommitResult is the result of a bundle's commit.
type CommitResult struct {
	Err *rhubarbgate.Error
	// Repeated says that the bundle was committed before.
	Repeated bool
	// Overtaken says that the whole bundle changed nothing, since its version is
	// not above the one in force.
	Overtaken bool
	Version   uint64
}

// Machine implements rhubarbgate.StateMachine.
type Machine struct {
	// Changed is called, if set, after each new version.
	Changed func(*config.Config)

	mu      sync.RWMutex
	state   state
	current *config.Config
}

// state is what a snapshot holds.
type state struct {
	Version uint64
	Digest  []byte
	Section rhubarbgate.Section
	Bundles []rhubarbgate.Bundle
	Digests [][]byte // of the versions up to Version, the newest last
	// Document is that of the newest whole bundle.
	Document []byte
	Hosts    []HostRecord
	First    *InitialStoreHosts
}

var _ rhubarbgate.StateMachine = (*Machine)(nil)

// New returns a machine at version 0.
func New() *Machine { return &Machine{current: config.New()} }

// Apply implements rhubarbgate.StateMachine; its result is a *Committed.
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
		return m.dropHost(c.Drop)
	case c.Retire != nil:
		return m.retire(c.Retire)
	case c.First != nil:
		return m.begin(c.First)
	default:
		return &CommitResult{Err: rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "empty command")}
	}
}

func (m *Machine) commit(b *rhubarbgate.Bundle) (*CommitResult, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.Version <= m.current.Version {
		if b.Whole {
			return m.overtaken(b), false
		}
		return m.repeated(b), false
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
	m.state.Bundles = keep(append(m.state.Bundles, *b), keptBundles)
	m.state.Digests = keep(append(m.state.Digests, next.Digest), keptDigests)
	return &CommitResult{Version: next.Version}, true
}

// overtaken answers a whole bundle that is not newer than the version in force.
func (m *Machine) overtaken(b *rhubarbgate.Bundle) *CommitResult {
	r := &CommitResult{Version: m.current.Version}
	r.Repeated = b.Version == m.current.Version && bytes.Equal(config.Digest(b), m.current.Digest)
	r.Overtaken = !r.Repeated
	return r
}

// repeated answers a bundle whose version is taken: by itself or by another.
func (m *Machine) repeated(b *rhubarbgate.Bundle) *CommitResult {
	d := config.Digest(b)
	r := &CommitResult{Version: m.current.Version}
	i := len(m.state.Digests) - 1 - int(m.current.Version-b.Version)
	if b.Version > 0 && i >= 0 && bytes.Equal(m.state.Digests[i], d) {
		r.Repeated = true
		return r
	}
	winner := "no longer known"
	if b.Version > 0 && i >= 0 {
		winner = errors.Errorf("%x", m.state.Digests[i][:8]).Error()
	}
	r.Err = rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun,
		"version %d is already committed with digest %s, this bundle has %x; version %d is in force", b.Version, winner, d[:8], m.current.Version)
	return r
}

func keep[T any](s []T, n int) []T {
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

// Since returns the bundles behind version, or false if they are no longer kept.
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
	return &writer{state: s, config: m.current}
}

type writer struct {
	state  state
	config *config.Config
}

func (w *writer) WriteSnapshot(out io.Writer) error {
	s := w.state
	s.Version, s.Digest, s.Section = w.config.Version, w.config.Digest, w.config.Section()
	b, err := wire.Marshal(&s)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = out.Write(b)
	return errors.Trace(err)
}

func (w *writer) Release() {}

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
	m.state, m.current = s, c
	m.mu.Unlock()
	if m.Changed != nil {
		m.Changed(c)
	}
	return nil
}
