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
	// prefetchWindow is how much expected use a holder requests in advance.
	prefetchWindow = time.Second
	// returnBeforeExpiry is how long before its expiry a grant is returned, so that
	// the report reaches the owner in time. The owner counts the unspent tokens of
	// an expired grant as spent.
	returnBeforeExpiry = 250 * time.Millisecond
	// renewBeforeReturn is how long before a grant's return the holder requests
	// tokens that replace it.
	renewBeforeReturn = 50 * time.Millisecond
	// idleAfter is the time without a take after which a workspace's unspent tokens
	// are returned to the owner.
	idleAfter = time.Second
	// usageWindow is the time constant of the moving average of use.
	usageWindow = time.Second
	// evictAfter is the time without a take after which a workspace's state is
	// deleted.
	evictAfter = time.Minute
)

// Holder requests grants for the workspaces of one entry and spends their tokens.
// It sends nothing itself: the caller passes what TokenRequests returns to the
// owners and the result to ApplyGrants or
// RecordExchangeFailure.
type Holder struct {
	Clock clockwork.Clock
	// OnWait, if set, is called when Acquire begins to wait because the workspace
	// has too few tokens.
	OnWait func(workspace string)

	once   sync.Once
	seed   maphash.Seed
	shards [holderShards]holderShard
}

type holderShard struct {
	mu         sync.Mutex
	workspaces map[string]*workspaceState
	// active holds the workspaces that may have something to request or report:
	// those with grants, waiters, a token request in flight or a recent take.
	active      map[string]*workspaceState
	nextSweepAt time.Time
}

// workspaceState is the grants, waiters and measured use of one workspace.
type workspaceState struct {
	grants          []*heldGrant
	waiters         []*waiter
	usagePerSecond  float64 // moving average of the tokens requested by takes
	usedTokens      float64 // requested since usageUpdatedAt
	usageUpdatedAt  time.Time
	lastTake        time.Time
	nextRequestAt   time.Time // no tokens are requested before
	requestInFlight bool
	ratePerSecond   float64   // the workspace's rate; 0 while unknown
	exchangeFailed  bool      // the last exchange with the owner failed
	ownerGrantsAt   time.Time // the owner grants nothing before
}

// heldGrant is a grant with what the holder spent and reported of it.
type heldGrant struct {
	id       uint64
	tokens   float64
	spent    float64
	reported float64 // the value of spent in the last report; -1 to report again
	closed   bool    // nothing more is spent; the next report is final
	expires  time.Time
}

// waiter is a call of Acquire that waits for tokens.
type waiter struct {
	tokens float64
	ready  chan bool // receives true when the tokens were taken
}

var _ rhubarbgate.Limiter = (*Holder)(nil)

func (h *Holder) shard(workspace string) *holderShard {
	h.once.Do(func() {
		h.seed = maphash.MakeSeed()
		for i := range h.shards {
			h.shards[i].workspaces = map[string]*workspaceState{}
			h.shards[i].active = map[string]*workspaceState{}
		}
	})
	return &h.shards[maphash.String(h.seed, workspace)%holderShards]
}

// state returns the workspace's state, which it creates if needed, and marks the
// workspace active.
func (s *holderShard) state(workspace string, now time.Time) *workspaceState {
	ws := s.workspaces[workspace]
	if ws == nil {
		ws = &workspaceState{usageUpdatedAt: now, lastTake: now}
		s.workspaces[workspace] = ws
	}
	s.active[workspace] = ws
	return ws
}

// needsExchange reports whether the workspace has something to request or report,
// now or soon.
func (ws *workspaceState) needsExchange(now time.Time) bool {
	return len(ws.grants) > 0 || len(ws.waiters) > 0 || ws.requestInFlight || now.Sub(ws.lastTake) <= idleAfter
}

// sweep deletes inactive workspaces without a take for evictAfter. It scans the
// shard at most once in that time.
func (s *holderShard) sweep(now time.Time) {
	if now.Before(s.nextSweepAt) {
		return
	}
	s.nextSweepAt = now.Add(evictAfter)
	for name, ws := range s.workspaces {
		if s.active[name] == nil && now.Sub(ws.lastTake) > evictAfter {
			delete(s.workspaces, name)
		}
	}
}

// Take implements rhubarbgate.Limiter. It refuses while earlier callers wait for
// tokens of the workspace, and never waits itself.
func (h *Holder) Take(workspace string, n float64) (bool, time.Duration) {
	now := h.Clock.Now()
	s := h.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(workspace, now).take(now, n)
}

// take takes n tokens if they are available and no earlier caller waits for some. If not, it returns
// how long to wait before a retry.
func (ws *workspaceState) take(now time.Time, n float64) (bool, time.Duration) {
	ws.recordUse(now, n)
	if len(ws.waiters) == 0 && ws.spend(now, n) {
		return true, 0
	}
	return false, max(ws.nextRequestAt.Sub(now), minWait)
}

// Acquire takes n tokens, waiting for them until maxWait has elapsed or done is
// closed. It reports whether it took them and, if not, how long to wait before a
// retry.
func (h *Holder) Acquire(workspace string, n float64, maxWait time.Duration, done <-chan struct{}) (bool, time.Duration) {
	w := &waiter{tokens: n, ready: make(chan bool, 1)}
	now := h.Clock.Now()
	s := h.shard(workspace)
	s.mu.Lock()
	ws := s.state(workspace, now)
	ok, wait := ws.take(now, n)
	if ok {
		s.mu.Unlock()
		return true, 0
	}
	if tokenWait := ws.minTokenWait(n); tokenWait > maxWait {
		// The tokens cannot arrive within maxWait, so refuse without waiting.
		s.mu.Unlock()
		return false, tokenWait
	}
	ws.waiters = append(ws.waiters, w)
	s.mu.Unlock()
	if h.OnWait != nil {
		h.OnWait(workspace)
	}
	t := h.Clock.NewTimer(maxWait)
	defer t.Stop()
	select {
	case ok := <-w.ready:
		return ok, wait
	case <-t.Chan():
	case <-done:
	}
	return h.cancelWait(s, workspace, w), wait
}

// minTokenWait returns the least time in which the workspace's rate can serve all
// current waiters and then n tokens, if one token is available at once. It returns 0
// while the rate is unknown.
func (ws *workspaceState) minTokenWait(n float64) time.Duration {
	if ws.ratePerSecond <= 0 {
		return 0
	}
	for _, w := range ws.waiters {
		n += w.tokens
	}
	return time.Duration((n - 1) / ws.ratePerSecond * float64(time.Second))
}

// cancelWait removes a waiter. It returns true if the waiter's tokens were taken
// before it could be removed.
func (h *Holder) cancelWait(s *holderShard, workspace string, w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ws := s.workspaces[workspace]; ws != nil {
		if i := slices.Index(ws.waiters, w); i >= 0 {
			ws.waiters = slices.Delete(ws.waiters, i, i+1)
			return false
		}
	}
	return <-w.ready
}

// recordUse counts a take of n tokens, granted or refused, as use.
func (ws *workspaceState) recordUse(now time.Time, n float64) {
	ws.lastTake = now
	ws.updateUsage(now)
	ws.usedTokens += n
}

// updateUsage folds usedTokens into the exponential moving average usagePerSecond,
// at most once in a quarter of usageWindow.
func (ws *workspaceState) updateUsage(now time.Time) {
	d := now.Sub(ws.usageUpdatedAt)
	if d < usageWindow/4 {
		return
	}
	keep := math.Exp(-d.Seconds() / usageWindow.Seconds())
	ws.usagePerSecond = ws.usagePerSecond*keep + ws.usedTokens/d.Seconds()*(1-keep)
	ws.usedTokens, ws.usageUpdatedAt = 0, now
}

// spend takes n tokens from the grants, oldest first, because these expire first.
// It takes none and returns false if fewer than n are available.
func (ws *workspaceState) spend(now time.Time, n float64) bool {
	if ws.available(now) < n-tolerance {
		return false
	}
	for _, g := range ws.grants {
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

// usable reports whether tokens of the grant may be spent.
func (g *heldGrant) usable(now time.Time) bool { return !g.closed && now.Before(g.expires) }

// available returns the unspent tokens of all usable grants.
func (ws *workspaceState) available(now time.Time) float64 {
	n := 0.0
	for _, g := range ws.grants {
		if g.usable(now) {
			n += g.tokens - g.spent
		}
	}
	return n
}

// availableNotExpiring returns the unspent tokens of grants that are not yet due
// for renewal.
func (ws *workspaceState) availableNotExpiring(now time.Time) float64 {
	n := 0.0
	for _, g := range ws.grants {
		if !g.closed && now.Before(g.expires.Add(-returnBeforeExpiry-renewBeforeReturn)) {
			n += g.tokens - g.spent
		}
	}
	return n
}

// TokenRequests returns the token requests to send to the owners now. Each must be
// passed to ApplyGrants or RecordExchangeFailure afterwards; until then its workspace
// requests nothing more. Owned selects the workspaces to include.
func (h *Holder) TokenRequests(owned func(workspace string) bool) []TokenRequest {
	now := h.Clock.Now()
	var r []TokenRequest
	h.shard("")
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for name, ws := range s.active {
			if !owned(name) {
				continue
			}
			if req, ok := ws.tokenRequest(name, now); ok {
				r = append(r, req)
			} else if !ws.needsExchange(now) {
				delete(s.active, name)
			}
		}
		s.sweep(now)
		s.mu.Unlock()
	}
	return r
}

// tokenRequest returns the request to send for the workspace, or false if there is
// nothing to request or report or a request is in flight.
func (ws *workspaceState) tokenRequest(name string, now time.Time) (TokenRequest, bool) {
	if ws.requestInFlight {
		return TokenRequest{}, false
	}
	ws.updateUsage(now)
	req := TokenRequest{Workspace: name, Reports: ws.collectReports(now)}
	if now.Before(ws.nextRequestAt) && len(req.Reports) == 0 {
		return TokenRequest{}, false
	}
	if !now.Before(ws.nextRequestAt) {
		req.Want = ws.wantedTokens(now)
	}
	if req.Want == 0 && len(req.Reports) == 0 {
		return TokenRequest{}, false
	}
	ws.requestInFlight = true
	return req, true
}

// wantedTokens returns how many tokens to request: what the waiters need and the
// use expected within prefetchWindow, less the tokens that are available. Without
// waiters it returns 0 as long as half the expected use is available.
func (ws *workspaceState) wantedTokens(now time.Time) float64 {
	waiting := 0.0
	for _, w := range ws.waiters {
		waiting += w.tokens
	}
	have := ws.availableNotExpiring(now)
	expected := 0.0
	if now.Sub(ws.lastTake) <= idleAfter {
		expected = math.Floor(ws.usagePerSecond * prefetchWindow.Seconds())
	}
	if waiting == 0 && have >= expected/2 {
		return 0
	}
	return math.Ceil(math.Max(0, waiting+expected-have))
}

// collectReports returns a report for each grant whose spending changed. It closes
// grants that are used up, about to expire or of an idle workspace; their report is
// final and returns the unspent tokens.
func (ws *workspaceState) collectReports(now time.Time) []Report {
	var r []Report
	idle := now.Sub(ws.lastTake) > idleAfter
	for _, g := range ws.grants {
		if idle || !now.Before(g.expires.Add(-returnBeforeExpiry)) || g.tokens-g.spent < tolerance {
			g.closed = true
		}
		if g.closed || g.spent != g.reported {
			r = append(r, Report{Grant: g.id, Spent: g.spent, Final: g.closed})
			g.reported = g.spent
		}
	}
	return r
}

// ApplyGrants applies the grants of an owner's reply to requests. The grants' TTL counts
// from sentAt, when the requests were sent.
func (h *Holder) ApplyGrants(sentAt time.Time, requests []TokenRequest, grants []Grant) {
	h.finishRequests(requests, true)
	now := h.Clock.Now()
	for _, g := range grants {
		s := h.shard(g.Workspace)
		s.mu.Lock()
		s.state(g.Workspace, now).applyGrant(sentAt, now, g)
		s.mu.Unlock()
	}
}

// applyGrant adds a grant and serves the waiters that it covers, in order. If it has
// no tokens, further token requests are deferred as the owner says.
func (ws *workspaceState) applyGrant(sentAt, now time.Time, g Grant) {
	ws.ratePerSecond = g.PerSecond
	if g.Tokens > 0 {
		ws.grants = append(ws.grants, &heldGrant{id: g.ID, tokens: g.Tokens, expires: sentAt.Add(g.TTL)})
		ws.nextRequestAt = now
	} else {
		ws.nextRequestAt, ws.ownerGrantsAt = now.Add(g.Wait), now.Add(g.GrantPause)
	}
	for len(ws.waiters) > 0 && ws.spend(now, ws.waiters[0].tokens) {
		ws.waiters[0].ready <- true
		ws.waiters = ws.waiters[1:]
	}
}

// RecordExchangeFailure records that an exchange failed. Its requests may or may not have reached
// the owner, so their reports are sent again.
func (h *Holder) RecordExchangeFailure(requests []TokenRequest) { h.finishRequests(requests, false) }

// finishRequests marks requests as no longer in flight. If the owner received them,
// it deletes the grants with a final report; if not, their reports are sent again.
func (h *Holder) finishRequests(requests []TokenRequest, delivered bool) {
	now := h.Clock.Now()
	for _, req := range requests {
		s := h.shard(req.Workspace)
		s.mu.Lock()
		ws := s.state(req.Workspace, now)
		ws.requestInFlight = false
		ws.exchangeFailed = !delivered
		if delivered {
			ws.dropFinished(req.Reports)
		} else {
			ws.resetReports(now, req.Reports)
		}
		s.mu.Unlock()
	}
}

// dropFinished deletes the grants whose final report the owner received.
func (ws *workspaceState) dropFinished(reports []Report) {
	for _, r := range reports {
		if r.Final {
			ws.grants = slices.DeleteFunc(ws.grants, func(g *heldGrant) bool { return g.id == r.Grant })
		}
	}
}

// resetReports makes the grants of lost reports be reported again. It deletes grants
// that expired more than idleAfter ago, which their owner already counts as spent.
func (ws *workspaceState) resetReports(now time.Time, reports []Report) {
	for _, r := range reports {
		for _, g := range ws.grants {
			if g.id == r.Grant {
				g.reported = -1
			}
		}
	}
	ws.grants = slices.DeleteFunc(ws.grants, func(g *heldGrant) bool { return now.Sub(g.expires) > idleAfter })
}

// OwnerUnreachable reports whether the last exchange for the workspace failed or the
// first one is still without a reply. A refusal is then no sign that the workspace
// exceeds its rate.
func (h *Holder) OwnerUnreachable(workspace string) bool {
	s := h.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	ws := s.workspaces[workspace]
	return ws != nil && (ws.exchangeFailed || ws.requestInFlight && ws.ratePerSecond == 0)
}

// OwnerGrantPause returns how long the owner of the workspace's rate still grants
// nothing, because it is new and does not know which grants of earlier owners are
// outstanding.
func (h *Holder) OwnerGrantPause(workspace string) time.Duration {
	s := h.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ws := s.workspaces[workspace]; ws != nil {
		return max(0, ws.ownerGrantsAt.Sub(h.Clock.Now()))
	}
	return 0
}

// Available returns how many tokens the holder can spend for the workspace now.
func (h *Holder) Available(workspace string) float64 {
	s := h.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	ws := s.workspaces[workspace]
	if ws == nil {
		return 0
	}
	return ws.available(h.Clock.Now())
}
