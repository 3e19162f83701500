package raft

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
)

// ErrOutcomeUnknown reports that a proposal may or may not be committed.
const ErrOutcomeUnknown = errors.ConstError("the outcome of the proposal is unknown")

// ErrStopped reports that the group no longer runs.
const ErrStopped = errors.ConstError("the group is stopped")

// Group is one replica of a replicated log. Set the exported fields before Open.
type Group struct {
	ID        uint32
	Self      Member
	Clock     clockwork.Clock
	Random    *rand.Rand
	Log       Log
	Snapshots SnapshotStore
	Transport Transport
	Machine   rhubarbgate.StateMachine
	Logger    log.Interface
	// ElectionMin is the shortest time without a message from a leader after which a
	// replica starts an election; the longest is twice as long.
	ElectionMin time.Duration
	// Heartbeat is the interval at which a leader sends heartbeats.
	Heartbeat time.Duration
	// Drift is the largest relative rate error of any clock of the group, such as 0.01.
	Drift float64
	// SnapshotBytes is the size of the log's entries at which a snapshot is taken.
	SnapshotBytes int
	// MaxBatch bounds the number of proposals in one write of the log; 0 means no bound.
	MaxBatch int
	// Background runs writes to the disk; nil means one goroutine for each write.
	Background func(func())

	core              *core
	appliedIndex      uint64
	announcedCommit   uint64 // newest commit index sent to the peers at once
	snapshotting      bool
	nextSnapshotAt    time.Time           // set when a snapshot could not be saved
	compactionPending bool                // the durable log still holds entries that a snapshot covers
	pendingWrite      *logWrite           // nil if no write is in progress
	proposals         map[uint64]proposal // by index
	reads             []pendingRead

	// coreMu protects the core, the log and the state machine.
	coreMu sync.Mutex

	mu     sync.Mutex // protects inbox
	inbox  inbox
	wake   chan struct{}
	status atomic.Pointer[Status]
	failed error
}

// inbox collects events for the next Poll.
type inbox struct {
	messages  []Message
	proposals []proposal
	reads     []pendingRead
	calls     []func(*core)
	compact   *SnapshotMeta
	tick      bool
}

// Result is the outcome of a proposal.
type Result struct {
	Value any
	Err   error
}

// proposal is a command or a membership change whose outcome is not known yet.
type proposal struct {
	data          []byte
	changeMembers func(Members) Members
	term          uint64
	done          func(Result)
}

// pendingRead is a ReadBarrier call that is not complete.
type pendingRead struct {
	requestedAt time.Time
	readIndex   uint64
	term        uint64
	done        func(error)
}

// Status describes a replica.
type Status struct {
	Group   uint32
	Self    uint64
	Phase   Phase
	Term    uint64
	Leader  uint64
	Members Members
	// First is the membership that the group was bootstrapped with; empty once a
	// snapshot has replaced the start of the log.
	First   Members
	Commit  uint64
	Applied uint64
	Last    uint64
	// LogBytes is the size of the data of all entries after the newest snapshot.
	LogBytes int
	Snapshot uint64
	// FreshAt is a time at which a quorum confirmed the applied state as current.
	FreshAt time.Time
	// PredecessorAt is a time by which this leader's predecessor had been elected.
	PredecessorAt time.Time
	// PredecessorTerm is the term of the last entry before this leader's first one;
	// 0 means that this leader is the group's first.
	PredecessorTerm uint64
	// LeaseUntil is when the leader's lease expires; zero without a lease.
	LeaseUntil time.Time
}

// Open loads the durable state. Call it once, before Bootstrap, Run or Poll.
func (g *Group) Open() error {
	g.wake = make(chan struct{}, 1)
	g.proposals = map[uint64]proposal{}
	if g.Background == nil {
		g.Background = func(f func()) { go f() }
	}
	s, _, err := g.Log.Load()
	if err != nil {
		return errors.Annotatef(err, "group %d", g.ID)
	}
	if s, err = g.restore(s); err != nil {
		return errors.Annotatef(err, "group %d", g.ID)
	}
	g.core = &core{
		id: g.Self.ID, incarnation: g.Self.Incarnation, address: g.Self.Address, group: g.ID,
		clock: g.Clock, random: g.Random, snapshots: g.Snapshots,
		logger:          g.Logger.WithField("group", g.ID),
		electionTimeout: g.ElectionMin, heartbeatInterval: g.Heartbeat, drift: g.Drift,
	}
	g.core.start(s)
	g.appliedIndex = s.Base.Index
	g.publishStatus()
	return nil
}

// restore loads the newest snapshot into the state machine and discards the
// entries that it covers.
func (g *Group) restore(s Stored) (Stored, error) {
	m, ok := g.Snapshots.Latest()
	if !ok {
		if s.Base.Index > 0 {
			return s, errors.Annotatef(ErrCorrupt, "log starts at %d but there is no snapshot", s.Base.Index)
		}
		return s, nil
	}
	if m.Index < s.Base.Index {
		return s, errors.Annotatef(ErrCorrupt, "log starts at %d but the snapshot ends at %d", s.Base.Index, m.Index)
	}
	r, err := g.Snapshots.Open()
	if err != nil {
		return s, errors.Trace(err)
	}
	if err := g.Machine.Restore(r); err != nil {
		return s, errors.Annotatef(err, "restoring snapshot %d", m.Index)
	}
	if m.Index == s.Base.Index {
		return s, nil
	}
	// The process stopped after it had saved the snapshot and before it had
	// compacted the log.
	l := newEntryLog(s.Base, s.Entries)
	if l.termAt(m.Index) == m.Term {
		l.compact(m)
	} else {
		l = newEntryLog(m, nil)
	}
	s.Base, s.Entries = m, l.entries
	return s, errors.Trace(g.Log.Reset(s))
}

// Bootstrap sets the first membership of a replica that has none. Members may be
// bootstrapped at different times, so the replica keeps entries that a leader of
// the others has already sent to it.
func (g *Group) Bootstrap(m Members) error {
	g.coreMu.Lock()
	defer g.coreMu.Unlock()
	if err := g.awaitWrite(); err != nil {
		return g.fail(err)
	}
	c := g.core
	if c.raftLog.base.Index > 0 || len(c.members) > 0 {
		return errors.AlreadyExistsf("membership of group %d", g.ID)
	}
	s := Stored{
		HardState: HardState{Term: c.term, Vote: c.votedFor}, Base: SnapshotMeta{Members: m}, Entries: c.raftLog.entries,
	}
	if err := g.Log.Reset(s); err != nil {
		return errors.Trace(err)
	}
	commitIndex := c.commitIndex
	c.start(s)
	c.commitIndex = commitIndex
	g.publishStatus()
	return nil
}

// Run polls the group until ctx ends or its storage fails. It returns once the
// write in progress is complete.
func (g *Group) Run(ctx context.Context) error {
	defer g.awaitLastWrite()
	interval := g.Heartbeat / 2
	t := g.Clock.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			g.failPending(ErrStopped)
			return nil
		case <-t.Chan():
			g.Tick()
		case <-g.wake:
		}
		if err := g.Poll(); err != nil {
			g.failPending(ErrStopped)
			return errors.Annotatef(err, "group %d", g.ID)
		}
	}
}

// awaitLastWrite waits for the write in progress when the group stops.
func (g *Group) awaitLastWrite() {
	g.coreMu.Lock()
	defer g.coreMu.Unlock()
	if err := g.awaitWrite(); err != nil {
		g.Logger.WithError(err).WithField("group", g.ID).Error("last write to the log failed")
	}
}

// signal wakes Run.
func (g *Group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// enqueue changes the inbox under its lock and wakes Run.
func (g *Group) enqueue(f func(*inbox)) {
	g.mu.Lock()
	f(&g.inbox)
	g.mu.Unlock()
	g.signal()
}

// Tick makes the next Poll check the timers.
func (g *Group) Tick() { g.enqueue(func(b *inbox) { b.tick = true }) }

// Receive queues a message from another replica for the next Poll.
func (g *Group) Receive(m Message) {
	g.enqueue(func(b *inbox) { b.messages = append(b.messages, m) })
}

// Propose submits a command. It calls done once with the outcome: the result of
// applying the command, or ErrNotLeader, ErrOutcomeUnknown or ErrStopped.
func (g *Group) Propose(data []byte, done func(Result)) {
	g.enqueue(func(b *inbox) { b.proposals = append(b.proposals, proposal{data: data, done: done}) })
}

// ChangeMembers submits the membership that f computes from the current one. It
// may change one voter at most; done is called once with the outcome.
func (g *Group) ChangeMembers(f func(Members) Members, done func(Result)) {
	g.enqueue(func(b *inbox) { b.proposals = append(b.proposals, proposal{changeMembers: f, done: done}) })
}

// ReadBarrier calls done(nil) once the local state reflects all commands that were
// committed before the call. It calls done with ErrNotLeader or ErrStopped if this
// replica cannot confirm that.
func (g *Group) ReadBarrier(done func(error)) {
	requestedAt := g.Clock.Now()
	g.enqueue(func(b *inbox) { b.reads = append(b.reads, pendingRead{requestedAt: requestedAt, done: done}) })
}

// TransferLeadership transfers leadership to the most up-to-date voter that has
// replied recently, if there is one.
func (g *Group) TransferLeadership() {
	g.enqueue(func(b *inbox) { b.calls = append(b.calls, (*core).transfer) })
}

// Status returns the replica's state as of the last Poll.
func (g *Group) Status() Status { return *g.status.Load() }

// Leased reports whether this replica is the leader and its lease has not expired.
func (g *Group) Leased() bool {
	return g.Clock.Now().Before(g.status.Load().LeaseUntil)
}
