// Package configuration keeps a daemon's configuration current and relays it to others.
package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// maxPollWait bounds how long a poll is held open.
const maxPollWait = 2 * time.Second

// Source is a configuration with its age.
type Source interface {
	// Current returns the newest configuration.
	Current() *config.Config
	// ConfirmedAt returns a time at which it was confirmed as the newest.
	ConfirmedAt() time.Time
	// Since returns the bundles behind a version, if they are still kept.
	Since(version uint64) ([]rhubarbgate.Bundle, bool)
	// Changed returns a channel that is closed at the next change, also when the
	// backlog gains a need.
	Changed() <-chan struct{}
	// Groups returns the number of job groups.
	Groups() int
	// Backlog lists what pending batch items need, ordered.
	Backlog() []string
	// Peers lists the hosts that keep replicated state.
	Peers() control.Peers
	// Targets returns the platform's list of targets and when it was asked for.
	Targets() (list control.TargetList, at time.Time)
}

// Register answers polls of other daemons from s.
func Register(m *wire.Mux, s Source, clock clockwork.Clock) {
	wire.Unary(m, control.MethodPoll, wire.Daemons, func(ctx context.Context, p *control.Poll) (*control.PollReply, error) {
		return answer(ctx, s, clock, p), nil
	})
}

func answer(ctx context.Context, s Source, clock clockwork.Clock, p *control.Poll) *control.PollReply {
	changed := s.Changed()
	if list, _ := s.Targets(); s.Current().Version <= p.Version && list.Digest == p.Targets && p.Wait > 0 {
		t := clock.NewTimer(min(p.Wait, maxPollWait))
		defer t.Stop()
		select {
		case <-changed:
		case <-t.Chan():
		case <-ctx.Done():
		}
	}
	// The age is read first: what follows can only be newer.
	age := clock.Now().Sub(s.ConfirmedAt())
	c := s.Current()
	r := &control.PollReply{Version: c.Version, Digest: c.Digest, Sum: c.Sum, Age: age, Groups: s.Groups(), Backlog: s.Backlog(), Peers: s.Peers()}
	r.Targets = targets(s, clock, p)
	if c.Version <= p.Version {
		return r
	}
	if b, ok := s.Since(p.Version); ok && p.Version > 0 {
		if n := c.Version - p.Version; uint64(len(b)) > n {
			b = b[:n]
		}
		r.Bundles = b
		return r
	}
	x := c.Section()
	r.Section = &x
	return r
}

// targets returns the list of targets, without its content if the asker holds it.
func targets(s Source, clock clockwork.Clock, p *control.Poll) *control.TargetList {
	list, at := s.Targets()
	if list.Digest == 0 {
		return nil
	}
	list.Age = clock.Now().Sub(at)
	if list.Digest == p.Targets {
		list.Instances = nil
	}
	return &list
}

// Notifier hands out channels that are closed at the next event.
type Notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns the channel of the next event.
func (n *Notifier) Wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// Notify wakes all that wait.
func (n *Notifier) Notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
