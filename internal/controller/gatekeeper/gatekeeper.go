// Package gatekeeper applies the decisions of a Gate to the queued and running work of a side.
package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
)

// tickInterval is the time between two evaluations of the gate's limits and deadlines.
const tickInterval = 10 * time.Millisecond

// Gatekeeper serializes the calls of a Gate, which is not safe for concurrent use.
// Set the exported fields and call Start before the other methods.
type Gatekeeper struct {
	Gate  rhubarbgate.Gate
	Clock clockwork.Clock
	// OnPreempted, if set, is called with the time from the preemption of work to the
	// release of its slot, while the lock is held.
	OnPreempted func(time.Duration)

	mu          sync.Mutex
	lastID      uint64                             // of the work last offered to the gate
	queued      map[uint64]chan bool               // receives whether the work may start
	cancels     map[uint64]context.CancelCauseFunc // of queued and running work
	preemptedAt map[uint64]time.Time               // preempted work that still holds its slot
	online      int                                // running
	batch       int                                // running
	batchReady  chan struct{}
}

// ErrPreempted is the cancellation cause of the context of preempted work.
const ErrPreempted = errors.ConstError("preempted by online work")

// Start initializes the internal fields.
func (k *Gatekeeper) Start() {
	k.queued = map[uint64]chan bool{}
	k.cancels = map[uint64]context.CancelCauseFunc{}
	k.preemptedAt = map[uint64]time.Time{}
	k.batchReady = make(chan struct{}, 1)
}

// Run evaluates the gate every tickInterval until ctx ends.
func (k *Gatekeeper) Run(ctx context.Context) {
	t := k.Clock.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		k.mu.Lock()
		k.applyDecision(k.Gate.Tick())
		k.mu.Unlock()
	}
}

// ObserveLoad passes the load that the engine reported to the gate, if it is a LoadGate.
func (k *Gatekeeper) ObserveLoad(l rhubarbgate.TargetLoad) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if g, ok := k.Gate.(rhubarbgate.LoadGate); ok {
		k.applyDecision(g.ObserveLoad(l))
	}
}

// ObserveReserved passes the number of reservations that no load report covers to the gate, if it is a
// ReservingGate, and returns how many batch works it preempts for them.
func (k *Gatekeeper) ObserveReserved(n int) (preempted int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g, ok := k.Gate.(rhubarbgate.ReservingGate)
	if !ok {
		return 0
	}
	d := g.ObserveReserved(n)
	k.applyDecision(d)
	return len(d.Preempt)
}

// LoadLost reports to the gate, if it is a LoadGate, that the engine no longer
// reports its load.
func (k *Gatekeeper) LoadLost() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if g, ok := k.Gate.(rhubarbgate.LoadGate); ok {
		g.LoadLost()
	}
}

// BatchReady returns a channel that receives a value when batch work may find a free slot.
func (k *Gatekeeper) BatchReady() <-chan struct{} { return k.batchReady }

// FreeBatchSlots returns for how many more units of batch work there are free slots; the
// gate may still delay their starts.
func (k *Gatekeeper) FreeBatchSlots() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Gate.FreeBatchSlots()
}

// applyDecision starts, refuses and preempts work as the gate decided. The lock is held.
func (k *Gatekeeper) applyDecision(d rhubarbgate.Decision) {
	for _, id := range d.Start {
		k.resolve(id, true)
	}
	for _, id := range d.Refuse {
		k.resolve(id, false)
	}
	for _, id := range d.Preempt {
		if cancel := k.cancels[id]; cancel != nil {
			cancel(ErrPreempted)
			k.preemptedAt[id] = k.Clock.Now()
		}
	}
	if len(k.queued) == 0 && k.Gate.FreeBatchSlots() > 0 {
		select {
		case k.batchReady <- struct{}{}:
		default:
		}
	}
}

// resolve reports to queued work whether it may start. The lock is held.
func (k *Gatekeeper) resolve(id uint64, start bool) {
	if c := k.queued[id]; c != nil {
		delete(k.queued, id)
		c <- start
	}
}

// Slot is the engine slot of started work.
type Slot struct {
	// Context is cancelled with the cause ErrPreempted when the work is preempted. It
	// also ends with the context of Acquire and at Release.
	Context context.Context

	gatekeeper *Gatekeeper
	id         uint64
	class      rhubarbgate.Class
	cancel     context.CancelCauseFunc
}

// Acquire waits until the work may start. It returns nil, and holds no slot, if the
// gate refuses the work or ctx ends first.
func (k *Gatekeeper) Acquire(ctx context.Context, w rhubarbgate.Work) *Slot {
	k.mu.Lock()
	k.lastID++
	w.ID = k.lastID
	decision := make(chan bool, 1)
	k.queued[w.ID] = decision
	workCtx, cancel := context.WithCancelCause(ctx)
	k.cancels[w.ID] = cancel
	k.applyDecision(k.Gate.Offer(w))
	k.mu.Unlock()
	s := &Slot{Context: workCtx, gatekeeper: k, id: w.ID, class: w.Class, cancel: cancel}
	select {
	case ok := <-decision:
		if ok {
			s.addRunning(1)
			return s
		}
		s.untrack()
		return nil
	case <-ctx.Done():
	}
	if s.withdraw(decision) {
		s.addRunning(1)
		s.Release()
	}
	return nil
}

// withdraw removes the work from the queue. It returns true if the gate started the
// work first; the slot is then held and has to be released.
func (s *Slot) withdraw(decision chan bool) bool {
	k := s.gatekeeper
	k.mu.Lock()
	_, wasQueued := k.queued[s.id]
	delete(k.queued, s.id)
	if wasQueued {
		k.applyDecision(k.Gate.Done(s.id))
	}
	k.mu.Unlock()
	if !wasQueued && <-decision {
		return true
	}
	s.untrack()
	return false
}

// addRunning adds n to the count of running work of the class.
func (s *Slot) addRunning(n int) {
	s.gatekeeper.mu.Lock()
	defer s.gatekeeper.mu.Unlock()
	if s.class == rhubarbgate.Online {
		s.gatekeeper.online += n
	} else {
		s.gatekeeper.batch += n
	}
}

// untrack ends the context of the work and drops its cancel function.
func (s *Slot) untrack() {
	s.cancel(context.Canceled)
	s.gatekeeper.mu.Lock()
	defer s.gatekeeper.mu.Unlock()
	delete(s.gatekeeper.cancels, s.id)
}

// Preempt cancels the work as the gate does when online work needs the slot, but
// OnPreempted is not called for it.
func (s *Slot) Preempt() { s.cancel(ErrPreempted) }

// Release frees the slot.
func (s *Slot) Release() {
	s.addRunning(-1)
	s.untrack()
	s.gatekeeper.mu.Lock()
	defer s.gatekeeper.mu.Unlock()
	if at, ok := s.gatekeeper.preemptedAt[s.id]; ok {
		delete(s.gatekeeper.preemptedAt, s.id)
		if s.gatekeeper.OnPreempted != nil {
			s.gatekeeper.OnPreempted(s.gatekeeper.Clock.Since(at))
		}
	}
	s.gatekeeper.applyDecision(s.gatekeeper.Gate.Done(s.id))
}

// Observe passes a measured latency of online work to the gate.
func (k *Gatekeeper) Observe(firstToken, betweenTokens time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Gate.Observe(firstToken, betweenTokens)
}

// Load is the number of running and queued units of work of a side at one moment.
type Load struct {
	Online, Batch, Queued int
	// Wait is the estimate of how long a new online request would be queued.
	Wait time.Duration
}

// Load returns the current load.
func (k *Gatekeeper) Load() Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Load{Online: k.online, Batch: k.batch, Queued: len(k.queued), Wait: k.Gate.EstimatedWait()}
}
