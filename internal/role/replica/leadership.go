package replica

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/controller/batch"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/claims"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
)

const (
	// collectInterval is how often expired jobs, files and idempotency keys are removed.
	collectInterval = 10 * time.Minute
	// giveUpInterval is how often a store host checks for running jobs whose retention
	// has ended.
	giveUpInterval = time.Second
	// giveUpMargin delays giving up a job, to tolerate wall clocks that differ between
	// hosts or jump.
	giveUpMargin = 10 * time.Second
	// routeEndDelay is how long after a store host found that a job's route has ended the job is given
	// up. The route may be back by then, under any name, and items that run may have ended.
	routeEndDelay = 5 * time.Second
	// unaskedDelay is how long no side asks for the items of a job until the job's owner says so: several
	// times as long as an item runs.
	unaskedDelay = 30 * time.Second
	// ownerCheckInterval is how often the owner of jobs looks for such ones.
	ownerCheckInterval = time.Second
	// maxRouteAge is the age of a store host's configuration past which it gives up no jobs for it: a
	// newer one may have their route.
	maxRouteAge = 3 * time.Second
)

// leadership holds a job group and what only its leader uses: the owner of rate
// limits and the dispatcher of batch items. Every replica has one.
type leadership struct {
	group         *raft.Group
	machine       *shard.Machine
	owner         *limit.Owner
	dispatcher    *batch.Dispatcher
	logger        log.Interface
	nextCheckAt   time.Time // when collect next runs
	settledTerm   uint64    // newest term that was proposed as settled
	nextCollectAt time.Time // when collect next removes expired records
	nextUnaskedAt time.Time // when reportUnasked next looks for jobs
	// term is the term for which owner and dispatcher have begun; 0 means none.
	term atomic.Uint64
}

// tick starts the owner and the dispatcher once this host leads under a valid lease
// and has applied all committed entries. After that it does the leader's periodic
// work.
func (l *leadership) tick(h *Host) {
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
	l.reportUnasked(h)
	l.collect(h)
}

// reportUnasked logs the jobs whose items no side asks for: none has a target that may run them.
func (l *leadership) reportUnasked(h *Host) {
	now := h.Clock.Now()
	if now.Before(l.nextUnaskedAt) {
		return
	}
	l.nextUnaskedAt = now.Add(ownerCheckInterval)
	for _, p := range l.dispatcher.TakeUnasked(unaskedDelay) {
		h.Logger.WithFields(log.Fields{"job": p.Job, "need": p.Need, "items": p.Items, "version": h.Current().Version}).Warn("no side asks for the items of a batch job")
	}
}

// settle commits, once a term, that all rate-limit grants of earlier owners have
// expired, so that the next leader need not wait for them even if all replicas
// restart.
func (l *leadership) settle(h *Host, term uint64) {
	if l.settledTerm == term || l.machine.Settled() >= term || !l.owner.EarlierGrantsExpired() {
		return
	}
	l.settledTerm = term
	l.propose(h, &shard.Command{Settled: term})
}

// collect removes jobs, files and idempotency keys whose retention has ended. On a
// store host it also gives up running jobs past their retention, and those whose route has ended.
func (l *leadership) collect(h *Host) {
	now := h.Clock.Now()
	if now.Before(l.nextCheckAt) {
		return
	}
	interval := collectInterval
	if h.Store {
		interval = giveUpInterval
		for _, id := range l.machine.Jobs.JobsPastRetention(now.Add(-giveUpMargin)) {
			l.giveUp(h, id, "its retention has ended")
		}
		l.dispatcher.Reroute()
		if h.Clock.Since(h.ConfirmedAt()) <= maxRouteAge {
			for _, id := range l.machine.Jobs.JobsWithoutRoute(now.Add(-routeEndDelay)) {
				l.giveUp(h, id, "its route has ended")
			}
		}
	}
	l.nextCheckAt = now.Add(interval)
	if h.Store && now.Before(l.nextCollectAt) {
		return
	}
	l.nextCollectAt = now.Add(collectInterval)
	before := now.Add(-h.retention())
	l.propose(h, &shard.Command{Jobs: &jobs.Command{Collect: &jobs.Collect{Before: before}}})
	l.propose(h, &shard.Command{Claims: &claims.Command{Collect: &before}})
}

// giveUp fails the items of a job that are not done.
func (l *leadership) giveUp(h *Host, job, why string) {
	h.Logger.WithFields(log.Fields{"job": job, "version": h.Current().Version, "cause": why}).Info("batch job given up")
	l.propose(h, &shard.Command{Jobs: &jobs.Command{GiveUp: &jobs.GiveUp{Job: job}}})
}

// propose submits a command of the leader itself, without waiting for the result.
// If the command is lost, a later tick or the next leader submits it again.
func (l *leadership) propose(h *Host, c *shard.Command) {
	h.setTimes(c)
	data, err := wire.Marshal(c)
	if err != nil {
		h.fail(err)
		return
	}
	l.group.Propose(data, func(raft.Result) {})
}

// leads reports whether this host may act as the group's leader now: it holds a
// valid lease, and the owner and the dispatcher have started in this term.
func (l *leadership) leads() bool {
	s := l.group.Status()
	return s.Phase == raft.Leader && l.term.Load() == s.Term && l.group.Leased()
}
