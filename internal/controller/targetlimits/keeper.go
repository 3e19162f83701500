// Package targetlimits keeps this process within its part of the rates that targets in need state.
package targetlimits

import (
	"context"
	"expvar"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/policy/apportion"
	"rhubarbgate.example/rhubarbgate/internal/policy/cold"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// summaryInterval is how often a process logs how many requests it sent to each target with a
	// limit.
	summaryInterval = 4 * time.Second
	// observationTTL is how long the newest response of a target counts, while the control hosts
	// list no limit of it. It covers a report and the next poll several times.
	observationTTL = 3 * time.Second
	// earlierLeaderTTL is how long shares of the earlier leader are used after another one has
	// published its first list.
	earlierLeaderTTL = 5 * time.Second
	// burstTime is the time for which unused tokens accumulate, but up to one at least. All holders
	// of a target's limit together keep no more than a second's tokens and burstTokens.
	burstTime   = 2 * time.Second
	burstTokens = 4
	// noShareRetryAfter is the Retry-After if this process has no share of any target: the time
	// until the control hosts may have given it one.
	noShareRetryAfter = time.Second
	// coldNewsTolerance is by how much a stated cold time has to differ from the known one to be reported at
	// once.
	coldNewsTolerance = 100 * time.Millisecond
	// demandHalfLife is the time in which past demand halves.
	demandHalfLife = 2 * time.Second
)

// Keeper keeps the limits of the targets that one process sends requests to. Set the exported
// fields before Run. A nil Keeper keeps nothing.
type Keeper struct {
	// Process identifies this process among all. Beside is the name of the target beside which it
	// runs, or nil if it sends to all targets.
	Process string
	Beside  func() string
	// HasWork, if set, reports whether the process wants a part of the rate of Beside.
	HasWork func() bool
	// Client calls the control hosts.
	Client *control.Client
	// Cold, if set, knows the cold targets.
	Cold   *cold.Tracker
	Clock  clockwork.Clock
	Logger log.Interface

	wake    chan struct{} // there is something to report
	mu      sync.Mutex
	targets map[string]*limited // by name of the target
	demand  map[string]*demand  // by service
	version control.LeaderVersion
	// leaderSince is when the first list of the current leader came.
	leaderSince time.Time
	// processes are those that send to all targets, as a leader listed them last.
	processes []string
	// claimedAt is when the last claim was built.
	claimedAt time.Time

	coldSent, coldInterim, coldWithout, returned *expvar.Int
}

// limited is a target with a limit.
type limited struct {
	service string
	// stated is what the newest response said, at statedAt; zero if this process got none.
	stated   apportion.Statement
	statedAt time.Time
	// listed says that the control hosts list the limit, and share is this process's part.
	listed    bool
	perSecond float64 // of all processes, as it is divided
	share     float64
	term      uint64 // of the leader that listed it
	// cold says that the limit is listed because the target is cold, and burst is how many tokens this
	// process keeps then.
	cold  bool
	burst float64
	// interimSent says that this process has sent the one request to the cold target that it may send
	// before it knows the division.
	interimSent bool
	// coldLeft is what a response said at coldAt about the cold time; zero if this process got none.
	coldLeft time.Duration
	coldAt   time.Time

	tokens  float64
	tokenAt time.Time
	// sent counts this process's requests since the last summary.
	sent int
}

// demand is a moving average of the rate of requests.
type demand struct {
	rate float64 // decaying sum of requests
	at   time.Time
}

// NewKeeper returns a Keeper that publishes its counters in m.
func NewKeeper(process string, c *control.Client, clock clockwork.Clock, logger log.Interface, m *expvar.Map) *Keeper {
	k := &Keeper{
		Process: process, Client: c, Clock: clock, Logger: logger,
		wake: make(chan struct{}, 1), targets: map[string]*limited{}, demand: map[string]*demand{},
	}
	m.Set("TargetsLimited", expvar.Func(func() any {
		k.mu.Lock()
		defer k.mu.Unlock()
		n := 0
		for _, x := range k.targets {
			if k.isLimited(x) {
				n++
			}
		}
		return n
	}))
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	k.coldSent, k.coldInterim = counter("ColdRequests"), counter("ColdRequestsUndivided")
	k.coldWithout, k.returned = counter("ColdWithoutToken"), counter("LimitTokensReturned")
	m.Set("TargetsCold", expvar.Func(func() any { return len(k.Cold.Targets()) }))
	return k
}

// Observe records what a response of a target says about its limit.
func (k *Keeper) Observe(t *discovery.Target, perSecond float64, hasLimit bool) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	name := t.Name()
	x := k.targets[name]
	if x == nil {
		if !hasLimit {
			return
		}
		x = k.add(name, t.Instance.Service)
	}
	if x.stated.Limited != hasLimit {
		k.Logger.WithFields(log.Fields{"target": name, "limited": hasLimit, "perSecond": perSecond}).Warn("target stated or ended a limit")
		k.signal()
	}
	x.stated = apportion.Statement{Target: name, Service: x.service, PerSecond: perSecond, Limited: hasLimit}
	x.statedAt = k.Clock.Now()
}

// ObserveCold records for how long a response of the target with this name says that it stays cold.
func (k *Keeper) ObserveCold(name, service string, left time.Duration) {
	if k == nil || !k.Cold.Enabled() {
		return
	}
	now := k.Clock.Now()
	before, _ := k.Cold.Cold(name)
	k.Cold.ObserveResponse(name, service, left, now)
	after, _ := k.Cold.Cold(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.targets[name]
	if x == nil {
		if before.Left == 0 && after.Left == 0 {
			return
		}
		x = k.add(name, service)
	}
	x.coldLeft, x.coldAt = left, now
	if (before.Left - after.Left).Abs() > coldNewsTolerance {
		k.signal()
	}
}

// add adds a target whose limit became known. It begins without tokens, as many processes learn of
// a limit at the same time. The lock is held.
func (k *Keeper) add(name, service string) *limited {
	x := &limited{service: service, tokenAt: k.Clock.Now()}
	k.targets[name] = x
	return x
}

// isListed reports whether the control hosts list a limit of the target. That of an earlier leader
// counts for a while. The lock is held.
func (k *Keeper) isListed(x *limited) bool {
	return x.listed && !x.cold && (x.term == k.version.Term || k.Clock.Since(k.leaderSince) < earlierLeaderTTL)
}

// isDivided reports whether this process knows the division of a cold target's rate. That of an earlier leader counts
// for a while, and as long as there is no other leader. The lock is held.
func (k *Keeper) isDivided(x *limited) bool {
	return x.listed && x.cold && (x.term == k.version.Term || k.Clock.Since(k.leaderSince) < earlierLeaderTTL)
}

// coldTarget returns the target if it is cold. Its share of the last cold time does not count for another
// one. The lock is held.
func (k *Keeper) coldTarget(name string, x *limited) (cold.Target, bool) {
	c, isCold := k.Cold.Cold(name)
	if !isCold && x != nil && x.cold {
		x.listed, x.cold, x.share, x.interimSent = false, false, 0, false
	}
	return c, isCold
}

// isInterimSender reports whether this process is among those that may send one request to a cold target before
// they know the division. All processes with the same list of them choose the same ones.
func (k *Keeper) isInterimSender(c cold.Target) bool {
	if k.Beside != nil || !slices.Contains(k.processes, k.Process) {
		return false
	}
	own, before := xxhash.Sum64String(c.Name+k.Process), 0
	for _, p := range k.processes {
		if xxhash.Sum64String(c.Name+p) < own {
			before++
		}
	}
	return before < apportion.ColdInterim(c.PerSecond)
}

// availableCold is Available for a cold target. The lock is held.
func (k *Keeper) availableCold(c cold.Target) (ok bool, wait time.Duration) {
	x := k.targets[c.Name]
	if x == nil {
		x = k.add(c.Name, c.Service)
	}
	if !k.isDivided(x) {
		if x.stated.Limited && k.Clock.Since(x.statedAt) < observationTTL && x.stated.PerSecond < c.PerSecond {
			return false, noShareRetryAfter
		}
		return !x.interimSent && k.isInterimSender(c), noShareRetryAfter
	}
	k.refill(x)
	if x.tokens >= 1 {
		return true, 0
	}
	rate := k.rate(x)
	if rate <= 0 {
		return false, noShareRetryAfter
	}
	return false, time.Duration((1 - x.tokens) / rate * float64(time.Second))
}

// takeCold is Take for a cold target. The lock is held.
func (k *Keeper) takeCold(c cold.Target) bool {
	if ok, _ := k.availableCold(c); !ok {
		k.coldWithout.Add(1)
		return false
	}
	x := k.targets[c.Name]
	if k.isDivided(x) {
		x.tokens--
	} else {
		x.interimSent = true
		k.coldInterim.Add(1)
	}
	k.coldSent.Add(1)
	x.sent++
	return true
}

// IsCold reports whether the target is cold.
func (k *Keeper) IsCold(target string) bool {
	if k == nil {
		return false
	}
	_, isCold := k.Cold.Cold(target)
	return isCold
}

// Return gives back the token of a request that the target refused because it is for another instance.
func (k *Keeper) Return(target string) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.targets[target]
	if x == nil {
		return
	}
	x.sent = max(0, x.sent-1)
	switch _, isCold := k.coldTarget(target, x); {
	case isCold && !k.isDivided(x):
		x.interimSent = false
	case isCold || k.isLimited(x):
		k.refill(x)
		x.tokens = math.Min(x.tokens+1, k.maxTokens(x, k.rate(x)))
	default:
		return
	}
	k.returned.Add(1)
}

// isLimited reports whether the target has a limit. The lock is held.
func (k *Keeper) isLimited(x *limited) bool {
	return k.isListed(x) || x.stated.Limited && k.Clock.Since(x.statedAt) < observationTTL
}

// rate returns the rate at which this process may send to a limited target. The lock is held.
func (k *Keeper) rate(x *limited) float64 {
	if !k.isListed(x) && !k.isDivided(x) {
		return x.stated.PerSecond * apportion.InterimShare
	}
	// The target may have lowered its limit since it was divided.
	if x.stated.Limited && x.stated.PerSecond < x.perSecond && k.Clock.Since(x.statedAt) < observationTTL {
		return x.share * x.stated.PerSecond / x.perSecond
	}
	return x.share
}

// refill adds the tokens since the last call. The lock is held.
func (k *Keeper) refill(x *limited) {
	now := k.Clock.Now()
	rate := k.rate(x)
	x.tokens = math.Min(x.tokens+rate*now.Sub(x.tokenAt).Seconds(), k.maxTokens(x, rate))
	x.tokenAt = now
}

// maxTokens returns how many tokens this process may keep at the given rate. The lock is held.
func (k *Keeper) maxTokens(x *limited, rate float64) float64 {
	if k.isDivided(x) {
		return x.burst
	}
	if !k.isListed(x) || x.perSecond <= 0 {
		return 1
	}
	return math.Max(1, rate*math.Min(burstTime.Seconds(), 1+burstTokens/x.perSecond))
}

// Available reports whether the target has a limit, and whether a request may be sent to it now or
// else after which time.
func (k *Keeper) Available(target string) (limited, ok bool, wait time.Duration) {
	if k == nil {
		return false, true, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.targets[target]
	if c, isCold := k.coldTarget(target, x); isCold {
		ok, wait = k.availableCold(c)
		if ok {
			wait = 0
		}
		return true, ok, wait
	}
	if x == nil || !k.isLimited(x) {
		return false, true, 0
	}
	k.refill(x)
	if x.tokens >= 1 {
		return true, true, 0
	}
	rate := k.rate(x)
	if rate <= 0 {
		return true, false, noShareRetryAfter
	}
	return true, false, time.Duration((1 - x.tokens) / rate * float64(time.Second))
}

// Take spends a token of the target's limit, or returns false if there is none.
func (k *Keeper) Take(target string) bool {
	if k == nil {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.targets[target]
	if c, isCold := k.coldTarget(target, x); isCold {
		return k.takeCold(c)
	}
	if x == nil {
		return true
	}
	if k.isLimited(x) {
		k.refill(x)
		if x.tokens < 1 {
			return false
		}
		x.tokens--
	}
	x.sent++
	return true
}

// CountDemand counts a request that needs a target of the service.
func (k *Keeper) CountDemand(service string) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.demand[service]
	if d == nil {
		d = &demand{at: k.Clock.Now()}
		k.demand[service] = d
	}
	d.decay(k.Clock.Now())
	d.rate += math.Ln2 / demandHalfLife.Seconds()
}

// decay reduces the rate by the time that has passed.
func (d *demand) decay(now time.Time) {
	d.rate *= math.Exp2(-now.Sub(d.at).Seconds() / demandHalfLife.Seconds())
	d.at = now
}

// Run reports to the control hosts and logs summaries until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	claims, summaries := k.Clock.NewTicker(apportion.ClaimInterval), k.Clock.NewTicker(summaryInterval)
	defer claims.Stop()
	defer summaries.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-summaries.Chan():
			k.logSummary()
			continue
		case <-claims.Chan():
			if !k.claimDue() {
				continue
			}
		case <-k.wake:
			k.Clock.Sleep(claimDelay)
		}
		k.claim(ctx)
	}
}

// logSummary logs how many requests this process sent to each target with a limit.
func (k *Keeper) logSummary() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, x := range k.targets {
		if x.sent > 0 {
			k.Logger.WithFields(log.Fields{
				"target": name, "perSecond": x.stated.PerSecond, "cold": x.cold, "share": x.share, "sent": x.sent, "interval": summaryInterval.String(),
			}).Info("requests to a target with a limit")
		}
		x.sent = 0
	}
}

// signal makes Run claim at once.
func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
