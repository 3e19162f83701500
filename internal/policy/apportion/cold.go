package apportion

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate/internal/policy/cold"
)

// Of a cold target with the rate r, all processes together may send r x coldOverage + coldSlack requests
// in any second. The rate is divided into equal parts with one holder each. A holder may send its part
// and a full bucket in a second, and some processes one request each before they get to know the
// division; all that together is within the bound. So a part never has two holders, not even while a list
// spreads: a part is passed on only after its holder has confirmed that it keeps to a list without it, and
// the part of a process that is gone or cut off stays unused as long as the target is cold.
const (
	coldOverage = 1.5
	coldSlack   = 5
	// coldSettleTime is how long a new leader waits for the claims of all processes before it divides the
	// rates of cold targets. Processes claim within a poll.
	coldSettleTime = time.Second
	// processTTL is how long after its last claim a process is listed: several times claimTTL, so that a
	// lost claim does not change the list.
	processTTL = 10 * time.Second
)

// ColdReport is what a process knows of one cold target.
type ColdReport struct {
	Target, Service string
	// Held is the share that the process has of an earlier leader's Table.
	Held float64 `msgpack:",omitempty"`
	// Left is for how long a response of the target said that it stays cold, and Age how long ago, if
	// Stated is set.
	Left, Age time.Duration `msgpack:",omitempty"`
	Stated    bool          `msgpack:",omitempty"`
}

// coldTarget is a cold target and how its rate is divided.
type coldTarget struct {
	service   string
	perSecond float64
	left      time.Duration
	// inherited says that the leader before this one may have divided the rate.
	inherited bool
	divided   bool
	full      bool
	// parts is the number of parts, share is each part, and burst the tokens that its holder keeps.
	parts        int
	share, burst float64
	// reserved parts may be held by processes of which the leader has not heard.
	reserved int
	holders  map[string]float64
	// held are shares of an earlier Table.
	held map[string]float64
	// withdrawn are processes that held a part until the list with the given number, 0 before there is
	// one, and have not confirmed that they have it.
	withdrawn map[string]uint64
}

// coldTokens returns how many tokens all holders of a cold target's rate may keep, and how many processes
// may send one request before they know the division. A part of the bound is left to each.
func coldTokens(perSecond float64) (kept, interim int) {
	beyondRate := int(perSecond*(coldOverage-1) + coldSlack)
	interim = min(coldSlack, beyondRate/2)
	return beyondRate - interim, interim
}

// ColdInterim returns how many processes may send one request each to a cold target with the given rate
// before they know how it is divided.
func ColdInterim(perSecond float64) int {
	_, interim := coldTokens(perSecond)
	return interim
}

// SetCold replaces the cold targets.
func (t *Table) SetCold(list []cold.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	current := make(map[string]*coldTarget, len(list))
	for _, x := range list {
		c := t.cold[x.Name]
		if c == nil {
			c = &coldTarget{
				service: x.Service, perSecond: x.PerSecond, inherited: x.Since.Before(t.Begun),
				holders: map[string]float64{}, held: map[string]float64{}, withdrawn: map[string]uint64{},
			}
		}
		c.left = x.Left
		current[x.Name] = c
	}
	t.cold = current
}

// addCold merges what a claim says of cold targets. The lock is held.
func (t *Table) addCold(c *Claim, now time.Time) {
	if c.Beside == "" {
		t.seenAt[c.Process] = now
	}
	for _, x := range t.cold {
		if number, ok := x.withdrawn[c.Process]; ok && number > 0 && c.Seen >= number {
			delete(x.withdrawn, c.Process)
		}
	}
	for _, r := range c.Cold {
		x := t.cold[r.Target]
		if x == nil || r.Held == 0 {
			continue
		}
		_, waits := x.withdrawn[c.Process]
		switch {
		case !x.divided:
			x.held[c.Process] = r.Held
		case x.reserved > 0 && x.holders[c.Process] == 0 && !waits:
			// The process was not heard of when the rate was divided, and its part was reserved.
			x.reserved--
			x.holders[c.Process] = r.Held
		}
	}
}

// Published records that the parts that were withdrawn are those of the list with the given number.
func (t *Table) Published(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.cold {
		for p, n := range x.withdrawn {
			if n == 0 {
				x.withdrawn[p] = number
			}
		}
	}
}

// Processes returns the known processes that send to all targets, in order.
func (t *Table) Processes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	maps.DeleteFunc(t.seenAt, func(_ string, at time.Time) bool { return now.Sub(at) >= processTTL })
	known := slices.Collect(maps.Keys(t.seenAt))
	if now.Sub(t.Begun) < processTTL {
		known = append(known, t.Previous...)
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// coldLimits returns the rates of cold targets that are divided. The lock is held.
func (t *Table) coldLimits() []Limit {
	var r []Limit
	for name, x := range t.cold {
		if !x.divided {
			continue
		}
		l := Limit{Target: name, PerSecond: x.perSecond, ColdLeft: x.left, Service: x.service, Burst: x.burst, Full: x.full}
		for _, p := range slices.Sorted(maps.Keys(x.holders)) {
			l.Holders = append(l.Holders, Holder{p, x.holders[p]})
		}
		r = append(r, l)
	}
	return r
}

// updateCold divides the rates of cold targets that are due, and adds their services. The lock is held.
func (t *Table) updateCold(now time.Time, services map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(t.cold)) {
		x := t.cold[name]
		services[x.service] = true
		if !x.divided && !t.divideCold(name, x, now) {
			continue
		}
		t.assign(name, x)
		t.makeRoomBeside(name, x)
	}
}

// divideCold divides the rate of a cold target if that is due, and reports whether it did. The lock is held.
func (t *Table) divideCold(name string, x *coldTarget, now time.Time) bool {
	entries := 0
	for _, c := range t.processes {
		if c.beside == "" {
			entries++
		}
	}
	if entries == 0 {
		return false
	}
	missing := 0
	for _, p := range t.Previous {
		if c := t.processes[p]; c == nil || !c.current {
			missing++
		}
	}
	if (missing > 0 || len(t.Previous) == 0) && now.Sub(t.Begun) < coldSettleTime {
		return false
	}
	if now.Sub(t.Begun) < processTTL {
		// Those that have not claimed yet will get the parts that are left.
		entries = max(entries, len(t.Previous))
	}
	if !x.inherited {
		missing = 0
	}
	if t.besideOf(name) != "" {
		entries++
	}
	kept, _ := coldTokens(x.perSecond)
	x.parts = max(1, min(kept, int(x.perSecond/minShare), entries))
	x.share = x.perSecond / float64(x.parts)
	x.burst = max(1, float64(kept)/float64(x.parts))
	x.reserved = min(missing, x.parts)
	x.holders, x.held = x.held, map[string]float64{}
	x.divided, x.full = true, !x.inherited
	return true
}

// besideOf returns the process that runs beside a target and claims a part, or that did so for an earlier
// instance at its address. The lock is held.
func (t *Table) besideOf(name string) string {
	_, address, _ := strings.Cut(name, "@")
	for p, c := range t.processes {
		if _, a, ok := strings.Cut(c.beside, "@"); ok && a == address {
			return p
		}
	}
	return ""
}

// coldCandidates returns the processes that send to all targets: first those that would have the least of what they want
// with another part. Among equals the order differs from target to target. The lock is held.
func (t *Table) coldCandidates(name string, x *coldTarget) []string {
	type candidate struct {
		name      string
		satisfied float64
		order     uint64
	}
	var list []candidate
	for p, c := range t.processes {
		if c.beside == "" {
			satisfied := t.satisfied(p, x.service) + x.share/max(c.demand[x.service], minDemand)
			list = append(list, candidate{p, satisfied, xxhash.Sum64String(name + p)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.satisfied, b.satisfied), cmp.Compare(a.order, b.order))
	})
	names := make([]string, len(list))
	for i, c := range list {
		names[i] = c.name
	}
	return names
}

// assign gives the free parts of a cold target's rate to processes: to the one beside the target, then to
// those with the least of what they want. The lock is held.
func (t *Table) assign(name string, x *coldTarget) {
	free := x.parts - len(x.holders) - len(x.withdrawn) - x.reserved
	rate := x.perSecond - x.share*float64(len(x.withdrawn)+x.reserved)
	for _, share := range x.holders {
		rate -= share
	}
	// An earlier leader may have divided the rate into other parts.
	free = min(free, int(rate/x.share+1e-6))
	if free <= 0 {
		return
	}
	candidates := t.coldCandidates(name, x)
	if beside := t.besideOf(name); beside != "" {
		candidates = slices.Insert(candidates, 0, beside)
	}
	for _, p := range candidates {
		_, waits := x.withdrawn[p]
		if free == 0 {
			return
		}
		if x.holders[p] == 0 && !waits {
			x.holders[p] = x.share
			free--
		}
	}
}

// makeRoomBeside withdraws a part from the process with the most of what it wants, if the one beside the
// target has none. The lock is held.
func (t *Table) makeRoomBeside(name string, x *coldTarget) {
	beside := t.besideOf(name)
	if beside == "" || x.holders[beside] > 0 || len(x.withdrawn) > 0 || len(x.holders) < 2 {
		return
	}
	giver, most := "", -1.0
	for _, p := range slices.Sorted(maps.Keys(x.holders)) {
		if c := t.processes[p]; c != nil && c.beside == "" && t.satisfied(p, x.service) > most {
			giver, most = p, t.satisfied(p, x.service)
		}
	}
	if giver != "" {
		x.withdraw(giver)
	}
}

// withdraw takes its part from a holder. It is free once the holder has confirmed that.
func (x *coldTarget) withdraw(holder string) {
	delete(x.holders, holder)
	x.withdrawn[holder], x.full = 0, false
}

// moveCold withdraws a part of a cold target's rate from one process, so that it goes to another one, unless that
// would only exchange which of them has more. It reports whether it did. The lock is held.
func (t *Table) moveCold(service, giver, taker string, satisfied map[string]float64) bool {
	demand := max(t.processes[taker].demand[service], minDemand)
	for _, name := range slices.Sorted(maps.Keys(t.cold)) {
		x := t.cold[name]
		share := x.holders[giver]
		if x.service != service || share == 0 || x.holders[taker] > 0 || len(x.withdrawn) > 0 || satisfied[taker]+share/demand >= satisfied[giver] {
			continue
		}
		x.withdraw(giver)
		return true
	}
	return false
}
