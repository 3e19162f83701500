package side

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// renewInterval is how often leases are renewed; a cancelled job is noticed then.
	renewInterval = 700 * time.Millisecond
	// leaseTimeout bounds one call for leases.
	leaseTimeout = 3 * time.Second
	// flushInterval bounds how long a finished item waits to be reported.
	flushInterval = 20 * time.Millisecond
	// flushItems is how many finished items are reported at once.
	flushItems = 64
	// emptyPause and emptyPauseMax bound the wait after a group had no items.
	emptyPause    = 50 * time.Millisecond
	emptyPauseMax = 500 * time.Millisecond
	// emptyPauseBeside is that bound where no backlog tells of new items.
	emptyPauseBeside = 250 * time.Millisecond
	// spare is how many items are leased beyond the room that is there.
	spare = 4
	// returnTimeout bounds the return of leases when the side leaves.
	returnTimeout = 3 * time.Second
)

// worker leases batch items and runs them as the gate lets them.
type worker struct {
	host   *Host
	clock  clockwork.Clock
	random *rand.Rand
	// incarnation tells this process from an earlier one beside the same target.
	incarnation string

	mu    sync.Mutex
	held  map[jobs.ItemRef]*task // leased and not reported yet
	ready []*task                // waiting for a place
	tasks conc.WaitGroup
	// outcomes are reported group by group.
	outcomes []groupOutcome
	flush    chan struct{}
	wakeup   chan struct{}
}

// task is one leased item.
type task struct {
	grant  jobs.Grant
	group  uint32
	ctx    context.Context
	cancel context.CancelFunc
	until  time.Time // end of the lease
	waits  time.Time // for room, since it was leased or preempted
	// place is set while the task runs.
	place   *gatekeeper.Slot
	partial partial
	// output is what the item has produced so far, with a Probe.
	output output
}

type groupOutcome struct {
	group   uint32
	outcome jobs.Outcome
}

func newWorker(h *Host) *worker {
	return &worker{
		host: h, clock: h.Clock, incarnation: strconv.FormatUint(h.Random.Uint64(), 36), random: rand.New(rand.NewPCG(h.Random.Uint64(), 0)),
		held: map[jobs.ItemRef]*task{}, flush: make(chan struct{}, 1), wakeup: make(chan struct{}, 1),
	}
}

// run works until ctx ends and then returns what it did not run.
func (w *worker) run(ctx context.Context) {
	var g conc.WaitGroup
	report, stopReport := context.WithCancel(context.WithoutCancel(ctx))
	g.Go(func() { w.reportLoop(report) })
	g.Go(func() { w.renewLoop(ctx) })
	w.lease(ctx)
	w.handBack()
	w.stopRunning()
	w.tasks.Wait()
	stopReport()
	g.Wait()
	w.report()
}

// wait returns once no task runs.
func (w *worker) wait() { w.tasks.Wait() }

// lease keeps as many items at hand as there is room for.
func (w *worker) lease(ctx context.Context) {
	pause := emptyPause
	for ctx.Err() == nil {
		w.startReady(ctx)
		w.giveBackWaiting()
		n := w.wanted()
		got := 0
		if n > 0 {
			got = w.fetch(ctx, n)
		}
		if got > 0 {
			pause = emptyPause
			continue
		}
		wait := pause
		if n > 0 {
			pause = min(pause*2, w.longestPause())
		} else {
			wait = emptyPause
		}
		w.idle(ctx, wait)
	}
}

// longestPause bounds the wait after the groups had no items.
func (w *worker) longestPause() time.Duration {
	if w.host.Probe != nil {
		return emptyPauseBeside
	}
	return emptyPauseMax
}

// idle waits for room, for a finished task or for the pause to end.
func (w *worker) idle(ctx context.Context, pause time.Duration) {
	t := w.clock.NewTimer(pause)
	defer t.Stop()
	var room <-chan struct{}
	if w.hasReady() {
		room = w.host.keeper.BatchReady()
	}
	select {
	case <-ctx.Done():
	case <-t.Chan():
	case <-w.wakeup:
	case <-room:
	case <-w.host.watcher.Changed():
	}
}

func (w *worker) hasReady() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ready) > 0
}

// wanted returns how many more items to lease.
func (w *worker) wanted() int {
	if w.host.isLeaving() || w.host.down.Load() {
		return 0
	}
	room := w.host.keeper.BatchRoom()
	w.mu.Lock()
	defer w.mu.Unlock()
	if room <= 0 {
		return 0
	}
	if w.host.Probe != nil {
		return max(0, room-len(w.ready))
	}
	return max(0, room+spare-len(w.ready))
}

// needs lists the models and routes of the target for which items are pending.
func (w *worker) needs() []string {
	if w.host.Probe != nil {
		return w.host.jobRoutes()
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

// fetch leases up to n items from the groups, beginning with a random one.
func (w *worker) fetch(ctx context.Context, n int) int {
	groups := w.host.groups()
	needs := w.needs()
	if groups == 0 || len(needs) == 0 {
		return 0
	}
	first := w.random.IntN(groups)
	got := 0
	for i := 0; i < groups && got < n; i++ {
		group := uint32((first+i)%groups) + 1
		got += w.fetchFrom(ctx, group, needs, n-got)
	}
	return got
}

func (w *worker) fetchFrom(ctx context.Context, group uint32, needs []string, n int) int {
	call, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	sent := w.clock.Now()
	r, err := w.host.control.Lease(call, &control.Lease{
		Group: group, Side: w.host.Name, Incarnation: w.incarnation, Needs: needs, Count: n,
	})
	if err != nil {
		return 0
	}
	for _, g := range r.Granted {
		w.add(g, group, sent.Add(r.TTL))
	}
	w.startReady(ctx)
	return len(r.Granted)
}

func (w *worker) add(g jobs.Grant, group uint32, until time.Time) {
	t := &task{grant: g, group: group, until: until, waits: w.clock.Now()}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.output = decodeOutput(g.Progress)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held[g.Ref] = t
	w.ready = append(w.ready, t)
}

// startReady starts waiting items while the gate has room.
func (w *worker) startReady(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		if len(w.ready) == 0 {
			w.mu.Unlock()
			return
		}
		t := w.ready[0]
		w.mu.Unlock()
		work := rhubarbgate.Work{Class: rhubarbgate.Batch, Workspace: t.grant.Workspace, Deadline: t.grant.Due, Progress: len(t.output.Text)}
		p := w.host.keeper.Acquire(t.ctx, work)
		if p == nil && t.ctx.Err() == nil {
			return
		}
		w.placed(t, p)
		if p != nil {
			w.tasks.Go(func() { w.work(ctx, t, p) })
		}
	}
}

// placed notes that a task has got a place, or that its lease was lost. Another
// task may have been put before it meanwhile.
func (w *worker) placed(t *task, p *gatekeeper.Slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeReady(t)
	t.place = p
}

// signal wakes the lease loop.
func (w *worker) signal() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// renewLoop renews leases and stops work whose lease has ended.
func (w *worker) renewLoop(ctx context.Context) {
	t := w.clock.NewTicker(renewInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		for group, refs := range w.byGroup() {
			w.renew(ctx, group, refs)
		}
		w.dropExpired()
	}
}

func (w *worker) byGroup() map[uint32][]jobs.ItemRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := map[uint32][]jobs.ItemRef{}
	for ref, t := range w.held {
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
			w.drop(ref)
			continue
		}
		w.prolong(ref, sent)
	}
}

func (w *worker) prolong(ref jobs.ItemRef, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.held[ref]; t != nil {
		t.until = sent.Add(leaseTTL)
	}
}

// drop stops a task whose lease is no longer valid.
func (w *worker) drop(ref jobs.ItemRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.held[ref]
	if t == nil {
		return
	}
	w.host.counts.lost.Add(1)
	delete(w.held, ref)
	w.removeReady(t)
	t.cancel()
}

func (w *worker) removeReady(t *task) {
	for i, x := range w.ready {
		if x == t {
			w.ready = append(w.ready[:i], w.ready[i+1:]...)
			return
		}
	}
}

func (w *worker) dropExpired() {
	now := w.clock.Now()
	w.mu.Lock()
	var expired []jobs.ItemRef
	for ref, t := range w.held {
		if !now.Before(t.until) {
			expired = append(expired, ref)
		}
	}
	w.mu.Unlock()
	for _, ref := range expired {
		w.drop(ref)
	}
}

// stopRunning ends the tasks that another side may continue; the others finish.
func (w *worker) stopRunning() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.held {
		if t.place != nil && t.grant.Idempotent {
			t.place.Preempt()
		}
	}
}

// handBack returns the leases of items that wait, when the side leaves.
func (w *worker) handBack() {
	w.mu.Lock()
	byGroup := map[uint32][]jobs.ItemRef{}
	for _, t := range w.ready {
		byGroup[t.group] = append(byGroup[t.group], t.grant.Ref)
		delete(w.held, t.grant.Ref)
	}
	w.ready = nil
	w.mu.Unlock()
	for group, refs := range byGroup {
		ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
		// A return that is lost only costs the time until the lease ends.
		_, _ = w.host.control.Jobs(ctx, group, jobs.Command{Return: &jobs.Return{Items: refs}})
		cancel()
	}
}
