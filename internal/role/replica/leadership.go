package replica

import (
	"sync/atomic"
	"time"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/controller/batch"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/claims"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
)

const (
	// collectInterval is how often old jobs, files and claims are removed.
	collectInterval = 10 * time.Minute
	// giveUpInterval is how often a store host looks for jobs whose retention ended.
	giveUpInterval = time.Second
	// giveUpMargin allows for times of day that differ or jump.
	giveUpMargin = 10 * time.Second
)

// leadership is what the leader of a job group owns.
type leadership struct {
	group      *raft.Group
	machine    *shard.Machine
	owner      *limit.Owner
	dispatcher *batch.Dispatcher
	collectAt  time.Time
	settled    uint64 // newest term that was proposed as settled
	dropAt     time.Time
	// term is the term for which owner and dispatcher have begun.
	term atomic.Uint64
}

// check begins a new term of leadership as soon as its lease is valid.
func (l *leadership) check(h *Host) {
	s := l.group.Status()
	if s.Phase != raft.Leader || !l.group.Leased() {
		if s.Phase != raft.Leader && l.term.Swap(0) != 0 {
			l.machine.Jobs.EndLeasing()
		}
		return
	}
	if l.term.Load() != s.Term {
		if s.Applied < s.Commit {
			return
		}
		l.owner.Begin(limit.Predecessor{
			None: s.PredecessorTerm == 0, Begun: s.PredecessorAt, EarlierGrantsExpired: s.PredecessorTerm == l.machine.Settled(),
		})
		l.dispatcher.Begin()
		l.term.Store(s.Term)
		return
	}
	l.settle(h, s.Term)
	l.expire(h)
	l.collect(h)
}

// settle records once a term that all grants of earlier owners have run out, so
// that the next leader need not wait for them, even if all replicas restart.
func (l *leadership) settle(h *Host, term uint64) {
	if l.settled == term || l.machine.Settled() >= term || !l.owner.EarlierGrantsExpired() {
		return
	}
	l.settled = term
	l.propose(h, &shard.Command{Settled: term})
}

// collect removes what ended long ago.
func (l *leadership) collect(h *Host) {
	now := h.Clock.Now()
	if now.Before(l.collectAt) {
		return
	}
	interval := collectInterval
	if h.Store {
		interval = giveUpInterval
		for _, id := range l.machine.Jobs.Outdated(now.Add(-giveUpMargin)) {
			l.propose(h, &shard.Command{Jobs: &jobs.Command{GiveUp: &jobs.GiveUp{Job: id}}})
		}
	}
	l.collectAt = now.Add(interval)
	if h.Store && now.Before(l.dropAt) {
		return
	}
	l.dropAt = now.Add(collectInterval)
	before := now.Add(-h.retention())
	l.propose(h, &shard.Command{Jobs: &jobs.Command{Collect: &jobs.Collect{Before: before}}})
	l.propose(h, &shard.Command{Claims: &claims.Command{Collect: &before}})
}

// propose submits a command of the leader itself. If it is lost, the next look
// at the state submits it again.
func (l *leadership) propose(h *Host, c *shard.Command) {
	h.stamp(c)
	data, err := wire.Marshal(c)
	if err != nil {
		h.fail(err)
		return
	}
	l.group.Propose(data, func(raft.Result) {})
}

// leads reports whether this host may act as the group's leader now.
func (l *leadership) leads() bool {
	s := l.group.Status()
	return s.Phase == raft.Leader && l.term.Load() == s.Term && l.group.Leased()
}
