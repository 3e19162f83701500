package reserve

import (
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// MaxReservations bounds the reservations that a side keeps: a target queues up to 24 requests beside
	// its 8 slots, and one host is not worth more of its memory.
	MaxReservations = 64
	// ReportLag is how old a load report is that was just read, and coverLag how much later than a
	// reservation a report has to be requested to contain its request: the lag of the report, and the
	// time that the request takes from a busy entry to its slot.
	ReportLag = 50 * time.Millisecond
	coverLag  = 120 * time.Millisecond
	// reservationTTL is the time after which a reservation ends without a report: by then its request
	// has failed or is at the target.
	reservationTTL = time.Second
	// reportTTL is the age from which a load report is not offered.
	reportTTL = time.Second
	// settleTime is how long a target whose load could not be read is not offered. A target that ends again
	// and again is empty whenever it is up, so entries would prefer it: requests that failed at
	// such targets doubled.
	settleTime = time.Second
	// maxItemCounts bounds the earlier counts of items, for a report every 20 ms.
	maxItemCounts = 8
)

// Ledger counts the reservations of one target and what the target's load reports say. It is not safe
// for concurrent use. The zero value with its exported fields set is ready.
type Ledger struct {
	Clock clockwork.Clock
	// Slots is the number of requests that the target runs concurrently.
	Slots int

	reservations []time.Time // by time
	known        bool
	lost         bool      // the load cannot be read
	foundAt      time.Time // when it could be read again, zero if it always could
	online       int
	queued       int
	slowness     float64
	requestedAt  time.Time   // of the newest report
	itemCounts   []itemCount // by time
}

// itemCount is the number of the side's running items at one moment.
type itemCount struct {
	at time.Time
	n  int
}

// Reserve counts a reservation from now on, and reports whether there was room for it.
func (l *Ledger) Reserve() bool {
	l.expire()
	if len(l.reservations) >= MaxReservations {
		return false
	}
	l.reservations = append(l.reservations, l.Clock.Now())
	return true
}

// expire drops the reservations that the newest report covers, or that are too old.
func (l *Ledger) expire() {
	now := l.Clock.Now()
	kept := l.reservations[:0]
	for _, at := range l.reservations {
		covered := l.known && l.requestedAt.Sub(at) >= coverLag
		if !covered && now.Sub(at) < reservationTTL {
			kept = append(kept, at)
		}
	}
	l.reservations = kept
}

// Reserved returns the number of reservations that no report covers.
func (l *Ledger) Reserved() int {
	l.expire()
	return len(l.reservations)
}

// ObserveLoad records a load report that was requested at the given time, when the side had a number of
// items running. The items that ran when the report was made do not count as online.
func (l *Ledger) ObserveLoad(load rhubarbgate.TargetLoad, requestedAt time.Time, items int) {
	if len(l.itemCounts) == maxItemCounts {
		copy(l.itemCounts, l.itemCounts[1:])
		l.itemCounts = l.itemCounts[:maxItemCounts-1]
	}
	l.itemCounts = append(l.itemCounts, itemCount{requestedAt, items})
	reported := l.itemCounts[0].n
	for _, c := range l.itemCounts {
		if requestedAt.Sub(c.at) < ReportLag {
			break
		}
		reported = c.n
	}
	if l.lost {
		l.lost, l.foundAt = false, l.Clock.Now()
	}
	l.known, l.requestedAt = true, requestedAt
	l.online, l.queued = max(0, load.Running-reported), max(0, load.Waiting)
	l.slowness = load.Slowness
}

// LoadLost records that the target's load cannot be read.
func (l *Ledger) LoadLost() { l.known, l.lost = false, true }

// Offer returns the offer of a side that runs a number of items, or false while the target's load is
// not known.
func (l *Ledger) Offer(items int) (rhubarbgate.TargetOffer, bool) {
	age := l.Clock.Since(l.requestedAt)
	if !l.known || age > reportTTL || l.Clock.Since(l.foundAt) < settleTime {
		return rhubarbgate.TargetOffer{}, false
	}
	return rhubarbgate.TargetOffer{
		Slots: l.Slots, Online: l.online, Queued: l.queued, Reserved: l.Reserved(), Batch: items, Slowness: l.slowness, Age: max(0, age) + ReportLag,
	}, true
}
