package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// Yielding starts batch work in the slots that the target's load reports show as free.
// It preempts batch work when the reported running and queued requests exceed the
// slots less Headroom.
// It preempts overdue work first, then the work with the latest deadline and,
// among equal deadlines, the work with the least progress when it started.
// Online work does not pass through this gate. It is not safe for concurrent use.
type Yielding struct {
	Clock clockwork.Clock
	// Slots is how many requests and items the target runs concurrently.
	Slots int
	// Headroom is the number of slots that batch work leaves free, so that an online
	// request finds a free slot before the next load report arrives.
	Headroom int

	running            []rhubarbgate.Work // by deadline, then by descending progress
	reportedLoad       int                // running and queued requests in the newest report
	startedSinceReport int
	preempted          map[uint64]bool // preempted work that has not ended yet
	loadKnown          bool            // false until the first report and after LoadLost
	reserved           int             // reservations that no report covers
	// preemptionsEnded are the times, in order, when preempted work ended that the newest report may count.
	preemptionsEnded []time.Time
}

var _ rhubarbgate.ReservingGate = (*Yielding)(nil)

// endedLag is the time for which load reports may count work that has ended: they are 50 ms old when
// they are read, and reading takes up to 20 ms more.
const endedLag = 70 * time.Millisecond

// ObserveLoad implements rhubarbgate.LoadGate. It preempts as much batch work as the
// report shows in excess of the slots.
func (y *Yielding) ObserveLoad(l rhubarbgate.TargetLoad) rhubarbgate.Decision {
	y.reportedLoad, y.startedSinceReport, y.loadKnown = l.Running+l.Waiting, 0, true
	return y.preempt()
}

// ObserveReserved implements rhubarbgate.ReservingGate.
func (y *Yielding) ObserveReserved(n int) rhubarbgate.Decision {
	grown := n > y.reserved
	y.reserved = n
	if !grown || !y.loadKnown {
		return rhubarbgate.Decision{}
	}
	return y.preempt()
}

// preempt preempts as much batch work as the slots lack for the reported load and the reservations.
func (y *Yielding) preempt() rhubarbgate.Decision {
	var d rhubarbgate.Decision
	// The report still counts preempted work that has not ended.
	excess := y.reportedLoad - len(y.preempted) + y.Headroom - y.Slots
	if y.reserved > 0 {
		excess += y.startedSinceReport + y.reserved - y.recentlyEnded()
	}
	for excess > 0 && len(y.running) > 0 {
		i := y.preemptionIndex()
		id := y.running[i].ID
		y.running = slices.Delete(y.running, i, i+1)
		y.preempted[id] = true
		d.Preempt = append(d.Preempt, id)
		excess--
	}
	return d
}

// recentlyEnded returns the number of preempted works that ended so short a time ago that the newest
// report counts them.
func (y *Yielding) recentlyEnded() int {
	now := y.Clock.Now()
	y.preemptionsEnded = slices.DeleteFunc(y.preemptionsEnded, func(at time.Time) bool { return now.Sub(at) >= endedLag })
	return len(y.preemptionsEnded)
}

// preemptionIndex returns the index in running of the work to preempt next. It prefers
// overdue work, because other work may still finish by its deadline.
func (y *Yielding) preemptionIndex() int {
	if y.running[0].Deadline.Before(y.Clock.Now()) {
		return 0
	}
	return len(y.running) - 1
}

// LoadLost implements rhubarbgate.LoadGate. Running work continues.
func (y *Yielding) LoadLost() { y.loadKnown = false }

// Offer implements rhubarbgate.Gate. It starts batch work or refuses it.
func (y *Yielding) Offer(w rhubarbgate.Work) rhubarbgate.Decision {
	if y.preempted == nil {
		y.preempted = map[uint64]bool{}
	}
	if y.FreeBatchSlots() <= 0 {
		return rhubarbgate.Decision{Refuse: []uint64{w.ID}}
	}
	at, _ := slices.BinarySearchFunc(y.running, w, func(a, b rhubarbgate.Work) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(b.Progress, a.Progress))
	})
	y.running = slices.Insert(y.running, at, w)
	y.startedSinceReport++
	return rhubarbgate.Decision{Start: []uint64{w.ID}}
}

// Done implements rhubarbgate.Gate.
func (y *Yielding) Done(id uint64) rhubarbgate.Decision {
	if y.preempted[id] && y.reserved > 0 {
		y.recentlyEnded()
		y.preemptionsEnded = append(y.preemptionsEnded, y.Clock.Now())
	}
	delete(y.preempted, id)
	y.running = slices.DeleteFunc(y.running, func(w rhubarbgate.Work) bool { return w.ID == id })
	return rhubarbgate.Decision{}
}

// Observe implements rhubarbgate.Gate. Latencies have no influence.
func (y *Yielding) Observe(_, _ time.Duration) {}

// Tick implements rhubarbgate.Gate. Only load reports cause preemptions.
func (y *Yielding) Tick() rhubarbgate.Decision { return rhubarbgate.Decision{} }

// FreeBatchSlots implements rhubarbgate.Gate. The occupied slots are the larger of two
// counts: the reported load plus the work started since that report, and the batch
// work that has not ended. Reservations come on top.
func (y *Yielding) FreeBatchSlots() int {
	if !y.loadKnown {
		return 0
	}
	return y.Slots - y.Headroom - y.reserved - max(y.reportedLoad+y.startedSinceReport, len(y.running)+len(y.preempted))
}

// EstimatedWait implements rhubarbgate.Gate. Online work is never queued here.
func (y *Yielding) EstimatedWait() time.Duration { return 0 }
