package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// Yielding lets batch work have the slots that an engine's own reports show as
// free, and stops it when they show online work waiting or the last slots taken,
// beginning with what is late already, then with what is due last and, of works
// due at the same time, with what had got least far when it started.
// Online work does not pass this gate. It is not safe for concurrent use.
type Yielding struct {
	Clock clockwork.Clock
	// Slots is how many works the engine runs at once.
	Slots int
	// Headroom is the number of slots that batch work leaves free, so that an
	// online request finds one while the next report is still to come.
	Headroom int

	running  []rhubarbgate.Work // the first to be stopped comes last, but for late ones
	occupied int                // by the newest report, queued ones included
	started  int                // since that report
	stopping map[uint64]bool
	known    bool
}

var _ rhubarbgate.LoadGate = (*Yielding)(nil)

// ObserveLoad implements rhubarbgate.LoadGate.
func (y *Yielding) ObserveLoad(l rhubarbgate.TargetLoad) rhubarbgate.Decision {
	y.occupied, y.started, y.known = l.Running+l.Waiting, 0, true
	var d rhubarbgate.Decision
	// Those that were told to stop are still among the reported ones.
	over := y.occupied - len(y.stopping) + y.Headroom - y.Slots
	for over > 0 && len(y.running) > 0 {
		i := y.first()
		id := y.running[i].ID
		y.running = slices.Delete(y.running, i, i+1)
		y.stopping[id] = true
		d.Preempt = append(d.Preempt, id)
		over--
	}
	return d
}

// first returns the running work to stop first.
func (y *Yielding) first() int {
	if y.running[0].Deadline.Before(y.Clock.Now()) {
		return 0
	}
	return len(y.running) - 1
}

// LoadLost implements rhubarbgate.LoadGate.
func (y *Yielding) LoadLost() { y.known = false }

// Offer implements rhubarbgate.Gate.
func (y *Yielding) Offer(w rhubarbgate.Work) rhubarbgate.Decision {
	if y.stopping == nil {
		y.stopping = map[uint64]bool{}
	}
	if y.BatchRoom() <= 0 {
		return rhubarbgate.Decision{Refuse: []uint64{w.ID}}
	}
	at, _ := slices.BinarySearchFunc(y.running, w, func(a, b rhubarbgate.Work) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(b.Progress, a.Progress))
	})
	y.running = slices.Insert(y.running, at, w)
	y.started++
	return rhubarbgate.Decision{Start: []uint64{w.ID}}
}

// Done implements rhubarbgate.Gate.
func (y *Yielding) Done(id uint64) rhubarbgate.Decision {
	delete(y.stopping, id)
	y.running = slices.DeleteFunc(y.running, func(w rhubarbgate.Work) bool { return w.ID == id })
	return rhubarbgate.Decision{}
}

// Observe implements rhubarbgate.Gate.
func (y *Yielding) Observe(_, _ time.Duration) {}

// Tick implements rhubarbgate.Gate.
func (y *Yielding) Tick() rhubarbgate.Decision { return rhubarbgate.Decision{} }

// BatchRoom implements rhubarbgate.Gate.
func (y *Yielding) BatchRoom() int {
	if !y.known {
		return 0
	}
	return y.Slots - y.Headroom - max(y.occupied+y.started, len(y.running)+len(y.stopping))
}

// Wait implements rhubarbgate.Gate.
func (y *Yielding) Wait() time.Duration { return 0 }
