// Package gatekeeper applies a Gate's decisions to the work that waits and runs in a side process.
package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
)

// tickInterval is how often the gate re-evaluates limits and deadlines.
const tickInterval = 10 * time.Millisecond

// Gatekeeper serialises the events of a Gate.
type Gatekeeper struct {
	Gate  rhubarbgate.Gate
	Clock clockwork.Clock
	// OnPreempted is told, if set, how long preempted work took to leave its place.
	OnPreempted func(time.Duration)

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan bool
	running map[uint64]context.CancelCauseFunc
	stopped map[uint64]time.Time // preempted work that has not left yet
	online  int
	batch   int
	room    chan struct{}
}

// ErrPreempted is the cause with which preempted work is cancelled.
const ErrPreempted = errors.ConstError("preempted by online work")

// Start prepares the gatekeeper.
func (k *Gatekeeper) Start() {
	k.waiting = map[uint64]chan bool{}
	k.running = map[uint64]context.CancelCauseFunc{}
	k.stopped = map[uint64]time.Time{}
	k.room = make(chan struct{}, 1)
}

// Run re-evaluates the gate until ctx ends.
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
		k.carryOut(k.Gate.Tick())
		k.mu.Unlock()
	}
}

// ObserveLoad passes a report of the engine on to a LoadGate.
func (k *Gatekeeper) ObserveLoad(l rhubarbgate.TargetLoad) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if g, ok := k.Gate.(rhubarbgate.LoadGate); ok {
		k.carryOut(g.ObserveLoad(l))
	}
}

// LoadLost tells a LoadGate that the engine no longer reports.
func (k *Gatekeeper) LoadLost() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if g, ok := k.Gate.(rhubarbgate.LoadGate); ok {
		g.LoadLost()
	}
}

// BatchReady returns a channel that signals that batch work may find room.
func (k *Gatekeeper) BatchReady() <-chan struct{} { return k.room }

// BatchRoom returns how many batch works may start now.
func (k *Gatekeeper) BatchRoom() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Gate.BatchRoom()
}

// carryOut applies a decision. The lock is held.
func (k *Gatekeeper) carryOut(d rhubarbgate.Decision) {
	for _, id := range d.Start {
		k.answer(id, true)
	}
	for _, id := range d.Refuse {
		k.answer(id, false)
	}
	for _, id := range d.Preempt {
		if cancel := k.running[id]; cancel != nil {
			cancel(ErrPreempted)
			k.stopped[id] = k.Clock.Now()
		}
	}
	if len(k.waiting) == 0 && k.Gate.BatchRoom() > 0 {
		select {
		case k.room <- struct{}{}:
		default:
		}
	}
}

func (k *Gatekeeper) answer(id uint64, start bool) {
	if c := k.waiting[id]; c != nil {
		delete(k.waiting, id)
		c <- start
	}
}

// Slot is a started work's place in the engine.
type Slot struct {
	// Context ends when the work is preempted, with the cause ErrPreempted.
	Context context.Context

	keeper *Gatekeeper
	id     uint64
	class  rhubarbgate.Class
	cancel context.CancelCauseFunc
}

// Acquire waits until the work may start. It returns nil if the gate refuses it
// or ctx ends first; then no place is held.
func (k *Gatekeeper) Acquire(ctx context.Context, w rhubarbgate.Work) *Slot {
	k.mu.Lock()
	k.next++
	w.ID = k.next
	answer := make(chan bool, 1)
	k.waiting[w.ID] = answer
	work, cancel := context.WithCancelCause(ctx)
	k.running[w.ID] = cancel
	k.carryOut(k.Gate.Offer(w))
	k.mu.Unlock()
	p := &Slot{Context: work, keeper: k, id: w.ID, class: w.Class, cancel: cancel}
	select {
	case ok := <-answer:
		if ok {
			p.count(1)
			return p
		}
		p.forget()
		return nil
	case <-ctx.Done():
	}
	if p.withdraw(answer) {
		p.count(1)
		p.Release()
	}
	return nil
}

// withdraw gives up waiting; it returns true if the work was started meanwhile.
func (p *Slot) withdraw(answer chan bool) bool {
	k := p.keeper
	k.mu.Lock()
	_, waits := k.waiting[p.id]
	delete(k.waiting, p.id)
	if waits {
		k.carryOut(k.Gate.Done(p.id))
	}
	k.mu.Unlock()
	if !waits && <-answer {
		return true
	}
	p.forget()
	return false
}

func (p *Slot) count(n int) {
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	if p.class == rhubarbgate.Online {
		p.keeper.online += n
	} else {
		p.keeper.batch += n
	}
}

func (p *Slot) forget() {
	p.cancel(context.Canceled)
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	delete(p.keeper.running, p.id)
}

// Preempt stops the work as if online work needed its place.
func (p *Slot) Preempt() { p.cancel(ErrPreempted) }

// Release frees the place.
func (p *Slot) Release() {
	p.count(-1)
	p.forget()
	p.keeper.mu.Lock()
	defer p.keeper.mu.Unlock()
	if at, ok := p.keeper.stopped[p.id]; ok {
		delete(p.keeper.stopped, p.id)
		if p.keeper.OnPreempted != nil {
			p.keeper.OnPreempted(p.keeper.Clock.Since(at))
		}
	}
	p.keeper.carryOut(p.keeper.Gate.Done(p.id))
}

// Observe feeds a latency of online work to the gate.
func (k *Gatekeeper) Observe(firstToken, betweenTokens time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Gate.Observe(firstToken, betweenTokens)
}

// Load is the work of the side at one moment.
type Load struct {
	Online, Batch, Queued int
	// Wait is how long a new online request would queue.
	Wait time.Duration
}

// Load returns the current load.
func (k *Gatekeeper) Load() Load {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Load{Online: k.online, Batch: k.batch, Queued: len(k.waiting), Wait: k.Gate.Wait()}
}
