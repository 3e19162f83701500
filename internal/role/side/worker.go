package side

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// renewInterval is the interval of lease renewals and the timeout of each. The
	// reply also reveals cancelled jobs.
	renewInterval = 700 * time.Millisecond
	// leaseTimeout bounds one call that leases items.
	leaseTimeout = 3 * time.Second
	// flushInterval bounds the delay before a finished item is reported.
	flushInterval = 20 * time.Millisecond
	// flushItems is the number of finished items that triggers a report at once.
	flushItems = 64
	// emptyBackoff and maxEmptyBackoff are the first and the longest pause after the
	// groups had no items.
	emptyBackoff    = 50 * time.Millisecond
	maxEmptyBackoff = 500 * time.Millisecond
	// maxEmptyBackoffBatchOnly is the longest pause of a batch-only side, which no
	// backlog report alerts to new items.
	maxEmptyBackoffBatchOnly = 250 * time.Millisecond
	// spareItems is the number of items leased in excess of the free slots, except by
	// a batch-only side.
	spareItems = 4
	// workTTL is how long after its last item a side claims a share of its target's limit.
	workTTL = 5 * time.Second
	// askInterval is how often a side without a share requests one item.
	askInterval = time.Second
	// returnTimeout bounds one call that returns leases, reports outcomes or commits
	// the start of an item.
	returnTimeout = 3 * time.Second
)

// worker leases batch items and runs them when the gate admits them.
type worker struct {
	host   *Host
	clock  clockwork.Clock
	random *rand.Rand
	// incarnation distinguishes this process from an earlier one of the same target.
	incarnation string

	mu       sync.Mutex
	leased   map[jobs.ItemRef]*task // leased and not reported yet
	queued   []*task                // leased and waiting for a slot
	tasks    conc.WaitGroup
	leasedAt time.Time // when an item was last leased
	askedAt  time.Time // when items were last requested without a share of the target's limit
	// outcomes are the results not yet reported, each with its job group.
	outcomes []groupOutcome
	flush    chan struct{}
	wakeup   chan struct{}
	// leaseFailures counts the calls for leases that failed in a row, by group.
	leaseFailures map[uint32]int
}

// task is one leased item.
type task struct {
	grant       jobs.Grant
	group       uint32
	ctx         context.Context
	cancel      context.CancelFunc
	leaseExpiry time.Time // when the lease expires
	queuedSince time.Time // when it was leased or last preempted
	// slot is set while the task runs.
	slot    *gatekeeper.Slot
	partial partialOutput
	// output is the item's output so far, if the host has a Probe.
	output output
	// returnDelay is how long the item is kept before its lease is returned, if that is longer
	// than failedAttemptDelay.
	returnDelay time.Duration
	// brokenOffBy is the target that broke off the last attempt before it had answered, if any,
	// and targetEnded says that it has ended.
	brokenOffBy *discovery.Target
	targetEnded bool
}

type groupOutcome struct {
	group   uint32
	outcome jobs.Outcome
}

func newWorker(h *Host) *worker {
	return &worker{
		host: h, clock: h.Clock, incarnation: strconv.FormatUint(h.Random.Uint64(), 36), random: rand.New(rand.NewPCG(h.Random.Uint64(), 0)),
		leased: map[jobs.ItemRef]*task{}, leaseFailures: map[uint32]int{}, flush: make(chan struct{}, 1), wakeup: make(chan struct{}, 1),
	}
}

// run leases and runs items until ctx ends. Then it returns the leases of queued
// items, preempts running idempotent ones, waits for the rest and reports their outcomes.
func (w *worker) run(ctx context.Context) {
	var g conc.WaitGroup
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.Go(func() { w.reportLoop(running) })
	g.Go(func() { w.renewLoop(running) })
	w.leaseLoop(ctx)
	w.returnAllQueued()
	w.preemptRunning()
	w.tasks.Wait()
	stop()
	g.Wait()
	w.reportOutcomes()
}

// waitForTasks waits until no task runs.
func (w *worker) waitForTasks() { w.tasks.Wait() }

// leaseLoop keeps as many items leased as the target has free slots for, plus
// spareItems.
func (w *worker) leaseLoop(ctx context.Context) {
	backoff := emptyBackoff
	for ctx.Err() == nil {
		w.startQueued(ctx)
		w.returnQueued()
		n := w.itemsToLease()
		leased := 0
		if n > 0 {
			leased = w.leaseItems(ctx, n)
		}
		if leased > 0 {
			backoff = emptyBackoff
			continue
		}
		wait := backoff
		if n > 0 {
			backoff = min(backoff*2, w.maxBackoff())
		} else {
			wait = emptyBackoff
		}
		w.waitForChange(ctx, wait)
	}
}

// maxBackoff returns the longest pause after the groups had no items.
func (w *worker) maxBackoff() time.Duration {
	if w.host.Probe != nil {
		return maxEmptyBackoffBatchOnly
	}
	return maxEmptyBackoff
}

// waitForChange waits until a slot may be free for a queued task, a task finishes,
// the watcher reports a change, the backoff elapses or ctx ends.
func (w *worker) waitForChange(ctx context.Context, backoff time.Duration) {
	var slotFreed <-chan struct{}
	if w.hasQueued() {
		// A free slot is of no use while the target's limit leaves no token.
		if ok, untilToken := w.host.limitAvailable(); ok {
			slotFreed = w.host.keeper.BatchReady()
		} else {
			backoff = min(backoff, untilToken)
		}
	}
	t := w.clock.NewTimer(backoff)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.Chan():
	case <-w.wakeup:
	case <-slotFreed:
	case <-w.host.watcher.Changed():
	}
}

func (w *worker) hasQueued() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queued) > 0
}

// itemsToLease returns the number of further items to lease.
func (w *worker) itemsToLease() int {
	if w.host.isLeaving() || w.host.targetDown.Load() {
		return 0
	}
	free := w.host.keeper.FreeBatchSlots()
	w.mu.Lock()
	defer w.mu.Unlock()
	if free <= 0 {
		return 0
	}
	if w.host.Probe != nil {
		return min(max(0, free-len(w.queued)), w.allowedByLimit())
	}
	return max(0, free+spareItems-len(w.queued))
}

// allowedByLimit returns how many items may be leased under the target's limit. Without a share of
// the limit it is one item now and then, to find out whether there is work to claim a share for.
// The lock is held.
func (w *worker) allowedByLimit() int {
	ok, _ := w.host.limitAvailable()
	now := w.clock.Now()
	switch {
	case w.host.Probe != nil && w.host.limits.IsCold(w.host.targetName()):
		// Each item needs a token of its own.
		if ok && len(w.queued) == 0 {
			return 1
		}
		return 0
	case ok:
		return w.host.Slots
	case now.Sub(w.leasedAt) < workTTL || now.Sub(w.askedAt) < askInterval:
		return 0
	}
	w.askedAt = now
	return 1
}

// hadItems reports whether this side leased items a short time ago.
func (w *worker) hadItems() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.leased) > 0 || w.clock.Since(w.leasedAt) < workTTL
}

// needs lists the models and routes of the target for which the backlog has items
// or, with a Probe, all batch-job routes of the target.
func (w *worker) needs() []string {
	if w.host.Probe != nil {
		return w.host.batchJobRoutes()
	}
	backlog := w.host.watcher.Backlog()
	if len(backlog) == 0 {
		return nil
	}
	t := w.host.configuration().Targets[w.host.Name]
	var r []string
	for _, m := range t.Models {
		if len(w.host.Models) == 0 || slices.Contains(w.host.Models, m) {
			r = append(r, m)
		}
	}
	for _, x := range t.Routes {
		r = append(r, "/services/"+x)
	}
	return slices.DeleteFunc(r, func(x string) bool { return !slices.Contains(backlog, x) })
}

// leaseItems leases up to n items from the groups, starting at a random group.
func (w *worker) leaseItems(ctx context.Context, n int) int {
	groups := w.host.jobGroups()
	needs := w.needs()
	if groups == 0 || len(needs) == 0 {
		return 0
	}
	first := w.random.IntN(groups)
	leased := 0
	for i := 0; i < groups && leased < n; i++ {
		group := uint32((first+i)%groups) + 1
		leased += w.leaseFromGroup(ctx, group, needs, n-leased)
	}
	return leased
}

// leaseFromGroup leases up to n items. After a call that failed it is one, since the reply may have been
// what failed: too large for a message, or for the time that the call has.
func (w *worker) leaseFromGroup(ctx context.Context, group uint32, needs []string, n int) int {
	if w.leaseFailures[group] > 0 {
		n = 1
	}
	call, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	sent := w.clock.Now()
	r, err := w.host.control.Lease(call, &control.Lease{
		Group: group, Side: w.host.Name, Incarnation: w.incarnation, Needs: needs, Count: n,
	})
	if err != nil {
		if ctx.Err() == nil {
			w.leaseFailures[group]++
			w.logLeaseFailure(group, n, err)
		}
		return 0
	}
	delete(w.leaseFailures, group)
	for _, g := range r.Granted {
		w.addTask(g, group, sent.Add(r.TTL))
	}
	w.startQueued(ctx)
	return len(r.Granted)
}

// logLeaseFailure logs failures 1, 2, 4, 8 and so on in a row, to bound the log.
func (w *worker) logLeaseFailure(group uint32, n int, err error) {
	if failures := w.leaseFailures[group]; failures&(failures-1) == 0 {
		w.host.Logger.WithError(err).WithFields(log.Fields{"group": group, "items": n, "failures": failures}).Warn("cannot lease items")
	}
}

func (w *worker) addTask(g jobs.Grant, group uint32, leaseExpiry time.Time) {
	t := &task{grant: g, group: group, leaseExpiry: leaseExpiry, queuedSince: w.clock.Now()}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.output = decodeOutput(g.Progress)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leased[g.Ref], w.leasedAt = t, w.clock.Now()
	w.queued = append(w.queued, t)
}

// startQueued starts queued items while the gate has free slots.
func (w *worker) startQueued(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if len(w.queued) == 0 {
			w.mu.Unlock()
			return
		}
		t := w.queued[0]
		w.mu.Unlock()
		if ok, _ := w.host.limitAvailable(); !ok || w.host.evacuated.Load() {
			return
		}
		work := rhubarbgate.Work{Class: rhubarbgate.Batch, Workspace: t.grant.Workspace, Deadline: t.grant.Due, Progress: len(t.output.Text)}
		p := w.host.keeper.Acquire(t.ctx, work)
		if p == nil && t.ctx.Err() == nil {
			return
		}
		if p != nil && w.host.Probe != nil && !w.host.limits.Take(w.host.targetName()) {
			p.Release()
			return
		}
		w.setSlot(t, p)
		if p != nil && w.host.evacuated.Load() {
			// The zone may have been evacuated after preemptRunning looked for items.
			p.Preempt()
		}
		if p != nil {
			w.tasks.Go(func() { w.runTask(ctx, t, p) })
		}
	}
}

// setSlot removes a task from the queue after it got a slot or lost its lease (p is
// nil). Another task may have been put ahead of it in the meantime.
func (w *worker) setSlot(t *task, p *gatekeeper.Slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeQueued(t)
	t.slot = p
}

// wake wakes leaseLoop; a wakeup that is pending already suffices.
func (w *worker) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// renewLoop renews leases and stops tasks whose lease has expired.
func (w *worker) renewLoop(ctx context.Context) {
	t := w.clock.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		for group, refs := range w.leasedByGroup() {
			w.renew(ctx, group, refs)
		}
		w.dropExpired()
	}
}

func (w *worker) leasedByGroup() map[uint32][]jobs.ItemRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := map[uint32][]jobs.ItemRef{}
	for ref, t := range w.leased {
		r[t.group] = append(r[t.group], ref)
	}
	return r
}

func (w *worker) renew(ctx context.Context, group uint32, refs []jobs.ItemRef) {
	call, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	sent := w.clock.Now()
	r, err := w.host.control.Renew(call, &control.Renew{Group: group, Side: w.host.Name, Items: refs})
	if err != nil || len(r.Live) != len(refs) {
		return
	}
	for i, ref := range refs {
		if !r.Live[i] {
			w.dropTask(ref)
			continue
		}
		w.extendLease(ref, sent)
	}
}

func (w *worker) extendLease(ref jobs.ItemRef, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.leased[ref]; t != nil {
		t.leaseExpiry = sent.Add(leaseTTL)
	}
}

// dropTask stops a task whose lease is no longer valid.
func (w *worker) dropTask(ref jobs.ItemRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.leased[ref]
	if t == nil {
		return
	}
	w.host.counts.lostLeases.Add(1)
	delete(w.leased, ref)
	w.removeQueued(t)
	t.cancel()
}

func (w *worker) removeQueued(t *task) {
	for i, x := range w.queued {
		if x == t {
			w.queued = append(w.queued[:i], w.queued[i+1:]...)
			return
		}
	}
}

func (w *worker) dropExpired() {
	now := w.clock.Now()
	w.mu.Lock()
	var expired []jobs.ItemRef
	for ref, t := range w.leased {
		if !now.Before(t.leaseExpiry) {
			expired = append(expired, ref)
		}
	}
	w.mu.Unlock()
	for _, ref := range expired {
		w.dropTask(ref)
	}
}

// preemptRunning preempts the running idempotent tasks, which another side may
// continue, and returns how many; the others run to their end.
func (w *worker) preemptRunning() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.leased {
		if t.slot != nil && t.grant.Idempotent {
			t.slot.Preempt()
			n++
		}
	}
	return n
}

// returnAllQueued returns the leases of all queued items when the side drains.
func (w *worker) returnAllQueued() {
	w.mu.Lock()
	byGroup := map[uint32][]jobs.ItemRef{}
	for _, t := range w.queued {
		byGroup[t.group] = append(byGroup[t.group], t.grant.Ref)
		delete(w.leased, t.grant.Ref)
	}
	w.queued = nil
	w.mu.Unlock()
	for group, refs := range byGroup {
		ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
		// If the return is lost, the items stay leased until the lease expires.
		_, _ = w.host.control.Jobs(ctx, group, jobs.Command{Return: &jobs.Return{Items: refs}})
		cancel()
	}
}
