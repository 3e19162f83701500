package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// event is a report at a time after the start.
type event struct {
	at     time.Duration
	report Report
}

// ended returns a report of the end of a target with requests that have these parts.
func ended(target string, parts ...string) Report {
	return Report{Crashes: []Crash{{Target: target, Parts: Parts("lm", parts)}}}
}

// answered returns a report of answers to prompts that have these parts.
func answered(parts ...string) Report { return answeredBy("lm", parts...) }

// answeredBy is like answered, for answers of targets of another service.
func answeredBy(service string, parts ...string) Report {
	r := Report{Answered: true}
	for _, p := range Parts(service, parts) {
		r.Answers = append(r.Answers, Answer{Part: p})
	}
	return r
}

// endedAfter is like ended, with an answer to each of the parts some time before.
func endedAfter(answer time.Duration, target string, parts ...string) Report {
	r := ended(target, parts...)
	for _, p := range Parts("lm", parts) {
		r.Answers = append(r.Answers, Answer{Part: p, Age: answer})
	}
	return r
}

// manyParts returns parts of the prompts that a busy target has: those of 32 requests with three each.
func manyParts(prefix string) []string {
	var parts []string
	for i := range 96 {
		parts = append(parts, fmt.Sprint(prefix, i))
	}
	return parts
}

// TestBlocks guards against parts that end one target after the other and are never blocked, and
// against blocking a part because targets end for another reason.
func TestBlocks(t *testing.T) {
	const second, ms = time.Second, time.Millisecond
	threeEnds := []event{{0, ended("t1", "a", "bad")}, {100 * ms, ended("t2", "b", "bad")}, {200 * ms, ended("t3", "a", "bad")}}
	others := event{300 * ms, answered("a", "b")}
	tests := []struct {
		name   string
		events []event
		at     time.Duration
		want   map[string][]string // With by Part
		except []string
		trials []string // parts that are blocked for trial
	}{
		{"three targets, others answer", append(threeEnds, others), 1200 * ms, map[string][]string{"bad": nil}, nil, nil},
		{"busy targets with many parts", []event{
			{0, ended("t1", append(manyParts("x"), "bad")...)}, {200 * ms, ended("t2", append(manyParts("y"), "bad")...)}, {400 * ms, ended("t3", append(manyParts("z"), "bad")...)}, {600 * ms, answered("a")},
		}, 1500 * ms, map[string][]string{"bad": nil}, nil, nil},
		{"before the objection period ends", append(threeEnds, others), 900 * ms, nil, nil, []string{"bad"}},
		{"two targets", append(threeEnds[:2:2], others), 3 * second, nil, nil, nil},
		{"answered meanwhile", append(threeEnds, event{400 * ms, answered("bad")}), 3 * second, nil, nil, nil},
		{"answered by targets of another service", append(threeEnds, event{400 * ms, answeredBy("other", "bad")}), 3 * second, map[string][]string{"bad": nil}, []string{"other"}, nil},
		{"answered after the block", append(threeEnds, others, event{2 * second, answered("bad")}), 3 * second, nil, nil, nil},
		{"answered shortly before the first end", []event{{0, endedAfter(second, "t1", "bad")}, {100 * ms, ended("t2", "bad")}, {200 * ms, ended("t3", "bad")}, others}, 3 * second, nil, nil, nil},
		{"answered long before", []event{{0, endedAfter(5*second, "t1", "bad")}, {100 * ms, ended("t2", "bad")}, {200 * ms, ended("t3", "bad")}, others}, 3 * second, map[string][]string{"bad": nil}, nil, nil},
		{"no target answers anything", threeEnds, 3 * second, nil, nil, []string{"bad"}},
		{"all targets end together, the part was answered until then", []event{
			{0, endedAfter(300*ms, "t1", "a")}, {0, ended("t2", "a")}, {0, ended("t3", "a")}, {0, ended("t4", "a")}, {300 * ms, answered("c")},
		}, 3 * second, nil, nil, nil},
		{"several targets end at the same moment", []event{
			{0, ended("t1", "a")}, {20 * ms, ended("t2", "a")}, {40 * ms, ended("t3", "a")}, {90 * ms, ended("t4", "a")}, {300 * ms, answered("c")},
		}, 3 * second, nil, nil, []string{"a"}},
		{"several targets end at the same moment, then one after the other", []event{
			{0, ended("t1", "a")}, {20 * ms, ended("t2", "a")}, {40 * ms, ended("t3", "a")}, {300 * ms, answered("c")}, {second, ended("t4", "a")}, {2 * second, ended("t5", "a")},
		}, 2100 * ms, map[string][]string{"a": nil}, nil, nil},
		{"several targets end at the same moment, then others answer", []event{
			{0, ended("t1", "a")}, {20 * ms, ended("t2", "a")}, {40 * ms, ended("t3", "a")}, {second, answered("a")},
		}, 1100 * ms, nil, nil, nil},
		{"several targets end at the same moment, long ago", []event{
			{0, ended("t1", "a")}, {20 * ms, ended("t2", "a")}, {40 * ms, ended("t3", "a")}, {300 * ms, answered("c")},
		}, trialTime + second, nil, nil, nil},
		{"several targets end at the same moment, most with other parts", []event{
			{0, ended("t1", "a")}, {10 * ms, ended("t2", "b")}, {20 * ms, ended("t3", "a")}, {30 * ms, ended("t4", "a", "b")}, {40 * ms, ended("t5", "c")}, {300 * ms, answered("c")},
		}, second, nil, nil, nil},
		{"requests that are repeated at once, on up to three targets", []event{
			{0, ended("t1", "a")}, {80 * ms, ended("t2", "a")}, {160 * ms, ended("t3", "a")}, {400 * ms, ended("t4", "a")}, {480 * ms, ended("t5", "a")}, {600 * ms, answered("c")},
		}, 2 * second, map[string][]string{"a": nil}, nil, nil},
		{"many targets end at the same moment, some are noticed late", []event{
			{0, ended("t1", "a")}, {20 * ms, ended("t2", "b")}, {110 * ms, ended("t3", "a")}, {130 * ms, ended("t4", "b")}, {220 * ms, ended("t5", "a")}, {230 * ms, ended("t6", "c")}, {400 * ms, answered("c")},
		}, 3 * second, nil, nil, nil},
		{"several targets end at some moments", []event{
			{0, ended("t1", "a")}, {20 * ms, ended("t2", "a")}, {500 * ms, ended("t3", "a")}, {1000 * ms, ended("t5", "a")}, {1300 * ms, answered("c")},
		}, 3 * second, map[string][]string{"a": nil}, nil, nil},
		{"several targets end at each moment", []event{
			{0, ended("t1", "a")}, {20 * ms, ended("t2", "a")}, {1100 * ms, ended("t3", "a")}, {1120 * ms, ended("t4", "a")}, {2200 * ms, ended("t5", "a")}, {2220 * ms, ended("t6", "a")}, {2300 * ms, answered("c")},
		}, 4 * second, map[string][]string{"a": nil}, nil, nil},
		{"many ends, one after the other", []event{
			{0, ended("t1", "a")}, {120 * ms, ended("t2", "a")}, {240 * ms, ended("t3", "a")}, {300 * ms, answered("c")},
		}, 3 * second, map[string][]string{"a": nil}, nil, nil},
		{"several reports of each end", []event{{0, ended("t1", "bad")}, {10 * ms, ended("t1", "bad")}, {20 * ms, ended("t1", "bad")}, {100 * ms, ended("t2", "bad")}, others}, 3 * second, nil, nil, nil},
		{"target that restarts under its name", []event{{0, ended("t", "bad")}, {3 * second, ended("t", "bad")}, {6 * second, ended("t", "bad")}, {7 * second, answered("a")}}, 9 * second, map[string][]string{"bad": nil}, nil, nil},
		{"part that comes with the cause each time", []event{
			{0, ended("t1", "rare", "bad")}, {100 * ms, ended("t2", "rare", "bad")}, {200 * ms, ended("t3", "rare", "bad")}, others,
		}, 3 * second, map[string][]string{"bad": {"rare"}, "rare": {"bad"}}, nil, nil},
		{"part that comes with the cause mostly", []event{
			{0, ended("t1", "rare", "bad")}, {100 * ms, ended("t2", "rare", "bad")}, {200 * ms, ended("t3", "rare", "bad")}, {250 * ms, ended("t4", "bad")}, others,
		}, 3 * second, map[string][]string{"bad": nil, "rare": {"bad"}}, nil, nil},
		{"over after the block's time", append(threeEnds, others), BlockTime + second, nil, nil, nil},
		{"another end after the block's time", append(threeEnds, others, event{2 * second, Report{}}, event{BlockTime + second, ended("t9", "bad")}), BlockTime + 2*second, map[string][]string{"bad": nil}, nil, nil},
		{"blocks of an earlier leader", []event{{0, Report{Blocks: []Block{{Part: Part{"lm", "bad"}, With: Parts("lm", []string{"x"}), Left: time.Minute}}}}}, second, map[string][]string{"bad": {"x"}}, nil, nil},
		{"over, of an earlier leader", []event{{0, Report{Blocks: []Block{{Part: Part{"lm", "bad"}, Left: time.Minute}}}}}, 2 * time.Minute, nil, nil, nil},
		{"answered, of an earlier leader", []event{{0, Report{Blocks: []Block{{Part: Part{"lm", "bad"}, Left: time.Minute}}}}, {second, answered("bad")}}, 2 * second, nil, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			table := &Table{Clock: clock}
			for _, e := range test.events {
				clock.Advance(e.at - clock.Since(start))
				table.Add(&e.report)
				table.Suspects()
			}
			clock.Advance(test.at - clock.Since(start))
			got := map[string][]string{}
			var trials []string
			for _, b := range table.Blocks() {
				qt.Check(t, b.Left > 0, qt.IsTrue)
				qt.Check(t, b.Part.Service, qt.Equals, "lm")
				qt.Check(t, b.Except, qt.DeepEquals, test.except)
				if b.Trial {
					trials = append(trials, b.Part.ID)
					continue
				}
				got[b.Part.ID] = nil
				for _, w := range b.With {
					got[b.Part.ID] = append(got[b.Part.ID], w.ID)
				}
			}
			if test.want == nil {
				test.want = map[string][]string{}
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
			qt.Assert(t, trials, qt.DeepEquals, test.trials)
		})
	}
}

// TestGrantTrial guards against several requests at a time that may all crash their targets, and
// against a part that is on trial without any.
func TestGrantTrial(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &Table{Clock: clock}
	parts := Parts("lm", []string{"a"})
	for i := range 3 {
		r := ended(fmt.Sprint(i), "a")
		table.Add(&r)
	}
	qt.Assert(t, table.GrantTrial(parts), qt.IsTrue)
	clock.Advance(TrialInterval)
	qt.Assert(t, table.GrantTrial(parts), qt.IsFalse, qt.Commentf("the first has no outcome yet"))
	qt.Assert(t, table.GrantTrial(Parts("lm", []string{"b"})), qt.IsFalse, qt.Commentf("another leader may have blocked it, whose daemons have not reported yet"))
	clock.Advance(trialOutcomeTime - TrialInterval)
	qt.Assert(t, table.GrantTrial(parts), qt.IsTrue)
	r := ended("4", "a")
	clock.Advance(TrialInterval / 2)
	table.Add(&r)
	qt.Assert(t, table.GrantTrial(parts), qt.IsFalse)
	clock.Advance(TrialInterval / 2)
	qt.Assert(t, table.GrantTrial(parts), qt.IsTrue)
}

// TestTableIsBounded guards against memory that grows with the ends of targets.
func TestTableIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := &Table{Clock: clock}
	for i := range 2 * maxCrashes {
		var parts []string
		for j := range 2 * maxCrashParts {
			parts = append(parts, fmt.Sprintf("%d-%d", i, j))
		}
		r := ended(fmt.Sprint(i), parts...)
		table.addCrash(r.Crashes[0], clock.Now())
	}
	table.Add(&Report{})
	qt.Assert(t, table.crashes, qt.HasLen, maxCrashes)
	qt.Assert(t, table.crashes[0].parts, qt.HasLen, maxCrashParts)
	clock.Advance(CrashTTL)
	table.Add(&Report{})
	qt.Assert(t, table.crashes, qt.HasLen, 0)
	qt.Assert(t, table.answers, qt.HasLen, 0)
}
