package raft

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// slowLog holds an Append until it is released, and notes a Reset meanwhile.
type slowLog struct {
	fakeLog
	appending chan struct{}
	release   chan struct{}
	busy      atomic.Bool
	collided  atomic.Bool
}

func (s *slowLog) Append(h HardState, entries []Entry) error {
	s.busy.Store(true)
	defer s.busy.Store(false)
	s.appending <- struct{}{}
	<-s.release
	return s.fakeLog.Append(h, entries)
}

func (s *slowLog) Reset(x Stored) error {
	if s.busy.Load() {
		s.collided.Store(true)
	}
	return s.fakeLog.Reset(x)
}

type noTransport struct{}

func (noTransport) Send(Member, Message) {}

// TestBootstrapWaitsForPoll answers mwangi-ops scale-1 (2026-12-04): a store host
// was bootstrapped while it persisted the term of a vote request of another that
// had been quicker; the log's file was replaced under the write.
func TestBootstrapWaitsForPoll(t *testing.T) {
	l := &slowLog{appending: make(chan struct{}), release: make(chan struct{})}
	self := Member{ID: 1, Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	g := &Group{
		Self: self, Clock: clockwork.NewFakeClock(), Random: rand.New(rand.NewPCG(1, 1)), Log: l, Snapshots: &fakeSnapshots{},
		Transport: noTransport{}, Machine: &register{values: map[byte]uint64{}}, Logger: &log.Logger{Handler: discard.New()},
		ElectionMin: time.Second, Heartbeat: 100 * time.Millisecond,
	}
	qt.Assert(t, g.Open(), qt.IsNil)
	g.Clock.(*clockwork.FakeClock).Advance(time.Minute)
	g.Receive(Message{Kind: Vote, From: 2, FromIncarnation: 2, To: 1, Term: 5})
	polled, bootstrapped := make(chan error, 1), make(chan error, 1)
	go func() { polled <- g.Poll() }()
	<-l.appending
	go func() { bootstrapped <- g.Bootstrap(Members{self}) }()
	for range 1000 {
		if l.collided.Load() {
			break
		}
		time.Sleep(time.Microsecond)
	}
	close(l.release)
	qt.Assert(t, <-polled, qt.IsNil)
	qt.Assert(t, <-bootstrapped, qt.IsNil)
	qt.Assert(t, l.collided.Load(), qt.IsFalse)
	qt.Assert(t, g.Status().Term, qt.Equals, uint64(5), qt.Commentf("the term that was persisted is kept"))
}

// TestBootstrapBehindFirstEntries answers kitabeat-serve fresh-91ca: the leader of
// a group that the others had bootstrapped sent its first entry to a replica that
// had not been yet. The bootstrap failed, and so did every restart.
func TestBootstrapBehindFirstEntries(t *testing.T) {
	l := &fakeLog{}
	self := Member{ID: 1, Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	leader := Member{ID: 2, Incarnation: 2, Address: netip.MustParseAddrPort("127.0.0.1:2")}
	open := func() *Group {
		g := &Group{
			Self: self, Clock: clockwork.NewFakeClock(), Random: rand.New(rand.NewPCG(1, 1)), Log: l, Snapshots: &fakeSnapshots{},
			Transport: noTransport{}, Machine: &register{values: map[byte]uint64{}}, Logger: &log.Logger{Handler: discard.New()},
			ElectionMin: time.Second, Heartbeat: 100 * time.Millisecond, Background: func(f func()) { f() },
		}
		qt.Assert(t, g.Open(), qt.IsNil)
		return g
	}
	g := open()
	g.Receive(Message{Kind: Append, From: 2, FromIncarnation: 2, To: 1, Term: 3, Commit: 1, Entries: []Entry{{Term: 3, Index: 1, Kind: EntryNoop}}})
	qt.Assert(t, g.Poll(), qt.IsNil)
	members := Members{self, leader}
	for range 2 {
		g = open() // the process may end in between
		if len(g.Status().Members) == 0 {
			qt.Assert(t, g.Bootstrap(members), qt.IsNil)
		}
		qt.Assert(t, slices.Equal(g.Status().Members, members), qt.IsTrue)
		qt.Assert(t, g.Status().Last, qt.Equals, uint64(1))
		qt.Assert(t, g.Status().Term, qt.Equals, uint64(3))
	}
	qt.Assert(t, g.Bootstrap(members), qt.ErrorIs, errors.AlreadyExists)
}
