package configuration

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	// pollHold is how long a parent delays its reply while nothing changes.
	pollHold = time.Second
	// pollOverdue is the time without a reply after which other parents are polled too: the hold and a
	// round trip between regions.
	pollOverdue = pollHold + 300*time.Millisecond
	// pollTimeout bounds a poll, pollHold included.
	pollTimeout = pollHold + 800*time.Millisecond
	// searchInterval is the time between polls of further parents while none replies. It doubles up to
	// maxSearchInterval each time that all were asked.
	searchInterval    = 200 * time.Millisecond
	maxSearchInterval = 800 * time.Millisecond
	// pollBackoffBase is doubled for each failed poll in a row, up to maxPollBackoff.
	pollBackoffBase = 100 * time.Millisecond
	maxPollBackoff  = 300 * time.Millisecond
	// maxControlAge and maxRelayAge are the ages of a parent's configuration from which on another
	// parent is polled. A quorum confirms that of a control host every heartbeat; that of a relay is
	// confirmed by each of its own polls.
	maxControlAge = 500 * time.Millisecond
	maxRelayAge   = 2 * time.Second
)

// polled is the outcome of a poll of a parent.
type polled struct {
	parent  netip.AddrPort
	current bool // whether the parent replied with a current configuration
}

// Run follows one parent until ctx ends, and finds another one when that fails.
func (w *Watcher) Run(ctx context.Context) {
	if w.Transport == nil {
		w.Transport = wireTransport{w.Wire}
	}
	w.order.Clock, w.order.Random = w.Clock, w.Random
	var polls conc.WaitGroup
	defer polls.Wait()
	parent := w.order.Next(w.parents())
	for ctx.Err() == nil {
		parent = w.follow(ctx, &polls, parent)
	}
}

// follow polls the parent. Once its reply is overdue or old, it polls the others one after the other, without
// waiting for those that do not reply: their timeouts would add up, while this daemon serves an old version. It
// returns the first parent that replies with a current configuration.
func (w *Watcher) follow(ctx context.Context, polls *conc.WaitGroup, parent netip.AddrPort) netip.AddrPort {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan polled)
	start := func(parent netip.AddrPort, hold time.Duration) {
		polls.Go(func() {
			o := polled{parent, w.poll(ctx, parent, hold)}
			select {
			case outcomes <- o:
			case <-ctx.Done():
			}
		})
	}
	start(parent, pollHold)
	startedAt := w.Clock.Now()
	nextAt := startedAt.Add(pollOverdue)
	timer := w.Clock.NewTimer(pollOverdue)
	defer timer.Stop()
	replied := false // whether the parent that was polled last has, or could not be reached
	for failures, asked := 0, 0; ; {
		select {
		case <-ctx.Done():
			return parent
		case o := <-outcomes:
			if o.current {
				w.order.Replied(o.parent)
				return o.parent
			}
			w.Failures.Add(1)
			w.order.Failed(o.parent)
			failures++
			replied = replied || o.parent == parent
			now := w.Clock.Now()
			if at := now.Add(w.backoff(failures)); at.Before(nextAt) {
				nextAt = at
				timer.Reset(at.Sub(now))
			}
		case now := <-timer.Chan():
			if !replied {
				w.order.Failed(parent)
				w.Transport.Forget(parent)
			}
			parents := w.parents()
			next := w.order.Next(parents)
			w.Logger.WithFields(log.Fields{"parent": next.String(), "previous": parent.String(), "waited": now.Sub(startedAt).String(), "failures": failures}).Info("polling another parent")
			parent, replied = next, false
			start(parent, 0)
			interval := min(searchInterval<<min(asked/len(parents), 10), maxSearchInterval)
			asked++
			nextAt = now.Add(interval)
			timer.Reset(interval)
		}
	}
}

// backoff returns the wait after consecutive failures: half of pollBackoffBase plus
// a random time below an exponential bound, so that daemons that lose a parent at
// the same time do not poll the next one at the same time.
func (w *Watcher) backoff(failures int) time.Duration {
	bound := min(pollBackoffBase<<min(failures, 10), maxPollBackoff)
	return pollBackoffBase/2 + time.Duration(w.Random.Int64N(int64(bound)))
}

// poll polls one parent, which may delay its reply for the given time, and reports whether it replied with a
// current configuration.
func (w *Watcher) poll(ctx context.Context, parent netip.AddrPort, hold time.Duration) bool {
	list, requestedAt := w.Targets()
	evacuationVersion := w.Evacuation().Version
	p := &control.Poll{
		Version: w.pollVersion(), Wait: hold, Targets: list.Digest,
		Quarantine: w.Quarantine(w.Clock.Now()).Version, Limits: w.TargetLimits().Version,
		Evacuation: &evacuationVersion,
	}
	if w.Groups() == 0 {
		p.Wait = 0
	}
	sent := w.Clock.Now()
	if list.Digest != 0 {
		p.TargetsAge = sent.Sub(requestedAt)
	}
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := w.Transport.Poll(pollCtx, parent, p)
	if err != nil {
		if ctx.Err() == nil {
			w.logFailure(parent, sent, err)
		}
		return false
	}
	before := w.Current().Version
	current := w.ApplyReply(r, sent) && r.Age < w.maxAge(parent)
	w.logReply(parent, sent, r, before, current)
	return current
}

// Transport sends polls to parents.
type Transport interface {
	// Poll sends a poll and waits for its reply.
	Poll(ctx context.Context, parent netip.AddrPort, p *control.Poll) (*control.PollReply, error)
	// Forget makes later polls of the parent use connections that are opened from now on.
	Forget(parent netip.AddrPort)
}

// wireTransport sends polls over the pooled connections of a client.
type wireTransport struct{ *wire.Client }

// Poll implements Transport.
func (t wireTransport) Poll(ctx context.Context, parent netip.AddrPort, p *control.Poll) (*control.PollReply, error) {
	return wire.Call[control.PollReply](ctx, t.Client, parent, control.MethodPoll, p)
}

// maxAge returns the age from which on a parent's configuration is old.
func (w *Watcher) maxAge(parent netip.AddrPort) time.Duration {
	if slices.Contains(w.Peers().Controls, parent) {
		return maxControlAge
	}
	return maxRelayAge
}

// logFailure logs that a parent did not answer a poll.
func (w *Watcher) logFailure(parent netip.AddrPort, sent time.Time, err error) {
	f := log.Fields{"parent": parent.String(), "took": w.Clock.Since(sent).String(), "version": w.Current().Version, "error": err.Error()}
	if at := w.ConfirmedAt(); !at.IsZero() {
		f["age"] = w.Clock.Since(at).String()
	}
	w.Logger.WithFields(f).Warn("poll of the configuration failed")
}

// logReply logs a reply that brought another version, or that makes the Watcher poll another parent.
func (w *Watcher) logReply(parent netip.AddrPort, sent time.Time, r *control.PollReply, before uint64, current bool) {
	version := w.Current().Version
	if version == before && current {
		return
	}
	l := w.Logger.WithFields(log.Fields{
		"parent": parent.String(), "took": w.Clock.Since(sent).String(), "held": r.Held.String(), "parentAge": r.Age.String(),
		"parentVersion": r.Version, "version": version, "from": before,
	})
	if version != before {
		l.Info("configuration applied")
	}
	if !current {
		l.Warn("the parent's configuration is old")
	}
}
