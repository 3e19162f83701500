package side

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// headroom is the number of slots that batch items leave free.
	headroom = 0
	// busyProbe is how often the target is asked for its load while items run or
	// wait: a fraction of the time within which they are to leave.
	busyProbe = 20 * time.Millisecond
	// quietProbe is the same while there are none.
	quietProbe = 100 * time.Millisecond
	// probeTimeout bounds one question.
	probeTimeout = 500 * time.Millisecond
)

// runBeside runs batch items beside online requests that reach the target by
// another way.
func (h *Host) runBeside(ctx, work context.Context) error {
	work, stop := context.WithCancel(work)
	defer stop()
	batch, stopBatch := context.WithCancel(work)
	defer stopBatch()
	var tasks conc.WaitGroup
	tasks.Go(func() { h.watcher.Run(work) })
	tasks.Go(func() { h.Targets.Run(work) })
	tasks.Go(func() { h.followLoad(work) })
	tasks.Go(func() { h.worker.run(batch) })
	<-ctx.Done()
	h.leave(stopBatch)
	stop()
	tasks.Wait()
	return errors.Trace(nil)
}

// followLoad asks the target for its load until ctx ends.
func (h *Host) followLoad(ctx context.Context) {
	for ctx.Err() == nil {
		h.probeLoad(ctx)
		interval := quietProbe
		if h.worker.busy() {
			interval = busyProbe
		}
		select {
		case <-ctx.Done():
		case <-h.Clock.After(interval):
		}
	}
}

func (h *Host) probeLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l, err := h.Probe.Load(ctx)
	if err != nil {
		if !h.down.Load() {
			h.Logger.WithError(err).Warn("the target does not tell its load")
		}
		h.setDown(true)
		h.keeper.LoadLost()
		return
	}
	h.setDown(false)
	h.keeper.ObserveLoad(l)
}

// busy reports whether items run or wait here.
func (w *worker) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held) > 0
}

// usable reports whether the target is listed and stays.
func (h *Host) usable() bool {
	i, ok := h.Targets.Find(h.Target)
	return ok && !i.Leaving
}

// jobRoutes lists the routes of batch jobs whose items the target may run.
func (h *Host) jobRoutes() []string {
	i, ok := h.Targets.Find(h.Target)
	if !ok || h.Clock.Since(h.watcher.ConfirmedAt()) > h.MaxAge {
		return nil
	}
	var r []string
	for name, x := range h.configuration().Routes {
		if x.Kind == rhubarbgate.BatchJob && splitHas(x.Split, i.Service) {
			r = append(r, name)
		}
	}
	return r
}

func splitHas(split []rhubarbgate.Share, service string) bool {
	for _, s := range split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// groups returns the number of job groups, 0 while not known.
func (h *Host) groups() int {
	if h.Probe != nil {
		return h.watcher.Peers().StoreGroups
	}
	return h.watcher.Groups()
}
