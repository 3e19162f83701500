// Package reserve decides which sides an entry asks for a free slot, which of their offers it takes, and how many reservations a side counts.
package reserve

import (
	"math"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// RoundAsks is how many sides are asked at a time. While online requests take 0.86 of all slots, 0.10 of
	// them queue needlessly with three, 0.12 with two and 0.24 without asks (TestRequestsFindFreeSlots).
	RoundAsks = 3
	// rounds is how often more sides are asked for one request.
	rounds = 2
	// MaxAsks bounds the asks for one request.
	MaxAsks = RoundAsks * rounds
	// slowFrom is the slowness from which a target is chosen after those of usual speed. It is between
	// the usual 1 and the 2.5 of slow targets.
	slowFrom = 1.5
	// maxOfferAge is the age of a load report from which an offer says nothing: a side reads one every
	// 100 ms, and half of a target's streams end in twice this time.
	maxOfferAge = 400 * time.Millisecond
)

// Offer is the offer of the side of a candidate.
type Offer struct {
	// Candidate is the index of the candidate, and Distance its distance.
	Candidate, Distance int
	rhubarbgate.TargetOffer
}

// taken returns how many slots online work takes or waits for.
func (o *Offer) taken() int { return o.Online + o.Queued + o.Reserved }

// isFree reports whether a slot is free or can be freed by preemption.
func (o *Offer) isFree() bool { return o.taken() < o.Slots }

// isIdle reports whether a slot is free without preemption.
func (o *Offer) isIdle() bool { return o.taken()+o.Batch < o.Slots }

// isSlow reports whether the target is slow now.
func (o *Offer) isSlow() bool { return o.Slowness >= slowFrom }

// wait returns how long a request waits for a slot whose requests hold one for the time hold.
func (o *Offer) wait(hold time.Duration) time.Duration {
	if o.isFree() {
		return 0
	}
	slowness := o.Slowness
	if slowness == 0 {
		slowness = 1
	}
	wait := float64(o.taken()-o.Slots+1) * float64(hold) * slowness / float64(o.Slots)
	return time.Duration(math.Min(wait, float64(math.MaxInt64/2)))
}

// isBetter reports whether a request is better sent to o than to p. A slot that is free already goes
// before one that a batch item has to leave: the item loses its slot, and the request waits for it.
func (o *Offer) isBetter(p *Offer, hold time.Duration) bool {
	if o.isFree() && p.isFree() {
		if o.isSlow() != p.isSlow() {
			return p.isSlow()
		}
		if o.isIdle() != p.isIdle() {
			return o.isIdle()
		}
		if a, b := o.taken(), p.taken(); a != b {
			return a < b
		}
	} else if a, b := o.wait(hold), p.wait(hold); a != b {
		return a < b
	}
	return o.Distance < p.Distance
}

// Choice is the choice of a target for one request. The zero value asks nothing.
type Choice struct {
	// Hold is the mean time for which a request holds a slot.
	Hold time.Duration
	// Round is how many sides are asked at a time.
	Round int

	ranked   [MaxAsks]int // candidates in the order in which they are asked
	n        int
	asked    int
	answered int // of the asked ones, offers without use included
	offers   [MaxAsks]Offer
	offered  int
	idleNear bool // a side in the entry's zone has an idle slot at usual speed
	free     bool
}

// Start begins a choice among candidates, which are asked in this order, round by round. Those beyond the
// last round are not asked.
func (c *Choice) Start(hold time.Duration, round int, ranked []int) {
	*c = Choice{Hold: hold, Round: round}
	c.n = copy(c.ranked[:min(rounds*round, MaxAsks)], ranked)
}

// Next returns the candidates to ask now.
func (c *Choice) Next() []int {
	from := c.asked
	c.asked = min(c.n, from+c.Round)
	return c.ranked[from:c.asked]
}

// Add takes the reply of an asked side.
func (c *Choice) Add(o Offer) {
	c.answered++
	if o.Age > maxOfferAge || o.Slots <= 0 || c.offered == len(c.offers) {
		return
	}
	c.offers[c.offered] = o
	c.offered++
	c.free = c.free || o.isFree()
	c.idleNear = c.idleNear || o.isIdle() && !o.isSlow() && o.Distance <= 1
}

// Decided reports whether no further offer has to be awaited: a near target has an idle slot, or all
// asked sides replied.
func (c *Choice) Decided() bool { return c.idleNear || c.answered >= c.asked }

// MayAskMore reports whether no asked target has a free slot, as far as known, and others can be asked.
func (c *Choice) MayAskMore() bool { return !c.free && c.asked < c.n }

// Asked returns how many sides were asked.
func (c *Choice) Asked() int { return c.asked }

// Offers returns the offers that count.
func (c *Choice) Offers() []Offer { return c.offers[:c.offered] }

// Best returns the best offer whose candidate is not excluded.
func (c *Choice) Best(excluded func(candidate int) bool) (Offer, bool) {
	best := -1
	for i := range c.Offers() {
		o := &c.offers[i]
		if excluded != nil && excluded(o.Candidate) {
			continue
		}
		if best < 0 || o.isBetter(&c.offers[best], c.Hold) {
			best = i
		}
	}
	if best < 0 {
		return Offer{}, false
	}
	return c.offers[best], true
}

// Wait returns the expected wait for a slot at the target of an offer.
func (c *Choice) Wait(o Offer) time.Duration { return o.wait(c.Hold) }

// HasFreeSlot reports whether the target of an offer has a free slot.
func (c *Choice) HasFreeSlot(o Offer) bool { return o.isFree() }

// Free reports whether an asked target has a free slot.
func (c *Choice) Free() bool { return c.free }

// Busy returns the share of the slots of the targets with offers that is taken by online requests,
// reservations or batch items.
func (c *Choice) Busy() float64 {
	slots, taken := 0, 0
	for i := range c.Offers() {
		o := &c.offers[i]
		slots += o.Slots
		taken += min(o.Slots, o.taken()+o.Batch)
	}
	if slots == 0 {
		return 0
	}
	return float64(taken) / float64(slots)
}
