package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
)

// call sends requests one after the other until ctx ends.
func (s *Soak) call(ctx context.Context, caller int, random *rand.Rand) {
	routes := []string{"safe", "unsafe", "stream", "resume"}
	for n := 0; ctx.Err() == nil; n++ {
		tenant, key := "one", "key-one-a"
		switch random.IntN(3) {
		case 0:
			tenant, key = "two", "key-two-a"
		case 1:
			key = "key-one-b"
		}
		wait := callerWait
		if random.IntN(20) == 0 {
			wait = time.Duration(random.IntN(100)) * time.Millisecond
		}
		q := s.send(context.WithoutCancel(ctx), s.chooseEntry(random), routes[random.IntN(len(routes))], fmt.Sprintf("c%d-%d", caller, n), tenant, key, wait)
		if q.answer.Err != nil || q.answer.Status != 200 {
			s.Clock.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
		}
	}
}

// send sends one request to an entry and notes what its caller saw.
func (s *Soak) send(ctx context.Context, entry int, route, id, tenant, key string, wait time.Duration) *sent {
	p := s.entry[entry]
	q := &sent{id: id, route: route, tenant: tenant, key: key, at: s.Clock.Now()}
	call, cancel := deadline.WithTimeout(ctx, s.Clock, wait)
	defer cancel()
	s.mu.Lock()
	before, faults := s.terminating[p], s.faults
	s.mu.Unlock()
	q.answer = s.client.Send(call, netip.AddrPortFrom(p.address, callerPort), route, id, key, wait)
	// The entry ends a request at the deadline too, a little before its caller.
	q.expired = call.Err() != nil || s.Clock.Since(q.at) > wait*9/10
	s.mu.Lock()
	// Only a stop that nothing else came on top of counts as graceful.
	q.stopping = (before || s.terminating[p]) && s.faults == faults
	s.mu.Unlock()
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.ledger.requests = append(s.ledger.requests, q)
	return q
}

// chooseEntry draws an entry as the balancer does, ready ones first.
func (s *Soak) chooseEntry(random *rand.Rand) int {
	i := random.IntN(entries)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unready[s.entry[i]] {
		i = (i + 1) % entries
	}
	return i
}

// submitJobs submits batch jobs, resends some and reads all until ctx ends.
func (s *Soak) submitJobs(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("job-%d", n), tenant: "one", key: "key-one-a"}
		for i := range 1 + random.IntN(6) {
			prefix := ""
			if random.IntN(15) == 0 {
				prefix = neverPrefix
			}
			j.items = append(j.items, fmt.Sprintf("%s%s-%d", prefix, j.id, i))
		}
		for range 4 {
			if s.submit(ctx, j, random.IntN(entries)) && random.IntN(3) > 0 {
				break
			}
		}
		s.note(j)
		s.readJobs(ctx, random.IntN(entries))
		s.Clock.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}

// note adds a job to the ledger.
func (s *Soak) note(j *job) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.ledger.jobs = append(s.ledger.jobs, j)
}

// submit submits a job once and reports whether it was accepted.
func (s *Soak) submit(ctx context.Context, j *job, entry int) bool {
	call, cancel := deadline.WithTimeout(context.WithoutCancel(ctx), s.Clock, callerWait)
	defer cancel()
	r := s.client.Submit(call, netip.AddrPortFrom(s.entry[entry].address, callerPort), j.id, j.key, j.items)
	ok := r.Err == nil && r.Status == 202
	j.refused = (j.refused || !j.accepted) && r.PromisesNotRun() && !ok && !j.unsure
	j.unsure = j.unsure || !ok && !r.PromisesNotRun()
	j.accepted = j.accepted || ok
	return ok
}

// readJobs reads the jobs that are not listed whole, and a few that are.
func (s *Soak) readJobs(ctx context.Context, entry int) {
	s.ledger.mu.Lock()
	list := append([]*job(nil), s.ledger.jobs...)
	s.ledger.mu.Unlock()
	for i, j := range list {
		if ctx.Err() != nil || !j.accepted || len(j.listed) == len(j.items) && i%7 != len(list)%7 {
			continue
		}
		after := 0
		if i%2 == 0 {
			after = len(j.listed)
		}
		call, cancel := deadline.WithTimeout(ctx, s.Clock, callerWait)
		p, r := s.client.Results(call, netip.AddrPortFrom(s.entry[entry].address, callerPort), j.id, j.key, after)
		cancel()
		switch {
		case r.Err == nil && r.Status == 200:
			s.ledger.read(j, after, p)
		case r.Err == nil && r.Status == 404:
			s.ledger.breaks("job %s was accepted and is not known", j.id)
		}
	}
}

// pending counts accepted jobs that are not listed whole.
func (s *Soak) pending() int {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	n := 0
	for _, j := range s.ledger.jobs {
		if j.accepted && len(j.listed) < len(j.items) {
			n++
		}
	}
	return n
}
