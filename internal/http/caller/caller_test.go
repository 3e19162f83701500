package caller

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/targets"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/pick"
	"rhubarbgate.example/rhubarbgate/internal/policy/retry"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	secret = "the-callers-secret"
	// freeSecret is the key of the workspace "free".
	freeSecret = "another-callers-secret"
)

// fakeSide is a side whose response to each request script sends.
type fakeSide struct {
	address  netip.AddrPort
	mu       sync.Mutex
	received []side.Request
	script   func(q *side.Request, send func(*side.Frame) error) error
}

func newFakeSide(t *testing.T, script func(*side.Request, func(*side.Frame) error) error) *fakeSide {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	f := &fakeSide{address: l.Addr().(*net.TCPAddr).AddrPort(), script: script}
	m := wire.NewMux()
	wire.ServerStream(m, side.MethodRun, wire.Entries, func(_ context.Context, q *side.Request, send func(*side.Frame) error) error {
		f.mu.Lock()
		f.received = append(f.received, *q)
		f.mu.Unlock()
		return f.script(q, send)
	})
	wire.ServerStream(m, side.MethodReport, wire.Entries, func(ctx context.Context, _ *side.Watch, send func(*side.Report) error) error {
		if err := send(&side.Report{Target: "t"}); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = m.Serve(ctx, l) }()
	t.Cleanup(cancel)
	return f
}

func (f *fakeSide) requests() []side.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// testEntry is a server that forwards to fake sides, with a clock that the test advances.
type testEntry struct {
	url    string
	server *Server
	source *configuration.Watcher
	clock  *clockwork.FakeClock
}

// newEntry starts a server with the workspaces "w" and "free", which is unlimited, the model "small", the route "slips",
// which is not idempotent, and the open route "open". All sides serve all of them.
func newEntry(t *testing.T, sides ...*fakeSide) *testEntry {
	clock := clockwork.NewFakeClockAt(time.Now())
	logger := &log.Logger{Handler: discard.New()}
	client := wire.NewClient(nil)
	s := rhubarbgate.Section{
		Workspaces: []rhubarbgate.Workspace{{Name: "w", Rate: 1, Burst: 1}, {Name: "free", Unlimited: true}},
		Keys:       []rhubarbgate.Key{{Digest: config.KeyDigest(secret), Workspace: "w"}, {Digest: config.KeyDigest(freeSecret), Workspace: "free"}},
		Models:     []rhubarbgate.Model{{Name: "small"}},
		Routes:     []rhubarbgate.Route{{Name: "slips"}, {Name: "open", Open: true, Idempotent: true}},
	}
	for i, f := range sides {
		s.Targets = append(s.Targets, rhubarbgate.Target{
			Name: fmt.Sprintf("t%d", i), Address: f.address, Slots: 4, Models: []string{"small"}, Routes: []string{"slips", "open"},
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	table := &targets.Table{Wire: client, Clock: clock, Logger: logger, Ejections: new(expvar.Int)}
	table.Start(ctx)
	source := &configuration.Watcher{Clock: clock, Logger: logger, Failures: new(expvar.Int), OnApplied: table.Update}
	c := config.FromSection(1, nil, s)
	source.ApplyReply(&control.PollReply{Version: 1, Section: &s, Sum: c.Sum, Groups: 1}, clock.Now())
	holder := &limit.Holder{Clock: clock}
	holder.ApplyGrants(clock.Now(), nil, []limit.Grant{{Workspace: "w", ID: 1, Tokens: 1000, TTL: time.Hour}})
	server := &Server{
		Source: source, Holder: holder, Targets: table, Wire: client, Picker: &pick.RoundRobin{}, Budget: retry.Unlimited{},
		Clock: clock, Logger: logger, Counts: NewCounters(new(expvar.Map).Init()), MaxAge: 4 * time.Second, Name: "e",
	}
	server.Prepare()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { cancel(); _ = server.app.ShutdownWithTimeout(time.Second) })
	return &testEntry{url: "http://" + l.Addr().String(), server: server, source: source, clock: clock}
}

type response struct {
	status  int
	verdict string
	body    string
	err     error // while reading the body
}

// post sends a request, with a key if it is not empty.
func (e *testEntry) post(t *testing.T, path, key, body string) response {
	q, err := http.NewRequest("POST", e.url+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	r, err := http.DefaultClient.Do(q)
	qt.Assert(t, err, qt.IsNil)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return response{r.StatusCode, r.Header.Get(openai.VerdictHeader), string(b), err}
}

// frame addresses a frame to the attempt q.
func frame(q *side.Request, f side.Frame) *side.Frame {
	f.RequestID, f.Attempt = q.RequestID, q.Attempt
	return &f
}

// respond returns a script that sends a complete response with the given text.
func respond(text string) func(*side.Request, func(*side.Frame) error) error {
	return func(q *side.Request, send func(*side.Frame) error) error {
		for _, f := range []side.Frame{{Kind: side.Head, Status: 200}, {Kind: side.Data, Data: []byte(text)}, {Kind: side.End}} {
			if err := send(frame(q, f)); err != nil {
				return err
			}
		}
		return nil
	}
}

// fail returns a script that ends every attempt with e.
func fail(e *rhubarbgate.Error) func(*side.Request, func(*side.Frame) error) error {
	return func(q *side.Request, send func(*side.Frame) error) error {
		return send(frame(q, side.Frame{Kind: side.End, Err: e}))
	}
}

const completion = `{"model":"small","prompt":"x"}`

// TestFramesOfOtherAttemptsAreDropped guards against a side that mixes up its streams: a
// frame of another request or attempt would give one caller the response of another.
func TestFramesOfOtherAttemptsAreDropped(t *testing.T) {
	f := newFakeSide(t, func(q *side.Request, send func(*side.Frame) error) error {
		otherRequest := &side.Frame{RequestID: "other", Attempt: 1, Kind: side.Data, Data: []byte("stranger's answer")}
		otherAttempt := &side.Frame{RequestID: q.RequestID, Attempt: q.Attempt + 1, Kind: side.Data, Data: []byte("late answer")}
		for _, x := range []*side.Frame{otherRequest, frame(q, side.Frame{Kind: side.Head, Status: 200}), otherAttempt, frame(q, side.Frame{Kind: side.Data, Data: []byte("mine")}), otherRequest, frame(q, side.Frame{Kind: side.End})} {
			if err := send(x); err != nil {
				return err
			}
		}
		return nil
	})
	e := newEntry(t, f)
	r := e.post(t, openai.CompletionPath, secret, completion)
	qt.Assert(t, r.body, qt.Equals, "mine")
	qt.Assert(t, e.server.Counts.MismatchedFrames.Value(), qt.Equals, int64(3))
}

// TestTruncatedResponsesNeverLookComplete guards against a response that looks complete
// although the side failed after a part of the body. A response that is not streamed must
// become an error; a stream must end without the end of its body, which the caller's HTTP
// library reports.
func TestTruncatedResponsesNeverLookComplete(t *testing.T) {
	truncate := func(q *side.Request, send func(*side.Frame) error) error {
		_ = send(frame(q, side.Frame{Kind: side.Head, Status: 200}))
		_ = send(frame(q, side.Frame{Kind: side.Data, Data: []byte("data: half")}))
		return fmt.Errorf("the side crashed")
	}
	e := newEntry(t, newFakeSide(t, truncate))
	r := e.post(t, openai.CompletionPath, secret, completion)
	qt.Assert(t, r.status, qt.Equals, http.StatusBadGateway)
	qt.Assert(t, r.verdict, qt.Equals, "MayHaveRun")
	r = e.post(t, openai.CompletionPath, secret, `{"model":"small","prompt":"x","stream":true}`)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	qt.Assert(t, r.err, qt.IsNotNil, qt.Commentf("a truncated stream ended as if it were complete: %q", r.body))
}

// TestRetriesDependOnVerdict guards against running a request that is not idempotent
// twice: it may be retried only if the first target certainly did not run it. A completion
// is idempotent and is retried also if it may have run.
func TestRetriesDependOnVerdict(t *testing.T) {
	notRun := rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "leaving")
	mayHaveRun := rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "broke off")
	tests := []struct {
		name   string
		path   string
		first  *rhubarbgate.Error
		status int
		runs   int
	}{
		{"slip that did not run", "/services/slips/a", notRun, 200, 2},
		{"slip that may have run", "/services/slips/a", mayHaveRun, 502, 1},
		{"completion that may have run", openai.CompletionPath, mayHaveRun, 200, 2},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			runs := 0
			var mu sync.Mutex
			script := func(q *side.Request, send func(*side.Frame) error) error {
				mu.Lock()
				runs++
				n := runs
				mu.Unlock()
				if n == 1 {
					return fail(x.first)(q, send)
				}
				return respond("ok")(q, send)
			}
			e := newEntry(t, newFakeSide(t, script), newFakeSide(t, script))
			r := e.post(t, x.path, secret, completion)
			qt.Assert(t, r.status, qt.Equals, x.status, qt.Commentf("%+v", r))
			qt.Assert(t, runs, qt.Equals, x.runs)
		})
	}
}

// TestKeysAreCheckedAndNeverForwarded guards against serving a request without a valid key
// on a route that is not open, and against a target that receives a caller's key because
// it was in the body or the query.
func TestKeysAreCheckedAndNeverForwarded(t *testing.T) {
	f := newFakeSide(t, respond("ok"))
	e := newEntry(t, f)
	tests := []struct {
		name   string
		path   string
		key    string
		body   string
		status int
	}{
		{"no key", openai.CompletionPath, "", completion, 401},
		{"wrong key", openai.CompletionPath, "wrong", completion, 401},
		{"open route", "/services/open/x", "", "", 200},
		{"key in the body", openai.CompletionPath, secret, `{"model":"small","prompt":"` + secret + `"}`, 400},
		{"key in the query", "/services/slips/x?key=" + secret, secret, "", 400},
		{"good", openai.CompletionPath, secret, completion, 200},
		{"unknown model", openai.CompletionPath, secret, `{"model":"huge"}`, 404},
		{"unknown service", "/services/none/x", secret, "", 404},
		{"malformed", openai.CompletionPath, secret, `{"model":`, 400},
		{"no model", openai.CompletionPath, secret, `{}`, 400},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			r := e.post(t, x.path, x.key, x.body)
			qt.Assert(t, r.status, qt.Equals, x.status, qt.Commentf("%+v", r))
			if x.status != 200 {
				qt.Assert(t, r.verdict, qt.Equals, "NotRun")
			}
		})
	}
	for _, q := range f.requests() {
		qt.Assert(t, strings.Contains(fmt.Sprintf("%+v %s", q, q.Body), secret), qt.IsFalse)
	}
}

// TestStaleEntryRefusesKeyedRequests guards against accepting a withdrawn key: an entry
// that cannot confirm its configuration may not know of the withdrawal. After MaxAge it
// must refuse requests with a key; open routes still work.
func TestStaleEntryRefusesKeyedRequests(t *testing.T) {
	e := newEntry(t, newFakeSide(t, respond("ok")))
	e.clock.Advance(3 * time.Second)
	qt.Assert(t, e.post(t, openai.CompletionPath, secret, completion).status, qt.Equals, 200)
	e.clock.Advance(1100 * time.Millisecond)
	r := e.post(t, openai.CompletionPath, secret, completion)
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.verdict, qt.Equals, "NotRun")
	// Open routes need no key and still work.
	qt.Assert(t, e.post(t, "/services/open/x", "", "").status, qt.Equals, 200)
}

// TestUnlimitedWorkspace guards against limiting the rate of a workspace that has no limit.
func TestUnlimitedWorkspace(t *testing.T) {
	e := newEntry(t, newFakeSide(t, respond("ok")))
	status := make(chan int, 1)
	go func() { status <- e.post(t, openai.CompletionPath, freeSecret, completion).status }()
	select {
	case got := <-status:
		qt.Assert(t, got, qt.Equals, 200)
	case <-time.After(10 * time.Second):
		t.Fatal("the request waits for tokens")
	}
}

// FuzzCompletion guards against a body that makes the parser panic, and against an error
// with a verdict other than NotRun.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(completion))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := openai.ParseCompletion(b); err == nil {
			c.PrefixHash()
		} else if rhubarbgate.AsError(err).Verdict != rhubarbgate.NotRun {
			t.Fatal("the error for a malformed body has a verdict other than NotRun")
		}
	})
}

// FuzzUploadLine guards against a line that makes the parser panic, and against accepting
// an item that names no model or service: it could never run.
func FuzzUploadLine(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"small"}}`))
	f.Add([]byte(`{"custom_id":"a","url":"/services/slips/x"}`))
	c := config.FromSection(1, nil, rhubarbgate.Section{Models: []rhubarbgate.Model{{Name: "small"}}, Routes: []rhubarbgate.Route{{Name: "slips"}}})
	f.Fuzz(func(t *testing.T, b []byte) {
		u := &upload{exchange: &Exchange{Config: c, Secret: []byte(secret)}}
		if x, err := u.parseItem(b); err == nil && (x.Needs == "" || len(x.Line) == 0) {
			t.Fatalf("accepted the line %q without a model or service", b)
		}
	})
}
