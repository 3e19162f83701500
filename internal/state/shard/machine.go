// Package shard holds the replicated state of one job group: its batch jobs, claims of idempotency keys and service-level counts.
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

// Command is one command of the replicated log. Exactly one field is set.
type Command struct {
	Jobs   *jobs.Command
	Claims *claims.Command
	Burn   *burn.Command
	// Settled is a term whose leader reports that all rate-limit grants of earlier
	// leaders have expired.
	Settled uint64 `msgpack:",omitempty"`
}

// Result is the result of a command for jobs or claims; other commands set neither
// field. Jobs also reports a command that cannot be decoded.
type Result struct {
	Jobs   *jobs.Result
	Claims *claims.Result
}

// Machine is the state of one job group. It implements rhubarbgate.StateMachine.
type Machine struct {
	Jobs   *jobs.Machine
	Claims *claims.State
	Burn   *burn.State

	settled atomic.Uint64
}

var _ rhubarbgate.StateMachine = (*Machine)(nil)

// New returns an empty machine that stores payloads of jobs in s.
func New(s *disk.Spill) *Machine {
	return &Machine{Jobs: jobs.New(s), Claims: claims.New(), Burn: burn.New()}
}

// Apply implements rhubarbgate.StateMachine; it returns a *Result. The index of the
// command in the log is not used.
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

// Settled returns the latest term whose leader reported that all rate-limit grants of
// earlier leaders had expired, or 0. The leader that succeeds it need not wait for them.
func (m *Machine) Settled() uint64 { return m.settled.Load() }

// preamble is the first part of a snapshot; the jobs follow it.
type preamble struct {
	Claims  []claims.Entry
	Burn    burn.Image
	Settled uint64
}

// snapshotWriter is a consistent copy of the state. It implements
// rhubarbgate.SnapshotWriter.
type snapshotWriter struct {
	preamble preamble
	jobs     *jobs.SnapshotWriter
}

// Snapshot implements rhubarbgate.StateMachine.
func (m *Machine) Snapshot() rhubarbgate.SnapshotWriter {
	return &snapshotWriter{
		preamble: preamble{Claims: m.Claims.Entries(), Burn: m.Burn.Image(), Settled: m.Settled()},
		jobs:     m.Jobs.Snapshot(),
	}
}

// preambleLengthBytes is the size of the little-endian uint64 at the start of a snapshot
// that holds the length of the preamble.
const preambleLengthBytes = 8

func (w *snapshotWriter) WriteSnapshot(out io.Writer) error {
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

func (w *snapshotWriter) Release() { w.jobs.Release() }

// Restore implements rhubarbgate.StateMachine. It leaves the reader open, as the payloads
// of the restored jobs are read from it later.
func (m *Machine) Restore(r rhubarbgate.SnapshotReader) error {
	var h [preambleLengthBytes]byte
	if _, err := r.ReadAt(h[:], 0); err != nil {
		return errors.Trace(err)
	}
	n := binary.LittleEndian.Uint64(h[:])
	if n > uint64(r.Size()-preambleLengthBytes) {
		return errors.NotValidf("preamble of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err := r.ReadAt(b, preambleLengthBytes); err != nil {
		return errors.Trace(err)
	}
	var p preamble
	if err := wire.Unmarshal(b, &p); err != nil {
		return errors.Trace(err)
	}
	if err := m.Jobs.Restore(r, preambleLengthBytes+int64(n)); err != nil {
		return errors.Trace(err)
	}
	m.Claims.Restore(p.Claims)
	m.Burn.Restore(p.Burn)
	m.settled.Store(p.Settled)
	return nil
}
