package raft

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// operation is a client's view of one read or write, for porcupine.
type operation struct {
	write bool
	key   byte
	value uint64
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[byte][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(operation).key
			byKey[k] = append(byKey[k], o)
		}
		var r [][]porcupine.Operation
		for _, h := range byKey {
			r = append(r, h)
		}
		return r
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		in := input.(operation)
		if in.write {
			return true, in.value
		}
		return output.(uint64) == state.(uint64), state
	},
}

// client issues operations and records their history. A write whose outcome is
// unknown may take effect at any later time.
type client struct {
	c       *cluster
	history []porcupine.Operation
	next    uint64
}

func (k *client) write(n *node, key byte) {
	k.next++
	o := operation{write: true, key: key, value: k.next}
	i := len(k.history)
	k.history = append(k.history, porcupine.Operation{ClientId: i, Input: o, Call: k.now(), Output: uint64(0), Return: 1 << 62})
	n.group.Propose(command(key, o.value), func(r Result) {
		if r.Err == nil {
			k.history[i].Return = k.now()
		} else if r.Err == ErrNotLeader || r.Err == ErrStopped {
			// It never enters a log, so its effect may come at any time or not at
			// all; a key of its own keeps it from the others.
			k.history[i].Input = operation{write: true, key: 200}
		}
	})
}

func (k *client) read(n *node, key byte) {
	call := k.now()
	machine := n.machine
	n.group.ReadBarrier(func(err error) {
		if err == nil {
			k.history = append(k.history, porcupine.Operation{
				ClientId: len(k.history), Input: operation{key: key}, Output: machine.values[key], Call: call, Return: k.now(),
			})
		}
	})
}

func (k *client) now() int64 { return k.c.clock.Now().UnixNano() }

func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		c := newCluster(rapid.Uint64().Draw(t, "seed"), voters)
		k := &client{c: c}
		for range rapid.IntRange(10, 40).Draw(t, "rounds") {
			injectFault(t, c, voters)
			for range rapid.IntRange(1, 15).Draw(t, "steps") {
				n := c.nodes[uint64(rapid.IntRange(1, voters).Draw(t, "node"))]
				key := byte(rapid.IntRange(0, 2).Draw(t, "key"))
				if n.up && rapid.Bool().Draw(t, "write") {
					k.write(n, key)
				} else if n.up {
					k.read(n, key)
				}
				c.step()
				c.leader()
			}
		}
		c.heal()
		c.run(5 * time.Second)
		checkRecovered(t, c, k)
	})
}

func injectFault(t *rapid.T, c *cluster, voters int) {
	id := uint64(rapid.IntRange(1, voters).Draw(t, "victim"))
	other := uint64(rapid.IntRange(1, voters).Draw(t, "other"))
	n := c.nodes[id]
	switch rapid.IntRange(0, 11).Draw(t, "fault") {
	case 0, 1:
		c.crash(id)
	case 2, 3:
		if !n.up {
			c.start(n)
		}
	case 4:
		c.cut[[2]uint64{id, other}] = true
	case 5:
		for x := range c.nodes {
			c.cut[[2]uint64{id, x}], c.cut[[2]uint64{x, id}] = true, true
		}
	case 6:
		clear(c.cut)
	case 7:
		c.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
	case 8:
		n.paused = !n.paused
	case 10:
		n.slow = !n.slow
	case 11:
		n.slowDisk = !n.slowDisk
	case 9:
		n.log.tear = n.up
		if n.up {
			n.group.TransferLeadership()
		}
	}
}

func checkRecovered(t *rapid.T, c *cluster, k *client) {
	l := c.leader()
	if l == nil {
		t.Fatal("no leader after all faults ended")
	}
	k.write(l, 0)
	k.read(l, 1)
	c.run(time.Second)
	for id, n := range c.nodes {
		if n.machine.count != l.machine.count {
			t.Fatalf("replica %d applied %d commands, the leader %d", id, n.machine.count, l.machine.count)
		}
	}
	if r := porcupine.CheckOperationsTimeout(registerModel, k.history, 0); r != porcupine.Ok {
		t.Fatalf("history is not linearizable")
	}
}

func TestLossRightAfterRepair(t *testing.T) {
	c := qt.New(t)
	k := newCluster(7, 3)
	k.run(2 * time.Second)
	for i := range 200 {
		k.leader().group.Propose(command(0, uint64(i)+1), func(Result) {})
		k.step()
	}
	k.run(time.Second)
	lost := k.leader()
	count := lost.machine.count
	k.crash(lost.self.ID)
	delete(k.nodes, lost.self.ID)
	k.run(2 * time.Second)
	// The lost host is replaced by one with an empty disk under the same ID.
	n := k.add(lost.self.ID, 999)
	k.run(time.Second)
	c.Assert(n.machine.count, qt.Equals, uint64(0), qt.Commentf("a replica with an empty disk took part before it was added"))
	add := n.self
	add.Learner = true
	k.leader().group.ChangeMembers(func(m Members) Members { return m.Without(add.ID).With(add) }, func(r Result) { c.Check(r.Err, qt.IsNil) })
	k.run(2 * time.Second)
	self, ok := k.leader().group.Status().Members.Find(add.ID)
	c.Assert(ok && !self.Learner, qt.IsTrue, qt.Commentf("the learner was not promoted"))
	// A second loss right after the repair.
	for id, x := range k.nodes {
		if id != add.ID && x == k.leader() {
			k.crash(id)
			break
		}
	}
	k.run(3 * time.Second)
	l := k.leader()
	c.Assert(l, qt.IsNotNil)
	c.Assert(l.machine.count >= count, qt.IsTrue)
	c.Assert(l.machine.values[0], qt.Equals, uint64(200))
}

func TestEmptyDiskDoesNotVote(t *testing.T) {
	c := qt.New(t)
	k := newCluster(3, 3)
	k.run(2 * time.Second)
	l := k.leader()
	var others []uint64
	for id := range k.nodes {
		if id != l.self.ID {
			others = append(others, id)
		}
	}
	// One follower is away; the leader and the other commit entries. Then the
	// other loses its disk and the leader is lost: the one that was away and the
	// blank one must not elect a leader that lacks the entries.
	away, blank := others[0], others[1]
	k.crash(away)
	acked := 0
	for i := range 10 {
		l.group.Propose(command(0, uint64(i)+1), func(r Result) {
			if r.Err == nil {
				acked++
			}
		})
	}
	k.run(time.Second)
	c.Assert(acked, qt.Equals, 10)
	k.crash(l.self.ID)
	k.crash(blank)
	delete(k.nodes, blank)
	k.add(blank, 999)
	k.start(k.nodes[away])
	k.run(5 * time.Second)
	c.Assert(k.leader(), qt.IsNil)
}

func TestDeposedLeaderServesNoStaleRead(t *testing.T) {
	c := qt.New(t)
	k := newCluster(11, 3)
	k.run(2 * time.Second)
	old := k.leader()
	for id := range k.nodes {
		k.cut[[2]uint64{old.self.ID, id}], k.cut[[2]uint64{id, old.self.ID}] = true, true
	}
	// The old leader hears nothing. Its lease must end before another one leads.
	for range 500 {
		k.step()
		if l := k.leader(); l != nil && l != old {
			break
		}
	}
	l := k.leader()
	c.Assert(l, qt.IsNotNil)
	c.Assert(l, qt.Not(qt.Equals), old)
	l.group.Propose(command(0, 42), func(Result) {})
	k.run(time.Second)
	served := false
	old.group.ReadBarrier(func(err error) { served = err == nil })
	k.run(time.Second)
	c.Assert(served, qt.IsFalse)
	c.Assert(old.group.Status().Phase, qt.Not(qt.Equals), Leader)
	age := k.clock.Now().Sub(old.group.Status().FreshAt)
	c.Assert(age > time.Second, qt.IsTrue, qt.Commentf("a cut-off replica calls its state %v old", age))
}

func TestTransferKeepsWriting(t *testing.T) {
	c := qt.New(t)
	k := newCluster(5, 3)
	k.run(2 * time.Second)
	old := k.leader()
	old.group.TransferLeadership()
	k.run(200 * time.Millisecond)
	l := k.leader()
	c.Assert(l, qt.IsNotNil, qt.Commentf("a handover should need no election timeout"))
	c.Assert(l, qt.Not(qt.Equals), old)
}

// TestRestartKeepsThePromise restarts the follower that a leader's lease rests
// on, while a third replica, long cut off from the leader, asks for votes.
func TestRestartKeepsThePromise(t *testing.T) {
	for seed := range uint64(60) {
		k := newCluster(seed, 3)
		k.run(2 * time.Second)
		l := k.leader().self.ID
		lonely, voter := l%3+1, (l+1)%3+1
		k.cut[[2]uint64{l, lonely}], k.cut[[2]uint64{lonely, l}] = true, true
		k.run(time.Second)
		if k.leader() == nil || k.leader().self.ID != l {
			continue // the lonely replica won by a lost vote of confidence before
		}
		k.crash(voter)
		k.start(k.nodes[voter])
		k.cut[[2]uint64{l, voter}], k.cut[[2]uint64{voter, l}] = true, true
		for range 200 {
			k.step()
			k.leader() // fails if two replicas hold a lease at once
		}
	}
}

// TestFrozenLeaderLosesItsLease freezes a leader: by the time that another one
// leads, the frozen one's lease must have run out on its own clock.
func TestFrozenLeaderLosesItsLease(t *testing.T) {
	for seed := range uint64(40) {
		k := newCluster(seed, 3)
		k.run(2 * time.Second)
		old := k.leader()
		old.paused = true
		for range 200 {
			k.step()
			k.leader() // fails if two replicas hold a lease at once
		}
		l := k.leader()
		qt.Assert(t, l != nil && l != old, qt.IsTrue, qt.Commentf("seed %d: nobody took over", seed))
	}
}

// TestEarlierTermIsNotCommittedByCount checks that an entry of an earlier term is
// not committed by its copies alone: another leader could still overwrite it.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, 3)
	x := k.nodes[1].group.core
	x.phase, x.term = Leader, 3
	x.entries.append(Entry{Term: 2, Index: 1, Kind: EntryCommand, Data: command(0, 1)})
	x.synced = 1
	x.syncPeers()
	x.peers[2].match = 1
	x.leaderCommit()
	c.Assert(x.commit, qt.Equals, uint64(0))
	x.noopIndex = x.append(EntryNoop, nil)
	x.synced, x.peers[2].match = 2, 2
	x.leaderCommit()
	c.Assert(x.commit, qt.Equals, uint64(2))
}
