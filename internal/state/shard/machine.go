// Package shard is the replicated state of one job group: its jobs, claims and service-level counts.
package shard

import (
	"encoding/binary"
	"io"
	"sync/atomic"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
	"rhubarbgate.example/rhubarbgate/internal/state/claims"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

// Command is one log entry; one field is set.
type Command struct {
	Jobs   *jobs.Command
	Claims *claims.Command
	Burn   *burn.Command
	// Settled is the term of a leader that has seen all grants of earlier leaders
	// run out.
	Settled uint64 `msgpack:",omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	Jobs   *jobs.Result
	Claims *claims.Result
}

// Machine implements rhubarbgate.StateMachine.
type Machine struct {
	Jobs   *jobs.Machine
	Claims *claims.State
	Burn   *burn.State

	settled atomic.Uint64
}

var _ rhubarbgate.StateMachine = (*Machine)(nil)

// New returns an empty machine that keeps payloads in s.
func New(s *disk.Spill) *Machine {
	return &Machine{Jobs: jobs.New(s), Claims: claims.New(), Burn: burn.New()}
}

// Apply implements rhubarbgate.StateMachine; its result is a *Result.
func (m *Machine) Apply(_ uint64, data []byte) any {
	var c Command
	if err := wire.Unmarshal(data, &c); err != nil {
		return &Result{Jobs: &jobs.Result{Err: rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "%v", err)}}
	}
	switch {
	case c.Jobs != nil:
		return &Result{Jobs: m.Jobs.Apply(c.Jobs)}
	case c.Claims != nil:
		return &Result{Claims: m.Claims.Apply(c.Claims)}
	case c.Burn != nil:
		m.Burn.Apply(c.Burn)
	case c.Settled > 0:
		m.settled.Store(max(m.settled.Load(), c.Settled))
	}
	return &Result{}
}

// Settled returns the newest term whose leader had seen all grants of earlier
// leaders run out.
func (m *Machine) Settled() uint64 { return m.settled.Load() }

// preamble is the part of a snapshot before the jobs.
type preamble struct {
	Claims  []claims.Entry
	Burn    burn.Image
	Settled uint64
}

type writer struct {
	preamble preamble
	jobs     *jobs.SnapshotWriter
}

// Snapshot implements rhubarbgate.StateMachine.
func (m *Machine) Snapshot() rhubarbgate.SnapshotWriter {
	return &writer{
		preamble: preamble{Claims: m.Claims.Entries(), Burn: m.Burn.Image(), Settled: m.Settled()},
		jobs:     m.Jobs.Snapshot(),
	}
}

// preambleHeaderBytes is the size of the preamble's length.
const preambleHeaderBytes = 8

func (w *writer) WriteSnapshot(out io.Writer) error {
	b, err := wire.Marshal(&w.preamble)
	if err != nil {
		return errors.Trace(err)
	}
	if err := binary.Write(out, binary.LittleEndian, uint64(len(b))); err != nil {
		return errors.Trace(err)
	}
	if _, err := out.Write(b); err != nil {
		return errors.Trace(err)
	}
	return w.jobs.WriteSnapshot(out)
}

func (w *writer) Release() { w.jobs.Release() }

// Restore implements rhubarbgate.StateMachine. The reader is not closed here:
// the payloads of the restored jobs stay in it.
func (m *Machine) Restore(r rhubarbgate.SnapshotReader) error {
	var h [preambleHeaderBytes]byte
	if _, err := r.ReadAt(h[:], 0); err != nil {
		return errors.Trace(err)
	}
	n := binary.LittleEndian.Uint64(h[:])
	if n > uint64(r.Size()-preambleHeaderBytes) {
		return errors.NotValidf("preamble of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err := r.ReadAt(b, preambleHeaderBytes); err != nil {
		return errors.Trace(err)
	}
	var p preamble
	if err := wire.Unmarshal(b, &p); err != nil {
		return errors.Trace(err)
	}
	if err := m.Jobs.Restore(r, preambleHeaderBytes+int64(n)); err != nil {
		return errors.Trace(err)
	}
	m.Claims.Restore(p.Claims)
	m.Burn.Restore(p.Burn)
	m.settled.Store(p.Settled)
	return nil
}
