package configuration

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// touchTime is how long nothing may have disturbed a daemon before its configuration has to be current,
	// and applyTime how old an acknowledgement may be then.
	touchTime = 3 * time.Second
	applyTime = 2 * time.Second
	// testRoundTrip is the time of a call and its reply, and testDialTimeout that of a connection to a host
	// that does not answer.
	testRoundTrip   = 3 * time.Millisecond
	testDialTimeout = 600 * time.Millisecond
	// testHeartbeat is how often the leader confirms the state of a control host.
	testHeartbeat = 70 * time.Millisecond
)

// condition is what has become of a parent.
type condition int

const (
	sound    condition = iota
	cutOff             // from the other control hosts, but not from the daemon
	silent             // packets to it are lost
	replaced           // its address was given up before the daemon started
	refusing           // its port is closed
	stuck              // connections to it that were open are silent, new ones work
)

// testFleet is a set of control hosts that commit a version every now and then.
type testFleet struct {
	clock      clockwork.Clock
	versions   []*config.Config
	bundles    []rhubarbgate.Bundle
	parents    []*Watcher
	peers      control.Peers
	conditions []condition
	disturbed  atomic.Bool
	reopened   []atomic.Bool // by parent: whether a new connection is used since the disturbance
	committed  []time.Time   // by version; when it was acknowledged
}

// newest returns the newest version that was acknowledged by the given time.
func (f *testFleet) newest(at time.Time) uint64 {
	v := 0
	for v+1 < len(f.committed) && !f.committed[v+1].After(at) {
		v++
	}
	return uint64(v)
}

// condition returns the present condition of a parent.
func (f *testFleet) condition(i int) condition {
	if f.disturbed.Load() || f.conditions[i] == replaced {
		return f.conditions[i]
	}
	return sound
}

// confirm gives the newest version to the control hosts that the leader reaches.
func (f *testFleet) confirm() {
	v := len(f.committed) - 1
	for i, p := range f.parents {
		if c := f.condition(i); c == sound || c == stuck {
			p.ApplyReply(&control.PollReply{Version: uint64(v), Sum: f.versions[v].Sum, Bundles: f.bundles[p.Current().Version:v], Groups: 1, Peers: f.peers}, f.clock.Now())
		}
	}
}

// Forget implements Transport.
func (f *testFleet) Forget(parent netip.AddrPort) {
	if f.disturbed.Load() {
		f.reopened[parent.Port()-1].Store(true)
	}
}

// Poll implements Transport.
func (f *testFleet) Poll(ctx context.Context, address netip.AddrPort, p *control.Poll) (*control.PollReply, error) {
	i := int(address.Port()) - 1
	reopened := f.reopened[i].Load()
	if err := f.travel(ctx, i, reopened); err != nil {
		return nil, err
	}
	r := replyToPoll(ctx, f.parents[i], f.clock, p)
	return r, f.travel(ctx, i, reopened)
}

// travel waits until a message has reached a parent, or its reply the daemon, over a connection that may have been
// opened since the disturbance.
func (f *testFleet) travel(ctx context.Context, i int, reopened bool) error {
	time.Sleep(testRoundTrip / 2)
	switch f.condition(i) {
	case refusing:
		return errors.New("connection refused")
	case replaced:
		select {
		case <-ctx.Done():
		case <-time.After(testDialTimeout):
		}
		return errors.New("connect timed out")
	case stuck:
		if !reopened {
			<-ctx.Done()
		}
	case silent:
		<-ctx.Done()
	}
	return ctx.Err()
}

// TestVersionsAreAppliedInTime guards against an entry that handles requests by an old version, seconds after a newer one was
// acknowledged, because its parents are cut off, silent or gone (rule CONFIG).
func TestVersionsAreAppliedInTime(t *testing.T) {
	tests := []struct {
		name       string
		conditions []condition
		lasts      time.Duration // how long the parents are in their conditions; 0 means to the end
	}{
		{"parent cut off", []condition{cutOff, sound, sound}, 0},
		{"parent silent", []condition{silent, sound, sound}, 0},
		{"parent refuses", []condition{refusing, sound, sound}, 0},
		{"parent cut off, others were replaced", []condition{cutOff, replaced, replaced, sound, sound}, 0},
		{"parent silent, others were replaced", []condition{silent, replaced, replaced, sound, sound}, 0},
		{"most parents silent", []condition{silent, silent, silent, silent, sound}, 0},
		{"open connections silent", []condition{stuck, stuck, stuck}, 0},
		{"open connections silent, others were replaced", []condition{stuck, replaced, replaced, stuck, stuck}, 0},
		{"all silent for a while", []condition{silent, silent, silent}, 4 * time.Second},
		{"all silent for a while, others were replaced", []condition{silent, replaced, replaced, silent, silent}, 4 * time.Second},
		{"most parents cut off", []condition{cutOff, cutOff, cutOff, sound}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(60) {
				synctest.Test(t, func(t *testing.T) { playParents(t, seed, test.conditions, test.lasts) })
			}
		})
	}
}

// playParents disturbs some parents of a daemon while versions are committed, and checks the version that it holds.
func playParents(t *testing.T, seed uint64, conditions []condition, lasts time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewRealClock()
	f := &testFleet{clock: clock, conditions: conditions, committed: []time.Time{{}}, reopened: make([]atomic.Bool, len(conditions))}
	f.versions, f.bundles = history(80)
	var addresses []netip.AddrPort
	for i, c := range conditions {
		p := newWatcher(clock)
		p.current = config.New()
		f.parents = append(f.parents, p)
		addresses = append(addresses, netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)))
		if c != replaced {
			f.peers.Controls = append(f.peers.Controls, addresses[i])
		}
	}
	w := &Watcher{
		Transport: f, Parents: addresses, Clock: clock, Random: rand.New(rand.NewPCG(seed, 2)),
		Logger: &log.Logger{Handler: discard.New()}, Failures: new(expvar.Int),
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	defer func() { stop(); <-done }()
	startedAt := clock.Now()
	disturbedAt := startedAt.Add(2*time.Second + time.Duration(random.Int64N(int64(2*time.Second))))
	nextCommit, nextBeat := startedAt, startedAt
	// The time in touch counts from the newest disturbance: the end of one that does not last.
	calmAt := disturbedAt.Add(lasts)
	for now := startedAt; now.Before(calmAt.Add(2 * touchTime)); now = clock.Now() {
		f.disturbed.Store(!now.Before(disturbedAt) && (lasts == 0 || now.Before(calmAt)))
		if !now.Before(nextCommit) && len(f.committed) < len(f.versions) {
			f.committed = append(f.committed, now)
			nextCommit = now.Add(time.Duration(50+random.IntN(350)) * time.Millisecond)
		}
		if !now.Before(nextBeat) {
			f.confirm()
			nextBeat = now.Add(testHeartbeat)
		}
		if want := f.newest(now.Add(-applyTime)); now.Sub(calmAt) >= touchTime && w.Current().Version < want {
			qt.Assert(t, w.Current().Version >= want, qt.IsTrue, qt.Commentf("seed %d: %v after the disturbance version %d is in force, and version %d was acknowledged %v ago",
				seed, now.Sub(calmAt), w.Current().Version, want, now.Sub(f.committed[want])))
		}
		time.Sleep(10 * time.Millisecond)
	}
}
