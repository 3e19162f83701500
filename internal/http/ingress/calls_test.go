package ingress

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/crashes"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// jobCalls are the calls about a batch job, by kind.
var jobCalls = []struct {
	kind         rhubarbgate.CallKind
	method, path string
}{
	{rhubarbgate.ReadResults, http.MethodGet, "/-/lots/j?after=0"},
	{rhubarbgate.ReadItem, http.MethodGet, "/-/items/j?id=i"},
	{rhubarbgate.CancelJob, http.MethodDelete, "/-/lots/j"},
}

// serveStore gives the entry a store host that knows every job and item, and a workspace with a rate.
func (e *testEntry) serveStore() {
	const version = 2
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(e.t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	e.t.Cleanup(stop)
	mux := wire.NewMux()
	wire.Unary(mux, control.MethodQuery, wire.Entries, func(_ context.Context, in *control.Query) (*control.QueryReply, error) {
		line, err := wire.Marshal(&rhubarbgate.JobItem{ID: "i", Body: []byte("body")})
		return &control.QueryReply{Results: &rhubarbgate.ResultPage{Total: 1}, Line: line}, err
	})
	wire.Unary(mux, control.MethodPropose, wire.Entries, func(context.Context, *control.Propose) (*control.ProposeReply, error) {
		return &control.ProposeReply{Result: &shard.Result{Jobs: &jobs.Result{Job: &jobs.Job{ID: "j"}}}}, nil
	})
	go func() { _ = mux.Serve(ctx, l) }()
	address := l.Addr().(*net.TCPAddr).AddrPort()
	e.server.Stores = &control.Client{Wire: wire.NewClient(nil), Hosts: []netip.AddrPort{address}, Clock: clockwork.NewRealClock()}
	s := rhubarbgate.Section{
		Workspaces: []rhubarbgate.Workspace{{Name: "w", Rate: 1, Burst: 1}},
		Keys:       []rhubarbgate.Key{{Digest: config.KeyDigest(secret), Workspace: "w"}},
		Services:   []rhubarbgate.Service{{Name: "lm"}},
		Routes: []rhubarbgate.Route{{
			Name: "safe", Kind: rhubarbgate.Safe, Timeout: 5 * time.Second, Path: rhubarbgate.Path{Host: host, Prefix: "/safe/"},
			Split: []rhubarbgate.Share{{Service: "lm", Weight: 1}}, Attempts: 1,
		}},
	}
	c := config.FromSection(version, nil, s)
	peers := control.Peers{Controls: []netip.AddrPort{address}, Stores: []netip.AddrPort{address}, StoreGroups: 1}
	e.source.ApplyReply(&control.PollReply{Version: version, Sum: c.Sum, Section: &s, Groups: 1, Peers: peers}, time.Now())
}

// call sends a call about a batch job and returns the response.
func (e *testEntry) call(method, path, key string) *http.Response {
	q, err := http.NewRequest(method, e.url+path, nil)
	qt.Assert(e.t, err, qt.IsNil)
	q.Host = host
	q.Header.Set("Authorization", "Bearer "+key)
	r, err := http.DefaultClient.Do(q)
	qt.Assert(e.t, err, qt.IsNil)
	_ = r.Body.Close()
	return r
}

// TestJobCallsPassLimitsOnWork guards against refusing calls that read or end a batch job by what protects
// targets: the rate of their workspace, a quarantine, admission, an evacuation or a drain. A caller whose end of a job
// is refused gets items run that it no longer wants.
func TestJobCallsPassLimitsOnWork(t *testing.T) {
	const key = secret
	tests := []struct {
		name  string
		key   string
		apply func(e *testEntry)
		// online is the status of a request that needs a target, job that of calls about a batch job.
		online, job int
	}{
		{"beyond its rate", key, func(e *testEntry) {
			e.server.Holder.ApplyGrants(time.Now(), nil, []limit.Grant{{Workspace: "w", PerSecond: 0.01, Wait: time.Minute}})
		}, http.StatusTooManyRequests, http.StatusOK},
		{"owner of the rate cannot be reached", key, func(e *testEntry) {
			e.server.Holder.RecordExchangeFailure([]limit.TokenRequest{{Workspace: "w", Want: 1}})
		}, http.StatusServiceUnavailable, http.StatusOK},
		{"owner of the rate is new", key, func(e *testEntry) {
			e.server.Holder.ApplyGrants(time.Now(), nil, []limit.Grant{{Workspace: "w", PerSecond: 0.01, GrantPause: time.Minute}})
		}, http.StatusServiceUnavailable, http.StatusOK},
		{"content blocked", key, func(e *testEntry) {
			var blocks []quarantine.Block
			for _, call := range append(jobCalls, struct {
				kind         rhubarbgate.CallKind
				method, path string
			}{rhubarbgate.Forward, http.MethodGet, "/safe/x"}) {
				part := quarantine.Part{Service: "lm", ID: quarantine.RequestPart("w", call.method, host, call.path, nil)}
				blocks = append(blocks, quarantine.Block{Part: part, Left: time.Minute})
			}
			e.server.Crashes = crashes.NewRecorder(e.server.Targets, nil, e.server.Clock, e.server.Logger, new(expvar.Map).Init())
			e.server.Crashes.Update(control.Quarantine{Version: control.LeaderVersion{Term: 1, Number: 1}, Blocks: blocks}, time.Now())
		}, http.StatusServiceUnavailable, http.StatusOK},
		{"nothing admitted", key, func(e *testEntry) {
			e.server.Admission = &admission{decision: rhubarbgate.AdmissionDecision{RetryAfter: time.Second}}
			contend(e.t, e)
			e.server.Reservations.ObserveLoad("lm", rhubarbgate.TargetLoad{Waiting: 1, Slots: 8})
			e.server.Holder.ApplyGrants(time.Now(), nil, []limit.Grant{{Workspace: "w", ID: 1, Tokens: 10, TTL: time.Minute, PerSecond: 10}})
		}, http.StatusServiceUnavailable, http.StatusOK},
		{"targets evacuated", key, func(e *testEntry) {
			e.server.Targets.SetEvacuation(evacuation.Set{Version: 1, Zones: []string{"z"}}, time.Now())
			e.server.Holder.ApplyGrants(time.Now(), nil, []limit.Grant{{Workspace: "w", ID: 1, Tokens: 10, TTL: time.Minute, PerSecond: 10}})
		}, http.StatusServiceUnavailable, http.StatusOK},
		{"entry drains", key, func(e *testEntry) { e.server.StartDraining(time.Now().Add(time.Second)) }, http.StatusServiceUnavailable, http.StatusOK},
		// What a withdrawn key may do is not known for sure.
		{"configuration not confirmed", key, func(e *testEntry) { e.server.MaxAge = -time.Second }, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		{"unknown key", "unknown", func(*testEntry) {}, http.StatusUnauthorized, http.StatusUnauthorized},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(t, &platformtest.Target{PlainPrefixes: []string{"/safe/"}})
			e.serveStore()
			test.apply(e)
			qt.Check(t, e.call(http.MethodGet, "/safe/x", test.key).StatusCode, qt.Equals, test.online)
			for _, call := range jobCalls {
				qt.Check(t, e.call(call.method, call.path, test.key).StatusCode, qt.Equals, test.job, qt.Commentf("%v", call.kind))
			}
		})
	}
	for k := rhubarbgate.Forward + 1; !strings.HasPrefix(k.String(), "CallKind("); k++ {
		qt.Check(t, int(k) <= len(jobCalls) && jobCalls[k-1].kind == k, qt.IsTrue, qt.Commentf("no call of kind %v in jobCalls", k))
	}
}

// TestReadsInALoopAreBounded guards against a caller that reads in a loop and takes the time of an entry from others, and
// against an end of a job that waits behind such reads.
func TestReadsInALoopAreBounded(t *testing.T) {
	e := newEntry(t, &platformtest.Target{})
	e.serveStore()
	clock := clockwork.NewFakeClock()
	rate := limit.Rate{PerSecond: 1, Burst: 4}
	e.server.JobReads = &limit.Static{Clock: clock, Rates: func(string) (limit.Rate, bool) { return rate, true }, Entries: 1}
	var readers sync.WaitGroup
	statuses := make(chan int, 12)
	for range cap(statuses) {
		readers.Go(func() { statuses <- e.call(http.MethodGet, "/-/lots/j?after=0", secret).StatusCode })
	}
	readers.Wait()
	close(statuses)
	count := map[int]int{}
	for s := range statuses {
		count[s]++
	}
	qt.Assert(t, count, qt.DeepEquals, map[int]int{http.StatusOK: 4, http.StatusServiceUnavailable: 8})
	qt.Assert(t, e.server.Counts.JobReadsRefused.Value(), qt.Equals, int64(8))
	r := e.call(http.MethodGet, "/-/items/j?id=i", secret)
	qt.Assert(t, r.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, e.call(http.MethodDelete, "/-/lots/j", secret).StatusCode, qt.Equals, http.StatusOK)
	clock.Advance(time.Second)
	qt.Assert(t, e.call(http.MethodGet, "/-/lots/j?after=0", secret).StatusCode, qt.Equals, http.StatusOK)
}
