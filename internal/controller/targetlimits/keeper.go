// Package targetlimits keeps the rates that targets in need state in their responses.
package targetlimits

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

// summaryInterval is how often a process logs how many requests it sent to each target with a
// limit.
const summaryInterval = 4 * time.Second

// Keeper keeps the limits of the targets that one process sends requests to. Set the exported
// fields before Run. A nil Keeper keeps nothing.
type Keeper struct {
	Clock  clockwork.Clock
	Logger log.Interface

	mu      sync.Mutex
	targets map[string]*limited // by name of the target
}

// limited is a target with a limit.
type limited struct {
	// perSecond is the stated rate of requests of all processes together.
	perSecond float64
	// sent counts this process's requests since the last summary.
	sent int
}

// NewKeeper returns a Keeper that publishes its counters in m.
func NewKeeper(clock clockwork.Clock, logger log.Interface, m *expvar.Map) *Keeper {
	k := &Keeper{Clock: clock, Logger: logger, targets: map[string]*limited{}}
	m.Set("TargetsLimited", expvar.Func(func() any {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.targets)
	}))
	return k
}

// Observe records what a response of a target says about its limit.
func (k *Keeper) Observe(target string, perSecond float64, hasLimit bool) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	x := k.targets[target]
	switch {
	case !hasLimit && x == nil:
	case !hasLimit:
		delete(k.targets, target)
		k.Logger.WithField("target", target).Info("target states no limit any more")
	case x == nil:
		k.targets[target] = &limited{perSecond: perSecond}
		k.Logger.WithField("target", target).WithField("perSecond", perSecond).Warn("target states a limit")
	default:
		x.perSecond = perSecond
	}
}

// CountSent counts a request to a target.
func (k *Keeper) CountSent(target string) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.targets[target]; x != nil {
		x.sent++
	}
}

// Run logs summaries until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	t := k.Clock.NewTicker(summaryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			k.logSummary()
		}
	}
}

// logSummary logs how many requests this process sent to each target with a limit.
func (k *Keeper) logSummary() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, x := range k.targets {
		if x.sent > 0 {
			k.Logger.WithFields(log.Fields{"target": name, "perSecond": x.perSecond, "sent": x.sent, "interval": summaryInterval.String()}).Info("requests to a target with a limit")
		}
		x.sent = 0
	}
}
