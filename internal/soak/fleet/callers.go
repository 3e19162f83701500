package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// sendRequests sends the requests of one caller, one after the other, until ctx is done. Every
// second caller keeps its connection and uses it as long as the entry lets it, also if the
// balancer has taken that out of rotation.
func (s *Soak) sendRequests(ctx context.Context, caller int, random *rand.Rand) {
	client, keeps := s.client, caller%2 == 0
	if keeps {
		client = platformtest.NewKeepingClient()
	}
	entry := s.chooseEntry(random)
	routes := []string{"safe", "unsafe", "stream", "resume"}
	for n := 0; ctx.Err() == nil; n++ {
		workspace, key := "one", "key-one-a"
		switch random.IntN(3) {
		case 0:
			workspace, key = "two", "key-two-a"
		case 1:
			key = "key-one-b"
		}
		timeout := callerTimeout
		if random.IntN(20) == 0 {
			timeout = time.Duration(random.IntN(100)) * time.Millisecond
		}
		id := fmt.Sprintf("c%d-%d", caller, n)
		parts := []string{fmt.Sprintf("common-%d", random.IntN(commonParts)), fmt.Sprintf("subject-%d", random.IntN(subjectParts)), id}
		route := routes[random.IntN(len(routes))]
		if route == "resume" && random.IntN(3) == 0 {
			s.takeUpStream(context.WithoutCancel(ctx), random, id, workspace, key)
			continue
		}
		req := s.sendPrompt(context.WithoutCancel(ctx), client, entry, route, id, workspace, key, timeout, parts)
		if !keeps || req.response.Close || req.response.Err != nil {
			entry = s.chooseEntry(random)
		}
		if req.response.Err != nil || req.response.Status != 200 {
			s.Clock.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
		}
	}
}

// sendCrashingRequests sends requests whose prompts crash targets, from the time when a part of
// the run has passed until ctx is done.
func (s *Soak) sendCrashingRequests(ctx context.Context, random *rand.Rand) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	interval := minCrashInterval + time.Duration(random.Int64N(int64(randomCrashInterval)))
	wait := s.Duration / crashStartDivisor
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(wait):
		}
		wait = time.Duration(random.ExpFloat64() * float64(interval))
		entry, route := s.chooseEntry(random), []string{"stream", "resume"}[random.IntN(2)]
		id := fmt.Sprintf("crash-%d", n)
		parts := []string{fmt.Sprintf("common-%d", random.IntN(commonParts)), crashPart, id}
		tasks.Go(func() {
			s.sendPrompt(context.WithoutCancel(ctx), s.client, entry, route, id, "one", "key-one-a", callerTimeout, parts)
		})
	}
}

// repeatCrashingRequest sends a request that crashes targets again and again, each time with another
// ID, from the time when a part of the run has passed until ctx is done.
func (s *Soak) repeatCrashingRequest(ctx context.Context, random *rand.Rand) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	route := []string{"safe", "unsafe", "stream", "resume"}[random.IntN(4)]
	interval := minCrashInterval + time.Duration(random.Int64N(int64(randomCrashInterval)))
	wait := s.Duration / crashStartDivisor
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(wait):
		}
		wait = time.Duration(random.ExpFloat64() * float64(interval))
		id, entry := fmt.Sprintf("repeated-%d", n), s.chooseEntry(random)
		tasks.Go(func() {
			s.sendBody(context.WithoutCancel(ctx), s.client, entry, route, id, "one", "key-one-a", callerTimeout, nil, crashBody)
		})
	}
}

// takeUpStream begins a stream, closes the connection after some events, and continues it at another
// entry.
func (s *Soak) takeUpStream(ctx context.Context, random *rand.Rand, id, workspace, key string) {
	call := platformtest.StreamCall{Route: "resume", ID: id, Key: key, Timeout: callerTimeout, MaxEvents: 1 + random.IntN(streamEvents-1)}
	begun := s.sendStream(ctx, s.chooseEntry(random), workspace, call, nil)
	if begun.events == 0 || begun.response.Err == nil {
		return
	}
	s.Clock.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	call.Resumes, call.ID, call.LastEvent, call.MaxEvents = id, id+"-on", begun.events, 0
	s.sendStream(ctx, s.chooseEntry(random), workspace, call, begun)
}

// sendStream sends one request for a stream, which continues another if resumes is set.
func (s *Soak) sendStream(ctx context.Context, entry int, workspace string, call platformtest.StreamCall, resumes *sentRequest) *sentRequest {
	p := s.entries[entry]
	req := &sentRequest{id: call.ID, entry: p, route: call.Route, workspace: workspace, key: call.Key, sentAt: s.Clock.Now(), resumes: resumes}
	callCtx, cancel := deadline.WithTimeout(ctx, s.Clock, call.Timeout)
	defer cancel()
	var events []string
	events, req.response = s.client.Stream(callCtx, netip.AddrPortFrom(p.address, callerPort), call)
	req.events = len(events)
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.requests = append(s.history.requests, req)
	return req
}

// send sends one request without a prompt, as sendPrompt does.
func (s *Soak) send(ctx context.Context, entry int, route, id, workspace, key string, timeout time.Duration) *sentRequest {
	return s.sendPrompt(ctx, s.client, entry, route, id, workspace, key, timeout, nil)
}

// sendPrompt sends one request to an entry and records the response that its caller received.
func (s *Soak) sendPrompt(ctx context.Context, client *platformtest.Client, entry int, route, id, workspace, key string, timeout time.Duration, parts []string) *sentRequest {
	return s.sendBody(ctx, client, entry, route, id, workspace, key, timeout, parts, id)
}

// sendBody is like sendPrompt, for a request with the given body.
func (s *Soak) sendBody(ctx context.Context, client *platformtest.Client, entry int, route, id, workspace, key string, timeout time.Duration, parts []string, body string) *sentRequest {
	p := s.entries[entry]
	req := &sentRequest{id: id, entry: p, route: route, workspace: workspace, key: key, sentAt: s.Clock.Now()}
	callCtx, cancel := deadline.WithTimeout(ctx, s.Clock, timeout)
	defer cancel()
	s.mu.Lock()
	stoppingAtStart, faultsAtStart := s.gracefullyStopping[p], s.faultCount
	s.mu.Unlock()
	req.response = client.SendBody(callCtx, netip.AddrPortFrom(p.address, callerPort), route, id, key, timeout, parts, body)
	// The entry applies the same timeout and may end the request slightly before the
	// caller does, hence the margin of a tenth.
	req.pastDeadline = callCtx.Err() != nil || s.Clock.Since(req.sentAt) > timeout*9/10
	s.mu.Lock()
	// A stop counts as graceful only if no other fault was injected meanwhile.
	req.duringGracefulStop = (stoppingAtStart || s.gracefullyStopping[p]) && s.faultCount == faultsAtStart
	s.mu.Unlock()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.requests = append(s.history.requests, req)
	return req
}

// chooseEntry returns a random entry as the balancer does: if it is out of rotation,
// the next one takes its place.
func (s *Soak) chooseEntry(random *rand.Rand) int {
	i := random.IntN(len(s.entries))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unready[s.entries[i]] {
		i = (i + 1) % len(s.entries)
	}
	return i
}

// submitJobs submits batch jobs, submits some of them repeatedly, and reads their
// results until ctx is done.
func (s *Soak) submitJobs(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("job-%d", n), workspace: "one", key: "key-one-a"}
		count := 1 + random.IntN(6)
		if random.IntN(15) == 0 {
			j.itemBytes, count = largeItemBytes, 1+random.IntN(2)
		}
		for i := range count {
			prefix := ""
			if random.IntN(15) == 0 {
				prefix = unrunnablePrefix
			}
			j.items = append(j.items, fmt.Sprintf("%s%s-%d", prefix, j.id, i))
		}
		for range 4 {
			if s.submit(ctx, j, random.IntN(len(s.entries))) && random.IntN(3) > 0 {
				break
			}
		}
		s.recordJob(j)
		s.readJobs(ctx, random.IntN(len(s.entries)))
		s.Clock.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}

// submitCrashingItem submits a job with an item that crashes targets.
func (s *Soak) submitCrashingItem(ctx context.Context) {
	j := &job{id: "crash-job", workspace: "one", key: "key-one-a", items: []string{crashItem}, endless: true}
	s.recordJob(j)
	for n := 0; ctx.Err() == nil && !s.submit(ctx, j, n%len(s.entries)); n++ {
	}
}

// recordJob adds a job to the history.
func (s *Soak) recordJob(j *job) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.jobs = append(s.history.jobs, j)
}

// submit submits a job once and reports whether this attempt was accepted.
func (s *Soak) submit(ctx context.Context, j *job, entry int) bool {
	callCtx, cancel := deadline.WithTimeout(context.WithoutCancel(ctx), s.Clock, callerTimeout)
	defer cancel()
	address := netip.AddrPortFrom(s.entries[entry].address, callerPort)
	r := s.client.SubmitPrompts(callCtx, address, j.id, j.key, j.items, j.itemBytes, j.part)
	ok := r.Err == nil && r.Status == 202
	j.refused = (j.refused || !j.accepted) && r.PromisesNotRun() && !ok && !j.outcomeUnknown
	j.outcomeUnknown = j.outcomeUnknown || !ok && !r.PromisesNotRun()
	j.accepted = j.accepted || ok
	return ok
}

// readJobs reads results of the accepted jobs that are not completely listed yet, and
// of a seventh of the others, to check that listed results do not change. Every second
// job is read from its first result, the others from the last position read.
func (s *Soak) readJobs(ctx context.Context, entry int) {
	s.history.mu.Lock()
	snapshot := append([]*job(nil), s.history.jobs...)
	s.history.mu.Unlock()
	for i, j := range snapshot {
		if ctx.Err() != nil || !j.accepted || !j.endedAt.IsZero() || len(j.listed) == len(j.items) && i%7 != len(snapshot)%7 {
			continue
		}
		after := 0
		if i%2 == 0 {
			after = len(j.listed)
		}
		callCtx, cancel := deadline.WithTimeout(ctx, s.Clock, callerTimeout)
		p, r := s.client.Results(callCtx, netip.AddrPortFrom(s.entries[entry].address, callerPort), j.id, j.key, after)
		cancel()
		switch {
		case r.Err == nil && r.Status == 200:
			s.history.checkPage(j, after, p)
		case r.Err == nil && r.Status == 404:
			s.history.addViolation("job %s was accepted and is not known", j.id)
		}
	}
}

// pendingJobs counts the accepted jobs whose results are not completely listed yet.
func (s *Soak) pendingJobs() int {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	n := 0
	for _, j := range s.history.jobs {
		if j.isOwed() {
			n++
		}
	}
	return n
}
