package batch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	simulationStep = 100 * time.Millisecond
	soundTime      = 500 * time.Millisecond
	targetSlots    = 4
)

// simulatedTarget ends when it runs an item for which crashes returns true.
type simulatedTarget struct {
	downUntil time.Time
	running   map[jobs.ItemRef]time.Time // until when
}

// fleetSimulation leases items to targets that end, and records when items reached them.
type fleetSimulation struct {
	dispatcher *Dispatcher
	machine    *jobs.Machine
	clock      *clockwork.FakeClock
	targets    []simulatedTarget
	downtime   time.Duration
	crashes    func(ref jobs.ItemRef) bool
	ends, runs []time.Time // of targets; of items that end targets
}

// step leases and runs items for simulationStep.
func (s *fleetSimulation) step(i int) {
	x, now := &s.targets[i], s.clock.Now()
	if now.Before(x.downUntil) {
		return
	}
	crashed := false
	for ref, until := range x.running {
		if s.crashes(ref) {
			crashed = true
		} else if !now.Before(until) {
			s.machine.Apply(&jobs.Command{At: now, Complete: &jobs.Complete{Outcomes: []jobs.Outcome{{Ref: ref, OK: true}}}})
			delete(x.running, ref)
		}
	}
	if crashed {
		for ref := range x.running {
			s.machine.Apply(&jobs.Command{At: now, Return: &jobs.Return{Items: []jobs.ItemRef{ref}, TargetEnded: []bool{true}}})
		}
		s.ends = append(s.ends, now)
		x.downUntil = now.Add(s.downtime)
		clear(x.running)
		return
	}
	// A side goes on to lease while it has free slots and gets items.
	for len(x.running) < targetSlots {
		refs := s.dispatcher.Pick([]string{"r"}, targetSlots-len(x.running))
		if len(refs) == 0 {
			return
		}
		r := s.machine.Apply(&jobs.Command{At: now, Lease: &jobs.Lease{Side: fmt.Sprint(i), Items: refs}})
		s.dispatcher.RecordGranted(refs, r.Granted)
		for _, g := range r.Granted {
			x.running[g.Ref] = now.Add(soundTime)
			if s.crashes(g.Ref) {
				s.runs = append(s.runs, now)
			}
		}
	}
}

// TestItemsThatEndTargets guards against items that end one target after the other, alone in their
// job, among sound ones or all items of a job, and against sound items that are kept from targets for
// long because they were in flight when targets ended.
func TestItemsThatEndTargets(t *testing.T) {
	const (
		duration = 30 * time.Second
		// late is how long after the fifth end a run is late, and maxLate how many may be.
		late, maxLate = 3 * time.Second, 3
	)
	tests := []struct {
		name             string
		targets          int
		crashing, others int // items of job j that end targets, and that do not
		soundUntil       time.Duration
	}{
		{"one item", 3, 1, 0, 3 * time.Second},
		{"one item among others", 3, 1, 20, 8 * time.Second},
		{"one item among others, many targets", 12, 1, 100, 6 * time.Second},
		{"one item among others that are answered all the time", 3, 1, 400, 28 * time.Second},
		{"all items of a job", 3, 6, 0, 6 * time.Second},
		{"all of many items of a job", 3, 25, 0, 10 * time.Second},
	}
	for _, test := range tests {
		for _, downtime := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, down for %v", test.name, downtime), func(t *testing.T) {
				d, m, clock := newDispatcher(t, test.crashing+test.others)
				sound := &jobs.Submit{ID: "sound", Workspace: "w", Window: 18 * time.Second, Retention: time.Minute, Attempts: 3}
				for i := range 20 {
					sound.Items = append(sound.Items, jobs.ItemInput{ID: fmt.Sprint(i), Needs: "r", Idempotent: true, Line: []byte("x")})
				}
				m.Apply(&jobs.Command{At: clock.Now(), Submit: sound})
				s := &fleetSimulation{
					dispatcher: d, machine: m, clock: clock, downtime: downtime,
					crashes: func(ref jobs.ItemRef) bool { return ref.Job == "j" && ref.Index < test.crashing },
				}
				for range test.targets {
					s.targets = append(s.targets, simulatedTarget{running: map[jobs.ItemRef]time.Time{}})
				}
				var soundDone time.Duration
				for start := clock.Now(); clock.Since(start) < duration; clock.Advance(simulationStep) {
					for i := range s.targets {
						s.step(i)
					}
					a, _ := m.JobInfo("j", "")
					b, _ := m.JobInfo("sound", "")
					if soundDone == 0 && a.Counts.Done+b.Counts.Done == test.others+len(sound.Items) {
						soundDone = clock.Since(start)
					}
				}
				qt.Check(t, soundDone > 0 && soundDone <= test.soundUntil, qt.IsTrue, qt.Commentf("sound items done after %v", soundDone))
				lateRuns := 0
				for _, at := range s.runs {
					if len(s.ends) >= 5 && at.Sub(s.ends[4]) > late {
						lateRuns++
					}
				}
				qt.Check(t, lateRuns <= maxLate, qt.IsTrue, qt.Commentf("%d late runs, %d ends", lateRuns, len(s.ends)))
				t.Logf("%d ends, %d late runs, sound items done after %v", len(s.ends), lateRuns, soundDone)
			})
		}
	}
}

// TestManyItemsThatEndTargets guards against items of many jobs that each end a target as soon as their wait is over, so that
// few targets are left.
func TestManyItemsThatEndTargets(t *testing.T) {
	const duration, settled = 2 * time.Minute, time.Minute
	d, m, clock := newDispatcher(t, 1)
	for i := range 9 {
		m.Apply(&jobs.Command{At: clock.Now(), Submit: &jobs.Submit{
			ID: fmt.Sprint("bad-", i), Workspace: "w", Window: 18 * time.Second, Retention: time.Hour, Attempts: 3,
			Items: []jobs.ItemInput{{ID: fmt.Sprint(i), Needs: "r", Idempotent: true, Line: []byte("x")}},
		}})
	}
	s := &fleetSimulation{dispatcher: d, machine: m, clock: clock, downtime: 3500 * time.Millisecond, crashes: func(jobs.ItemRef) bool { return true }}
	for range 12 {
		s.targets = append(s.targets, simulatedTarget{running: map[jobs.ItemRef]time.Time{}})
	}
	start := clock.Now()
	for ; clock.Since(start) < duration; clock.Advance(simulationStep) {
		for i := range s.targets {
			s.step(i)
		}
	}
	late := 0
	for _, at := range s.ends {
		if at.Sub(start) > settled {
			late++
		}
	}
	// On average less than one target is down.
	qt.Check(t, float64(late)*s.downtime.Seconds() < (duration-settled).Seconds(), qt.IsTrue, qt.Commentf("%d ends in the last %v", late, duration-settled))
	qt.Check(t, late > 0, qt.IsTrue, qt.Commentf("the items are not tried any more"))
	t.Logf("%d ends, %d in the last %v", len(s.ends), late, duration-settled)
}
