package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Rate is the limit of one workspace, in tokens: a token bucket of size Burst that
// refills at PerSecond.
type Rate struct {
	PerSecond float64
	Burst     float64
}

const (
	// tolerance is how many tokens rounding errors may add up to in comparisons.
	tolerance = 1e-6
	// minWait is the shortest time to wait that a refusal suggests.
	minWait = 5 * time.Millisecond
)

// Owner grants the tokens of workspaces to holders from one token bucket a
// workspace. Tokens that are granted and not reported as spent still occupy the
// bucket, so over all holders at most burst + rate·d is spent in any window of
// length d.
//
// A new owner does not know the grants of its predecessor. No owner lets more than
// half the burst be outstanding, so the new one starts with empty buckets and fills
// them up to the other half until the predecessor's grants have expired. If the
// predecessor began so recently that grants of the owner before it may be
// outstanding too, the new owner grants nothing until all of them have expired. An
// owner without a predecessor starts with full buckets.
type Owner struct {
	Clock clockwork.Clock
	// Rates returns the limit of a workspace, or false if it has none.
	Rates func(workspace string) (Rate, bool)
	// TTL is how long a holder may spend from a grant.
	TTL time.Duration
	// Drift is the largest relative rate error of any host's clock, such as 0.01.
	Drift float64

	mu               sync.Mutex
	begunAt          time.Time
	noPredecessor    bool // no grants of earlier owners exist
	twoEarlierOwners bool // grants of two earlier owners may be outstanding
	nextID           uint64
	buckets          map[string]*bucket
}

// bucket is the token bucket of one workspace.
type bucket struct {
	rate        Rate
	level       float64 // tokens that can be granted
	refilledAt  time.Time
	outstanding float64 // tokens that are granted and not reported as spent
	grants      map[uint64]*grant
	holders     map[string]time.Time // time of the last request for tokens, by holder
}

// grant is the owner's record of one grant.
type grant struct {
	tokens  float64
	spent   float64 // as reported
	expires time.Time
}

// Predecessor is what a new owner knows of the previous owner.
type Predecessor struct {
	// None says that there was no previous owner.
	None bool
	// Begun is a time at which the previous owner had already begun.
	Begun time.Time
	// EarlierGrantsExpired says that the grants of all owners before the previous one
	// had expired while that one was the owner.
	EarlierGrantsExpired bool
}

// Begin starts a term of ownership without any buckets. Call it after the previous
// owner's lease has expired. The owner grants nothing before Begin.
func (o *Owner) Begin(p Predecessor) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begunAt = o.Clock.Now()
	o.noPredecessor = p.None
	o.twoEarlierOwners = !p.EarlierGrantsExpired && o.begunAt.Sub(p.Begun) < o.grantLifetime()
	// Holders report grants by ID alone, so the IDs of successive owners must differ.
	o.nextID = uint64(o.begunAt.UnixNano())
	o.buckets = map[string]*bucket{}
}

// grantLifetime returns how long the owner treats a grant as outstanding. It exceeds
// the TTL, because the holder's clock may be slow and the owner's fast.
func (o *Owner) grantLifetime() time.Duration {
	return time.Duration(float64(o.TTL) * (1 + o.Drift) / (1 - o.Drift))
}

// EarlierGrantsExpired reports whether all grants of earlier owners have expired.
func (o *Owner) EarlierGrantsExpired() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.noPredecessor || !o.Clock.Now().Before(o.begunAt.Add(o.grantLifetime()))
}

// grantPause returns how long the owner still grants nothing, because grants of two
// earlier owners may be outstanding.
func (o *Owner) grantPause(now time.Time) time.Duration {
	if o.noPredecessor || !o.twoEarlierOwners {
		return 0
	}
	return max(0, o.begunAt.Add(o.grantLifetime()).Sub(now))
}

// MaxOutstanding returns how many tokens may be outstanding for a burst: half of it,
// but at least one. The next owner, which does not know them, can then safely grant
// the other half.
func MaxOutstanding(burst float64) float64 { return math.Max(1, math.Floor(burst/2)) }

// capacity returns the most tokens that may be in the bucket or outstanding at t. It
// excludes what grants of earlier owners may still spend.
func (o *Owner) capacity(b *bucket, t time.Time) float64 {
	if !o.noPredecessor && t.Before(o.begunAt.Add(o.grantLifetime())) {
		if o.twoEarlierOwners {
			return 0
		}
		return math.Max(0, b.rate.Burst-MaxOutstanding(b.rate.Burst))
	}
	return b.rate.Burst
}

// Exchange applies a holder's reports and returns one grant for each request, in
// order. If tokens were requested and none is granted, the grant says how long to
// wait. Exchange returns nil before Begin.
func (o *Owner) Exchange(holder string, requests []TokenRequest) []Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buckets == nil {
		return nil
	}
	now := o.Clock.Now()
	r := make([]Grant, 0, len(requests))
	for _, req := range requests {
		r = append(r, o.exchange(now, holder, req))
	}
	return r
}

// exchange processes one token request.
func (o *Owner) exchange(now time.Time, holder string, req TokenRequest) Grant {
	g := Grant{Workspace: req.Workspace, TTL: o.TTL}
	b := o.bucket(req.Workspace, now)
	if b == nil {
		g.Unknown = true
		return g
	}
	g.PerSecond = b.rate.PerSecond
	// Refill before the reports free capacity, because that capacity was occupied
	// until now and must not be refilled for the past.
	o.accrue(b, now)
	for _, r := range req.Reports {
		b.report(r)
	}
	// Returned tokens may exceed the capacity if the burst was lowered.
	o.clamp(b, now)
	if req.Want <= 0 {
		return g
	}
	b.holders[holder] = now
	n := b.grantableTokens(req.Want, now, o.TTL)
	if n < 1 {
		g.Wait, g.GrantPause = b.nextTokenWait(), o.grantPause(now)
		return g
	}
	o.nextID++
	g.ID, g.Tokens = o.nextID, n
	b.level -= n
	b.outstanding += n
	b.grants[g.ID] = &grant{tokens: n, expires: now.Add(o.grantLifetime())}
	o.checkInvariants(req.Workspace, b, now)
	return g
}

// bucket returns the workspace's bucket, which it creates if needed, with the rate
// in force. It returns nil if the workspace has no rate.
func (o *Owner) bucket(workspace string, now time.Time) *bucket {
	rate, ok := o.Rates(workspace)
	b := o.buckets[workspace]
	if !ok {
		// Keep the bucket: its grants may still be outstanding when the workspace gets a
		// rate again.
		return nil
	}
	if b == nil {
		b = &bucket{rate: rate, refilledAt: o.begunAt, grants: map[uint64]*grant{}, holders: map[string]time.Time{}}
		switch {
		case o.noPredecessor:
			b.level, b.refilledAt = rate.Burst, now
		case now.After(o.begunAt.Add(o.grantLifetime())):
			// No tokens were granted since the owner began, so it refilled all that time.
			b.level = math.Min(rate.Burst, rate.PerSecond*now.Sub(o.begunAt).Seconds())
			b.refilledAt = now
		}
		o.buckets[workspace] = b
	}
	if b.rate != rate {
		o.accrue(b, now)
		b.rate = rate
	}
	return b
}

// accrue expires grants and refills the bucket up to now. Outstanding tokens limit
// the refill until they expire, so it refills up to each expiry in order of time.
func (o *Owner) accrue(b *bucket, now time.Time) {
	for {
		id, g := b.earliestExpiry()
		if g == nil || now.Before(g.expires) {
			break
		}
		o.refill(b, g.expires)
		// Tokens that were not reported when the grant expired count as spent.
		b.outstanding -= g.tokens - g.spent
		delete(b.grants, id)
	}
	if len(b.grants) == 0 {
		b.outstanding = 0
	}
	o.refill(b, now)
}

// earliestExpiry returns the grant that expires first and its ID, or nil.
func (b *bucket) earliestExpiry() (uint64, *grant) {
	var id uint64
	var first *grant
	for i, g := range b.grants {
		if first == nil || g.expires.Before(first.expires) {
			id, first = i, g
		}
	}
	return id, first
}

// refill adds the tokens that accrue until t, up to the free capacity.
func (o *Owner) refill(b *bucket, t time.Time) {
	if !t.After(b.refilledAt) {
		return
	}
	b.level += b.rate.PerSecond * t.Sub(b.refilledAt).Seconds()
	b.refilledAt = t
	o.clamp(b, t)
}

// clamp limits the level to the capacity that outstanding tokens leave free.
func (o *Owner) clamp(b *bucket, t time.Time) {
	b.level = math.Max(0, math.Min(b.level, o.capacity(b, t)-b.outstanding))
}

// report applies a holder's report. A final report returns the unspent tokens to the
// bucket. Reports on unknown or expired grants are ignored.
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

// grantableTokens returns how many of the wanted tokens to grant, a whole number. It
// forgets holders that requested no tokens for longer than holderTimeout.
func (b *bucket) grantableTokens(wanted float64, now time.Time, holderTimeout time.Duration) float64 {
	for h, t := range b.holders {
		if now.Sub(t) > holderTimeout {
			delete(b.holders, h)
		}
	}
	free := math.Min(b.level, MaxOutstanding(b.rate.Burst)-b.outstanding)
	n := math.Min(wanted, free)
	if active := len(b.holders); active > 1 {
		// Leave half for the other holders, unless only one token is left.
		n = math.Min(n, math.Max(1, free/2))
	}
	return math.Floor(n + tolerance)
}

// nextTokenWait returns how long the refill takes to complete a whole token, at most
// one second.
func (b *bucket) nextTokenWait() time.Duration {
	if b.rate.PerSecond <= 0 {
		return time.Second
	}
	d := time.Duration((1 - b.level) / b.rate.PerSecond * float64(time.Second))
	return min(max(d, minWait), time.Second)
}

// checkInvariants panics if the bucket and its outstanding tokens exceed the capacity
// or are negative.
func (o *Owner) checkInvariants(workspace string, b *bucket, now time.Time) {
	if b.level < -tolerance || b.outstanding < -tolerance {
		panic(fmt.Sprintf("limit invariant: workspace %s: level %f, outstanding %f", workspace, b.level, b.outstanding))
	}
	// After the burst was lowered, more than the capacity may be outstanding. The level
	// is 0 then.
	if b.level > tolerance && b.level+b.outstanding > o.capacity(b, now)+tolerance {
		panic(fmt.Sprintf("limit invariant: workspace %s holds %f of %f", workspace, b.level+b.outstanding, b.rate.Burst))
	}
}

// WorkspaceCount returns how many workspaces have a bucket.
func (o *Owner) WorkspaceCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.buckets)
}

// GrantCount returns how many grants the owner holds a record of. Expired ones count
// until the next request for their workspace.
func (o *Owner) GrantCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, b := range o.buckets {
		n += len(b.grants)
	}
	return n
}
