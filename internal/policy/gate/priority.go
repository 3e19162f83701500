package gate

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// adjustInterval is how often the batch limit is adjusted.
	adjustInterval = 100 * time.Millisecond
	// limitDecreaseFactor multiplies the batch limit if too many latency samples of
	// online work miss their objective.
	limitDecreaseFactor = 0.7
	// limitIncrease is how many slots the batch limit gains otherwise.
	limitIncrease = 1.0
	// maxLateShare is the share of samples that may miss their objective in one
	// adjustInterval before the batch limit is decreased.
	maxLateShare = 0.05
	// burstWindow is the length of the window whose online arrivals count as one burst.
	burstWindow = 50 * time.Millisecond
	// burstDecayTime is the time constant of the exponential decay of the largest burst.
	burstDecayTime = 10 * time.Second
	// serviceTimeSmoothing is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeSmoothing = 0.1
)

// Priority starts online work at once, preempting batch work if needed, and gives
// batch work the remaining slots minus a headroom for bursts. The number of slots for
// batch work is limited by additive increase and multiplicative decrease (AIMD)
// on the latency of online work. It is not safe for concurrent use.
type Priority struct {
	Clock clockwork.Clock
	// Slots is how many requests and items the target runs concurrently.
	Slots int
	// FirstToken and BetweenTokens are the latency objectives of online work; 0
	// means none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// HeadroomShare is the number of slots kept free of batch work, as a share of the
	// largest recent burst of online requests. It is meant for targets that are
	// slow to stop a cancelled stream.
	HeadroomShare float64
	// BatchStartInterval is the minimum time between two starts of batch work while
	// online work runs: each start makes the target process a prompt, which delays
	// the next token of every running stream.
	BatchStartInterval time.Duration

	queue              *queue
	online             map[uint64]time.Time // start time by ID
	batch              []uint64             // IDs of running batch work, newest last
	batchLimit         float64
	lateSamples        int     // samples that missed their objective since the last adjustment
	samples            int     // latency samples since the last adjustment
	meanServiceSeconds float64 // smoothed over finished online work; 0 until the first finishes

	nextAdjustAt     time.Time
	nextBatchStartAt time.Time
	burstSize        float64 // largest recent burst in requests, as of burstSizeAt
	burstSizeAt      time.Time
	windowStart      time.Time
	windowCount      int // online arrivals since windowStart
}

var _ rhubarbgate.Gate = (*Priority)(nil)

// initialize sets up the state at the first call of any method.
func (p *Priority) initialize() {
	if p.queue != nil {
		return
	}
	p.queue = newQueue()
	p.online = map[uint64]time.Time{}
	p.batchLimit = float64(p.Slots)
	now := p.Clock.Now()
	p.burstSizeAt, p.windowStart, p.nextAdjustAt = now, now, now.Add(adjustInterval)
}

// Offer implements rhubarbgate.Gate.
func (p *Priority) Offer(w rhubarbgate.Work) rhubarbgate.Decision {
	p.initialize()
	if w.Class == rhubarbgate.Batch {
		return p.offerBatch(w)
	}
	now := p.Clock.Now()
	p.recordArrival(now)
	if !w.Deadline.IsZero() && now.Add(p.EstimatedWait()).After(w.Deadline) {
		return rhubarbgate.Decision{Refuse: []uint64{w.ID}}
	}
	p.queue.push(w)
	return p.schedule()
}

// offerBatch starts batch work or refuses it. Batch work is never queued here.
func (p *Priority) offerBatch(w rhubarbgate.Work) rhubarbgate.Decision {
	now := p.Clock.Now()
	tooEarly := len(p.online) > 0 && now.Before(p.nextBatchStartAt)
	if tooEarly || p.FreeBatchSlots() <= 0 {
		return rhubarbgate.Decision{Refuse: []uint64{w.ID}}
	}
	p.batch = append(p.batch, w.ID)
	p.nextBatchStartAt = now.Add(p.BatchStartInterval)
	return rhubarbgate.Decision{Start: []uint64{w.ID}}
}

// schedule starts queued online work while fewer than Slots run online, and preempts the
// newest batch work to free the slots for it.
func (p *Priority) schedule() rhubarbgate.Decision {
	var d rhubarbgate.Decision
	now := p.Clock.Now()
	for p.queue.size > 0 && len(p.online) < p.Slots {
		w, _ := p.queue.pop()
		p.online[w.ID] = now
		d.Start = append(d.Start, w.ID)
	}
	for len(p.batch) > 0 && len(p.online)+len(p.batch) > p.Slots {
		last := len(p.batch) - 1
		d.Preempt = append(d.Preempt, p.batch[last])
		p.batch = p.batch[:last]
	}
	p.checkInvariants()
	return d
}

func (p *Priority) checkInvariants() {
	if len(p.online)+len(p.batch) > p.Slots {
		panic(fmt.Sprintf("gate invariant: %d online and %d batch in %d slots", len(p.online), len(p.batch), p.Slots))
	}
	if p.queue.size > 0 && len(p.batch) > 0 {
		panic(fmt.Sprintf("gate invariant: %d online wait while %d batch run", p.queue.size, len(p.batch)))
	}
}

// Done implements rhubarbgate.Gate.
func (p *Priority) Done(id uint64) rhubarbgate.Decision {
	p.initialize()
	if started, ok := p.online[id]; ok {
		delete(p.online, id)
		p.recordServiceTime(p.Clock.Now().Sub(started))
	} else if i := slices.Index(p.batch, id); i >= 0 {
		p.batch = slices.Delete(p.batch, i, i+1)
	} else {
		p.queue.remove(id)
	}
	return p.schedule()
}

// recordServiceTime updates the mean service time of online work.
func (p *Priority) recordServiceTime(d time.Duration) {
	if p.meanServiceSeconds == 0 {
		p.meanServiceSeconds = d.Seconds()
		return
	}
	p.meanServiceSeconds += serviceTimeSmoothing * (d.Seconds() - p.meanServiceSeconds)
}

// recordArrival counts an online arrival and updates the largest recent burst.
func (p *Priority) recordArrival(now time.Time) {
	if now.Sub(p.windowStart) > burstWindow {
		p.windowStart, p.windowCount = now, 0
	}
	p.windowCount++
	p.burstSize = max(p.decayedBurst(now), float64(p.windowCount))
	p.burstSizeAt = now
}

// decayedBurst returns the largest recent burst, decayed to now, in requests.
func (p *Priority) decayedBurst(now time.Time) float64 {
	return p.burstSize * math.Exp(-now.Sub(p.burstSizeAt).Seconds()/burstDecayTime.Seconds())
}

// Observe implements rhubarbgate.Gate. A latency of 0 counts as not measured.
func (p *Priority) Observe(firstToken, betweenTokens time.Duration) {
	p.initialize()
	p.recordSample(firstToken, p.FirstToken)
	p.recordSample(betweenTokens, p.BetweenTokens)
}

func (p *Priority) recordSample(d, objective time.Duration) {
	if d <= 0 || objective <= 0 {
		return
	}
	p.samples++
	if d > objective {
		p.lateSamples++
	}
}

// Tick implements rhubarbgate.Gate. It adjusts the batch limit, refuses queued work
// past its deadline and preempts batch work above the limit.
func (p *Priority) Tick() rhubarbgate.Decision {
	p.initialize()
	now := p.Clock.Now()
	if !now.Before(p.nextAdjustAt) {
		p.nextAdjustAt = now.Add(adjustInterval)
		p.adjustBatchLimit()
	}
	refused := p.queue.expire(now)
	d := p.schedule()
	d.Refuse = refused
	d.Preempt = append(d.Preempt, p.preemptAboveLimit()...)
	return d
}

// adjustBatchLimit sets the batch limit from the latency samples since the last
// adjustment. It keeps at least one slot for batch work.
func (p *Priority) adjustBatchLimit() {
	if float64(p.lateSamples) > maxLateShare*float64(p.samples) {
		p.batchLimit = max(1, p.batchLimit*limitDecreaseFactor)
	} else {
		p.batchLimit = min(float64(p.Slots), p.batchLimit+limitIncrease)
	}
	p.lateSamples, p.samples = 0, 0
}

// preemptAboveLimit preempts the newest batch work above the limit while online work
// runs.
func (p *Priority) preemptAboveLimit() []uint64 {
	limit := int(p.batchLimit)
	if len(p.online) == 0 || len(p.batch) <= limit {
		return nil
	}
	preempted := slices.Clone(p.batch[limit:])
	p.batch = p.batch[:limit]
	return preempted
}

// FreeBatchSlots implements rhubarbgate.Gate.
func (p *Priority) FreeBatchSlots() int {
	p.initialize()
	if p.queue.size > 0 {
		return 0
	}
	free := p.Slots - len(p.online) - len(p.batch)
	free -= int(math.Round(p.decayedBurst(p.Clock.Now()) * p.HeadroomShare))
	return min(free, int(p.batchLimit)-len(p.batch))
}

// EstimatedWait implements rhubarbgate.Gate.
func (p *Priority) EstimatedWait() time.Duration {
	p.initialize()
	if len(p.online) < p.Slots {
		return 0
	}
	serviceTimes := float64(p.queue.size+1) / float64(p.Slots)
	return time.Duration(serviceTimes * p.meanServiceSeconds * float64(time.Second))
}
