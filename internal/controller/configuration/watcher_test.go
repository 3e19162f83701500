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

func newWatcher(c clockwork.Clock) *Watcher {
	return &Watcher{Clock: c, Logger: &log.Logger{Handler: discard.New()}, Failures: new(expvar.Int)}
}

// history returns the configurations of n versions and the bundles between them.
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

// TestNeverGoesBack feeds answers of parents that lag, miss bundles or damage
// them: versions only grow, and content always fits the version.
func TestNeverGoesBack(t *testing.T) {
	versions, bundles := history(30)
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		w := newWatcher(clock)
		var confirmed time.Time
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			before := w.Current().Version
			sent := clock.Now()
			clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond)
			age := time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond
			r := parentAnswer(t, versions, bundles, w.version(), age)
			w.Take(r, sent)
			after := w.Current()
			if after.Version < before {
				t.Fatalf("went back from %d to %d", before, after.Version)
			}
			if after.Sum != versions[after.Version].Sum {
				t.Fatalf("version %d has other content", after.Version)
			}
			if at := sent.Add(-age); at.After(confirmed) {
				confirmed = at
			}
			if w.ConfirmedAt().After(confirmed) {
				t.Fatalf("claims to be confirmed at %v, no parent said more than %v", w.ConfirmedAt(), confirmed)
			}
		}
	})
}

func parentAnswer(t *rapid.T, versions []*config.Config, bundles []rhubarbgate.Bundle, asked uint64, age time.Duration) *control.PollReply {
	v := uint64(rapid.IntRange(0, len(versions)-1).Draw(t, "parent"))
	r := &control.PollReply{Version: v, Sum: versions[v].Sum, Age: age, Groups: 1}
	if v <= asked {
		return r
	}
	if rapid.Bool().Draw(t, "snapshot") {
		s := versions[v].Section()
		r.Section = &s
	} else {
		first := asked + uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "gap"))
		r.Bundles = append([]rhubarbgate.Bundle(nil), bundles[min(first, v):v]...)
	}
	if rapid.IntRange(0, 5).Draw(t, "damage") == 0 {
		r.Sum++
	}
	return r
}

func TestAgeGrowsOverRelays(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	parent, child := newWatcher(clock), newWatcher(clock)
	versions, _ := history(3)
	s := versions[3].Section()
	parent.Take(&control.PollReply{Version: 3, Section: &s, Sum: versions[3].Sum, Groups: 1}, clock.Now())
	clock.Advance(3 * time.Second)
	sent := clock.Now()
	r := answer(context.Background(), parent, clock, &control.Poll{})
	clock.Advance(time.Second)
	child.Take(r, sent)
	c.Assert(clock.Now().Sub(child.ConfirmedAt()), qt.Equals, 4*time.Second)
	c.Assert(child.Current().Sum, qt.Equals, versions[3].Sum)
}

// TestListNeverGoesBack checks that a daemon which moves between control hosts
// that read the list of targets at different times takes only newer lists.
func TestListNeverGoesBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := newWatcher(clock)
	var got []string
	w.OnTargets = func(l []rhubarbgate.Instance, _ time.Time) { got = append(got, l[0].ID) }
	list := func(id string, digest uint64, age time.Duration) *control.PollReply {
		return &control.PollReply{Groups: 1, Targets: &control.TargetList{Digest: digest, Age: age, Instances: []rhubarbgate.Instance{{ID: id}}}}
	}
	w.Take(list("old", 1, time.Second), clock.Now())
	clock.Advance(time.Second)
	w.Take(list("new", 2, 0), clock.Now())
	w.Take(list("old", 1, 500*time.Millisecond), clock.Now())
	// A confirmation without content keeps the list and makes it young.
	clock.Advance(time.Second)
	w.Take(&control.PollReply{Groups: 1, Targets: &control.TargetList{Digest: 2}}, clock.Now())
	qt.Assert(t, got, qt.DeepEquals, []string{"old", "new", "new"})
	_, at := w.Targets()
	qt.Assert(t, at, qt.Equals, clock.Now())
}
