package raft

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// recordingTransport records the messages that are sent.
type recordingTransport struct{ sent []Message }

func (r *recordingTransport) Send(_ Member, m Message) { r.sent = append(r.sent, m) }

// take returns the messages of kind k, and drops all others, since the last call.
func (r *recordingTransport) take(k MessageKind) []Message {
	var found []Message
	for _, m := range r.sent {
		if m.Kind == k {
			found = append(found, m)
		}
	}
	r.sent = nil
	return found
}

// manualReplica is one of three replicas, polled by the test, with a log that blocks each
// Append until the test releases it. The test sends the other replicas' messages.
type manualReplica struct {
	*Group
	clock     *clockwork.FakeClock
	log       *blockingLog
	transport *recordingTransport
}

// newReplica returns replica 1, bootstrapped with two other voters.
func newReplica(t *testing.T) *manualReplica {
	var members Members
	for i := range uint64(3) {
		members = append(members, Member{ID: i + 1, Incarnation: i + 1, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))})
	}
	r := &manualReplica{clock: clockwork.NewFakeClock(), transport: &recordingTransport{}, log: &blockingLog{appendStarted: make(chan struct{}), releaseAppend: make(chan struct{})}}
	r.Group = &Group{
		Self: members[0], Clock: r.clock, Random: rand.New(rand.NewPCG(1, 1)), Log: r.log, Snapshots: &fakeSnapshots{},
		Transport: r.transport, Machine: &register{values: map[byte]uint64{}}, Logger: &log.Logger{Handler: discard.New()},
		ElectionMin: testElection, Heartbeat: testHeartbeat, SnapshotBytes: 1 << 20,
	}
	qt.Assert(t, r.Open(), qt.IsNil)
	qt.Assert(t, r.Bootstrap(members), qt.IsNil)
	return r
}

// poll advances the clock by d and handles messages from replica 2.
func (r *manualReplica) poll(t *testing.T, d time.Duration, ms ...Message) {
	r.clock.Advance(d)
	for _, m := range ms {
		m.To, m.From, m.FromIncarnation = 1, 2, 2
		r.Receive(m)
	}
	r.Tick()
	qt.Assert(t, r.Poll(), qt.IsNil)
}

// releaseWrite completes the write in progress.
func (r *manualReplica) releaseWrite(t *testing.T) {
	<-r.log.appendStarted
	r.log.releaseAppend <- struct{}{}
	<-r.pendingWrite.done
	r.poll(t, 0)
}

// becomeLeader makes the replica the leader of term 1, with the write of its first entry
// in progress.
func (r *manualReplica) becomeLeader(t *testing.T) {
	r.poll(t, 2*testElection)
	r.poll(t, 0, Message{Kind: PreVoteReply, Term: 1})
	qt.Assert(t, r.transport.take(Vote), qt.HasLen, 0, qt.Commentf("a vote request was sent before the vote was durable"))
	r.releaseWrite(t)
	qt.Assert(t, r.transport.take(Vote), qt.HasLen, 2)
	r.poll(t, 0, Message{Kind: VoteReply, Term: 1})
	qt.Assert(t, r.Status().Phase, qt.Equals, Leader)
	<-r.log.appendStarted
}

// TestSlowSyncDelaysNoHeartbeat checks that a leader sends heartbeats while it waits for
// a sync. On a busy disk a sync takes 0.1 to 0.8 s; without heartbeats for that long, the
// followers start one election after another.
func TestSlowSyncDelaysNoHeartbeat(t *testing.T) {
	r := newReplica(t)
	r.becomeLeader(t)
	for range 3 * testElection / testHeartbeat {
		r.transport.take(Append)
		r.poll(t, testHeartbeat, Message{Kind: AppendReply, Term: 1, Index: 1, Echo: r.core.messageClock(r.clock.Now())})
		qt.Assert(t, r.transport.take(Append), qt.HasLen, 2)
		qt.Assert(t, r.Status().Phase, qt.Equals, Leader)
	}
	qt.Assert(t, r.Status().Applied, qt.Equals, uint64(0), qt.Commentf("applied before a majority had synced the entry"))
	r.log.releaseAppend <- struct{}{}
	<-r.pendingWrite.done
	r.poll(t, 0)
	qt.Assert(t, r.Status().Applied, qt.Equals, uint64(1))
}

// TestCommittedIsAppliedBeforeOwnSync checks that a leader applies an entry once a
// majority has synced it, even if its own sync is still in progress. Otherwise a slow
// disk on the leader delays every command.
func TestCommittedIsAppliedBeforeOwnSync(t *testing.T) {
	r := newReplica(t)
	r.becomeLeader(t)
	r.poll(t, testHeartbeat, Message{Kind: AppendReply, Term: 1, Index: 1})
	qt.Assert(t, r.Status().Applied, qt.Equals, uint64(0), qt.Commentf("one synced copy is not a majority"))
	r.clock.Advance(testHeartbeat)
	r.Receive(Message{Kind: AppendReply, Term: 1, Index: 1, To: 1, From: 3, FromIncarnation: 3})
	qt.Assert(t, r.Poll(), qt.IsNil)
	qt.Assert(t, r.Status().Applied, qt.Equals, uint64(1))
	r.log.releaseAppend <- struct{}{}
}

// TestStalledDiskEndsLeadership checks that a leader whose disk does not complete a write for 1 s
// steps down and does not campaign, so that it does not block its group.
func TestStalledDiskEndsLeadership(t *testing.T) {
	r := newReplica(t)
	r.becomeLeader(t)
	for d := time.Duration(0); d <= time.Second+testHeartbeat; d += testHeartbeat {
		r.poll(t, testHeartbeat, Message{Kind: AppendReply, Term: 1, Index: 1, Echo: r.core.messageClock(r.clock.Now())})
	}
	qt.Assert(t, r.Status().Phase, qt.Equals, Follower)
	r.poll(t, 3*testElection)
	qt.Assert(t, r.transport.take(PreVote), qt.HasLen, 0, qt.Commentf("a replica with a stalled write asked for votes"))
	r.log.releaseAppend <- struct{}{}
}

// TestSlowSyncDelaysNoHeartbeatReply checks that a follower replies to heartbeats while it
// writes entries, and acknowledges only entries that are synced.
func TestSlowSyncDelaysNoHeartbeatReply(t *testing.T) {
	r := newReplica(t)
	r.poll(t, 0, Message{Kind: Append, Term: 1})
	qt.Assert(t, r.transport.take(AppendReply), qt.HasLen, 0, qt.Commentf("a reply was sent before the term was durable"))
	r.releaseWrite(t)
	qt.Assert(t, r.transport.take(AppendReply), qt.HasLen, 1)
	r.poll(t, 0, Message{Kind: Append, Term: 1, Entries: []Entry{{Term: 1, Index: 1, Kind: EntryNoop}}})
	<-r.log.appendStarted
	qt.Assert(t, r.transport.take(AppendReply), qt.HasLen, 0)
	r.poll(t, testHeartbeat, Message{Kind: Append, Term: 1, Index: 1, LogTerm: 1})
	replies := r.transport.take(AppendReply)
	qt.Assert(t, replies, qt.HasLen, 1)
	qt.Assert(t, replies[0].Index, qt.Equals, uint64(0), qt.Commentf("an entry was acknowledged before it was synced"))
	r.log.releaseAppend <- struct{}{}
	<-r.pendingWrite.done
	r.poll(t, 0)
	replies = r.transport.take(AppendReply)
	qt.Assert(t, replies, qt.HasLen, 1)
	qt.Assert(t, replies[0].Index, qt.Equals, uint64(1))
}

// TestOverwriteDuringWrite replaces an entry by one of another leader while the write of
// the first is in progress. The end of that write must not mark the new entry as synced.
func TestOverwriteDuringWrite(t *testing.T) {
	r := newReplica(t)
	r.poll(t, 0, Message{Kind: Append, Term: 1, Entries: []Entry{{Term: 1, Index: 1, Kind: EntryNoop}, {Term: 1, Index: 2, Kind: EntryNoop}}})
	<-r.log.appendStarted
	r.poll(t, 0, Message{Kind: Append, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 2, Index: 2, Kind: EntryNoop}}})
	r.log.releaseAppend <- struct{}{}
	<-r.pendingWrite.done
	r.poll(t, 0)
	qt.Assert(t, r.core.syncedIndex, qt.Equals, uint64(1), qt.Commentf("the new entry must not count as synced"))
	r.releaseWrite(t)
	qt.Assert(t, r.core.syncedIndex, qt.Equals, uint64(2))
	qt.Assert(t, r.log.stored.Entries[1].Term, qt.Equals, uint64(2))
	qt.Assert(t, r.log.stored.HardState.Term, qt.Equals, uint64(2))
}

// TestCallbacksAtTheStop guards against a group that never stops, because the callback of a command that
// the stop fails calls the group again.
func TestCallbacksAtTheStop(t *testing.T) {
	c := newCluster(1, 1)
	g := c.replicas[1].group
	g.Propose(nil, func(Result) { g.Tick() })
	g.ReadBarrier(func(error) { g.Tick() })
	stopped := make(chan struct{})
	go func() {
		g.failPending(ErrStopped)
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the group does not stop")
	}
}
