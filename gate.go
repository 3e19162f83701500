package rhubarbgate

import "time"

//go:generate go tool -modfile=tools/go.mod stringer -type=Class -output=class_string.go

// Class separates online requests from batch items.
type Class uint8

const (
	// Online work is due within its deadline of seconds.
	Online Class = iota
	// Batch work is due within its completion window and yields to online work.
	Batch
)

// Work is one request that asks a Gate for a place in the engine.
type Work struct {
	ID        uint64
	Class     Class
	Workspace string
	// Weight is the workspace's share; 0 counts as 1.
	Weight   float64
	Deadline time.Time
	// Progress is how many bytes of output earlier attempts have produced.
	Progress int
}

// Decision is what a Gate decides after an event.
type Decision struct {
	// Start lists queued works that start now.
	Start []uint64
	// Refuse lists queued works that cannot start before their deadline.
	Refuse []uint64
	// Preempt lists running batch works that must stop now.
	Preempt []uint64
}

// Gate orders work in front of one engine. It is not safe for concurrent use.
type Gate interface {
	// Offer submits work. The decision may start or refuse it at once.
	Offer(w Work) Decision
	// Done tells that started work ended, or that queued work was given up.
	Done(id uint64) Decision
	// Observe feeds a measured latency of online work, first token or between tokens.
	Observe(firstToken, betweenTokens time.Duration)
	// Tick re-evaluates limits and deadlines.
	Tick() Decision
	// BatchRoom returns for how many more batch works there is room; Offer may
	// still space their starts.
	BatchRoom() int
	// Wait estimates how long a new online request of the workspace queues.
	Wait() time.Duration
}

// LoadGate is a Gate that goes by the load that the engine itself reports.
type LoadGate interface {
	Gate
	// ObserveLoad takes a new report.
	ObserveLoad(l TargetLoad) Decision
	// LoadLost tells that the engine no longer reports; nothing starts until it
	// does again.
	LoadLost()
}
