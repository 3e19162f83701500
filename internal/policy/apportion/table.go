// Package apportion divides the rate of requests that a target states among the processes that send to it.
package apportion

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// settleTime is how long a target's limit is known before its rate is divided, so that all
	// processes that send to the target have claimed a part. Until then each keeps to InterimShare.
	settleTime = 400 * time.Millisecond
	// claimTTL is how long a process counts after its last claim: three claims.
	claimTTL = 3 * ClaimInterval
	// limitTTL is how long a limit lasts after the last response that stated it. It ends earlier
	// with a response that does not.
	limitTTL = 30 * time.Second
	// besideShare is the part of a rate that goes to the process beside the target if it claims
	// one: its batch items hold a slot for several times as long as an online request.
	besideShare = 0.2
	// minShare is the smallest rate that a process gets, in requests a second. More processes
	// than that allows do not send to the target at all: their parts would lie unused.
	minShare = 0.5
	// extraHolders is how many more processes than a rate has requests a second may hold a part:
	// each holder may keep one token at least, and all send theirs when a wave begins.
	extraHolders = 3
	// minRate is the rate that is divided if the target states less, so that a response shows when
	// its limit ends.
	minRate = 0.1
	// changedRatio is the ratio of two stated rates from which on the rate is divided anew.
	changedRatio = 1.1
	// rebalanceInterval is the time between two moves of a share to a process that has less
	// than half of what another one has, measured by their demand.
	rebalanceInterval = time.Second
	rebalanceRatio    = 2
	// minDemand is the demand that counts for a process without requests.
	minDemand = 0.1
)

// ClaimInterval is how often a process claims a part of the rates while targets have limits.
const ClaimInterval = time.Second

// InterimShare is the part of a stated rate that a process uses before the rate is divided.
const InterimShare = 0.25

// Statement is what the newest response of a target to one process says about its limit.
type Statement struct {
	Target string
	// Service is the service that the target belongs to.
	Service   string
	PerSecond float64
	// Limited is false if the response stated no limit.
	Limited bool
	Age     time.Duration
	// Held is the share that the process has of an earlier Table.
	Held float64 `msgpack:",omitempty"`
}

// Claim is what one process reports.
type Claim struct {
	Process string
	// Beside is the target beside which the process runs, empty if it sends to all targets.
	Beside     string `msgpack:",omitempty"`
	Statements []Statement
	// Demand is the rate at which the process has requests for each service.
	Demand map[string]float64
	// Idle says that the process wants no part.
	Idle bool `msgpack:",omitempty"`
	// Cold is what the process knows of cold targets.
	Cold []ColdReport `msgpack:",omitempty"`
	// Current says that the process has a list of this leader, and Seen is the number of the newest one. The
	// receiver sets both.
	Current bool   `msgpack:"-"`
	Seen    uint64 `msgpack:"-"`
}

// Holder is a process and its part of a rate.
type Holder struct {
	Process   string
	PerSecond float64
}

// Limit is a target's rate, as it is divided. Processes that are not among the holders do not
// send to the target.
type Limit struct {
	Target    string
	PerSecond float64
	Holders   []Holder
	// ColdLeft is for how long the target stays cold, 0 if it is not cold but stated the limit itself. The
	// fields below are set only for cold targets.
	ColdLeft time.Duration `msgpack:",omitempty"`
	Service  string        `msgpack:",omitempty"`
	// Burst is how many tokens each holder keeps at most.
	Burst float64 `msgpack:",omitempty"`
	// Full says that nobody had a part before, so that the holders begin with all tokens.
	Full bool `msgpack:",omitempty"`
}

// process is the newest claim of a process.
type process struct {
	beside string
	demand map[string]float64
	at     time.Time
	// current says that the process has a list of this leader, and so takes none of an earlier one.
	current bool
}

// limited is a target and how its rate is divided.
type limited struct {
	service   string
	limited   bool
	perSecond float64
	statedAt  time.Time // of the newest response
	since     time.Time // when the limit became known here
	// divided is the rate that holders divide, beside the one of them that runs beside the target.
	divided float64
	beside  string
	holders map[string]float64
	// held are shares of an earlier Table, which stay until the rate is divided anew.
	held map[string]float64
}

// Table divides the rates of all targets. It is safe for concurrent use.
type Table struct {
	Clock clockwork.Clock
	// Begun is when the leader began. Previous are the processes that the leader before it knew, which
	// may hold parts of the rates of targets that were cold then.
	Begun    time.Time
	Previous []string

	mu             sync.Mutex
	processes      map[string]*process
	targets        map[string]*limited
	nextRebalances map[string]time.Time // by service
	cold           map[string]*coldTarget
	seenAt         map[string]time.Time // when processes that send to all targets last claimed
}

// Add merges a claim.
func (t *Table) Add(c *Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	now := t.Clock.Now()
	if !c.Idle {
		t.processes[c.Process] = &process{beside: c.Beside, demand: c.Demand, at: now, current: c.Current}
	}
	for _, s := range c.Statements {
		t.addStatement(c.Process, s, now)
	}
	t.addCold(c, now)
}

// initialize makes the maps. The lock is held.
func (t *Table) initialize() {
	if t.processes == nil {
		t.processes, t.targets, t.nextRebalances = map[string]*process{}, map[string]*limited{}, map[string]time.Time{}
		t.cold, t.seenAt = map[string]*coldTarget{}, map[string]time.Time{}
	}
}

// addStatement merges what a response stated. The lock is held.
func (t *Table) addStatement(process string, s Statement, now time.Time) {
	at := now.Add(-s.Age)
	x := t.targets[s.Target]
	switch {
	case x == nil:
		x = &limited{service: s.Service, held: map[string]float64{}}
		t.targets[s.Target] = x
	case at.Before(x.statedAt):
		return
	}
	if s.Limited && !x.limited {
		x.since = now
	}
	x.limited, x.perSecond, x.statedAt = s.Limited, s.PerSecond, at
	if s.Held > 0 {
		x.held[process] = s.Held
	}
}

// Limits returns the rates that are divided, ordered by target.
func (t *Table) Limits() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(t.Clock.Now())
	r := t.coldLimits()
	for _, name := range slices.Sorted(maps.Keys(t.targets)) {
		x := t.targets[name]
		if x.holders == nil {
			continue
		}
		l := Limit{Target: name, PerSecond: x.divided}
		for _, p := range slices.Sorted(maps.Keys(x.holders)) {
			l.Holders = append(l.Holders, Holder{p, x.holders[p]})
		}
		r = append(r, l)
	}
	slices.SortFunc(r, func(a, b Limit) int { return cmp.Compare(a.Target, b.Target) })
	return r
}

// update drops what has expired and divides the rates that are due. The lock is held.
func (t *Table) update(now time.Time) {
	maps.DeleteFunc(t.processes, func(_ string, p *process) bool { return now.Sub(p.at) >= claimTTL })
	maps.DeleteFunc(t.targets, func(_ string, x *limited) bool { return now.Sub(x.statedAt) >= limitTTL })
	services := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(t.targets)) {
		x := t.targets[name]
		if !x.limited || t.cold[name] != nil {
			// While the target is cold, its holders are those of that rate.
			x.holders, x.held = nil, map[string]float64{}
			continue
		}
		services[x.service] = true
		if x.holders == nil && now.Sub(x.since) < settleTime {
			continue
		}
		if x.holders == nil || t.isStale(name, x) {
			t.divide(name, x)
		}
	}
	t.updateCold(now, services)
	for s := range services {
		if !now.Before(t.nextRebalances[s]) {
			t.nextRebalances[s] = now.Add(rebalanceInterval)
			t.rebalance(s)
		}
	}
}

// isStale reports whether a rate has to be divided anew: it changed, a holder is gone, or more
// processes could hold a part. The lock is held.
func (t *Table) isStale(name string, x *limited) bool {
	if ratio := math.Max(x.perSecond, x.divided) / math.Max(math.Min(x.perSecond, x.divided), math.SmallestNonzeroFloat64); ratio >= changedRatio {
		return true
	}
	for p := range x.holders {
		if t.processes[p] == nil {
			return true
		}
	}
	beside, wanted := t.wanted(name, x)
	return beside != x.beside || len(x.holders) < wanted
}

// wanted returns the process beside the target if it claims a part, and how many processes are to
// hold a part, that one included. The lock is held.
func (t *Table) wanted(name string, x *limited) (beside string, holders int) {
	entries := 0
	for p, c := range t.processes {
		switch {
		case c.beside == "":
			entries++
		case c.beside == name:
			beside = p
		}
	}
	rate := x.perSecond
	if beside != "" {
		rate *= 1 - besideShare
	}
	holders = min(entries, max(1, int(rate/minShare)), int(x.perSecond)+extraHolders)
	if beside != "" {
		holders++
	}
	return beside, holders
}

// divide divides a rate anew. Processes that hold a part keep one. The lock is held.
func (t *Table) divide(name string, x *limited) {
	beside, wanted := t.wanted(name, x)
	previous := x.holders
	if previous == nil {
		previous = x.held
	}
	x.divided, x.beside, x.holders, x.held = x.perSecond, beside, map[string]float64{}, map[string]float64{}
	rate := max(x.perSecond, minRate)
	if beside != "" {
		wanted--
		x.holders[beside] = rate * besideShare
		if wanted == 0 {
			x.holders[beside] = rate
		}
		rate *= 1 - besideShare
	}
	for _, p := range t.candidates(name, x, previous)[:wanted] {
		x.holders[p] = rate / float64(wanted)
	}
}

// candidates returns the processes that send to all targets: first those that hold a part of the
// rate already, then those with the least of what they want. Among equals the order differs from
// target to target. The lock is held.
func (t *Table) candidates(target string, x *limited, previous map[string]float64) []string {
	type candidate struct {
		name      string
		held      bool
		satisfied float64
		order     uint64
	}
	var list []candidate
	for p, c := range t.processes {
		if c.beside == "" {
			_, held := previous[p]
			list = append(list, candidate{p, held, t.satisfied(p, x.service), xxhash.Sum64String(target + p)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.held != b.held {
			if a.held {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.satisfied, b.satisfied), cmp.Compare(a.order, b.order))
	})
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = c.name
	}
	return names
}

// satisfied returns how much of its demand for a service the shares of a process cover. The lock
// is held.
func (t *Table) satisfied(process, service string) float64 {
	assigned := 0.0
	for _, x := range t.targets {
		if x.service == service {
			assigned += x.holders[process]
		}
	}
	for _, x := range t.cold {
		if x.service == service {
			assigned += x.holders[process]
		}
	}
	return assigned / max(t.processes[process].demand[service], minDemand)
}

// rebalance moves one share of a service's rates to the process whose demand is covered least,
// from one whose demand is covered far better. The lock is held.
func (t *Table) rebalance(service string) {
	var names []string
	satisfied := map[string]float64{}
	for p, c := range t.processes {
		if c.beside == "" {
			names = append(names, p)
			satisfied[p] = t.satisfied(p, service)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(satisfied[b], satisfied[a]), cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return
	}
	least := names[len(names)-1]
	for _, giver := range names {
		if satisfied[giver] < rebalanceRatio*satisfied[least] || satisfied[giver] == 0 {
			return
		}
		if t.move(service, giver, least, satisfied) || t.moveCold(service, giver, least, satisfied) {
			return
		}
	}
}

// move moves one share from a process to another one, unless that would only exchange which of
// them has more. It reports whether it did. The lock is held.
func (t *Table) move(service, giver, taker string, satisfied map[string]float64) bool {
	demand := max(t.processes[giver].demand[service], minDemand)
	for _, name := range slices.Sorted(maps.Keys(t.targets)) {
		x := t.targets[name]
		share, gives := x.holders[giver]
		if _, has := x.holders[taker]; x.service != service || !gives || has || satisfied[giver]-share/demand < satisfied[taker] {
			continue
		}
		delete(x.holders, giver)
		x.holders[taker] = share
		return true
	}
	return false
}
