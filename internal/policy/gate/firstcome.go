package gate

import (
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// FirstCome is a first-come, first-served baseline: online and batch work share
// one queue, nothing is preempted, and work is refused only after its deadline.
// It is not safe for concurrent use.
type FirstCome struct {
	Clock clockwork.Clock
	// Slots is how many requests and items the target runs concurrently.
	Slots int

	queue   []rhubarbgate.Work
	running map[uint64]bool
}

var _ rhubarbgate.Gate = (*FirstCome)(nil)

// Offer implements rhubarbgate.Gate.
func (f *FirstCome) Offer(w rhubarbgate.Work) rhubarbgate.Decision {
	f.queue = append(f.queue, w)
	return f.schedule()
}

// schedule starts queued work while slots are free.
func (f *FirstCome) schedule() rhubarbgate.Decision {
	if f.running == nil {
		f.running = map[uint64]bool{}
	}
	var d rhubarbgate.Decision
	for len(f.queue) > 0 && len(f.running) < f.Slots {
		f.running[f.queue[0].ID] = true
		d.Start = append(d.Start, f.queue[0].ID)
		f.queue = f.queue[1:]
	}
	return d
}

// Done implements rhubarbgate.Gate.
func (f *FirstCome) Done(id uint64) rhubarbgate.Decision {
	delete(f.running, id)
	for i, w := range f.queue {
		if w.ID == id {
			f.queue = append(f.queue[:i:i], f.queue[i+1:]...)
			break
		}
	}
	return f.schedule()
}

// Observe implements rhubarbgate.Gate. Latencies have no influence.
func (f *FirstCome) Observe(_, _ time.Duration) {}

// Tick implements rhubarbgate.Gate. It refuses queued work past its deadline.
func (f *FirstCome) Tick() rhubarbgate.Decision {
	var d rhubarbgate.Decision
	now := f.Clock.Now()
	kept := f.queue[:0]
	for _, w := range f.queue {
		if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
			d.Refuse = append(d.Refuse, w.ID)
		} else {
			kept = append(kept, w)
		}
	}
	f.queue = kept
	return d
}

// FreeBatchSlots implements rhubarbgate.Gate. It is negative if more work is queued than
// slots are free.
func (f *FirstCome) FreeBatchSlots() int { return f.Slots - len(f.running) - len(f.queue) }

// EstimatedWait implements rhubarbgate.Gate. The baseline makes no estimate.
func (f *FirstCome) EstimatedWait() time.Duration { return 0 }
