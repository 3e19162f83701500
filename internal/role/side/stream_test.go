package side

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/platform"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// newBatchOnlyWorker starts an emulated target and returns the worker of its
// batch-only side and a task.
func newBatchOnlyWorker(t *testing.T, x *platformtest.Target, clock clockwork.Clock) (*worker, *task) {
	x.Instance, x.Service, x.Zone, x.Slots, x.Events = "i-1", "lm", "z", 8, 10
	qt.Assert(t, x.Start(), qt.IsNil)
	t.Cleanup(x.Close)
	list := &platformtest.List{Targets: []*platformtest.Target{x}}
	qt.Assert(t, list.Start(), qt.IsNil)
	t.Cleanup(list.Close)
	logger := &log.Logger{Handler: discard.New()}
	h := &Host{
		Target: x.Address(), Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Logger: logger, Metrics: new(expvar.Map).Init(),
		Dialect: platform.Dialect{}, Probe: &platform.Engine{}, MaxAge: time.Hour,
		Targets: &discovery.Table{
			Directory: &platform.Directory{Client: &target.Client{Address: list.Address()}}, Clock: clock, Logger: logger,
			Failures: new(expvar.Int), Unreadable: new(expvar.Int),
		},
	}
	h.setUp()
	h.Targets.Refresh(context.Background())
	s := rhubarbgate.Section{Routes: []rhubarbgate.Route{{
		Name: "r", Kind: rhubarbgate.BatchJob, Path: rhubarbgate.Path{Host: "h", Prefix: "/b/"}, Split: []rhubarbgate.Share{{Service: "lm", Weight: 1}},
	}}}
	c := config.FromSection(1, nil, s)
	h.watcher = &configuration.Watcher{Clock: clock, Logger: logger}
	h.watcher.ApplyReply(&control.PollReply{Version: 1, Sum: c.Sum, Section: &s}, clock.Now())
	line, err := wire.Marshal(&rhubarbgate.JobItem{ID: "item", Path: "/b/x"})
	qt.Assert(t, err, qt.IsNil)
	return h.worker, &task{grant: jobs.Grant{Workspace: "w", Needs: "r", Line: line}, ctx: context.Background()}
}

// TestStreamResumesAfterLastEvent guards against lost or repeated events when a
// stream is cut and a second attempt continues it after the last event received.
func TestStreamResumesAfterLastEvent(t *testing.T) {
	x := &platformtest.Target{Fault: func(_ string, n int) platformtest.Fault {
		if n == 1 {
			return platformtest.CutStream
		}
		return platformtest.None
	}}
	w, task := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
	err := w.streamItem(context.Background(), task)
	qt.Assert(t, err.Verdict, qt.Equals, rhubarbgate.MayHaveRun)
	qt.Assert(t, task.output.LastID, qt.Equals, "5")
	task.output = decodeOutput(task.output.encode())
	qt.Assert(t, w.streamItem(context.Background(), task) == nil, qt.IsTrue)
	qt.Assert(t, string(task.output.Text), qt.Equals, platformtest.Output("item", 10))
	qt.Assert(t, x.Runs()[1].LastEvent, qt.Equals, "5")
	qt.Assert(t, x.Runs()[1].Tenant, qt.Equals, "w")
}

// TestItemVerdicts guards against a wrong verdict on a failed attempt: an item that
// no target ran would use up its attempts, one that always fails would be retried
// until its job's retention ends, and one that can never run would be retried at all.
func TestItemVerdicts(t *testing.T) {
	tests := []struct {
		fault   platformtest.Fault
		verdict rhubarbgate.Verdict
		code    rhubarbgate.Code
	}{
		{platformtest.Shed, rhubarbgate.NotRun, rhubarbgate.CodeUnavailable},
		{platformtest.DropConnection, rhubarbgate.MayHaveRun, rhubarbgate.CodeUpstream},
		{platformtest.NoStatus, rhubarbgate.MayHaveRun, rhubarbgate.CodeUpstream},
		{platformtest.MalformedHeader, rhubarbgate.MayHaveRun, rhubarbgate.CodeUpstream},
		{platformtest.MalformedRefusal, rhubarbgate.MayHaveRun, rhubarbgate.CodeUpstream},
		{platformtest.OtherRequestID, rhubarbgate.MayHaveRun, rhubarbgate.CodeUpstream},
		{platformtest.Fail, rhubarbgate.Ran, rhubarbgate.CodeUpstream},
		{platformtest.Unprocessable, rhubarbgate.Ran, rhubarbgate.CodeInvalid},
	}
	for _, x := range tests {
		w, task := newBatchOnlyWorker(t, &platformtest.Target{Fault: func(string, int) platformtest.Fault { return x.fault }}, clockwork.NewRealClock())
		err := w.streamItem(context.Background(), task)
		qt.Check(t, err.Verdict, qt.Equals, x.verdict)
		qt.Check(t, err.Code, qt.Equals, x.code)
	}
}

// TestItemResponseOutOfTurn guards against taking a response to an earlier attempt of an item, or
// to another item, for the response to this attempt. An item keeps its ID over its attempts, so
// the ID does not tell them apart.
func TestItemResponseOutOfTurn(t *testing.T) {
	tests := []struct {
		name   string
		first  platformtest.Fault
		status int
		id     string
	}{
		{"refusal of the attempt before", platformtest.Shed, 503, "item"},
		{"refusal with status 429 of the attempt before", platformtest.Shed, 429, "item"},
		{"failure of the attempt before", platformtest.Fail, 500, "item"},
		{"refusal of another item", platformtest.Shed, 503, "other"},
		{"rejection of another item", platformtest.Fail, 422, "other"},
		{"refusal without an ID", platformtest.Shed, 503, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := &platformtest.Target{Fault: func(_ string, n int) platformtest.Fault {
				if n == 1 {
					return test.first
				}
				return platformtest.None
			}}
			x.Stray = func(_, earlier string) platformtest.Stray {
				if earlier == "" {
					return platformtest.Stray{}
				}
				return platformtest.Stray{Raw: platformtest.Refusal(test.id, test.status, test.status != 500 && test.status != 422)}
			}
			w, task := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
			qt.Assert(t, w.streamItem(context.Background(), task), qt.Not(qt.IsNil))
			err := w.streamItem(context.Background(), task)
			qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, string(task.output.Text), qt.Equals, platformtest.Output("item", 10))
		})
	}
}

// TestStallTimeoutEndsAttempt guards against an item that keeps its lease for ever:
// its target accepts the request and then sends nothing, so without a stall timeout
// the attempt never ends.
func TestStallTimeoutEndsAttempt(t *testing.T) {
	clock := clockwork.NewFakeClock()
	x := &platformtest.Target{Fault: func(string, int) platformtest.Fault { return platformtest.Hang }}
	w, task := newBatchOnlyWorker(t, x, clock)
	done := make(chan *rhubarbgate.Error, 1)
	go func() { done <- w.streamItem(context.Background(), task) }()
	for len(x.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(time.Minute)
	err := <-done
	qt.Assert(t, err.Verdict, qt.Equals, rhubarbgate.MayHaveRun)
}

// TestCommentsAreNoProgress guards against a stalled stream that never ends because its
// target sends comments, and against comments that become part of the output.
func TestCommentsAreNoProgress(t *testing.T) {
	stream := "id: 1\ndata: a\n\n" + strings.Repeat(": wait\n\n", 3) + "id: 2\ndata: b\n\n"
	var o output
	progress := 0
	err := o.readEvents(strings.NewReader(stream), func() { progress++ })
	qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, progress, qt.Equals, 2)
	qt.Assert(t, o, qt.DeepEquals, output{LastID: "2", Text: []byte("a\nb")})
}

// TestItemHeadersAreFiltered guards against an item whose submitter sets the workspace, the
// instance, the ID or the position of the run, or passes a key on to the target.
func TestItemHeadersAreFiltered(t *testing.T) {
	x := &platformtest.Target{}
	w, task := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
	item := rhubarbgate.JobItem{ID: "item", Path: "/b/x", Headers: []rhubarbgate.Header{
		{Name: "X-Model", Value: "m"}, {Name: "Authorization", Value: "Bearer k"}, {Name: "x-tenant", Value: "forged"},
		{Name: "X-Request-Id", Value: "other"}, {Name: "X-Expect-Instance", Value: "i-9"}, {Name: "Last-Event-Id", Value: "4"},
		{Name: "Connection", Value: "close"}, {Name: "Content-Length", Value: "999"},
	}}
	var err error
	task.grant.Line, err = wire.Marshal(&item)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.streamItem(context.Background(), task) == nil, qt.IsTrue)
	r := x.Runs()
	qt.Assert(t, r, qt.HasLen, 1)
	qt.Assert(t, r[0].ID, qt.Equals, "item")
	qt.Assert(t, r[0].Tenant, qt.Equals, "w")
	qt.Assert(t, r[0].Authorization, qt.Equals, "")
	qt.Assert(t, r[0].LastEvent, qt.Equals, "")
	qt.Assert(t, string(task.output.Text), qt.Equals, platformtest.Output("item", 10))
}

// TestEndlessOutput guards against an item's output without end that fills the memory.
func TestEndlessOutput(t *testing.T) {
	var stream strings.Builder
	for i := 1; i <= 64; i++ {
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1<<16))
	}
	var o output
	err := o.readEvents(strings.NewReader(stream.String()), func() {})
	qt.Assert(t, err.Verdict, qt.Equals, rhubarbgate.MayHaveRun)
	qt.Assert(t, o, qt.DeepEquals, output{})
}

// TestItemsWithBlockedPromptsAreNotSent guards against a batch item that ends the target of one
// side after the other, and against passing it around between the sides meanwhile.
func TestItemsWithBlockedPromptsAreNotSent(t *testing.T) {
	tests := []struct {
		name, prompt string
		sent         bool
	}{
		{"blocked part", "a:1,bad:1,own:1", false},
		{"other parts", "a:1,b:1,own:1", true},
		{"part of its own", "a:1,bad:1", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := &platformtest.Target{}
			w, task := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
			w.host.crashes.Update(control.Quarantine{
				Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{{Part: quarantine.Part{Service: "lm", ID: "bad"}, Left: time.Minute}},
			}, w.clock.Now())
			var err error
			task.grant.Line, err = wire.Marshal(&rhubarbgate.JobItem{ID: "item", Path: "/b/x", Headers: []rhubarbgate.Header{{Name: "X-Prompt-Prefix", Value: test.prompt}}})
			qt.Assert(t, err, qt.IsNil)
			failure := w.streamItem(context.Background(), task)
			qt.Assert(t, failure == nil, qt.Equals, test.sent)
			qt.Assert(t, len(x.Runs()) == 1, qt.Equals, test.sent)
			if !test.sent {
				qt.Assert(t, failure.Verdict, qt.Equals, rhubarbgate.NotRun)
				qt.Assert(t, task.returnDelay, qt.Equals, blockedItemDelay)
			}
		})
	}
}

// TestUnframedItems guards against an item that ends as done with a part of its output, when its
// target ends while it responds without a length or chunks.
func TestUnframedItems(t *testing.T) {
	tests := []struct {
		name   string
		target *platformtest.Target
		prompt string
		done   bool
	}{
		{"complete", &platformtest.Target{}, "", true},
		{"ends inside an event", &platformtest.Target{Fault: func(string, int) platformtest.Fault { return platformtest.CutStream }}, "", false},
		{"without an event", &platformtest.Target{Fault: func(string, int) platformtest.Fault { return platformtest.NoEvents }}, "", false},
		{"ends with its target", &platformtest.Target{CrashPart: "crash", CrashEvents: 2, CrashDelay: 5 * time.Millisecond, Downtime: time.Minute}, "a:1,crash:1,own:1", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.target.Unframed = true
			w, task := newBatchOnlyWorker(t, test.target, clockwork.NewRealClock())
			var err error
			task.grant.Line, err = wire.Marshal(&rhubarbgate.JobItem{ID: "item", Path: "/b/x", Headers: []rhubarbgate.Header{{Name: "X-Prompt-Prefix", Value: test.prompt}}})
			qt.Assert(t, err, qt.IsNil)
			failure := w.streamItem(context.Background(), task)
			qt.Assert(t, failure == nil, qt.Equals, test.done, qt.Commentf("%v", failure))
			if failure != nil {
				qt.Assert(t, failure.Verdict, qt.Equals, rhubarbgate.MayHaveRun)
			}
		})
	}
}

// TestItemsObeyTheRouteInForce guards against items that run at a service to which their route no longer leads, or
// that are not run because their route has another name.
func TestItemsObeyTheRouteInForce(t *testing.T) {
	route := func(name, service string) rhubarbgate.Route {
		return rhubarbgate.Route{
			Name: name, Kind: rhubarbgate.BatchJob, Path: rhubarbgate.Path{Host: "h", Prefix: "/b/"}, Split: []rhubarbgate.Share{{Service: service, Weight: 1}},
		}
	}
	tests := []struct {
		name  string
		route rhubarbgate.Route
		runs  int
	}{
		{"unchanged", route("r", "lm"), 1},
		{"renamed", route("s", "lm"), 1},
		{"to another service", route("r", "other"), 0},
		{"at another place under another name", func() rhubarbgate.Route {
			r := route("s", "lm")
			r.Path.Prefix = "/c/"
			return r
		}(), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := &platformtest.Target{}
			w, task := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
			s := rhubarbgate.Section{Routes: []rhubarbgate.Route{test.route}}
			w.host.watcher.ApplyReply(&control.PollReply{Version: 2, Sum: config.FromSection(2, nil, s).Sum, Section: &s}, w.clock.Now())
			task.grant.Origin = jobs.Origin{Host: "h", Path: "/b/job", Version: 1}
			err := w.streamItem(context.Background(), task)
			qt.Assert(t, err == nil, qt.Equals, test.runs > 0)
			qt.Assert(t, x.Runs(), qt.HasLen, test.runs)
			if err != nil {
				qt.Assert(t, err.Verdict, qt.Equals, rhubarbgate.NotRun)
			}
		})
	}
}
