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

const secret = "the-callers-secret"

// fakeSide answers requests with a script of frames.
type fakeSide struct {
	address netip.AddrPort
	mu      sync.Mutex
	got     []side.Request
	script  func(q *side.Request, send func(*side.Frame) error) error
}

func newFakeSide(t *testing.T, script func(*side.Request, func(*side.Frame) error) error) *fakeSide {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	f := &fakeSide{address: l.Addr().(*net.TCPAddr).AddrPort(), script: script}
	m := wire.NewMux()
	wire.Streamed(m, side.MethodRun, wire.Entries, func(_ context.Context, q *side.Request, send func(*side.Frame) error) error {
		f.mu.Lock()
		f.got = append(f.got, *q)
		f.mu.Unlock()
		return f.script(q, send)
	})
	wire.Streamed(m, side.MethodReport, wire.Entries, func(ctx context.Context, _ *side.Watch, send func(*side.Report) error) error {
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
	return f.got
}

// entry is a server in front of fake sides, with a clock that the test moves.
type entry struct {
	url    string
	server *Server
	source *configuration.Watcher
	clock  *clockwork.FakeClock
}

func newEntry(t *testing.T, sides ...*fakeSide) *entry {
	clock := clockwork.NewFakeClockAt(time.Now())
	logger := &log.Logger{Handler: discard.New()}
	client := wire.NewClient(nil)
	s := rhubarbgate.Section{
		Workspaces: []rhubarbgate.Workspace{{Name: "w", Rate: 1, Burst: 1}},
		Keys:       []rhubarbgate.Key{{Digest: config.KeyDigest(secret), Workspace: "w"}},
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
	source := &configuration.Watcher{Clock: clock, Logger: logger, Failures: new(expvar.Int), Applied: table.Update}
	c := config.FromSection(1, nil, s)
	source.Take(&control.PollReply{Version: 1, Section: &s, Sum: c.Sum, Groups: 1}, clock.Now())
	holder := &limit.Holder{Clock: clock}
	holder.Deliver(clock.Now(), nil, []limit.Grant{{Workspace: "w", ID: 1, Tokens: 1000, TTL: time.Hour}})
	server := &Server{
		Source: source, Holder: holder, Targets: table, Wire: client, Picker: &pick.RoundRobin{}, Budget: retry.Unlimited{},
		Clock: clock, Logger: logger, Counts: NewCounters(new(expvar.Map).Init()), MaxAge: 4 * time.Second, Name: "e",
	}
	server.Prepare()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { cancel(); _ = server.app.ShutdownWithTimeout(time.Second) })
	return &entry{url: "http://" + l.Addr().String(), server: server, source: source, clock: clock}
}

type reply struct {
	status  int
	verdict string
	body    string
	err     error // while reading the body
}

func (e *entry) post(t *testing.T, path, key, body string) reply {
	q, err := http.NewRequest("POST", e.url+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	r, err := http.DefaultClient.Do(q)
	qt.Assert(t, err, qt.IsNil)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return reply{r.StatusCode, r.Header.Get(openai.VerdictHeader), string(b), err}
}

func frame(q *side.Request, f side.Frame) *side.Frame {
	f.RequestID, f.Attempt = q.RequestID, q.Attempt
	return &f
}

// whole answers with the given text.
func whole(text string) func(*side.Request, func(*side.Frame) error) error {
	return func(q *side.Request, send func(*side.Frame) error) error {
		for _, f := range []side.Frame{{Kind: side.Head, Status: 200}, {Kind: side.Data, Data: []byte(text)}, {Kind: side.End}} {
			if err := send(frame(q, f)); err != nil {
				return err
			}
		}
		return nil
	}
}

func refuse(e *rhubarbgate.Error) func(*side.Request, func(*side.Frame) error) error {
	return func(q *side.Request, send func(*side.Frame) error) error {
		return send(frame(q, side.Frame{Kind: side.End, Err: e}))
	}
}

const completion = `{"model":"small","prompt":"x"}`

func TestFramesOfOthersAreDropped(t *testing.T) {
	f := newFakeSide(t, func(q *side.Request, send func(*side.Frame) error) error {
		foreign := &side.Frame{RequestID: "other", Attempt: 1, Kind: side.Data, Data: []byte("stranger's answer")}
		late := &side.Frame{RequestID: q.RequestID, Attempt: q.Attempt + 1, Kind: side.Data, Data: []byte("late answer")}
		for _, x := range []*side.Frame{foreign, frame(q, side.Frame{Kind: side.Head, Status: 200}), late, frame(q, side.Frame{Kind: side.Data, Data: []byte("mine")}), foreign, frame(q, side.Frame{Kind: side.End})} {
			if err := send(x); err != nil {
				return err
			}
		}
		return nil
	})
	e := newEntry(t, f)
	r := e.post(t, openai.CompletionPath, secret, completion)
	qt.Assert(t, r.body, qt.Equals, "mine")
	qt.Assert(t, e.server.Counts.Foreign.Value(), qt.Equals, int64(3))
}

func TestCutAnswersNeverLookWhole(t *testing.T) {
	cut := func(q *side.Request, send func(*side.Frame) error) error {
		_ = send(frame(q, side.Frame{Kind: side.Head, Status: 200}))
		_ = send(frame(q, side.Frame{Kind: side.Data, Data: []byte("data: half")}))
		return fmt.Errorf("the side crashed")
	}
	e := newEntry(t, newFakeSide(t, cut))
	r := e.post(t, openai.CompletionPath, secret, completion)
	qt.Assert(t, r.status, qt.Equals, http.StatusBadGateway)
	qt.Assert(t, r.verdict, qt.Equals, "MayHaveRun")
	r = e.post(t, openai.CompletionPath, secret, `{"model":"small","prompt":"x","stream":true}`)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	qt.Assert(t, r.err, qt.IsNotNil, qt.Commentf("a cut stream ended as if it were whole: %q", r.body))
}

func TestRetriesFollowTheVerdict(t *testing.T) {
	notRun := rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "leaving")
	mayHave := rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "broke off")
	tests := []struct {
		name   string
		path   string
		first  *rhubarbgate.Error
		status int
		runs   int
	}{
		{"slip that did not run", "/services/slips/a", notRun, 200, 2},
		{"slip that may have run", "/services/slips/a", mayHave, 502, 1},
		{"completion that may have run", openai.CompletionPath, mayHave, 200, 2},
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
					return refuse(x.first)(q, send)
				}
				return whole("ok")(q, send)
			}
			e := newEntry(t, newFakeSide(t, script), newFakeSide(t, script))
			r := e.post(t, x.path, secret, completion)
			qt.Assert(t, r.status, qt.Equals, x.status, qt.Commentf("%+v", r))
			qt.Assert(t, runs, qt.Equals, x.runs)
		})
	}
}

func TestKeysAndSecrets(t *testing.T) {
	f := newFakeSide(t, whole("ok"))
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

func TestStaleEntryRefuses(t *testing.T) {
	e := newEntry(t, newFakeSide(t, whole("ok")))
	e.clock.Advance(3 * time.Second)
	qt.Assert(t, e.post(t, openai.CompletionPath, secret, completion).status, qt.Equals, 200)
	e.clock.Advance(1100 * time.Millisecond)
	r := e.post(t, openai.CompletionPath, secret, completion)
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.verdict, qt.Equals, "NotRun")
	// Routes open to all go on.
	qt.Assert(t, e.post(t, "/services/open/x", "", "").status, qt.Equals, 200)
}

func FuzzCompletion(f *testing.F) {
	f.Add([]byte(completion))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := openai.ParseCompletion(b); err == nil {
			c.PrefixHash()
		} else if rhubarbgate.AsError(err).Verdict != rhubarbgate.NotRun {
			t.Fatal("a malformed body may have run")
		}
	})
}

func FuzzUploadLine(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"small"}}`))
	f.Add([]byte(`{"custom_id":"a","url":"/services/slips/x"}`))
	c := config.FromSection(1, nil, rhubarbgate.Section{Models: []rhubarbgate.Model{{Name: "small"}}, Routes: []rhubarbgate.Route{{Name: "slips"}}})
	f.Fuzz(func(t *testing.T, b []byte) {
		u := &upload{exchange: &Exchange{Config: c, Secret: []byte(secret)}}
		if x, err := u.item(b); err == nil && (x.Needs == "" || len(x.Line) == 0) {
			t.Fatalf("accepted %q without a need", b)
		}
	})
}
