package ingress

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/internal/controller/crashes"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// TestAnswersClearTheirContent guards against a sound request that stays on trial because its response
// is an error of its own, and against clearing one that no target ran to its end.
func TestAnswersClearTheirContent(t *testing.T) {
	tests := []struct {
		name   string
		route  string
		fault  platformtest.Fault
		status int // of Fail
		clears bool
	}{
		{"answered", "unsafe", platformtest.None, 0, true},
		{"not found", "unsafe", platformtest.Fail, http.StatusNotFound, true},
		{"failed", "unsafe", platformtest.Fail, http.StatusInternalServerError, false},
		{"refused", "unsafe", platformtest.Shed, 0, false},
		{"broken off", "unsafe", platformtest.CutStream, 0, false},
		{"no response", "unsafe", platformtest.DropConnection, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(t, &platformtest.Target{FailStatus: test.status, Fault: func(string, int) platformtest.Fault { return test.fault }})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			reports := make(chan quarantine.Report, 16)
			mux := wire.NewMux()
			wire.Unary(mux, control.MethodCrashes, wire.Daemons, func(_ context.Context, in *control.Crashes) (*control.CrashesReply, error) {
				reports <- in.Report
				return &control.CrashesReply{Term: 1}, nil
			})
			go func() { _ = mux.Serve(ctx, l) }()
			client := &control.Client{Wire: wire.NewClient(nil), Hosts: []netip.AddrPort{l.Addr().(*net.TCPAddr).AddrPort()}, Clock: e.server.Clock}
			r := crashes.NewRecorder(e.server.Targets, client, e.server.Clock, e.server.Logger, new(expvar.Map).Init())
			e.server.Crashes = r
			go r.Run(ctx)

			content := quarantine.Part{Service: "lm", ID: quarantine.RequestPart("w", http.MethodPost, host, "/"+test.route+"/x", []byte("body"))}
			_, _, _ = e.send(ctx, test.route, "r", secret)
			// Daemons report their answers to the suspects that the leader publishes.
			r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Suspects: []quarantine.Part{content}}, e.server.Clock.Now())
			select {
			case report := <-reports:
				cleared := slices.ContainsFunc(report.Answers, func(a quarantine.Answer) bool { return a.Part == content })
				qt.Assert(t, cleared, qt.Equals, test.clears)
			case <-time.After(5 * time.Second):
				t.Fatal("no report")
			}
		})
	}
}

// TestTrialsThatAreNotSentAreReturned guards against counting a trial of a blocked request as sent that the rate of its
// workspace refused, and against returning one that a target ran.
func TestTrialsThatAreNotSentAreReturned(t *testing.T) {
	tests := []struct {
		name     string
		tokens   float64
		status   int
		returned bool
	}{
		{"refused", 0, http.StatusTooManyRequests, true},
		{"run", 1, http.StatusOK, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(t, &platformtest.Target{PlainPrefixes: []string{"/safe/"}})
			e.serveStore()
			e.server.Holder.ApplyGrants(time.Now(), nil, []limit.Grant{{Workspace: "w", ID: 1, Tokens: test.tokens, TTL: time.Minute, PerSecond: 0.01, Wait: time.Minute}})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			reports := make(chan *control.Crashes, 16)
			mux := wire.NewMux()
			wire.Unary(mux, control.MethodCrashes, wire.Daemons, func(_ context.Context, in *control.Crashes) (*control.CrashesReply, error) {
				reports <- in
				return &control.CrashesReply{Term: 1, TrialGranted: len(in.Trial) > 0}, nil
			})
			go func() { _ = mux.Serve(t.Context(), l) }()
			client := &control.Client{Wire: wire.NewClient(nil), Hosts: []netip.AddrPort{l.Addr().(*net.TCPAddr).AddrPort()}, Clock: e.server.Clock}
			r := crashes.NewRecorder(e.server.Targets, client, e.server.Clock, e.server.Logger, new(expvar.Map).Init())
			e.server.Crashes = r
			part := quarantine.Part{Service: "lm", ID: quarantine.RequestPart("w", http.MethodGet, host, "/safe/x", nil)}
			r.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: []quarantine.Block{{Part: part, TrialIn: 1, Left: time.Minute}}}, time.Now())
			qt.Assert(t, e.call(http.MethodGet, "/safe/x", secret).StatusCode, qt.Equals, test.status)
			qt.Assert(t, (<-reports).Trial, qt.DeepEquals, []quarantine.Part{part})
			go r.Run(t.Context())
			in := <-reports
			// The answer is recorded after the caller has the response.
			for !test.returned && len(in.Report.Answers) == 0 {
				qt.Assert(t, in.ReturnedTrials, qt.HasLen, 0)
				in = <-reports
			}
			qt.Assert(t, len(in.ReturnedTrials) > 0, qt.Equals, test.returned)
		})
	}
}
