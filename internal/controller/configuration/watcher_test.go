package configuration

import (
	"context"
	"expvar"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/internal/testkit/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// newWatcher returns a watcher that is fed through ApplyReply and polls nobody.
func newWatcher(c clockwork.Clock) *Watcher {
	return &Watcher{Clock: c, Logger: &log.Logger{Handler: discard.New()}, Failures: new(expvar.Int)}
}

// history returns the configurations of the versions 0 to n and the bundles between them.
func history(n int) ([]*config.Config, []rhubarbgate.Bundle) {
	versions := []*config.Config{config.New()}
	var bundles []rhubarbgate.Bundle
	for i := range uint64(n) {
		b := rhubarbgate.Bundle{Base: i, Version: i + 1, Put: rhubarbgate.Section{
			Workspaces: []rhubarbgate.Workspace{{Name: fmt.Sprintf("w%d", i%5), Rate: float64(i), Burst: 1}},
		}}
		c, err := versions[i].With(&b)
		if err != nil {
			panic(err)
		}
		versions, bundles = append(versions, c), append(bundles, b)
	}
	return versions, bundles
}

// TestVersionNeverDecreases feeds replies of parents that are at any version, leave
// out a bundle or send a wrong checksum. It guards against a daemon that returns to
// a lower version, holds content of another version, or reports an age below that
// of every parent.
func TestVersionNeverDecreases(t *testing.T) {
	versions, bundles := history(30)
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		w := newWatcher(clock)
		var confirmed time.Time
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			previous := w.Current().Version
			sent := clock.Now()
			clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond)
			age := time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond
			r := parentReply(t, versions, bundles, w.pollVersion(), age)
			w.ApplyReply(r, sent)
			current := w.Current()
			if current.Version < previous {
				t.Fatalf("version decreased from %d to %d", previous, current.Version)
			}
			if current.Sum != versions[current.Version].Sum {
				t.Fatalf("version %d has the content of another version", current.Version)
			}
			if at := sent.Add(-age); at.After(confirmed) {
				confirmed = at
			}
			if w.ConfirmedAt().After(confirmed) {
				t.Fatalf("confirmed at %v, but parents confirmed it at %v at the latest", w.ConfirmedAt(), confirmed)
			}
		}
	})
}

// parentReply draws the reply of a parent to a poll that carried the version polled.
func parentReply(t *rapid.T, versions []*config.Config, bundles []rhubarbgate.Bundle, polled uint64, age time.Duration) *control.PollReply {
	v := uint64(rapid.IntRange(0, len(versions)-1).Draw(t, "parent"))
	r := &control.PollReply{Version: v, Sum: versions[v].Sum, Age: age, Groups: 1}
	if v <= polled {
		return r
	}
	if rapid.Bool().Draw(t, "snapshot") {
		s := versions[v].Section()
		r.Section = &s
	} else {
		first := polled + uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "gap"))
		r.Bundles = append([]rhubarbgate.Bundle(nil), bundles[min(first, v):v]...)
	}
	if rapid.IntRange(0, 5).Draw(t, "damage") == 0 {
		r.Sum++
	}
	return r
}

// TestRelaysAddToAge guards against a daemon that counts the age of a relayed
// configuration from its own poll: the age includes the time for which the relay
// held the configuration and the time that the poll took.
func TestRelaysAddToAge(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	parent, child := newWatcher(clock), newWatcher(clock)
	versions, _ := history(3)
	s := versions[3].Section()
	parent.ApplyReply(&control.PollReply{Version: 3, Section: &s, Sum: versions[3].Sum, Groups: 1}, clock.Now())
	clock.Advance(3 * time.Second)
	sent := clock.Now()
	r := replyToPoll(context.Background(), parent, clock, &control.Poll{})
	clock.Advance(time.Second)
	child.ApplyReply(r, sent)
	c.Assert(clock.Now().Sub(child.ConfirmedAt()), qt.Equals, 4*time.Second)
	c.Assert(child.Current().Sum, qt.Equals, versions[3].Sum)
}

// TestOlderTargetListIsIgnored guards against a daemon that changes between control
// hosts and takes an older list of targets, because the hosts request the list from
// the platform at different times.
func TestOlderTargetListIsIgnored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := newWatcher(clock)
	var got []string
	w.OnTargets = func(received []rhubarbgate.Instance, _ time.Time) { got = append(got, received[0].ID) }
	list := func(id string, digest uint64, age time.Duration) *control.PollReply {
		return &control.PollReply{Groups: 1, Targets: &control.TargetList{Digest: digest, Age: age, Instances: []rhubarbgate.Instance{{ID: id}}}}
	}
	w.ApplyReply(list("old", 1, time.Second), clock.Now())
	clock.Advance(time.Second)
	w.ApplyReply(list("new", 2, 0), clock.Now())
	w.ApplyReply(list("old", 1, 500*time.Millisecond), clock.Now())
	// A reply with only the digest keeps the list and renews its time.
	clock.Advance(time.Second)
	w.ApplyReply(&control.PollReply{Groups: 1, Targets: &control.TargetList{Digest: 2}}, clock.Now())
	qt.Assert(t, got, qt.DeepEquals, []string{"old", "new", "new"})
	_, at := w.Targets()
	qt.Assert(t, at, qt.Equals, clock.Now())
}

// TestHeldReplyIsNoOlder guards against counting the time for which a parent held its reply
// as age: daemons would take a list of targets that is sent to them every second for one
// that is out of date, and all would read it from the platform.
func TestHeldReplyIsNoOlder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	parent, child := newWatcher(clock), newWatcher(clock)
	versions, _ := history(1)
	section := versions[1].Section()
	list := &control.TargetList{Digest: 7, Instances: []rhubarbgate.Instance{{ID: "i"}}}
	reply := &control.PollReply{Version: 1, Sum: versions[1].Sum, Section: &section, Groups: 1, Targets: list}
	qt.Assert(t, parent.ApplyReply(reply, clock.Now()), qt.IsTrue)
	qt.Assert(t, child.ApplyReply(reply, clock.Now()), qt.IsTrue)
	sent := clock.Now()
	replies := make(chan *control.PollReply)
	go func() {
		replies <- replyToPoll(t.Context(), parent, clock, &control.Poll{Version: 1, Wait: time.Second, Targets: 7})
	}()
	qt.Assert(t, clock.BlockUntilContext(t.Context(), 1), qt.IsNil)
	clock.Advance(900 * time.Millisecond)
	parent.ApplyReply(&control.PollReply{Version: 1, Sum: versions[1].Sum, Groups: 1, Targets: &control.TargetList{Digest: 7}}, clock.Now())
	clock.Advance(100 * time.Millisecond)
	confirmedAt := clock.Now().Add(-100 * time.Millisecond)
	qt.Assert(t, child.ApplyReply(<-replies, sent), qt.IsTrue)
	_, listedAt := child.Targets()
	qt.Assert(t, child.ConfirmedAt().Equal(confirmedAt), qt.IsTrue, qt.Commentf("%v", clock.Since(child.ConfirmedAt())))
	qt.Assert(t, listedAt.Equal(confirmedAt), qt.IsTrue, qt.Commentf("%v", clock.Since(listedAt)))
}

// TestPollsAreHeldForNewerListsOnly guards against a daemon that polls without a pause because its parent holds another list of
// targets, which is older than its own, or none yet.
func TestPollsAreHeldForNewerListsOnly(t *testing.T) {
	const digest, other = 7, 8
	tests := []struct {
		name       string
		targets    uint64        // digest of the parent's list; 0 if it has none
		age        time.Duration // of the parent's list
		targetsAge time.Duration // of the poller's list, as the poll says
		held       bool
	}{
		{"same list", digest, time.Second, 2 * time.Second, true},
		{"newer list", other, time.Second, 2 * time.Second, false},
		{"older list", other, 2 * time.Second, time.Second, true},
		{"no list", 0, 0, time.Second, true},
		{"earlier build", other, 2 * time.Second, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			parent := newWatcher(clock)
			versions, _ := history(1)
			section := versions[1].Section()
			r := &control.PollReply{Version: 1, Sum: versions[1].Sum, Section: &section, Groups: 1}
			if test.targets != 0 {
				r.Targets = &control.TargetList{Digest: test.targets, Age: test.age}
			}
			parent.ApplyReply(r, clock.Now())
			replied := make(chan struct{})
			go func() {
				defer close(replied)
				replyToPoll(t.Context(), parent, clock, &control.Poll{Version: 1, Wait: time.Second, Targets: digest, TargetsAge: test.targetsAge})
			}()
			if test.held {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				qt.Assert(t, clock.BlockUntilContext(ctx, 1), qt.IsNil, qt.Commentf("the poll is not held"))
				clock.Advance(time.Second)
			}
			select {
			case <-replied:
			case <-time.After(10 * time.Second):
				t.Fatal("the poll is held although its time is over")
			}
		})
	}
}
