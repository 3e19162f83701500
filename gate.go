package rhubarbgate

import "time"

//go:generate go tool -modfile=tools/go.mod stringer -type=Class -output=class_string.go

// Class separates online requests from batch items.
type Class uint8

const (
	// Online work is due within its deadline of seconds.
	Online Class = iota
	// Batch work is due within its completion window. It yields to online work,
	// which starts first and may preempt it.
	Batch
)

// Work is one request that a Gate schedules onto a slot of the target.
type Work struct {
	ID        uint64
	Class     Class
	Workspace string
	// Weight is the workspace's share; 0 counts as 1.
	Weight   float64
	Deadline time.Time
	// Progress is the number of output bytes that earlier attempts produced.
	Progress int
}

// Decision lists the works, by ID, that a Gate acts on after an event.
type Decision struct {
	// Start lists queued works that start now.
	Start []uint64
	// Refuse lists queued works that cannot start before their deadline, and an offered
	// batch work that cannot start now.
	Refuse []uint64
	// Preempt lists running batch works that must stop now.
	Preempt []uint64
}

// Gate schedules the work of one target. It is not safe for concurrent use.
type Gate interface {
	// Offer submits work. The decision may start or refuse it immediately.
	Offer(w Work) Decision
	// Done reports that started work ended, or that queued work was cancelled.
	Done(id uint64) Decision
	// Observe records a measured latency of online work: the time to the first
	// token or the time between tokens. An argument of 0 is no measurement.
	Observe(firstToken, betweenTokens time.Duration)
	// Tick re-evaluates limits and deadlines; it is called periodically.
	Tick() Decision
	// FreeBatchSlots returns the number of slots free for batch works; Offer may still
	// delay their starts to space them out.
	FreeBatchSlots() int
	// EstimatedWait estimates how long a new online request is queued.
	EstimatedWait() time.Duration
}

// LoadGate is a Gate that decides by the load that the target itself reports.
type LoadGate interface {
	Gate
	// ObserveLoad records a new load report.
	ObserveLoad(l TargetLoad) Decision
	// LoadLost records that load reports stopped; nothing starts until the next
	// report.
	LoadLost()
}

// ReservingGate is a LoadGate that also counts reservations of entries.
type ReservingGate interface {
	LoadGate
	// ObserveReserved records the number of reservations for online requests that no load report
	// covers yet. Batch works are preempted at once if the slots do not suffice.
	ObserveReserved(n int) Decision
}
