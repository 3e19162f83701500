package raft

import (
	"time"

	"github.com/juju/errors"
)

const (
	// slowWrite is the duration from which a write is logged. Elections begin
	// after a silence of the same order.
	slowWrite = 200 * time.Millisecond
	// stuckWrite is how long a leader waits for its own disk before it steps
	// down. Busy disks were seen to take 0.8 s for a sync.
	stuckWrite = 2 * time.Second
)

// write is a change of the log on its way to the disk. The group goes on
// meanwhile, so that a slow sync delays no heartbeat.
type write struct {
	hard HardState
	// replies depend on the write and leave once it is durable.
	replies []Message
	began   time.Time
	done    chan struct{}
	err     error // valid once done is closed
}

func (w *write) finished() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// persist sends early messages, ends and begins writes, and sends what no write
// holds back.
func (g *Group) persist() error {
	c := g.core
	g.sendAll(&c.early)
	for {
		if err := g.endWrite(); err != nil {
			return errors.Trace(err)
		}
		if g.writing != nil {
			break
		}
		if err := g.beginWrite(); err != nil {
			return errors.Trace(err)
		}
		if g.writing == nil {
			g.sendAll(&c.out)
			break
		}
	}
	if c.phase == Leader {
		c.leaderCommit()
		if c.commit > g.announced {
			g.announced = c.commit
			c.announceCommit()
			g.sendAll(&c.early)
		}
	}
	return nil
}

// beginWrite writes what is not durable yet, if anything.
func (g *Group) beginWrite() error {
	c := g.core
	hard := HardState{Term: c.term, Vote: c.vote}
	unsynced := c.entries.from(c.synced + 1)
	var run func() error
	switch {
	case c.installed != nil:
		if err := g.restoreInstalled(); err != nil {
			return errors.Trace(err)
		}
		run = g.reset(hard)
	case g.compacted:
		run = g.reset(hard)
	case len(unsynced) > 0 || c.dirty:
		run = func() error { return g.Log.Append(hard, unsynced) }
	default:
		return nil
	}
	w := &write{hard: hard, replies: c.out, began: g.Clock.Now(), done: make(chan struct{})}
	c.out, c.dirty, g.compacted = nil, false, false
	c.writing, c.writingSince = c.entries.last(), w.began
	g.writing = w
	g.Background(func() {
		w.err = run()
		close(w.done)
		g.signal()
	})
	return nil
}

// reset returns the write that replaces the log by the core's.
func (g *Group) reset(h HardState) func() error {
	s := Stored{HardState: h, Base: g.core.entries.base, Entries: g.core.entries.entries}
	return func() error { return g.Log.Reset(s) }
}

// restoreInstalled makes the machine follow a snapshot from the leader.
func (g *Group) restoreInstalled() error {
	s := *g.core.installed
	g.core.installed = nil
	r, err := g.Snapshots.Open()
	if err != nil {
		return errors.Trace(err)
	}
	if err := g.Machine.Restore(r); err != nil {
		return errors.Trace(err)
	}
	g.applied = s.Index
	return nil
}

// endWrite takes note of a write that has finished.
func (g *Group) endWrite() error {
	w, c := g.writing, g.core
	if w == nil || !w.finished() {
		return nil
	}
	g.writing = nil
	if w.err != nil {
		return errors.Trace(w.err)
	}
	if d := g.Clock.Since(w.began); d > slowWrite {
		g.Logger.WithField("group", g.ID).WithField("phase", c.phase.String()).WithField("took", d.String()).Warn("slow write to the log")
	}
	c.synced = max(c.synced, c.writing)
	c.durableTerm = w.hard.Term
	c.writing, c.writingSince = 0, time.Time{}
	g.sendAll(&w.replies)
	return nil
}

// awaitWrite returns once no write is under way.
func (g *Group) awaitWrite() error {
	if g.writing == nil {
		return nil
	}
	<-g.writing.done
	return g.endWrite()
}
