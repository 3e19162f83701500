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

// blockingLog blocks each Append until the test releases it, and records a Reset that is
// called during an Append.
type blockingLog struct {
	fakeLog
	appendStarted     chan struct{}
	releaseAppend     chan struct{}
	appendRunning     atomic.Bool
	resetDuringAppend atomic.Bool
}

func (s *blockingLog) Append(h HardState, entries []Entry) error {
	s.appendRunning.Store(true)
	defer s.appendRunning.Store(false)
	s.appendStarted <- struct{}{}
	<-s.releaseAppend
	return s.fakeLog.Append(h, entries)
}

func (s *blockingLog) Reset(x Stored) error {
	if s.appendRunning.Load() {
		s.resetDuringAppend.Store(true)
	}
	return s.fakeLog.Reset(x)
}

// discardTransport drops all messages.
type discardTransport struct{}

func (discardTransport) Send(Member, Message) {}

// TestBootstrapWaitsForPoll checks that Bootstrap does not replace the log's file during
// a write. A host can be bootstrapped while it persists the term of a vote request from
// another host that was bootstrapped earlier.
func TestBootstrapWaitsForPoll(t *testing.T) {
	l := &blockingLog{appendStarted: make(chan struct{}), releaseAppend: make(chan struct{})}
	self := Member{ID: 1, Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	g := &Group{
		Self: self, Clock: clockwork.NewFakeClock(), Random: rand.New(rand.NewPCG(1, 1)), Log: l, Snapshots: &fakeSnapshots{},
		Transport: discardTransport{}, Machine: &register{values: map[byte]uint64{}}, Logger: &log.Logger{Handler: discard.New()},
		ElectionMin: time.Second, Heartbeat: 100 * time.Millisecond,
	}
	qt.Assert(t, g.Open(), qt.IsNil)
	g.Clock.(*clockwork.FakeClock).Advance(time.Minute)
	g.Receive(Message{Kind: Vote, From: 2, FromIncarnation: 2, To: 1, Term: 5})
	polled, bootstrapped := make(chan error, 1), make(chan error, 1)
	go func() { polled <- g.Poll() }()
	<-l.appendStarted
	go func() { bootstrapped <- g.Bootstrap(Members{self}) }()
	for range 1000 {
		if l.resetDuringAppend.Load() {
			break
		}
		time.Sleep(time.Microsecond)
	}
	close(l.releaseAppend)
	qt.Assert(t, <-polled, qt.IsNil)
	qt.Assert(t, <-bootstrapped, qt.IsNil)
	qt.Assert(t, l.resetDuringAppend.Load(), qt.IsFalse)
	qt.Assert(t, g.Status().Term, qt.Equals, uint64(5), qt.Commentf("Bootstrap must keep the persisted term"))
}

// TestBootstrapAfterFirstEntries checks that a replica can be bootstrapped after it has
// received entries. The leader of a group can send its first entry to a replica that is
// not bootstrapped yet; if Bootstrap fails then, it fails again after every restart.
func TestBootstrapAfterFirstEntries(t *testing.T) {
	l := &fakeLog{}
	self := Member{ID: 1, Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	leader := Member{ID: 2, Incarnation: 2, Address: netip.MustParseAddrPort("127.0.0.1:2")}
	open := func() *Group {
		g := &Group{
			Self: self, Clock: clockwork.NewFakeClock(), Random: rand.New(rand.NewPCG(1, 1)), Log: l, Snapshots: &fakeSnapshots{},
			Transport: discardTransport{}, Machine: &register{values: map[byte]uint64{}}, Logger: &log.Logger{Handler: discard.New()},
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
		g = open() // the process may restart before Bootstrap
		if len(g.Status().Members) == 0 {
			qt.Assert(t, g.Bootstrap(members), qt.IsNil)
		}
		qt.Assert(t, slices.Equal(g.Status().Members, members), qt.IsTrue)
		qt.Assert(t, g.Status().Last, qt.Equals, uint64(1))
		qt.Assert(t, g.Status().Term, qt.Equals, uint64(3))
	}
	qt.Assert(t, g.Bootstrap(members), qt.ErrorIs, errors.AlreadyExists)
}
