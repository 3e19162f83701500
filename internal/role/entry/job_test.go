package entry_test

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/role/replica"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// startStores starts as many store hosts as there are control hosts.
func (f *fleet) startStores() {
	// The folder is removed after the hosts have stopped.
	dir := f.t.TempDir()
	ctx, stop := context.WithCancel(context.Background())
	var hosts sync.WaitGroup
	f.t.Cleanup(func() {
		stop()
		hosts.Wait()
	})
	for i := range controlCount {
		l := f.listen()
		name := fmt.Sprintf("store-%d", i)
		h := &replica.Host{
			Data: filepath.Join(dir, name), Listen: l.Addr().(*net.TCPAddr).AddrPort(), Seeds: f.seeds, Listener: l, Name: name, AvailabilityZone: "z",
			Store: true, Join: true, JobGroups: 1, StoreGroups: 1, ToleratedLosses: 1,
			Clock: clockwork.NewRealClock(), Random: rand.New(rand.NewPCG(uint64(i), 9)), Logger: &log.Logger{Handler: discard.New()}, Metrics: new(expvar.Map).Init(),
		}
		qt.Assert(f.t, h.Open(), qt.IsNil)
		hosts.Go(func() { _ = h.Run(ctx) })
	}
}

// document is a configuration that a test changes.
type document = map[string]any

// routeOf returns a route of the configuration.
func routeOf(d document, name string) map[string]any {
	for _, r := range d["routes"].([]any) {
		if r := r.(map[string]any); r["name"] == name {
			return r
		}
	}
	return nil
}

// removeRoute removes a route from the configuration.
func removeRoute(d document, name string) {
	var kept []any
	for _, r := range d["routes"].([]any) {
		if r.(map[string]any)["name"] != name {
			kept = append(kept, r)
		}
	}
	d["routes"] = kept
}

// put commits a version of the configuration with the given change of the first one, and waits until
// all entries have it.
func (f *fleet) put(version uint64, change func(d document)) {
	var d document
	qt.Assert(f.t, json.Unmarshal(platformtest.Document(version, map[string][]string{"w": {callerKey, "other key"}}), &d), qt.IsNil)
	change(d)
	b, err := json.Marshal(d)
	qt.Assert(f.t, err, qt.IsNil)
	bundle, err := platform.DecodeConfiguration(b)
	qt.Assert(f.t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c := &control.Client{Wire: wire.NewClient(nil), Hosts: f.seeds, Clock: clockwork.NewRealClock()}
	r, err := c.Commit(ctx, &control.Commit{Bundle: *bundle})
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, r.Result.Err == nil, qt.IsTrue, qt.Commentf("%v", r.Result.Err))
	time.Sleep(2 * time.Second) // daemons poll the configuration
}

// submit submits a batch job to an entry until it is accepted, and returns the last response.
func (f *fleet) submit(entry int, id, key string, items []string) (r platformtest.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if r = f.client.Submit(ctx, f.entries[entry], id, key, items); r.Status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return r
}

// results reads all results of a batch job at an entry.
func (f *fleet) results(entry int, id, key string) (platformtest.Page, platformtest.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	return f.client.Results(ctx, f.entries[entry], id, key, 0)
}

// awaitResults waits until a batch job has the given number of results.
func (f *fleet) awaitResults(id, key string, count int, wait time.Duration) []platformtest.Result {
	until := time.Now().Add(wait)
	for {
		p, r := f.results(0, id, key)
		if len(p.Results) >= count {
			return p.Results
		}
		qt.Assert(f.t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%d of %d results, status %d", len(p.Results), count, r.Status))
		time.Sleep(100 * time.Millisecond)
	}
}

// startJobFleet returns a fleet with store hosts, and with one target and its side, which runs batch items.
func startJobFleet(t *testing.T, pace time.Duration) *fleet {
	f := startFleetOf(t, 1, func(x *platformtest.Target) { x.CrashPart, x.Slots, x.Events, x.Pace = "", 2, 4, pace })
	f.startStores()
	f.startSide(f.targets[0], f.listen(), f.seeds)
	return f
}

// itemIDs returns the IDs of the items of a job.
func itemIDs(job string, count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("%s-%d", job, i))
	}
	return ids
}

// changedRoute is a change of the route of a batch job after it was accepted.
type changedRoute struct {
	name   string
	change func(d document)
	// then, if set, is the change of a later version.
	then func(d document)
	// runs says that items run on; otherwise they are given up.
	runs bool
}

// changedRoutes are changes that each daemon has to cope with.
var changedRoutes = []changedRoute{
	{"route removed", func(d document) { removeRoute(d, "batch") }, nil, false},
	{"route renamed", func(d document) { routeOf(d, "batch")["name"] = "renamed" }, nil, true},
	{"route at another prefix", func(d document) { routeOf(d, "batch")["path_prefix"] = "/moved/" }, nil, true},
	{"route at another host", func(d document) { routeOf(d, "batch")["host"] = "other.example" }, nil, true},
	{"all routes of the host removed", func(d document) { d["routes"] = []any{} }, nil, false},
	{"route made anonymous", func(d document) { routeOf(d, "batch")["anonymous"] = true }, nil, true},
	{"time-outs and retention changed", func(d document) {
		routeOf(d, "batch")["timeout_ms"], routeOf(d, "batch")["run_target_ms"], routeOf(d, "batch")["retention_s"] = 7000, 9000, 300
	}, nil, true},
	{"key replaced by another of the workspace", func(d document) {
		d["tenants"].([]any)[0].(map[string]any)["api_keys"] = []string{"other key"}
	}, nil, true},
}

// TestJobsAreFoundWhateverBecomesOfTheirRoute guards against 404 for batch jobs whose route was removed, renamed, moved or made
// anonymous: for reads of results and of items' bodies, for a submission that is repeated, and for the end.
func TestJobsAreFoundWhateverBecomesOfTheirRoute(t *testing.T) {
	for _, test := range changedRoutes {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startJobFleet(t, 10*time.Millisecond)
			items := itemIDs("job", 3)
			qt.Assert(t, f.submit(0, "job", callerKey, items).Status, qt.Equals, http.StatusAccepted)
			before := f.awaitResults("job", callerKey, len(items), 20*time.Second)
			f.put(2, test.change)
			f.expectJob("job", "other key", items, before)
		})
	}
}

// expectJob checks at all entries that a job is there with its results and bodies, that a repeated submission is
// accepted, and that the job can be ended.
func (f *fleet) expectJob(id, key string, items []string, results []platformtest.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	for i := range f.entries {
		p, r := f.results(i, id, key)
		qt.Check(f.t, r.Status, qt.Equals, http.StatusOK, qt.Commentf("results: %s", r.Body))
		qt.Check(f.t, p.Results, qt.DeepEquals, results)
		r = f.client.Item(ctx, f.entries[i], id, items[0], key)
		qt.Check(f.t, []any{r.Status, r.Body}, qt.DeepEquals, []any{http.StatusOK, items[0]})
		qt.Check(f.t, f.submit(i, id, key, items).Status, qt.Equals, http.StatusAccepted)
		r = f.client.Cancel(ctx, f.entries[i], id, key)
		qt.Check(f.t, r.Status, qt.Equals, http.StatusOK, qt.Commentf("end: %s", r.Body))
	}
}

// TestJobsOfAnonymousRoutes guards against batch jobs that were accepted on an anonymous route and are not found with
// the key that submitted them, or whose items run without their workspace; and against jobs of a workspace that callers
// without a key can read.
func TestJobsOfAnonymousRoutes(t *testing.T) {
	f := startJobFleet(t, 10*time.Millisecond)
	f.put(2, func(d document) { routeOf(d, "batch")["anonymous"] = true })
	items, without := itemIDs("job", 2), itemIDs("without", 2)
	qt.Assert(t, f.submit(0, "job", callerKey, items).Status, qt.Equals, http.StatusAccepted)
	qt.Assert(t, f.submit(0, "without", "", without).Status, qt.Equals, http.StatusAccepted)
	results := f.awaitResults("job", callerKey, len(items), 20*time.Second)
	withoutKey := f.awaitResults("without", "", len(without), 20*time.Second)
	for _, r := range f.targets[0].Runs() {
		switch r.ID {
		case items[0], items[1]:
			qt.Check(t, r.Tenant, qt.Equals, "w")
		case without[0], without[1]:
			qt.Check(t, r.Tenant, qt.Equals, "")
		}
	}
	_, r := f.results(0, "job", "")
	qt.Check(t, r.Status, qt.Equals, http.StatusUnauthorized)
	_, r = f.results(0, "no such job", "")
	qt.Check(t, r.Status, qt.Equals, http.StatusUnauthorized)
	_, r = f.results(0, "no such job", callerKey)
	qt.Check(t, r.Status, qt.Equals, http.StatusNotFound)
	f.put(3, func(document) {})
	f.expectJob("job", callerKey, items, results)
	// A job of no workspace belongs to all who know its ID.
	f.expectJob("without", callerKey, without, withoutKey)
	_, r = f.results(0, "without", "")
	qt.Check(t, r.Status, qt.Equals, http.StatusOK)
}

// TestItemsWhoseRouteChanges guards against items of batch jobs that are neither run nor given up, because the route that
// accepted their job was removed, renamed, moved or made anonymous while they waited.
func TestItemsWhoseRouteChanges(t *testing.T) {
	const count = 16
	tests := append(changedRoutes[:len(changedRoutes):len(changedRoutes)], changedRoute{
		name: "route removed and back under another name", runs: true,
		change: func(d document) { removeRoute(d, "batch") },
		then:   func(d document) { routeOf(d, "batch")["name"] = "back" },
	})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startJobFleet(t, 300*time.Millisecond)
			qt.Assert(t, f.submit(0, "job", callerKey, itemIDs("job", count)).Status, qt.Equals, http.StatusAccepted)
			f.put(2, test.change)
			if test.then != nil {
				f.put(3, test.then)
			}
			results := f.awaitResults("job", "other key", count, 30*time.Second)
			completed := 0
			for _, r := range results {
				if r.State == "completed" {
					completed++
				}
			}
			qt.Assert(t, completed == count, qt.Equals, test.runs, qt.Commentf("%d completed", completed))
		})
	}
}

// TestJobsWithLargeItems guards against items of several megabytes that are leased together, do not fit into one message, and are
// never run although the target is idle.
func TestJobsWithLargeItems(t *testing.T) {
	f := startFleetOf(t, 1, func(x *platformtest.Target) { x.CrashPart, x.Events, x.Pace = "", 4, 250*time.Millisecond })
	f.startStores()
	f.startSide(f.targets[0], f.listen(), f.seeds)
	// All slots are taken while the large items arrive.
	qt.Assert(t, f.submit(0, "small", callerKey, itemIDs("small", 8)).Status, qt.Equals, http.StatusAccepted)
	const count = 3
	var callers sync.WaitGroup
	for i := range count {
		callers.Go(func() {
			id := fmt.Sprintf("large-%d", i)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			r := f.client.SubmitPadded(ctx, f.entries[i%entryCount], id, callerKey, itemIDs(id, 1), 3_000_000)
			qt.Check(t, r.Status, qt.Equals, http.StatusAccepted, qt.Commentf("%v", r.Err))
		})
	}
	callers.Wait()
	for i := range count {
		f.awaitResults(fmt.Sprintf("large-%d", i), callerKey, 1, 20*time.Second)
	}
}
