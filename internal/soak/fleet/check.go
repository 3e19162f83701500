package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// maxRevocationDelay is how long after the acknowledged withdrawal of a key a request
// may be sent with it and still run.
const maxRevocationDelay = 5 * time.Second

// sentRequest is a request and the response that its caller received.
type sentRequest struct {
	id, route, workspace, key string
	entry                     *process
	sentAt                    time.Time
	response                  platformtest.Response
	// pastDeadline is set if the deadline had passed, or was close, when the request ended.
	pastDeadline bool
	// duringGracefulStop is set if the entry received SIGTERM and no other fault was
	// injected while the request was in flight.
	duringGracefulStop bool
	// resumes is the request whose stream this one continues, and events how many arrived.
	resumes *sentRequest
	events  int
}

// version returns the version of the target that began the request's stream.
func (q *sentRequest) version() string {
	if q.resumes != nil {
		return q.resumes.version()
	}
	return q.response.Version
}

// job is a batch job and the results that its caller has read.
type job struct {
	id, workspace, key string
	items              []string
	// itemBytes is the least size of an item's body.
	itemBytes int
	// endless says that no target can finish the items.
	endless bool
	// part is one that the prompts of all items share, if it is not empty.
	part string
	// followed says that targets ended by chance when they ran one of the items, and endedAt when its caller's end
	// of the job was acknowledged.
	followed       bool
	endedAt        time.Time
	accepted       bool
	outcomeUnknown bool // the outcome of some attempt to submit it is unknown
	refused        bool // every attempt was refused with a status which guarantees that nothing ran
	listed         []platformtest.Result
}

// isOwed reports whether items of the job are still to be listed.
func (j *job) isOwed() bool {
	return j.accepted && !j.endless && j.endedAt.IsZero() && len(j.listed) < len(j.items)
}

// history records the requests and jobs of a run, and the violated guarantees.
type history struct {
	mu          sync.Mutex
	requests    []*sentRequest
	jobs        []*job
	revokedKeys map[string]time.Time // when the withdrawal of each key was acknowledged
	version     uint64               // highest acknowledged configuration version
	// acknowledged are the configuration versions in the order of their acknowledgements.
	acknowledged []acknowledgement
	violations   []string
}

// addViolation records a violated guarantee.
func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// checkPage checks a page of results, which starts after the given position, against
// the pages read earlier: results only get appended, and each item has one result.
func (h *history) checkPage(j *job, after int, p platformtest.Page) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addJobViolation := func(format string, args ...any) {
		h.violations = append(h.violations, "job "+j.id+": "+fmt.Sprintf(format, args...))
	}
	if p.Total != len(j.items) || p.Next != after+len(p.Results) {
		addJobViolation("total %d of %d, next %d after %d with %d results", p.Total, len(j.items), p.Next, after, len(p.Results))
		return
	}
	for i, result := range p.Results {
		switch at := after + i; {
		case at < len(j.listed) && j.listed[at] != result:
			addJobViolation("position %d changed from %+v to %+v", at, j.listed[at], result)
		case at == len(j.listed):
			if slices.ContainsFunc(j.listed, func(earlier platformtest.Result) bool { return earlier.ID == result.ID }) {
				addJobViolation("item %s is listed twice", result.ID)
			}
			j.listed = append(j.listed, result)
		}
		if want := platformtest.Output(result.ID, streamEvents); result.State == "completed" && result.Output != want {
			addJobViolation("item %s has the output %q, not %q", result.ID, result.Output, want)
		}
		if result.State != "completed" && !strings.HasPrefix(result.ID, unrunnablePrefix) {
			addJobViolation("item %s ended as %s", result.ID, result.State)
		}
	}
}

// verify checks the requests and jobs of a finished run against what the targets ran.
func (h *history) verify(targets []*platformtest.Target) {
	runs := map[string][]platformtest.Run{}
	for _, t := range targets {
		for _, r := range t.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
			if r.Authorization != "" {
				h.addViolation("request %s: the key reached target %s", r.ID, r.Instance)
			}
			if r.Expected != r.Instance {
				h.addViolation("request %s: target %s ran it instead of %q", r.ID, r.Instance, r.Expected)
			}
		}
	}
	for _, req := range h.requests {
		h.verifyRequest(req, runs[req.id])
		delete(runs, req.id)
	}
	for _, j := range h.jobs {
		h.verifyJob(j, runs)
	}
	for id := range runs {
		h.addViolation("request %s: nobody sent it", id)
	}
}

// verifyProcesses checks that no process ended by itself.
func (s *Soak) verifyProcesses() {
	for _, p := range s.processes() {
		p.mu.Lock()
		failures := p.failures
		p.mu.Unlock()
		if failures > 0 {
			s.history.addViolation("%s ended by itself %d times", p.name, failures)
		}
	}
}

// verifyRequest checks one request. Only repeatable routes allow a request to
// run more than once, or to run although the response says that it did not.
func (h *history) verifyRequest(req *sentRequest, runs []platformtest.Run) {
	name := fmt.Sprintf("request %s of route %s", req.id, req.route)
	if (req.route == "unsafe" || req.route == "stream") && len(runs) > 1 {
		h.addViolation("%s ran %d times", name, len(runs))
	}
	if req.response.PromisesNotRun() && len(runs) > 0 && !isRepeatable(req.route) {
		h.addViolation("%s was answered %d and ran at target %s", name, req.response.Status, runs[0].Instance)
	}
	for _, r := range runs {
		if r.Tenant != req.workspace {
			h.addViolation("%s ran for tenant %q instead of %q", name, r.Tenant, req.workspace)
		}
		if withdrawnAt, ok := h.revokedKeys[req.key]; ok && req.sentAt.After(withdrawnAt.Add(maxRevocationDelay)) {
			h.addViolation("%s ran with a key that was withdrawn %v before", name, req.sentAt.Sub(withdrawnAt))
		}
	}
	for _, r := range runs {
		if v := req.version(); r.LastEvent != "" && v != "" && r.Version != v {
			h.addViolation("%s went on at version %s, its stream began at %s", name, r.Version, v)
		}
	}
	after := 0
	if req.resumes != nil {
		after = req.resumes.events
	}
	if want := responseBody(req.route, req.id, after); req.response.Err == nil && req.response.Status == 200 && req.response.Body != want {
		h.addViolation("%s got %q as a whole answer instead of %q", name, req.response.Body, want)
	} else if req.response.Status == 200 && !strings.HasPrefix(want, req.response.Body) {
		h.addViolation("%s got %q before its answer broke off, which is no part of %q", name, req.response.Body, want)
	}
	if req.response.ID != "" && req.response.ID != req.id || req.response.Status == 200 && req.response.Stamp != "stamp-"+req.id {
		h.addViolation("%s got the answer to request %q with the signature %q", name, req.response.ID, req.response.Stamp)
	}
	// A fault of the target may end a stream that cannot be resumed, also without a stop.
	noTargetFault := !slices.ContainsFunc(runs, func(r platformtest.Run) bool { return r.Fault != platformtest.None })
	if req.duringGracefulStop && noTargetFault && len(runs) > 0 && req.response.Err != nil && !req.pastDeadline {
		h.addViolation("%s was cut by a graceful stop: %v", name, req.response.Err)
	}
}

// verifyJob checks one job and removes its items from runs.
func (h *history) verifyJob(j *job, runs map[string][]platformtest.Run) {
	for _, id := range j.items {
		for _, r := range runs[id] {
			if r.Tenant != j.workspace {
				h.addViolation("item %s ran for tenant %q instead of %q", id, r.Tenant, j.workspace)
			}
			if j.refused {
				h.addViolation("item %s ran, but its job was refused", id)
			}
		}
		delete(runs, id)
	}
	if j.isOwed() {
		h.addViolation("job %s: %d of %d items are listed at the end", j.id, len(j.listed), len(j.items))
	}
}

// Requests that crash targets must stop reaching them a time after the fifth crash with a part of a
// prompt, and after the third with a request that comes again.
const (
	partCrashesBeforeNotice = 5
	bodyCrashesBeforeNotice = 3
	noticeTime              = 3 * time.Second
	maxLateCrashingRuns     = 3
)

// verifyCrashes checks that requests that crash targets stopped reaching them. It returns how many
// crashes there were and how many requests came too late.
func (s *Soak) verifyCrashes() (crashes, late int) {
	for _, kind := range []struct {
		name        string
		beforeLimit int
		isOf        func(body string) bool
	}{
		{"crashPart", partCrashesBeforeNotice, func(body string) bool { return body != crashBody }},
		{"crashBody", bodyCrashesBeforeNotice, func(body string) bool { return body == crashBody }},
	} {
		c, l := s.countCrashes(kind.beforeLimit, kind.isOf)
		if l > maxLateCrashingRuns {
			s.history.addViolation("%d requests with %s reached targets later than %v after crash %d; %d crashes", l, kind.name, noticeTime, kind.beforeLimit, c)
		}
		crashes, late = crashes+c, late+l
	}
	return crashes, late
}

// countCrashes returns how many crashes requests of a kind caused, and how many of them reached targets
// too late, apart from those of entries that were disturbed shortly before, or whose control
// hosts were.
func (s *Soak) countCrashes(beforeLimit int, isOf func(body string) bool) (crashes, late int) {
	var arrivals []platformtest.Arrival
	var crashedAt []time.Time
	for _, t := range s.targets {
		for _, r := range t.CrashingRuns() {
			if !isOf(r.Body) {
				continue
			}
			arrivals = append(arrivals, r)
			if r.Crashed {
				crashedAt = append(crashedAt, r.At.Add(crashDelay))
			}
		}
	}
	slices.SortFunc(crashedAt, time.Time.Compare)
	if len(crashedAt) < beforeLimit {
		return len(crashedAt), 0
	}
	noticed := crashedAt[beforeLimit-1].Add(noticeTime)
	entries := map[string]*process{}
	for _, req := range s.history.requests {
		entries[req.id] = req.entry
	}
	for _, r := range arrivals {
		watched := slices.Clone(s.controlHosts)
		if e := entries[r.ID]; e != nil {
			watched = append(watched, e)
		}
		if r.At.After(noticed) && !s.disturbed(watched, r.At.Add(-noticeTime), r.At) {
			late++
		}
	}
	return len(crashedAt), late
}

// drainRequests is how many requests verifyDrain sends to each entry.
const drainRequests = 5

// verifyDrain checks that the entries still follow the list, which may have odd entries: a target
// that the list shows as draining gets no more requests.
func (s *Soak) verifyDrain(ctx context.Context) {
	t := s.targets[0]
	t.SetDraining(true)
	s.Clock.Sleep(noticeTime)
	noticed := s.Clock.Now()
	for i, p := range s.entries {
		for n := range drainRequests {
			s.send(ctx, i, "safe", fmt.Sprintf("drain-%d-%d", i, n), "one", "key-one-a", callerTimeout)
		}
		for _, r := range t.Runs() {
			if strings.HasPrefix(r.ID, fmt.Sprintf("drain-%d-", i)) {
				s.history.addViolation("request %s of %s ran at target %s, which was listed as draining %v before", r.ID, p.name, r.Instance, r.At.Sub(noticed)+noticeTime)
			}
		}
	}
}

// limitWindow is the time over which the requests that a limited target gets are counted.
const limitWindow = 4 * time.Second

// verifyLimits checks that targets that state a limit get no more than that allows, half as much
// again and five requests, apart from requests of processes that were disturbed shortly before.
func (s *Soak) verifyLimits() {
	senders := map[string]*process{}
	for _, req := range s.history.requests {
		senders[req.id] = req.entry
	}
	type period struct {
		instance string
		since    time.Time
	}
	for i, t := range s.targets {
		arrivals := map[period][]platformtest.Arrival{}
		for _, a := range t.LimitedArrivals() {
			k := period{a.Instance, a.LimitedSince}
			arrivals[k] = append(arrivals[k], a)
		}
		for k, list := range arrivals {
			binding := list[0].At.Add(noticeTime)
			var counted []time.Time
			for _, a := range list {
				sender := s.sides[i] // of items, which have no entry
				if p, ok := senders[a.ID]; ok {
					sender = p
				}
				if a.At.After(binding) && !s.disturbed([]*process{sender}, a.At.Add(-limitWindow-noticeTime), a.At) {
					counted = append(counted, a.At)
				}
			}
			allowed := 1.5*targetLimit*limitWindow.Seconds() + 5
			if most := mostInWindow(counted); float64(most) > allowed {
				s.history.addViolation("target %s, limited to %g requests a second, got %d in %v", k.instance, targetLimit, most, limitWindow)
			}
		}
	}
}

// mostInWindow returns the most of the times, which are in order, that lie within a limitWindow.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// responseBody returns the complete response body of a request that continues after the given event.
func responseBody(route, id string, after int) string {
	if isPlain(route) {
		return "answer to " + id
	}
	var b strings.Builder
	for i := after + 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, platformtest.EventData(id, i))
	}
	return b.String()
}
