package side

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	// headroomSlots is the number of slots that batch items leave free.
	headroomSlots = 0
	// busyProbeInterval is the interval of load probes while items run or are
	// queued: a fraction of the time within which preempted items must stop.
	busyProbeInterval = 20 * time.Millisecond
	// idleProbeInterval is the interval of load probes without items.
	idleProbeInterval = 100 * time.Millisecond
	// askedProbeInterval is the interval of load probes without items while entries ask for free slots:
	// the lag of a report, below which more probes show little more.
	askedProbeInterval = 50 * time.Millisecond
	// maxIdleRequests is how many requests an idle target may have.
	maxIdleRequests = 1
	// loadProbeTimeout bounds one load probe.
	loadProbeTimeout = 500 * time.Millisecond
)

// runBatchOnly runs batch items on a target whose online requests do not pass
// through this side.
func (h *Host) runBatchOnly(ctx, work context.Context) error {
	work, stop := context.WithCancel(work)
	defer stop()
	batch, stopBatch := context.WithCancel(work)
	defer stopBatch()
	var tasks conc.WaitGroup
	if h.Listener != nil {
		mux := wire.NewMux()
		mux.OnPanic, mux.OnTooLarge = wire.LogPanics(h.Logger), wire.LogTooLarge(h.Logger)
		mux.Port = h.Account.Port("fleet", account.Messages, true)
		wire.Unary(mux, side.MethodContinuity, wire.Entries, h.handleContinuity)
		tasks.Go(func() { _ = mux.Serve(work, h.Listener) })
	}
	tasks.Go(func() { h.watcher.Run(work) })
	tasks.Go(func() { h.Targets.Run(work) })
	tasks.Go(func() { h.crashes.Run(work) })
	tasks.Go(func() { h.limits.Run(work) })
	tasks.Go(func() { h.followEvacuation(work) })
	tasks.Go(func() { h.pollLoad(work) })
	if h.reservations != nil {
		tasks.Go(func() { h.reservations.Run(work) })
	}
	tasks.Go(func() { h.worker.run(batch) })
	<-ctx.Done()
	h.drain(stopBatch)
	stop()
	tasks.Wait()
	return errors.Trace(nil)
}

// handleContinuity tells an entry for how long the address of this side's target has been in use. The
// list does not count, as it lags: it may still show a target whose address another one has by now.
func (h *Host) handleContinuity(_ context.Context, in *side.Continuity) (*side.ContinuityReply, error) {
	since, known := h.presence.Since()
	if in.Target != h.Target || !known {
		return &side.ContinuityReply{}, nil
	}
	return &side.ContinuityReply{InUse: h.Clock.Since(since)}, nil
}

// pollLoad probes the target's load until ctx ends, except while its zone is evacuated.
func (h *Host) pollLoad(ctx context.Context) {
	for ctx.Err() == nil {
		if !h.evacuated.Load() {
			wasDown := h.targetDown.Load()
			h.probeLoad(ctx)
			h.checkHealth(ctx, wasDown && !h.targetDown.Load())
		}
		interval := idleProbeInterval
		switch {
		case h.worker.hasTasks():
			interval = busyProbeInterval
		case h.reservations.Asked():
			interval = askedProbeInterval
		}
		select {
		case <-ctx.Done():
		case <-h.Clock.After(interval):
		}
	}
}

func (h *Host) probeLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadProbeTimeout)
	defer cancel()
	sent := h.Clock.Now()
	items := h.keeper.Load().Batch
	l, err := h.Probe.Load(ctx)
	if err != nil {
		if !h.targetDown.Load() {
			h.Logger.WithError(err).Warn("cannot read the load of the target")
		}
		h.setTargetDown(true)
		h.reservations.LoadLost()
		h.keeper.LoadLost()
		return
	}
	h.presence.Observe(sent)
	h.setTargetDown(false)
	h.targetRequests.Store(int64(l.Running + l.Waiting))
	h.reservations.ObserveLoad(l, sent, items)
	h.keeper.ObserveLoad(l)
}

// isBusy reports whether the target has more requests than an idle one may have.
func (h *Host) isBusy() bool { return h.targetRequests.Load() > maxIdleRequests }

// hasTasks reports whether items run or are queued at this side.
func (w *worker) hasTasks() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.leased) > 0
}

// targetName returns the name of this side's target, empty while it is not listed.
func (h *Host) targetName() string {
	i, ok := h.Targets.Find(h.Target)
	if !ok {
		return ""
	}
	return discovery.TargetName(i)
}

// limitAvailable reports whether the target takes another request, and if not, after which time.
func (h *Host) limitAvailable() (ok bool, wait time.Duration) {
	if h.Probe == nil {
		return true, 0
	}
	_, ok, wait = h.limits.Available(h.targetName())
	return ok, wait
}

// targetUsable reports whether the target is listed, not leaving, and still at its address.
func (h *Host) targetUsable() bool {
	i, ok := h.Targets.Find(h.Target)
	return ok && !i.Leaving && !h.Targets.Replaced(i)
}

// batchJobRoutes lists the batch-job routes whose items the target may run, none
// if the configuration is stale.
func (h *Host) batchJobRoutes() []string {
	i, ok := h.Targets.Find(h.Target)
	if !ok || h.Clock.Since(h.watcher.ConfirmedAt()) > h.MaxAge {
		return nil
	}
	var r []string
	for name, x := range h.configuration().Routes {
		if x.Kind == rhubarbgate.BatchJob && splitIncludes(x.Split, i.Service) {
			r = append(r, name)
		}
	}
	return r
}

// namesService reports whether a route has the service.
func (h *Host) namesService(service string) bool {
	for _, x := range h.configuration().Routes {
		if slices.ContainsFunc(x.Split, func(s rhubarbgate.Share) bool { return s.Service == service }) {
			return true
		}
	}
	return false
}

func splitIncludes(split []rhubarbgate.Share, service string) bool {
	for _, s := range split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// jobGroups returns the number of job groups, 0 while it is not known.
func (h *Host) jobGroups() int {
	if h.Probe != nil {
		return h.watcher.Peers().StoreGroups
	}
	return h.watcher.Groups()
}
