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

// ErrUnknown reports a proposal that may or may not be committed.
const ErrUnknown = errors.ConstError("the outcome of the proposal is unknown")

// ErrStopped reports a group that no longer runs.
const ErrStopped = errors.ConstError("the group is stopped")

// Group is one replica of one replicated log. Set the exported fields before Run.
type Group struct {
	ID          uint32
	Self        Member
	Clock       clockwork.Clock
	Random      *rand.Rand
	Log         Log
	Snapshots   SnapshotStore
	Transport   Transport
	Machine     rhubarbgate.StateMachine
	Logger      log.Interface
	ElectionMin time.Duration
	Heartbeat   time.Duration
	// Drift is the largest relative error of any clock of the group.
	Drift float64
	// SnapshotBytes is the size of the log at which a snapshot is taken.
	SnapshotBytes int
	// MaxBatch bounds the proposals synced together; 0 means no bound.
	MaxBatch int
	// Background runs writes to the disk; nil means a new goroutine for each.
	Background func(func())

	core         *core
	applied      uint64
	announced    uint64 // newest commit index that was sent to the peers
	snapshotting bool
	compacted    bool                // the durable log still holds what a snapshot covers
	writing      *write              // nil if none is under way
	proposals    map[uint64]proposal // by index
	reads        []read

	// driving is held while the core, the log and the machine are in use.
	driving sync.Mutex

	mu     sync.Mutex
	inbox  inbox
	wake   chan struct{}
	status atomic.Pointer[Status]
	failed error
}

// inbox collects events between two iterations.
type inbox struct {
	messages  []Message
	proposals []proposal
	reads     []read
	calls     []func(*core)
	compact   *SnapshotMeta
	tick      bool
}

// Result is the outcome of a proposal.
type Result struct {
	Value any
	Err   error
}

type proposal struct {
	data    []byte
	members func(Members) Members
	term    uint64
	done    func(Result)
}

type read struct {
	at    time.Time
	index uint64
	term  uint64
	done  func(error)
}

// Status describes a replica.
type Status struct {
	Group   uint32
	Self    uint64
	Phase   Phase
	Term    uint64
	Leader  uint64
	Members Members
	// First is the membership that the group began with, while the log holds it.
	First   Members
	Commit  uint64
	Applied uint64
	Last    uint64
	// LogBytes is the size of the commands behind the newest snapshot.
	LogBytes int
	Snapshot uint64
	// FreshAt is a time at which the applied state was confirmed by a quorum.
	FreshAt time.Time
	// PredecessorAt is a time by which the leader before this one was elected.
	PredecessorAt time.Time
	// PredecessorTerm is the last term with entries before this leader's; 0 means
	// that this leader is the first.
	PredecessorTerm uint64
	// LeaseUntil bounds the leader's lease; zero on other replicas.
	LeaseUntil time.Time
}

// Open loads the durable state. Call it once, before Run or Poll.
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
	g.applied = s.Base.Index
	g.publish()
	return nil
}

// restore loads the newest snapshot and aligns the log with it.
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
	// A crash came between the snapshot and the cut of the log.
	l := newEntryLog(s.Base, s.Entries)
	if l.termAt(m.Index) == m.Term {
		l.compact(m)
	} else {
		l = newEntryLog(m, nil)
	}
	s.Base, s.Entries = m, l.entries
	return s, errors.Trace(g.Log.Reset(s))
}

// Bootstrap puts the first membership in force on a replica whose log does not
// know it. Entries that a quicker member's leader has sent already are kept.
func (g *Group) Bootstrap(m Members) error {
	g.driving.Lock()
	defer g.driving.Unlock()
	if err := g.awaitWrite(); err != nil {
		return g.fail(err)
	}
	c := g.core
	if c.entries.base.Index > 0 || len(c.members) > 0 {
		return errors.AlreadyExistsf("membership of group %d", g.ID)
	}
	s := Stored{
		HardState: HardState{Term: c.term, Vote: c.vote}, Base: SnapshotMeta{Members: m}, Entries: c.entries.entries,
	}
	if err := g.Log.Reset(s); err != nil {
		return errors.Trace(err)
	}
	commit := c.commit
	c.start(s)
	c.commit = commit
	g.publish()
	return nil
}

// Run drives the group until ctx ends or its storage fails. It returns when no
// write is under way any more.
func (g *Group) Run(ctx context.Context) error {
	defer g.settle()
	interval := g.Heartbeat / 2
	t := g.Clock.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			g.abandon(ErrStopped)
			return nil
		case <-t.Chan():
			g.Tick()
		case <-g.wake:
		}
		if err := g.Poll(); err != nil {
			g.abandon(ErrStopped)
			return errors.Annotatef(err, "group %d", g.ID)
		}
	}
}

func (g *Group) settle() {
	g.driving.Lock()
	defer g.driving.Unlock()
	if err := g.awaitWrite(); err != nil {
		g.Logger.WithError(err).WithField("group", g.ID).Error("last write of the log")
	}
}

func (g *Group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Group) post(f func(*inbox)) {
	g.mu.Lock()
	f(&g.inbox)
	g.mu.Unlock()
	g.signal()
}

// Tick makes the next Poll look at the clock.
func (g *Group) Tick() { g.post(func(b *inbox) { b.tick = true }) }

// Receive takes a message from another replica.
func (g *Group) Receive(m Message) {
	g.post(func(b *inbox) { b.messages = append(b.messages, m) })
}

// Propose submits a command; done is called once with its outcome.
func (g *Group) Propose(data []byte, done func(Result)) {
	g.post(func(b *inbox) { b.proposals = append(b.proposals, proposal{data: data, done: done}) })
}

// ChangeMembers submits a membership computed from the current one.
func (g *Group) ChangeMembers(f func(Members) Members, done func(Result)) {
	g.post(func(b *inbox) { b.proposals = append(b.proposals, proposal{members: f, done: done}) })
}

// ReadBarrier calls done(nil) once the local state reflects all commands that were
// committed before the call, or done with ErrNotLeader.
func (g *Group) ReadBarrier(done func(error)) {
	at := g.Clock.Now()
	g.post(func(b *inbox) { b.reads = append(b.reads, read{at: at, done: done}) })
}

// TransferLeadership hands leadership to another voter, if there is one.
func (g *Group) TransferLeadership() {
	g.post(func(b *inbox) { b.calls = append(b.calls, (*core).transfer) })
}

// Status returns the replica's state as of its last iteration.
func (g *Group) Status() Status { return *g.status.Load() }

// Leased reports whether this replica leads under a valid lease.
func (g *Group) Leased() bool {
	return g.Clock.Now().Before(g.status.Load().LeaseUntil)
}
