package limit

import (
	"hash/maphash"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

const (
	holderShards = 32
	// horizon is how much expected use a holder asks for in advance.
	horizon = time.Second
	// returnEarly is how long before its end a grant is handed back, so that the
	// owner hears of the unspent tokens while they still count.
	returnEarly = 250 * time.Millisecond
	// renewEarly is how long before that its tokens are asked for anew.
	renewEarly = 50 * time.Millisecond
	// idleAfter is when unused tokens go back to the owner.
	idleAfter = time.Second
	// usageWindow smooths the measured use.
	usageWindow = time.Second
	// forgetAfter is when an unused workspace leaves memory.
	forgetAfter = time.Minute
)

// Holder spends the grants of one entry.
type Holder struct {
	Clock clockwork.Clock
	// Starved is called, if set, when a workspace has no token for a request.
	Starved func(workspace string)

	once   sync.Once
	seed   maphash.Seed
	shards [holderShards]holderShard
}

type holderShard struct {
	mu         sync.Mutex
	workspaces map[string]*purse
	// active are the workspaces with grants, waiters or asks under way: only
	// these have something to tell the owner.
	active  map[string]*purse
	sweepAt time.Time
}

// purse holds the grants of one workspace.
type purse struct {
	grants  []*held
	waiters []*waiter
	usage   float64 // tokens a second
	used    float64 // since usageAt
	usageAt time.Time
	last    time.Time // last take
	askAt   time.Time // not before
	asked   bool      // an ask is under way
	rate    float64   // of the workspace, 0 while not known
	lost    bool      // the last exchange failed
	sightAt time.Time // when the owner begins to grant again
}

type held struct {
	id       uint64
	tokens   float64
	spent    float64
	reported float64
	closed   bool
	expires  time.Time
}

type waiter struct {
	tokens float64
	ready  chan bool
}

var _ rhubarbgate.Limiter = (*Holder)(nil)

func (h *Holder) shard(workspace string) *holderShard {
	h.once.Do(func() {
		h.seed = maphash.MakeSeed()
		for i := range h.shards {
			h.shards[i].workspaces = map[string]*purse{}
			h.shards[i].active = map[string]*purse{}
		}
	})
	return &h.shards[maphash.String(h.seed, workspace)%holderShards]
}

func (s *holderShard) purse(workspace string, now time.Time) *purse {
	p := s.workspaces[workspace]
	if p == nil {
		p = &purse{usageAt: now, last: now}
		s.workspaces[workspace] = p
	}
	s.active[workspace] = p
	return p
}

// busy reports whether the purse has something to tell the owner, now or later.
func (p *purse) busy(now time.Time) bool {
	return len(p.grants) > 0 || len(p.waiters) > 0 || p.asked || now.Sub(p.last) <= idleAfter
}

// sweep drops workspaces that have not been used for long.
func (s *holderShard) sweep(now time.Time) {
	if now.Before(s.sweepAt) {
		return
	}
	s.sweepAt = now.Add(forgetAfter)
	for name, p := range s.workspaces {
		if s.active[name] == nil && now.Sub(p.last) > forgetAfter {
			delete(s.workspaces, name)
		}
	}
}

// Take implements rhubarbgate.Limiter.
func (h *Holder) Take(workspace string, n float64) (bool, time.Duration) {
	now := h.Clock.Now()
	s := h.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.purse(workspace, now)
	p.note(now, n)
	if len(p.waiters) == 0 && p.spend(now, n) {
		return true, 0
	}
	return false, max(p.askAt.Sub(now), minWait)
}

// Acquire takes n tokens, waiting up to patience for them. It reports whether it
// got them and, if not, when it is worth coming back.
func (h *Holder) Acquire(workspace string, n float64, patience time.Duration, done <-chan struct{}) (bool, time.Duration) {
	ok, wait := h.Take(workspace, n)
	if ok {
		return true, 0
	}
	w := &waiter{tokens: n, ready: make(chan bool, 1)}
	s := h.shard(workspace)
	s.mu.Lock()
	p := s.purse(workspace, h.Clock.Now())
	if queue := p.queueTime(n); queue > patience {
		// Waiting would be in vain, so the caller hears at once.
		s.mu.Unlock()
		return false, queue
	}
	p.waiters = append(p.waiters, w)
	s.mu.Unlock()
	if h.Starved != nil {
		h.Starved(workspace)
	}
	t := h.Clock.NewTimer(patience)
	defer t.Stop()
	select {
	case ok := <-w.ready:
		return ok, wait
	case <-t.Chan():
	case <-done:
	}
	return h.giveUp(s, workspace, w), wait
}

// queueTime is the least time until n tokens can be there for a new waiter.
func (p *purse) queueTime(n float64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	for _, w := range p.waiters {
		n += w.tokens
	}
	return time.Duration((n - 1) / p.rate * float64(time.Second))
}

// giveUp removes a waiter and reports whether it was served at the last moment.
func (h *Holder) giveUp(s *holderShard, workspace string, w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.workspaces[workspace]; p != nil {
		if i := slices.Index(p.waiters, w); i >= 0 {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			return false
		}
	}
	return <-w.ready
}

// note updates the measured use.
func (p *purse) note(now time.Time, n float64) {
	p.last = now
	p.decay(now)
	p.used += n
}

func (p *purse) decay(now time.Time) {
	d := now.Sub(p.usageAt)
	if d < usageWindow/4 {
		return
	}
	keep := math.Exp(-d.Seconds() / usageWindow.Seconds())
	p.usage = p.usage*keep + p.used/d.Seconds()*(1-keep)
	p.used, p.usageAt = 0, now
}

// spend takes n tokens out of the grants that expire first.
func (p *purse) spend(now time.Time, n float64) bool {
	if p.available(now) < n-tolerance {
		return false
	}
	for _, g := range p.grants {
		if !g.usable(now) {
			continue
		}
		x := math.Min(n, g.tokens-g.spent)
		g.spent += x
		n -= x
		if n <= tolerance {
			break
		}
	}
	return true
}

func (g *held) usable(now time.Time) bool { return !g.closed && now.Before(g.expires) }

func (p *purse) available(now time.Time) float64 {
	n := 0.0
	for _, g := range p.grants {
		if g.usable(now) {
			n += g.tokens - g.spent
		}
	}
	return n
}

// lasting counts the tokens of grants that are not about to be handed back.
func (p *purse) lasting(now time.Time) float64 {
	n := 0.0
	for _, g := range p.grants {
		if !g.closed && now.Before(g.expires.Add(-returnEarly-renewEarly)) {
			n += g.tokens - g.spent
		}
	}
	return n
}

// TokenRequests returns what to ask of the owners now. Each ask must be answered by
// Deliver or Failed. Owned selects the workspaces to include.
func (h *Holder) TokenRequests(owned func(workspace string) bool) []TokenRequest {
	now := h.Clock.Now()
	var r []TokenRequest
	h.shard("")
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for name, p := range s.active {
			if !owned(name) {
				continue
			}
			if a, ok := p.ask(name, now); ok {
				r = append(r, a)
			} else if !p.busy(now) {
				delete(s.active, name)
			}
		}
		s.sweep(now)
		s.mu.Unlock()
	}
	return r
}

func (p *purse) ask(name string, now time.Time) (TokenRequest, bool) {
	if p.asked {
		return TokenRequest{}, false
	}
	p.decay(now)
	a := TokenRequest{Workspace: name, Reports: p.reports(now)}
	if now.Before(p.askAt) && len(a.Reports) == 0 {
		return TokenRequest{}, false
	}
	if !now.Before(p.askAt) {
		a.Want = p.want(now)
	}
	if a.Want == 0 && len(a.Reports) == 0 {
		return TokenRequest{}, false
	}
	p.asked = true
	return a, true
}

// want is the expected use within the horizon beyond what is there.
func (p *purse) want(now time.Time) float64 {
	need := 0.0
	for _, w := range p.waiters {
		need += w.tokens
	}
	have := p.lasting(now)
	ahead := 0.0
	if now.Sub(p.last) <= idleAfter {
		ahead = math.Floor(p.usage * horizon.Seconds())
	}
	if need == 0 && have >= ahead/2 {
		return 0
	}
	return math.Ceil(math.Max(0, need+ahead-have))
}

// reports lists the grants whose spending changed, and closes those that are
// used up, expired or idle.
func (p *purse) reports(now time.Time) []Report {
	var r []Report
	idle := now.Sub(p.last) > idleAfter
	for _, g := range p.grants {
		if idle || !now.Before(g.expires.Add(-returnEarly)) || g.tokens-g.spent < tolerance {
			g.closed = true
		}
		if g.closed || g.spent != g.reported {
			r = append(r, Report{Grant: g.id, Spent: g.spent, Final: g.closed})
			g.reported = g.spent
		}
	}
	return r
}

// Deliver takes the owner's answers to asks that were sent at the given time.
func (h *Holder) Deliver(sent time.Time, asks []TokenRequest, grants []Grant) {
	h.finish(asks, true)
	now := h.Clock.Now()
	for _, g := range grants {
		s := h.shard(g.Workspace)
		s.mu.Lock()
		s.purse(g.Workspace, now).deliver(sent, now, g)
		s.mu.Unlock()
	}
}

func (p *purse) deliver(sent, now time.Time, g Grant) {
	p.rate = g.PerSecond
	if g.Tokens > 0 {
		p.grants = append(p.grants, &held{id: g.ID, tokens: g.Tokens, expires: sent.Add(g.TTL)})
		p.askAt = now
	} else {
		p.askAt, p.sightAt = now.Add(g.Wait), now.Add(g.Blind)
	}
	for len(p.waiters) > 0 && p.spend(now, p.waiters[0].tokens) {
		p.waiters[0].ready <- true
		p.waiters = p.waiters[1:]
	}
}

// Failed takes back asks that may not have reached the owner.
func (h *Holder) Failed(asks []TokenRequest) { h.finish(asks, false) }

// finish ends asks; grants whose final report arrived are dropped.
func (h *Holder) finish(asks []TokenRequest, delivered bool) {
	now := h.Clock.Now()
	for _, a := range asks {
		s := h.shard(a.Workspace)
		s.mu.Lock()
		p := s.purse(a.Workspace, now)
		p.asked = false
		p.lost = !delivered
		if delivered {
			p.drop(a.Reports)
		} else {
			p.unreport(now, a.Reports)
		}
		s.mu.Unlock()
	}
}

func (p *purse) drop(reports []Report) {
	for _, r := range reports {
		if r.Final {
			p.grants = slices.DeleteFunc(p.grants, func(g *held) bool { return g.id == r.Grant })
		}
	}
}

// unreport makes lost reports go out again. Grants that have expired for sure
// are dropped: their owner counts them as spent.
func (p *purse) unreport(now time.Time, reports []Report) {
	for _, r := range reports {
		for _, g := range p.grants {
			if g.id == r.Grant {
				g.reported = -1
			}
		}
	}
	p.grants = slices.DeleteFunc(p.grants, func(g *held) bool { return now.Sub(g.expires) > idleAfter })
}

// OwnerUnreachable reports whether the last exchange for the workspace failed, so that
// a refusal says nothing about its rate.
func (h *Holder) OwnerUnreachable(workspace string) bool {
	s := h.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.workspaces[workspace]
	return p != nil && (p.lost || p.asked && p.rate == 0)
}

// OwnerGrantPause returns how long the owner of the workspace's rate grants nothing,
// because it is new and cannot know which grants are out.
func (h *Holder) OwnerGrantPause(workspace string) time.Duration {
	s := h.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.workspaces[workspace]; p != nil {
		return max(0, p.sightAt.Sub(h.Clock.Now()))
	}
	return 0
}

// Held returns how many unspent tokens the holder has for the workspace.
func (h *Holder) Held(workspace string) float64 {
	s := h.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.workspaces[workspace]
	if p == nil {
		return 0
	}
	return p.available(h.Clock.Now())
}
