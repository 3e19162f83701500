package targetlimits

import (
	"context"
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate/internal/policy/apportion"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// claimDelay is the time for which further observations are collected into a claim.
	claimDelay = 20 * time.Millisecond
	// claimTimeout bounds one claim, including the search for the leader.
	claimTimeout = time.Second
	// statementTTL is how long what a response stated is worth reporting.
	statementTTL = 10 * time.Second
	// presenceInterval is how often a process claims while no target has a limit or is cold, but targets may
	// become cold. The leader counts a process for claimTTL, which is longer.
	presenceInterval = 2 * time.Second
)

// claim reports to the leader of the fleet group once. If that fails, the next claim follows soon.
func (k *Keeper) claim(ctx context.Context) {
	in := k.buildClaim()
	if in == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if _, err := k.Client.ClaimLimits(ctx, in); err != nil {
		k.Logger.WithError(err).Info("claiming a part of the targets' limits failed")
	}
}

// buildClaim returns a claim, or nil if no target has a limit or this process needs none.
func (k *Keeper) buildClaim() *control.ClaimLimits {
	beside := ""
	if k.Beside != nil {
		if beside = k.Beside(); beside == "" {
			return nil
		}
	}
	wantsWork := k.HasWork == nil || k.HasWork()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Clock.Now()
	c := apportion.Claim{Process: k.Process, Beside: beside, Demand: map[string]float64{}}
	for name, x := range k.targets {
		_, isCold := k.coldTarget(name, x)
		c.Cold = k.appendColdReport(c.Cold, name, x, now)
		if isCold && x.statedAt.IsZero() {
			continue
		}
		if !isCold && !k.isListed(x) && now.Sub(x.coldAt) >= coldReportTTL && now.Sub(x.statedAt) >= statementTTL {
			delete(k.targets, name)
			continue
		}
		s := x.stated
		if x.statedAt.IsZero() || now.Sub(x.statedAt) >= statementTTL {
			continue
		}
		if s.Age = now.Sub(x.statedAt); x.listed && x.term < k.version.Term {
			s.Held = x.share
		}
		c.Statements = append(c.Statements, s)
	}
	isStated := slices.ContainsFunc(c.Cold, func(r apportion.ColdReport) bool { return r.Stated })
	if len(k.targets) == 0 && !k.Cold.Enabled() || !wantsWork && !isStated {
		return nil
	}
	c.Idle = !wantsWork
	k.claimedAt = now
	for service, d := range k.demand {
		d.decay(now)
		c.Demand[service] = d.rate
	}
	return &control.ClaimLimits{Claim: c, Version: k.version}
}

// coldReportTTL is how long what a response said about the cold time is reported: for several claims.
const coldReportTTL = 3 * time.Second

// appendColdReport appends what this process knows of a cold target. The lock is held.
func (k *Keeper) appendColdReport(list []apportion.ColdReport, name string, x *limited, now time.Time) []apportion.ColdReport {
	r := apportion.ColdReport{Target: name, Service: x.service}
	if k.isDivided(x) {
		r.Held = x.share
	}
	if age := now.Sub(x.coldAt); !x.coldAt.IsZero() && age < coldReportTTL {
		r.Stated, r.Left, r.Age = true, x.coldLeft, age
	}
	if r.Held == 0 && !r.Stated {
		return list
	}
	return append(list, r)
}

// claimDue reports whether it is time for a claim. While no target has a limit or is cold, that is less
// often.
func (k *Keeper) claimDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.targets) > 0 || k.Clock.Since(k.claimedAt) >= presenceInterval
}

// Update applies the limits that the control hosts list. It ignores all but newer ones. A limit of an earlier leader lasts until the current one has it.
func (k *Keeper) Update(l control.TargetLimits) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !l.Version.NewerThan(k.version) {
		return
	}
	if l.Version.Term > k.version.Term {
		k.leaderSince = k.Clock.Now()
	}
	k.version = l.Version
	if len(l.Processes) > 0 {
		k.processes = l.Processes
	}
	listed := map[string]bool{}
	for _, limit := range l.Limits {
		listed[limit.Target] = true
		x := k.targets[limit.Target]
		if x == nil {
			x = k.add(limit.Target, limit.Service)
		}
		k.refill(x)
		wasKnown := x.listed || x.interimSent
		isCold := limit.ColdLeft > 0
		switch {
		case isCold:
			k.Cold.ObserveDivided(limit.Target, limit.Service, limit.ColdLeft)
			if !x.cold {
				x.tokens = 0
			}
		case x.cold:
			k.Cold.ObserveWarm(limit.Target)
		}
		x.cold, x.burst = isCold, limit.Burst
		x.listed, x.perSecond, x.share, x.term = true, limit.PerSecond, 0, l.Version.Term
		if i := slices.IndexFunc(limit.Holders, func(h apportion.Holder) bool { return h.Process == k.Process }); i >= 0 {
			x.share = limit.Holders[i].PerSecond
			if limit.Full && !wasKnown {
				x.tokens, x.tokenAt = limit.Burst, k.Clock.Now()
			}
		} else {
			x.tokens = 0
		}
	}
	for name, x := range k.targets {
		if x.listed && !listed[name] && (x.term == l.Version.Term || !k.isListed(x) && !k.isDivided(x)) {
			// The limit has ended.
			if x.cold && x.term == l.Version.Term {
				k.Cold.ObserveWarm(name)
			}
			delete(k.targets, name)
		}
	}
	k.signal()
}
