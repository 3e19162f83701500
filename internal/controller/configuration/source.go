// Package configuration keeps a daemon's configuration current by polling its parents, and serves polls of other daemons.
package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// maxPollHold bounds how long the reply to a poll is delayed until something changes.
const maxPollHold = 2 * time.Second

// Source provides a configuration, the time at which it was confirmed, and what is
// distributed with it.
type Source interface {
	// Current returns the newest known configuration.
	Current() *config.Config
	// ConfirmedAt returns the last time at which Current was known to be the newest
	// version; its age counts from there.
	ConfirmedAt() time.Time
	// Since returns the bundles after a version, or false if some of them are no
	// longer kept.
	Since(version uint64) ([]rhubarbgate.Bundle, bool)
	// Changed returns a channel that is closed at the next change of the
	// configuration, the list of targets, the quarantine, the target limits or the evacuated
	// zones, or when the backlog gains a need.
	Changed() <-chan struct{}
	// Groups returns the number of job groups, 0 while it is unknown.
	Groups() int
	// Backlog lists the models and routes that pending batch items need, in order.
	Backlog() []string
	// Peers lists the hosts that keep replicated state.
	Peers() control.Peers
	// Targets returns the platform's list of targets and when it was requested.
	Targets() (list control.TargetList, requestedAt time.Time)
	// Quarantine returns the parts of prompts at which targets end, as of now.
	Quarantine(now time.Time) control.Quarantine
	// TargetLimits returns the targets that state a limit.
	TargetLimits() control.TargetLimits
	// Evacuation returns the evacuated zones, as old as the configuration at most.
	Evacuation() evacuation.Set
}

// Register serves polls of other daemons from s.
func Register(m *wire.Mux, s Source, clock clockwork.Clock) {
	wire.Unary(m, control.MethodPoll, wire.Daemons, func(ctx context.Context, p *control.Poll) (*control.PollReply, error) {
		return replyToPoll(ctx, s, clock, p), nil
	})
}

// replyToPoll builds the reply to a poll. If the poller has the current version and
// list, it first waits for a change, as long as the poll allows.
func replyToPoll(ctx context.Context, s Source, clock clockwork.Clock, p *control.Poll) *control.PollReply {
	changed, receivedAt := s.Changed(), clock.Now()
	newer := hasNewerTargets(s, receivedAt, p) || s.Quarantine(receivedAt).Version.NewerThan(p.Quarantine) || s.TargetLimits().Version.NewerThan(p.Limits) ||
		p.Evacuation != nil && s.Evacuation().Version > *p.Evacuation
	if s.Current().Version <= p.Version && !newer && p.Wait > 0 {
		t := clock.NewTimer(min(p.Wait, maxPollHold))
		defer t.Stop()
		select {
		case <-changed:
		case <-t.Chan():
		case <-ctx.Done():
		}
	}
	// Read the age first: a configuration that is read later can only be newer than
	// the age says.
	now := clock.Now()
	age := now.Sub(s.ConfirmedAt())
	c := s.Current()
	r := &control.PollReply{Version: c.Version, Digest: c.Digest, Sum: c.Sum, Age: age, Held: now.Sub(receivedAt), Groups: s.Groups(), Backlog: s.Backlog(), Peers: s.Peers()}
	r.Targets = TargetListReply(s, now, p.Targets)
	r.Quarantine = QuarantineReply(s, now, p.Quarantine)
	r.Limits = TargetLimitsReply(s, p.Limits)
	if p.Evacuation != nil {
		r.Evacuation = EvacuationReply(s, *p.Evacuation)
	}
	if c.Version <= p.Version {
		return r
	}
	if b, ok := s.Since(p.Version); ok && p.Version > 0 {
		// A bundle that was added since c was read belongs to a later version.
		if n := c.Version - p.Version; uint64(len(b)) > n {
			b = b[:n]
		}
		r.Bundles = b
		return r
	}
	section := c.Section()
	r.Section = &section
	return r
}

// hasNewerTargets reports whether the list of targets is another one than the poller's, and newer. The poller may have
// got its list from another parent; it would ignore an older one and poll again at once.
func hasNewerTargets(s Source, now time.Time, p *control.Poll) bool {
	list, requestedAt := s.Targets()
	return list.Digest != p.Targets && (p.TargetsAge == 0 || now.Sub(requestedAt) < p.TargetsAge)
}

// TargetListReply returns the list of targets, without its instances if the process that
// asks holds the list with this digest. It returns nil if no list is known.
func TargetListReply(s Source, now time.Time, digest uint64) *control.TargetList {
	list, requestedAt := s.Targets()
	if list.Digest == 0 {
		return nil
	}
	list.Age = now.Sub(requestedAt)
	if list.Digest == digest {
		list.Instances = nil
	}
	return &list
}

// QuarantineReply returns the quarantine, or nil unless it is newer than the version that the
// process that asks holds.
func QuarantineReply(s Source, now time.Time, held control.LeaderVersion) *control.Quarantine {
	q := s.Quarantine(now)
	if !q.Version.NewerThan(held) {
		return nil
	}
	return &q
}

// TargetLimitsReply returns the target limits, or nil unless they are newer than the version that
// the process that asks holds.
func TargetLimitsReply(s Source, held control.LeaderVersion) *control.TargetLimits {
	l := s.TargetLimits()
	if !l.Version.NewerThan(held) {
		return nil
	}
	return &l
}

// EvacuationReply returns the evacuated zones, or nil unless they are newer than the version that the
// process that asks holds.
func EvacuationReply(s Source, held uint64) *evacuation.Set {
	e := s.Evacuation()
	if e.Version <= held {
		return nil
	}
	return &e
}

// Notifier signals events by closing a channel that all waiting goroutines share.
type Notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns a channel that is closed at the next event.
func (n *Notifier) Wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// Notify closes the channel that earlier calls of Wait returned.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
