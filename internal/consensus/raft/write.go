package raft

import (
	"time"

	"github.com/juju/errors"
)

const (
	// slowWriteThreshold is the duration beyond which a write of the log is reported.
	// It is of the order of the election timeout.
	slowWriteThreshold = 200 * time.Millisecond
	// stalledWriteTimeout is the duration of a write beyond which a leader steps down
	// and other replicas do not campaign. A busy disk can take 0.8 s for a sync; one that
	// takes longer than 1 s counts as stalled.
	stalledWriteTimeout = time.Second
	// fullDiskRetryInterval is the time between attempts of a write for which the disk has no room.
	fullDiskRetryInterval = 100 * time.Millisecond
)

// logWrite is a write of the log in progress. The group continues to handle events, so
// that a slow sync delays no heartbeat.
type logWrite struct {
	hardState HardState
	// messages depend on the write and are sent once it is durable.
	messages  []Message
	startedAt time.Time
	run       func() error
	done      chan struct{}
	err       error     // valid once done is closed
	retryAt   time.Time // when the write is attempted again; zero unless the disk was full
}

func (w *logWrite) finished() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// persist sends the messages that need no sync, completes and starts writes, and sends
// the other messages if nothing is left to write.
func (g *Group) persist() error {
	c := g.core
	g.sendAll(&c.outImmediate)
	for {
		if err := g.completeWrite(); err != nil {
			return errors.Trace(err)
		}
		if g.pendingWrite != nil {
			break
		}
		if err := g.startWrite(); err != nil {
			return errors.Trace(err)
		}
		if g.pendingWrite == nil {
			g.sendAll(&c.outAfterSync)
			break
		}
	}
	if c.phase == Leader {
		c.advanceLeaderCommit()
		if c.commitIndex > g.announcedCommit {
			g.announcedCommit = c.commitIndex
			c.announceCommit()
			g.sendAll(&c.outImmediate)
		}
	}
	return nil
}

// startWrite starts a write of everything that is not durable yet, if there is any.
func (g *Group) startWrite() error {
	c := g.core
	hardState := HardState{Term: c.term, Vote: c.votedFor}
	unsynced := c.raftLog.from(c.syncedIndex + 1)
	var run func() error
	switch {
	case c.installedSnapshot != nil:
		if err := g.restoreInstalled(); err != nil {
			return errors.Trace(err)
		}
		run = g.resetWrite(hardState)
	case g.compactionPending:
		run = g.resetWrite(hardState)
	case len(unsynced) > 0 || c.hardStateChanged:
		run = func() error { return g.Log.Append(hardState, unsynced) }
	default:
		return nil
	}
	w := &logWrite{hardState: hardState, messages: c.outAfterSync, startedAt: g.Clock.Now(), run: run}
	c.outAfterSync, c.hardStateChanged, g.compactionPending = nil, false, false
	c.writingIndex, c.writeStartedAt = c.raftLog.last(), w.startedAt
	g.pendingWrite = w
	g.attempt(w)
	return nil
}

// attempt makes an attempt of a write.
func (g *Group) attempt(w *logWrite) {
	done := make(chan struct{})
	w.done = done
	g.Background(func() {
		w.err = w.run()
		close(done)
		g.signal()
	})
}

// retryWhenDue attempts a write again for which the disk had no room. Meanwhile it counts as one in progress, so that a
// full disk is like a slow one: the replica acknowledges nothing, and after stalledWriteTimeout it neither leads nor
// campaigns.
func (g *Group) retryWhenDue(w *logWrite) {
	now := g.Clock.Now()
	switch {
	case w.retryAt.IsZero():
		g.Logger.WithError(w.err).WithField("group", g.ID).Warn("the disk is full, waiting for room")
		w.retryAt = now.Add(fullDiskRetryInterval)
	case !now.Before(w.retryAt):
		w.retryAt = now.Add(fullDiskRetryInterval)
		g.attempt(w)
	}
}

// resetWrite returns a function that replaces the durable log by the one in memory.
func (g *Group) resetWrite(h HardState) func() error {
	s := Stored{HardState: h, Base: g.core.raftLog.base, Entries: g.core.raftLog.entries}
	return func() error { return g.Log.Reset(s) }
}

// restoreInstalled restores the state machine from a snapshot that the leader sent.
func (g *Group) restoreInstalled() error {
	s := *g.core.installedSnapshot
	g.core.installedSnapshot = nil
	r, err := g.Snapshots.Open()
	if err != nil {
		return errors.Trace(err)
	}
	if err := g.Machine.Restore(r); err != nil {
		return errors.Trace(err)
	}
	g.appliedIndex = s.Index
	return nil
}

// completeWrite records a finished write as synced and sends the messages that depend on
// it.
func (g *Group) completeWrite() error {
	w, c := g.pendingWrite, g.core
	if w == nil || !w.finished() {
		return nil
	}
	if IsDiskFull(w.err) {
		g.retryWhenDue(w)
		return nil
	}
	g.pendingWrite = nil
	if w.err != nil {
		return errors.Trace(w.err)
	}
	if d := g.Clock.Since(w.startedAt); d > slowWriteThreshold {
		g.Logger.WithField("group", g.ID).WithField("phase", c.phase.String()).WithField("took", d.String()).Warn("slow write to the log")
	}
	c.syncedIndex = max(c.syncedIndex, c.writingIndex)
	c.durableTerm = w.hardState.Term
	c.writingIndex, c.writeStartedAt = 0, time.Time{}
	g.sendAll(&w.messages)
	return nil
}

// awaitWrite waits for the write in progress, if any, and completes it. It does not wait for room on the disk.
func (g *Group) awaitWrite() error {
	w := g.pendingWrite
	if w == nil {
		return nil
	}
	<-w.done
	if IsDiskFull(w.err) {
		return errors.Trace(w.err)
	}
	return g.completeWrite()
}
