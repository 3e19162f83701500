package crashes

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// newTestRecorder returns a Recorder and what its leader, whose term is in term, received.
func newTestRecorder(t *testing.T, term *atomic.Uint64, released []string) (*Recorder, chan quarantine.Report) {
	received := make(chan quarantine.Report, 16)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	mux := wire.NewMux()
	wire.Unary(mux, control.MethodCrashes, wire.Daemons, func(_ context.Context, in *control.Crashes) (*control.CrashesReply, error) {
		received <- in.Report
		return &control.CrashesReply{Term: term.Load(), Released: quarantine.Parts("lm", released), TrialGranted: len(in.Trial) > 0}, nil
	})
	go func() { _ = mux.Serve(ctx, l) }()
	clock, logger := clockwork.NewRealClock(), &log.Logger{Handler: discard.New()}
	client := &control.Client{Wire: wire.NewClient(nil), Hosts: []netip.AddrPort{l.Addr().(*net.TCPAddr).AddrPort()}, Clock: clock}
	return NewRecorder(&discovery.Table{Clock: clock, Logger: logger}, client, clock, logger, new(expvar.Map).Init()), received
}

// endedTarget returns a target that is down.
func endedTarget(t *testing.T, r *Recorder) *discovery.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Close()
	i := rhubarbgate.Instance{ID: "i", Service: "lm", Address: l.Addr().(*net.TCPAddr).AddrPort()}
	r.Targets.Update([]rhubarbgate.Instance{i}, r.Clock.Now())
	return r.Targets.Target(i)
}

// TestNewLeaderGetsWhatTheLastOneKnew guards against losing the ends of targets, or the blocks,
// when another control host becomes the leader.
func TestNewLeaderGetsWhatTheLastOneKnew(t *testing.T) {
	var term atomic.Uint64
	term.Store(1)
	r, received := newTestRecorder(t, &term, nil)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.Run(ctx)
	r.RecordAnswer("lm", []string{"common"})
	r.RecordBreak(Break{Target: endedTarget(t, r), Parts: []string{"common", "bad"}, At: r.Clock.Now()})
	first := <-received
	qt.Assert(t, first.Crashes, qt.HasLen, 1)
	qt.Assert(t, first.Crashes[0].Parts, qt.DeepEquals, quarantine.Parts("lm", []string{"common", "bad"}))
	qt.Assert(t, first.Answers, qt.HasLen, 2)
	qt.Assert(t, first.Answers[0].Part.ID, qt.Equals, "common")
	qt.Assert(t, first.Answers[1].Part, qt.Equals, quarantine.Part{Service: "lm", ID: quarantine.AnyPart})
	qt.Assert(t, first.Answered, qt.IsTrue)

	now := r.Clock.Now()
	r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{{Part: quarantine.Part{Service: "lm", ID: "bad"}, Left: time.Minute}}}, now)
	second := <-received
	qt.Assert(t, second.Crashes, qt.HasLen, 0, qt.Commentf("the leader has them"))
	qt.Assert(t, second.Blocks, qt.HasLen, 0)

	term.Store(2)
	r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 2}}, now)
	_, _, blocked := r.Blocked("lm", []string{"bad"})
	qt.Assert(t, blocked, qt.IsTrue)
	third := <-received
	qt.Assert(t, third.Crashes, qt.HasLen, 1)
	qt.Assert(t, third.Blocks, qt.HasLen, 1)
	qt.Assert(t, third.Blocks[0].Part.ID, qt.Equals, "bad")
}

// TestBlockedPrompts guards against blocking prompts for good, or those that lack a part without
// which no target ended.
func TestBlockedPrompts(t *testing.T) {
	bad := quarantine.Block{Part: quarantine.Part{Service: "lm", ID: "bad"}, Left: time.Minute}
	badWithRare := quarantine.Block{Part: quarantine.Part{Service: "lm", ID: "bad"}, With: quarantine.Parts("lm", []string{"rare"}), Left: time.Minute}
	badExcept := quarantine.Block{Part: bad.Part, Except: []string{"other"}, Left: time.Minute}
	version := func(term, number uint64) control.LeaderVersion {
		return control.LeaderVersion{Term: term, Number: number}
	}
	tests := []struct {
		name    string
		service string // "lm" if empty
		updates []control.Quarantine
		parts   []string
		later   time.Duration
		want    bool
	}{
		{"none", "", nil, []string{"bad"}, 0, false},
		{"blocked", "", []control.Quarantine{{Version: version(1, 1), Blocks: []quarantine.Block{bad}}}, []string{"a", "bad"}, 0, true},
		{"other service", "other", []control.Quarantine{{Version: version(1, 1), Blocks: []quarantine.Block{bad}}}, []string{"a", "bad"}, 0, true},
		{"service that answered it", "other", []control.Quarantine{{Version: version(1, 1), Blocks: []quarantine.Block{badExcept}}}, []string{"a", "bad"}, 0, false},
		{"other prompt", "", []control.Quarantine{{Version: version(1, 1), Blocks: []quarantine.Block{bad}}}, []string{"a"}, 0, false},
		{"without the part that came with it", "", []control.Quarantine{{Version: version(1, 1), Blocks: []quarantine.Block{badWithRare}}}, []string{"a", "bad"}, 0, false},
		{"with the part that came with it", "", []control.Quarantine{{Version: version(1, 1), Blocks: []quarantine.Block{badWithRare}}}, []string{"rare", "bad"}, 0, true},
		{"over", "", []control.Quarantine{{Version: version(1, 1), Blocks: []quarantine.Block{bad}}}, []string{"bad"}, time.Minute, false},
		{"released", "", []control.Quarantine{{Version: version(1, 1), Blocks: []quarantine.Block{bad}}, {Version: version(1, 2)}}, []string{"bad"}, 0, false},
		{"older quarantine", "", []control.Quarantine{{Version: version(1, 2), Blocks: []quarantine.Block{bad}}, {Version: version(1, 1)}}, []string{"bad"}, 0, true},
		{"new leader without it", "", []control.Quarantine{{Version: version(1, 1), Blocks: []quarantine.Block{bad}}, {Version: version(2, 0)}}, []string{"bad"}, 0, true},
		{"new leader took it over and released it", "", []control.Quarantine{
			{Version: version(1, 1), Blocks: []quarantine.Block{bad}}, {Version: version(2, 1), Blocks: []quarantine.Block{bad}}, {Version: version(2, 2)},
		}, []string{"bad"}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := NewRecorder(nil, nil, clock, &log.Logger{Handler: discard.New()}, new(expvar.Map).Init())
			for _, q := range test.updates {
				r.Update(q, clock.Now())
			}
			clock.Advance(test.later)
			_, left, blocked := r.Blocked(cmp.Or(test.service, "lm"), test.parts)
			qt.Assert(t, blocked, qt.Equals, test.want)
			qt.Assert(t, left > 0, qt.Equals, test.want)
		})
	}
}

// TestTrials guards against a prompt that is blocked for trial and never tried, and against trials
// of prompts that are blocked otherwise.
func TestTrials(t *testing.T) {
	reachable := func(r *Recorder) {}
	tests := []struct {
		name    string
		parts   []string
		leader  func(r *Recorder)
		blocked bool
		trial   bool
	}{
		{"other prompt", []string{"c"}, reachable, false, false},
		{"blocked for trial", []string{"a", "c"}, reachable, true, true},
		{"blocked for trial, no leader", []string{"a", "c"}, loseLeader, true, false},
		{"blocked, and for trial", []string{"a", "b"}, reachable, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var term atomic.Uint64
			r, _ := newTestRecorder(t, &term, nil)
			test.leader(r)
			r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{
				{Part: quarantine.Part{Service: "lm", ID: "a"}, Trial: true, Left: time.Minute}, {Part: quarantine.Part{Service: "lm", ID: "b"}, Left: time.Minute},
			}}, r.Clock.Now())
			_, _, blocked := r.Blocked("lm", test.parts)
			qt.Assert(t, blocked, qt.Equals, test.blocked)
			qt.Assert(t, r.RequestTrial(context.Background(), "lm", test.parts), qt.Equals, test.trial)
			qt.Assert(t, r.RequestTrial(context.Background(), "lm", test.parts), qt.IsFalse, qt.Commentf("asked again at once"))
		})
	}
}

// loseLeader makes all calls to control hosts fail.
func loseLeader(r *Recorder) {
	r.Client = &control.Client{Wire: wire.NewClient(nil), Hosts: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Clock: clockwork.NewRealClock()}
}

// TestTrialsWithoutALeader guards against trials by every process whenever the leader changes, and
// against a part that is blocked for trial and never tried while there is no leader for long.
func TestTrialsWithoutALeader(t *testing.T) {
	var term atomic.Uint64
	r, _ := newTestRecorder(t, &term, nil)
	reachable, clock := r.Client, clockwork.NewFakeClock()
	r.Clock = clock
	r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{
		{Part: quarantine.Part{Service: "lm", ID: "a"}, Trial: true, Left: time.Minute},
	}}, clock.Now())
	steps := []struct {
		wait   time.Duration
		leader bool
		trial  bool
	}{
		{0, false, false},
		{3 * time.Second, false, false},
		{time.Second, true, true},
		{time.Second, false, false},
		{3 * time.Second, false, false},
		{time.Second, false, true},
		{time.Second, false, false},
		{4 * time.Second, false, true},
	}
	for i, x := range steps {
		clock.Advance(x.wait)
		loseLeader(r)
		if x.leader {
			r.Client = reachable
		}
		qt.Assert(t, r.RequestTrial(context.Background(), "lm", []string{"a"}), qt.Equals, x.trial, qt.Commentf("step %d", i))
	}
}

// TestRequestsSuspectedHere guards against a request that ends targets and goes out again and again
// while the way to the leader and back takes long, and against refusing one that the leader cleared.
func TestRequestsSuspectedHere(t *testing.T) {
	bad := quarantine.RequestPart("w", "POST", "h", "/p", []byte("bad"))
	other := quarantine.RequestPart("w", "POST", "h", "/p", []byte("other"))
	twoEnds := []string{"t1", "t2"}
	tests := []struct {
		name         string
		ends         []string // targets
		answered     time.Duration
		reportedTerm uint64
		later        time.Duration
		id           string
		want         bool
	}{
		{"one end", twoEnds[:1], 0, 0, 0, bad, false},
		{"two ends", twoEnds, 0, 0, 0, bad, true},
		{"another request", twoEnds, 0, 0, 0, other, false},
		{"part of a prompt", twoEnds, 0, 0, 0, "a", false},
		{"answered shortly before", twoEnds, time.Second, 0, 0, bad, false},
		{"reported a moment ago", twoEnds, 0, 2, 0, bad, true},
		{"decided by the leader", twoEnds, 0, 2, verdictTime, bad, false},
		{"not reported to this leader", twoEnds, 0, 1, verdictTime, bad, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := NewRecorder(nil, nil, clock, &log.Logger{Handler: discard.New()}, new(expvar.Map).Init())
			r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 2}}, clock.Now())
			if test.answered > 0 {
				r.RecordAnswer("lm", []string{bad})
				clock.Advance(test.answered)
			}
			table := &discovery.Table{Clock: clock, Logger: r.Logger}
			for _, x := range test.ends {
				i := rhubarbgate.Instance{ID: x, Service: "lm", Address: netip.MustParseAddrPort("127.0.0.1:1")}
				table.Update([]rhubarbgate.Instance{i}, clock.Now())
				r.recordEnd(Break{Target: table.Target(i), Parts: []string{"a", bad}, At: clock.Now()})
				clock.Advance(time.Millisecond)
			}
			for _, e := range r.ends {
				e.reportedTerm = test.reportedTerm
			}
			clock.Advance(test.later)
			qt.Assert(t, r.Suspects("lm", []string{"a", test.id}), qt.Equals, test.want)
			r.RecordAnswer("lm", []string{bad})
			qt.Assert(t, r.Suspects("lm", []string{"a", test.id}), qt.IsFalse)
		})
	}
}

// TestBlockIsNotReplacedByATrial guards against trials of a request that is blocked, because a new leader
// heard of the ends before it heard of the block.
func TestBlockIsNotReplacedByATrial(t *testing.T) {
	bad := quarantine.Part{Service: "lm", ID: "bad"}
	onTrial, blocked := quarantine.Block{Part: bad, Trial: true, Left: time.Minute}, quarantine.Block{Part: bad, Left: time.Minute}
	var term atomic.Uint64
	term.Store(2)
	r, received := newTestRecorder(t, &term, nil)
	update := func(term, number uint64, blocks ...quarantine.Block) {
		r.Update(control.Quarantine{Version: control.LeaderVersion{Term: term, Number: number}, Blocks: blocks}, r.Clock.Now())
	}
	update(1, 1, blocked)
	update(2, 1, onTrial)
	qt.Assert(t, r.RequestTrial(t.Context(), "lm", []string{"bad"}), qt.IsFalse)
	go r.Run(t.Context())
	report := <-received
	qt.Assert(t, report.Blocks, qt.HasLen, 1)
	qt.Assert(t, report.Blocks[0].Trial, qt.IsFalse)

	update(2, 2, blocked)
	update(2, 3, onTrial)
	qt.Assert(t, r.RequestTrial(t.Context(), "lm", []string{"bad"}), qt.IsTrue, qt.Commentf("the leader had the block and ended it"))
}

// TestReleasedByNewLeader guards against a block that outlives an answer which only the new
// leader knows of.
func TestReleasedByNewLeader(t *testing.T) {
	var term atomic.Uint64
	term.Store(2)
	r, received := newTestRecorder(t, &term, []string{"bad"})
	r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{{Part: quarantine.Part{Service: "lm", ID: "bad"}, Left: time.Minute}}}, r.Clock.Now())
	r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 2}}, r.Clock.Now())
	_, _, blocked := r.Blocked("lm", []string{"bad"})
	qt.Assert(t, blocked, qt.IsTrue)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.Run(ctx)
	qt.Assert(t, (<-received).Blocks, qt.HasLen, 1)
	for {
		if _, _, blocked := r.Blocked("lm", []string{"bad"}); !blocked {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestAnswersAreBounded guards against memory that grows with the parts that were answered.
func TestAnswersAreBounded(t *testing.T) {
	var a recentAnswers
	now := time.Now()
	for i := range 5 * answersGenerationSize {
		a.add(quarantine.Part{ID: string(rune(i))}, now)
	}
	qt.Assert(t, len(a.recent)+len(a.older) <= 2*answersGenerationSize, qt.IsTrue)
	a.add(quarantine.Part{ID: "x"}, now)
	_, ok := a.newest(quarantine.Part{ID: "x"})
	qt.Assert(t, ok, qt.IsTrue)
	a.add(quarantine.Part{ID: "y"}, now.Add(answersGenerationTime))
	a.add(quarantine.Part{ID: "z"}, now.Add(2*answersGenerationTime))
	_, ok = a.newest(quarantine.Part{ID: "x"})
	qt.Assert(t, ok, qt.IsFalse)
}

// TestEvidence guards against counting the end of a target against prompts that targets had
// answered before, as those of long responses and of resumed ones.
func TestEvidence(t *testing.T) {
	tests := []struct {
		name  string
		b     Break
		parts int // that count
	}{
		{"no event yet", Break{Parts: []string{"a", "b"}}, 2},
		{"just begun", Break{Parts: []string{"a", "b"}, Answering: soundAfter / 2}, 2},
		{"answering", Break{Parts: []string{"a", "b"}, Answering: soundAfter}, 0},
		{"resumed", Break{Parts: []string{"a", "b"}, Resumed: true}, 0},
		{"without a prompt", Break{}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var term atomic.Uint64
			r, _ := newTestRecorder(t, &term, nil)
			test.b.Target, test.b.At = endedTarget(t, r), r.Clock.Now()
			r.recordEnd(test.b)
			parts := 0
			for _, e := range r.ends {
				parts += len(e.parts)
			}
			qt.Assert(t, parts, qt.Equals, test.parts)
			_, answered := r.answers.newest(quarantine.Part{Service: "lm", ID: "a"})
			qt.Assert(t, answered, qt.Equals, test.b.Answering >= soundAfter)
		})
	}
}

// TestProgressCountsAsAnswer guards against parts of prompts whose answers take long, as those of
// batch items, and that seem unanswered until the first one is complete.
func TestProgressCountsAsAnswer(t *testing.T) {
	start := time.Now()
	var p Progress
	qt.Assert(t, p.Answering(start), qt.Equals, time.Duration(0))
	answered := 0
	for at := time.Duration(0); at <= 5*time.Second; at += 20 * time.Millisecond {
		if p.Event(start.Add(at)) {
			qt.Assert(t, at >= soundAfter, qt.IsTrue)
			answered++
		}
	}
	qt.Assert(t, answered, qt.Equals, 5)
	qt.Assert(t, p.Answering(start.Add(5*time.Second)), qt.Equals, 5*time.Second)
}
