package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// revokeBound is how long a withdrawn key may still work.
const revokeBound = 5 * time.Second

// sent is a request as its caller saw it.
type sent struct {
	id, route, tenant, key string
	at                     time.Time
	answer                 platformtest.Response
	// expired says that the caller left, or its deadline passed, before the end.
	expired bool
	// stopping says that the entry got SIGTERM, and nothing else, meanwhile.
	stopping bool
}

// job is a batch job as its caller saw it.
type job struct {
	id, tenant, key string
	items           []string
	accepted        bool
	unsure          bool // some attempt had no clear outcome
	refused         bool // every attempt was refused with a promise
	listed          []platformtest.Result
}

// ledger holds what was seen, and the broken promises.
type ledger struct {
	mu        sync.Mutex
	requests  []*sent
	jobs      []*job
	withdrawn map[string]time.Time // when the withdrawal of a key was acknowledged
	version   uint64               // highest acknowledged
	broken    []string
}

func (l *ledger) breaks(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// read checks a page of results against what earlier reads showed.
func (l *ledger) read(j *job, after int, p platformtest.Page) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fail := func(format string, args ...any) {
		l.broken = append(l.broken, "job "+j.id+": "+fmt.Sprintf(format, args...))
	}
	if p.Total != len(j.items) || p.Next != after+len(p.Results) {
		fail("total %d of %d, next %d after %d with %d results", p.Total, len(j.items), p.Next, after, len(p.Results))
		return
	}
	for i, x := range p.Results {
		switch at := after + i; {
		case at < len(j.listed) && j.listed[at] != x:
			fail("position %d changed from %+v to %+v", at, j.listed[at], x)
		case at == len(j.listed):
			if slices.ContainsFunc(j.listed, func(y platformtest.Result) bool { return y.ID == x.ID }) {
				fail("item %s is listed twice", x.ID)
			}
			j.listed = append(j.listed, x)
		}
		if want := platformtest.Output(x.ID, streamEvents); x.State == "completed" && x.Output != want {
			fail("item %s has the output %q, not %q", x.ID, x.Output, want)
		}
		if x.State != "completed" && !strings.HasPrefix(x.ID, neverPrefix) {
			fail("item %s ended as %s", x.ID, x.State)
		}
	}
}

// verify checks all that was seen once the run is over.
func (l *ledger) verify(targets []*platformtest.Target) {
	runs := map[string][]platformtest.Run{}
	for _, t := range targets {
		for _, r := range t.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
			if r.Authorization != "" {
				l.breaks("request %s: the key reached target %s", r.ID, r.Instance)
			}
			if r.Expected != r.Instance {
				l.breaks("request %s: target %s ran it instead of %q", r.ID, r.Instance, r.Expected)
			}
		}
	}
	for _, q := range l.requests {
		l.verifyRequest(q, runs[q.id])
		delete(runs, q.id)
	}
	for _, j := range l.jobs {
		l.verifyJob(j, runs)
	}
	for id := range runs {
		l.breaks("request %s: nobody sent it", id)
	}
}

func (l *ledger) verifyRequest(q *sent, runs []platformtest.Run) {
	name := fmt.Sprintf("request %s of route %s", q.id, q.route)
	if (q.route == "unsafe" || q.route == "stream") && len(runs) > 1 {
		l.breaks("%s ran %d times", name, len(runs))
	}
	if q.answer.PromisesNotRun() && len(runs) > 0 && q.route != "safe" && q.route != "resume" {
		l.breaks("%s was answered %d and ran at target %s", name, q.answer.Status, runs[0].Instance)
	}
	for _, r := range runs {
		if r.Tenant != q.tenant {
			l.breaks("%s ran for tenant %q instead of %q", name, r.Tenant, q.tenant)
		}
		if end, ok := l.withdrawn[q.key]; ok && q.at.After(end.Add(revokeBound)) {
			l.breaks("%s ran with a key that was withdrawn %v before", name, q.at.Sub(end))
		}
	}
	if want := body(q.route, q.id); q.answer.Err == nil && q.answer.Status == 200 && q.answer.Body != want {
		l.breaks("%s got %q as a whole answer instead of %q", name, q.answer.Body, want)
	}
	// A stream that may not be resumed ends with its target's fault.
	sound := !slices.ContainsFunc(runs, func(r platformtest.Run) bool { return r.Fault != platformtest.None })
	if q.stopping && sound && len(runs) > 0 && q.answer.Err != nil && !q.expired {
		l.breaks("%s was cut by a graceful stop: %v", name, q.answer.Err)
	}
}

func (l *ledger) verifyJob(j *job, runs map[string][]platformtest.Run) {
	for _, id := range j.items {
		for _, r := range runs[id] {
			if r.Tenant != j.tenant {
				l.breaks("item %s ran for tenant %q instead of %q", id, r.Tenant, j.tenant)
			}
			if j.refused {
				l.breaks("item %s ran, but its job was refused", id)
			}
		}
		delete(runs, id)
	}
	if j.accepted && len(j.listed) != len(j.items) {
		l.breaks("job %s: %d of %d items are listed at the end", j.id, len(j.listed), len(j.items))
	}
}

// body is the whole answer to a request.
func body(route, id string) string {
	if route == "safe" || route == "unsafe" {
		return "answer to " + id
	}
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, platformtest.EventData(id, i))
	}
	return b.String()
}
