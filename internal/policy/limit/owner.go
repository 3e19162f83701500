package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Rate is the limit of one workspace.
type Rate struct {
	PerSecond float64
	Burst     float64
}

const (
	// tolerance absorbs rounding in the invariants.
	tolerance = 1e-6
	// minWait is the shortest wait that an owner suggests.
	minWait = 5 * time.Millisecond
)

// Owner hands out the tokens of workspaces. Tokens that are granted and not yet
// known to be spent still count as in the bucket, so over all holders at most
// burst + rate·d is spent in any window of length d.
//
// A new owner does not know the grants of its predecessor. No owner lets more
// than half the burst be outstanding, so the new one starts empty and uses the
// other half until those grants have run out. If the predecessor itself began so
// lately that grants of the owner before it may be out too, the new owner grants
// nothing until all of them have run out. An owner without a predecessor starts
// with the whole burst.
type Owner struct {
	Clock clockwork.Clock
	// Rates returns the limit of a workspace.
	Rates func(workspace string) (Rate, bool)
	// TTL is how long a holder may spend a grant.
	TTL time.Duration
	// Drift is the largest relative error of any clock.
	Drift float64

	mu      sync.Mutex
	begun   time.Time
	first   bool // there are no grants of earlier owners
	strict  bool // grants of two earlier owners may be out
	nextID  uint64
	buckets map[string]*bucket
}

type bucket struct {
	rate        Rate
	level       float64
	at          time.Time
	outstanding float64
	grants      map[uint64]*grant
	holders     map[string]time.Time // last ask
}

type grant struct {
	tokens  float64
	spent   float64
	expires time.Time
}

// Predecessor is what a new owner knows of the one before.
type Predecessor struct {
	// None says that there was no owner before.
	None bool
	// Begun is a time by which that owner had begun.
	Begun time.Time
	// EarlierGrantsExpired says that it had seen all grants of earlier owners run out.
	EarlierGrantsExpired bool
}

// Begin starts a term of ownership. Call it when the old owner's lease is over.
func (o *Owner) Begin(p Predecessor) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun = o.Clock.Now()
	o.first = p.None
	o.strict = !p.EarlierGrantsExpired && o.begun.Sub(p.Begun) < o.life()
	// Identifiers of different owners must not meet in a holder's reports.
	o.nextID = uint64(o.begun.UnixNano())
	o.buckets = map[string]*bucket{}
}

// life is how long the owner treats a grant as outstanding: the holder's clock
// may be slow and the owner's fast.
func (o *Owner) life() time.Duration {
	return time.Duration(float64(o.TTL) * (1 + o.Drift) / (1 - o.Drift))
}

// EarlierGrantsExpired reports whether all grants of earlier owners have run out.
func (o *Owner) EarlierGrantsExpired() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.first || !o.Clock.Now().Before(o.begun.Add(o.life()))
}

// blind returns how long the owner grants nothing because it cannot know which
// grants are out.
func (o *Owner) blind(now time.Time) time.Duration {
	if o.first || !o.strict {
		return 0
	}
	return max(0, o.begun.Add(o.life()).Sub(now))
}

// Outstanding returns how many tokens of a burst may be granted and unspent.
func Outstanding(burst float64) float64 { return math.Max(1, math.Floor(burst/2)) }

// capacity is the most that the bucket and its grants may hold at t.
func (o *Owner) capacity(b *bucket, t time.Time) float64 {
	if !o.first && t.Before(o.begun.Add(o.life())) {
		if o.strict {
			return 0
		}
		return math.Max(0, b.rate.Burst-Outstanding(b.rate.Burst))
	}
	return b.rate.Burst
}

// Exchange takes a holder's reports and answers its asks.
func (o *Owner) Exchange(holder string, asks []TokenRequest) []Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buckets == nil {
		return nil
	}
	now := o.Clock.Now()
	r := make([]Grant, 0, len(asks))
	for _, a := range asks {
		r = append(r, o.settle(now, holder, a))
	}
	return r
}

func (o *Owner) settle(now time.Time, holder string, a TokenRequest) Grant {
	g := Grant{Workspace: a.Workspace, TTL: o.TTL}
	b := o.bucket(a.Workspace, now)
	if b == nil {
		g.Unknown = true
		return g
	}
	g.PerSecond = b.rate.PerSecond
	// Refill first: room that the reports make counts only from now on.
	o.accrue(b, now)
	for _, r := range a.Reports {
		b.report(r)
	}
	// Tokens that came back may find a burst that has shrunk meanwhile.
	o.clamp(b, now)
	if a.Want <= 0 {
		return g
	}
	b.holders[holder] = now
	n := b.share(a.Want, now, o.TTL)
	if n < 1 {
		g.Wait, g.Blind = b.untilNext(), o.blind(now)
		return g
	}
	o.nextID++
	g.ID, g.Tokens = o.nextID, n
	b.level -= n
	b.outstanding += n
	b.grants[g.ID] = &grant{tokens: n, expires: now.Add(o.life())}
	o.check(a.Workspace, b, now)
	return g
}

func (o *Owner) bucket(workspace string, now time.Time) *bucket {
	rate, ok := o.Rates(workspace)
	b := o.buckets[workspace]
	if !ok {
		// The bucket stays: grants may still be out when the workspace returns.
		return nil
	}
	if b == nil {
		b = &bucket{rate: rate, at: o.begun, grants: map[uint64]*grant{}, holders: map[string]time.Time{}}
		switch {
		case o.first:
			b.level, b.at = rate.Burst, now
		case now.After(o.begun.Add(o.life())):
			// Untouched since the owner began, so it is as full as time allows.
			b.level = math.Min(rate.Burst, rate.PerSecond*now.Sub(o.begun).Seconds())
			b.at = now
		}
		o.buckets[workspace] = b
	}
	if b.rate != rate {
		o.accrue(b, now)
		b.rate = rate
	}
	return b
}

// accrue refills the bucket up to now. Tokens that are outstanding hold the
// refill back until the moment they expire, so expiries are taken in order.
func (o *Owner) accrue(b *bucket, now time.Time) {
	for {
		id, g := b.earliest()
		if g == nil || now.Before(g.expires) {
			break
		}
		o.refill(b, g.expires)
		// What was not reported counts as spent.
		b.outstanding -= g.tokens - g.spent
		delete(b.grants, id)
	}
	if len(b.grants) == 0 {
		b.outstanding = 0
	}
	o.refill(b, now)
}

// earliest returns the grant that expires first.
func (b *bucket) earliest() (uint64, *grant) {
	var id uint64
	var first *grant
	for i, g := range b.grants {
		if first == nil || g.expires.Before(first.expires) {
			id, first = i, g
		}
	}
	return id, first
}

// refill adds what accrues until t, as far as there is room.
func (o *Owner) refill(b *bucket, t time.Time) {
	if !t.After(b.at) {
		return
	}
	b.level += b.rate.PerSecond * t.Sub(b.at).Seconds()
	b.at = t
	o.clamp(b, t)
}

// clamp cuts the level to the room that outstanding tokens leave.
func (o *Owner) clamp(b *bucket, t time.Time) {
	b.level = math.Max(0, math.Min(b.level, o.capacity(b, t)-b.outstanding))
}

// report accounts for what a holder spent.
func (b *bucket) report(r Report) {
	g, ok := b.grants[r.Grant]
	if !ok {
		return
	}
	if spent := math.Min(r.Spent, g.tokens); spent > g.spent {
		b.outstanding -= spent - g.spent
		g.spent = spent
	}
	if r.Final {
		left := g.tokens - g.spent
		b.outstanding -= left
		b.level += left
		delete(b.grants, r.Grant)
	}
}

// share decides how many whole tokens a holder gets.
func (b *bucket) share(want float64, now time.Time, recent time.Duration) float64 {
	for h, t := range b.holders {
		if now.Sub(t) > recent {
			delete(b.holders, h)
		}
	}
	room := math.Min(b.level, Outstanding(b.rate.Burst)-b.outstanding)
	n := math.Min(want, room)
	if others := len(b.holders); others > 1 {
		// Leave something for the other holders, unless only one token is left.
		n = math.Min(n, math.Max(1, room/2))
	}
	return math.Floor(n + tolerance)
}

// untilNext returns how long it takes until a whole token is there.
func (b *bucket) untilNext() time.Duration {
	if b.rate.PerSecond <= 0 {
		return time.Second
	}
	d := time.Duration((1 - b.level) / b.rate.PerSecond * float64(time.Second))
	return min(max(d, minWait), time.Second)
}

func (o *Owner) check(workspace string, b *bucket, now time.Time) {
	if b.level < -tolerance || b.outstanding < -tolerance {
		panic(fmt.Sprintf("limit invariant: workspace %s: level %f, outstanding %f", workspace, b.level, b.outstanding))
	}
	// A shrunk burst may leave more outstanding than it allows; nothing is added then.
	if b.level > tolerance && b.level+b.outstanding > o.capacity(b, now)+tolerance {
		panic(fmt.Sprintf("limit invariant: workspace %s holds %f of %f", workspace, b.level+b.outstanding, b.rate.Burst))
	}
}

// Workspaces returns how many workspaces have a bucket.
func (o *Owner) Workspaces() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.buckets)
}

// Grants returns how many grants are outstanding.
func (o *Owner) Grants() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, b := range o.buckets {
		n += len(b.grants)
	}
	return n
}
