package configuration

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// pollWait is how long a poll is held when nothing changes.
	pollWait = time.Second
	// pollTimeout is how long to wait for a held poll before trying another parent.
	pollTimeout = pollWait + 800*time.Millisecond
	// pollPause and maxPollPause bound the wait after a failed poll. The longest
	// leaves room for several tries before the configuration is too old.
	pollPause    = 100 * time.Millisecond
	maxPollPause = 300 * time.Millisecond
	// usefulAge is the age above which another parent is tried.
	usefulAge = 2 * time.Second
	// keptBundles is how many bundles a relay keeps for its children.
	keptBundles = 256
)

// Watcher follows the configuration of its parents: control hosts or relays. It
// takes only higher versions.
type Watcher struct {
	Wire    *wire.Client
	Parents []netip.AddrPort
	Clock   clockwork.Clock
	Random  *rand.Rand
	Logger  log.Interface
	// Failures counts polls that failed.
	Failures *expvar.Int
	// Applied is called, if set, after each new version.
	Applied func(*config.Config)
	// OnPeers is called, if set, with the peers that an answer names.
	OnPeers func(control.Peers)
	// OnTargets is called, if set, with the list of targets that an answer carries or
	// confirms, and when it was asked for.
	OnTargets func(list []rhubarbgate.Instance, at time.Time)

	mu       sync.RWMutex
	current  *config.Config
	bundles  []rhubarbgate.Bundle
	fresh    time.Time
	groups   int
	backlog  []string
	peers    control.Peers
	targets  control.TargetList
	listedAt time.Time
	resync   bool
	notifier Notifier
}

var _ Source = (*Watcher)(nil)

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	parent := w.Random.IntN(len(w.Parents))
	failures := 0
	for ctx.Err() == nil {
		parents := w.parents()
		if w.poll(ctx, parents[parent%len(parents)]) {
			failures = 0
			continue
		}
		w.Failures.Add(1)
		failures++
		parent++
		select {
		case <-ctx.Done():
		case <-w.Clock.After(w.pause(failures)):
		}
	}
}

// parents are those that were set and, behind them, the control hosts that
// answers named.
func (w *Watcher) parents() []netip.AddrPort {
	w.mu.RLock()
	defer w.mu.RUnlock()
	r := slices.Clone(w.Parents)
	for _, a := range w.peers.Controls {
		if !slices.Contains(r, a) {
			r = append(r, a)
		}
	}
	return r
}

// Peers implements Source.
func (w *Watcher) Peers() control.Peers {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.peers
}

// pause is the wait after failures in a row: longer each time up to a bound, and
// random, so that daemons that lost a parent together do not return together.
func (w *Watcher) pause(failures int) time.Duration {
	longest := min(pollPause<<min(failures, 10), maxPollPause)
	return pollPause/2 + time.Duration(w.Random.Int64N(int64(longest)))
}

// poll asks one parent and reports whether its answer was of use.
func (w *Watcher) poll(ctx context.Context, parent netip.AddrPort) bool {
	list, _ := w.Targets()
	p := &control.Poll{Version: w.version(), Wait: pollWait, Targets: list.Digest}
	if w.Groups() == 0 {
		p.Wait = 0
	}
	sent := w.Clock.Now()
	attempt, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := wire.Call[control.PollReply](attempt, w.Wire, parent, control.MethodPoll, p)
	if err != nil {
		return false
	}
	return w.Take(r, sent)
}

// version returns the version to ask from: 0 asks for everything.
func (w *Watcher) version() uint64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.resync || w.current == nil {
		return 0
	}
	return w.current.Version
}

// Take applies a reply to a poll that was sent at the given time. It reports
// whether the parent is worth asking again.
func (w *Watcher) Take(r *control.PollReply, sent time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.current
	if w.current == nil {
		w.current = config.New()
	}
	if !w.advance(r) {
		return false
	}
	w.groups = r.Groups
	listed := w.takeTargets(r.Targets, sent)
	if len(r.Peers.Controls) > 0 {
		w.peers = r.Peers
		if w.OnPeers != nil {
			w.OnPeers(r.Peers)
		}
	}
	if at := sent.Add(-r.Age); r.Version <= w.current.Version && at.After(w.fresh) {
		w.fresh = at
	}
	more := Gains(w.backlog, r.Backlog)
	w.backlog = r.Backlog
	changed := before == nil || w.current.Version > before.Version
	if changed && w.Applied != nil {
		w.Applied(w.current)
	}
	if changed || more || listed {
		w.notifier.Notify()
	}
	return r.Age < usefulAge
}

// takeTargets takes a list of targets that is not older than the one held, and
// reports whether it differs. The lock is held.
func (w *Watcher) takeTargets(list *control.TargetList, sent time.Time) bool {
	if list == nil {
		return false
	}
	at := sent.Add(-list.Age)
	if !at.After(w.listedAt) {
		return false
	}
	changed := list.Digest != w.targets.Digest
	if changed {
		w.targets = *list
	}
	w.listedAt = at
	if w.OnTargets != nil {
		w.OnTargets(w.targets.Instances, at)
	}
	return changed
}

// Targets implements Source.
func (w *Watcher) Targets() (control.TargetList, time.Time) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.targets, w.listedAt
}

// advance moves to the version of the reply if it is higher.
func (w *Watcher) advance(r *control.PollReply) bool {
	switch {
	case r.Section != nil && (r.Version > w.current.Version || w.resync):
		return w.replace(r)
	case len(r.Bundles) > 0 && r.Version > w.current.Version:
		return w.applyBundles(r)
	default:
		return true
	}
}

func (w *Watcher) replace(r *control.PollReply) bool {
	if r.Version < w.current.Version {
		return false
	}
	c := config.FromSection(r.Version, r.Digest, *r.Section)
	if c.Sum != r.Sum {
		w.Logger.WithField("version", r.Version).Error("configuration snapshot with a wrong checksum dropped")
		return false
	}
	w.current, w.bundles, w.resync = c, nil, false
	return true
}

// applyBundles applies deltas; after a mismatch the next poll asks for everything.
func (w *Watcher) applyBundles(r *control.PollReply) bool {
	c := w.current
	var taken []rhubarbgate.Bundle
	for i := range r.Bundles {
		b := &r.Bundles[i]
		if b.Version <= c.Version {
			continue
		}
		next, err := c.With(b)
		if err != nil {
			w.Logger.WithError(err).Error("configuration delta does not fit")
			w.resync = true
			return false
		}
		c = next
		taken = append(taken, *b)
	}
	if c.Version == r.Version && c.Sum != r.Sum {
		w.Logger.WithField("version", r.Version).Error("configuration delta with a wrong checksum dropped")
		w.resync = true
		return false
	}
	w.current = c
	w.bundles = append(w.bundles, taken...)
	if n := len(w.bundles); n > keptBundles {
		w.bundles = append([]rhubarbgate.Bundle(nil), w.bundles[n-keptBundles:]...)
	}
	return true
}

// Current implements Source.
func (w *Watcher) Current() *config.Config {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.current == nil {
		return config.New()
	}
	return w.current
}

// ConfirmedAt implements Source.
func (w *Watcher) ConfirmedAt() time.Time {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.fresh
}

// Since implements Source.
func (w *Watcher) Since(version uint64) ([]rhubarbgate.Bundle, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.current == nil || version > w.current.Version {
		return nil, false
	}
	n := w.current.Version - version
	if n > uint64(len(w.bundles)) {
		return nil, false
	}
	return append([]rhubarbgate.Bundle(nil), w.bundles[uint64(len(w.bundles))-n:]...), true
}

// Changed implements Source.
func (w *Watcher) Changed() <-chan struct{} { return w.notifier.Wait() }

// Groups implements Source.
func (w *Watcher) Groups() int {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.groups
}

// Backlog implements Source.
func (w *Watcher) Backlog() []string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.backlog
}

// Gains reports whether the new list holds something that the old one lacks.
func Gains(old, list []string) bool {
	for _, x := range list {
		if !slices.Contains(old, x) {
			return true
		}
	}
	return false
}
