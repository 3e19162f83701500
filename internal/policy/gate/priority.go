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
	// adjustEvery is how often the batch limit moves.
	adjustEvery = 100 * time.Millisecond
	// decrease is the factor by which the limit falls when online work suffers.
	decrease = 0.7
	// increase is how many places the limit gains when it does not.
	increase = 1.0
	// badShare is the share of late samples above which online work suffers.
	badShare = 0.05
	// burstWindow is the time within which online arrivals count as one burst.
	burstWindow = 50 * time.Millisecond
	// burstMemory is the time constant with which the largest burst is forgotten.
	burstMemory = 10 * time.Second
	// serviceSmoothing is the weight of a new sample in the mean service time.
	serviceSmoothing = 0.1
)

// Priority starts online work at once, preempting batch work for it, and lets
// batch work have what is left less a headroom for bursts. The limit of batch
// work rises additively and falls multiplicatively with the latency that online
// work sees. It is not safe for concurrent use.
type Priority struct {
	Clock clockwork.Clock
	// Slots is how many works the engine runs at once.
	Slots int
	// FirstToken and BetweenTokens are the objectives; 0 means none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// HeadroomShare is the part of the largest recent burst that is kept free. It
	// is for engines that take long to end a cancelled stream.
	HeadroomShare float64
	// BatchStartInterval spaces the starts of batch work while online work runs, since
	// each start makes the engine take in a prompt between two tokens.
	BatchStartInterval time.Duration

	queue   *queue
	online  map[uint64]time.Time // started at
	batch   []uint64             // running, the newest last
	limit   float64
	bad     int
	samples int
	service float64 // mean time of online work in seconds

	nextAdjust  time.Time
	nextStart   time.Time // of batch work
	burst       float64   // largest recent burst, in works
	burstAt     time.Time
	windowStart time.Time
	windowCount int
}

var _ rhubarbgate.Gate = (*Priority)(nil)

func (p *Priority) open() {
	if p.queue != nil {
		return
	}
	p.queue = newQueue()
	p.online = map[uint64]time.Time{}
	p.limit = float64(p.Slots)
	now := p.Clock.Now()
	p.burstAt, p.windowStart, p.nextAdjust = now, now, now.Add(adjustEvery)
}

// Offer implements rhubarbgate.Gate.
func (p *Priority) Offer(w rhubarbgate.Work) rhubarbgate.Decision {
	p.open()
	if w.Class == rhubarbgate.Batch {
		return p.offerBatch(w)
	}
	now := p.Clock.Now()
	p.noteArrival(now)
	if !w.Deadline.IsZero() && now.Add(p.Wait()).After(w.Deadline) {
		return rhubarbgate.Decision{Refuse: []uint64{w.ID}}
	}
	p.queue.push(w)
	return p.schedule()
}

func (p *Priority) offerBatch(w rhubarbgate.Work) rhubarbgate.Decision {
	now := p.Clock.Now()
	paced := len(p.online) > 0 && now.Before(p.nextStart)
	if paced || p.BatchRoom() <= 0 {
		return rhubarbgate.Decision{Refuse: []uint64{w.ID}}
	}
	p.batch = append(p.batch, w.ID)
	p.nextStart = now.Add(p.BatchStartInterval)
	return rhubarbgate.Decision{Start: []uint64{w.ID}}
}

// schedule starts queued online work while there is room, or room to be made.
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
	p.check()
	return d
}

func (p *Priority) check() {
	if len(p.online)+len(p.batch) > p.Slots {
		panic(fmt.Sprintf("gate invariant: %d online and %d batch in %d slots", len(p.online), len(p.batch), p.Slots))
	}
	if p.queue.size > 0 && len(p.batch) > 0 {
		panic(fmt.Sprintf("gate invariant: %d online wait while %d batch run", p.queue.size, len(p.batch)))
	}
}

// Done implements rhubarbgate.Gate.
func (p *Priority) Done(id uint64) rhubarbgate.Decision {
	p.open()
	if started, ok := p.online[id]; ok {
		delete(p.online, id)
		p.noteService(p.Clock.Now().Sub(started))
	} else if i := slices.Index(p.batch, id); i >= 0 {
		p.batch = slices.Delete(p.batch, i, i+1)
	} else {
		p.queue.remove(id)
	}
	return p.schedule()
}

func (p *Priority) noteService(d time.Duration) {
	if p.service == 0 {
		p.service = d.Seconds()
		return
	}
	p.service += serviceSmoothing * (d.Seconds() - p.service)
}

func (p *Priority) noteArrival(now time.Time) {
	if now.Sub(p.windowStart) > burstWindow {
		p.windowStart, p.windowCount = now, 0
	}
	p.windowCount++
	p.burst = max(p.headroom(now), float64(p.windowCount))
	p.burstAt = now
}

// headroom is how many places are kept free for the next burst.
func (p *Priority) headroom(now time.Time) float64 {
	return p.burst * math.Exp(-now.Sub(p.burstAt).Seconds()/burstMemory.Seconds())
}

// Observe implements rhubarbgate.Gate.
func (p *Priority) Observe(firstToken, betweenTokens time.Duration) {
	p.open()
	p.sample(firstToken, p.FirstToken)
	p.sample(betweenTokens, p.BetweenTokens)
}

func (p *Priority) sample(d, objective time.Duration) {
	if d <= 0 || objective <= 0 {
		return
	}
	p.samples++
	if d > objective {
		p.bad++
	}
}

// Tick implements rhubarbgate.Gate.
func (p *Priority) Tick() rhubarbgate.Decision {
	p.open()
	now := p.Clock.Now()
	if !now.Before(p.nextAdjust) {
		p.nextAdjust = now.Add(adjustEvery)
		p.adjust()
	}
	refused := p.queue.expire(now)
	d := p.schedule()
	d.Refuse = refused
	d.Preempt = append(d.Preempt, p.shrink()...)
	return d
}

func (p *Priority) adjust() {
	if float64(p.bad) > badShare*float64(p.samples) {
		p.limit = max(1, p.limit*decrease)
	} else {
		p.limit = min(float64(p.Slots), p.limit+increase)
	}
	p.bad, p.samples = 0, 0
}

// shrink preempts batch work above the limit while online work runs.
func (p *Priority) shrink() []uint64 {
	n := int(p.limit)
	if len(p.online) == 0 || len(p.batch) <= n {
		return nil
	}
	stopped := slices.Clone(p.batch[n:])
	p.batch = p.batch[:n]
	return stopped
}

// BatchRoom implements rhubarbgate.Gate.
func (p *Priority) BatchRoom() int {
	p.open()
	if p.queue.size > 0 {
		return 0
	}
	free := p.Slots - len(p.online) - len(p.batch)
	free -= int(math.Round(p.headroom(p.Clock.Now()) * p.HeadroomShare))
	return min(free, int(p.limit)-len(p.batch))
}

// Wait implements rhubarbgate.Gate.
func (p *Priority) Wait() time.Duration {
	p.open()
	if len(p.online) < p.Slots {
		return 0
	}
	turns := float64(p.queue.size+1) / float64(p.Slots)
	return time.Duration(turns * p.service * float64(time.Second))
}
