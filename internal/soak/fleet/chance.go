package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

const (
	// finishTime is how long after the end of load and faults the items at whose runs targets ended by chance may
	// take.
	finishTime = 18 * time.Second
	// cancelTime is how long after the end of a job was acknowledged its items may still reach targets.
	cancelTime = 3 * time.Second
	// greedyRate is the limit of workspace three in requests a second, and greedyInterval the time between its requests.
	greedyRate, greedyInterval = 2, 50 * time.Millisecond
	greedyKey                  = "key-three-a"
	followedItems, greedyItems = 5, 40
	minFollowedEnds            = 2
	randomFollowedEnds         = 4
	followInterval             = 5 * time.Millisecond
	// followedRunTime is how long a run of an item may take; one that is older was cut.
	followedRunTime = time.Second
)

// followItems lets targets end by chance whenever they run one item, several times for each of a series of jobs whose
// prompts share a part, until ctx is done.
func (s *Soak) followItems(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("followed-%d", n), workspace: "one", key: "key-one-a", part: fmt.Sprintf("chance-%d", n), followed: true}
		for i := range followedItems {
			j.items = append(j.items, fmt.Sprintf("%s-%d", j.id, i))
		}
		for ctx.Err() == nil && !s.submit(ctx, j, s.chooseEntry(random)) {
			s.Clock.Sleep(100 * time.Millisecond)
		}
		s.recordJob(j)
		for range minFollowedEnds + random.IntN(randomFollowedEnds) {
			if !s.endTargetOf(ctx, j.items[0]) {
				break
			}
		}
		s.Clock.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// endTargetOf waits for a target that runs the item and ends it. It returns false if ctx is done or the item completed.
func (s *Soak) endTargetOf(ctx context.Context, item string) bool {
	for ctx.Err() == nil {
		for _, t := range s.targets {
			if slices.ContainsFunc(t.Runs(), func(r platformtest.Run) bool { return r.ID == item && r.Completed }) {
				return false
			}
			s.mu.Lock()
			free := !s.reused[t]
			s.mu.Unlock()
			if !free || !t.CrashIfRunning(item, followedRunTime) {
				continue
			}
			s.mu.Lock()
			s.faultCount++
			s.mu.Unlock()
			s.Logger.WithField("target", t.Instance).WithField("item", item).Info("ending the target of an item")
			return true
		}
		s.Clock.Sleep(followInterval)
	}
	return false
}

// useBeyondRate sends requests of workspace three beyond its rate, and submits, reads and ends jobs of it, until ctx is
// done. Its calls about jobs must not be refused for its rate.
func (s *Soak) useBeyondRate(ctx context.Context, random *rand.Rand) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	online := rand.New(rand.NewPCG(random.Uint64(), 0))
	tasks.Go(func() {
		var requests conc.WaitGroup
		defer requests.Wait()
		for n := 0; ctx.Err() == nil; n++ {
			id, entry := fmt.Sprintf("greedy-%d", n), s.chooseEntry(online)
			requests.Go(func() { s.send(context.WithoutCancel(ctx), entry, "safe", id, "three", greedyKey, callerTimeout) })
			s.Clock.Sleep(greedyInterval)
		}
	})
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("greedy-job-%d", n), workspace: "three", key: greedyKey}
		for i := range greedyItems {
			j.items = append(j.items, fmt.Sprintf("%s-%d", j.id, i))
		}
		accepted := s.submit(ctx, j, s.chooseEntry(random))
		if accepted {
			s.Clock.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			s.readAndEnd(ctx, j, random)
		}
		s.recordJob(j)
		s.Clock.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	}
}

// readAndEnd reads a job and ends it. It goes on until the end is acknowledged, also when the load has ended.
func (s *Soak) readAndEnd(ctx context.Context, j *job, random *rand.Rand) {
	ctx = context.WithoutCancel(ctx)
	refused := map[string]bool{}
	call := func(name string, f func(ctx context.Context, entry netip.AddrPort) platformtest.Response) bool {
		callCtx, cancel := deadline.WithTimeout(ctx, s.Clock, callerTimeout)
		defer cancel()
		r := f(callCtx, netip.AddrPortFrom(s.entries[s.chooseEntry(random)].address, callerPort))
		if r.Err == nil && r.Status == http.StatusTooManyRequests && !refused[name] {
			refused[name] = true
			s.history.addViolation("job %s: %s was refused for the rate of its workspace: %s", j.id, name, r.Body)
		}
		return r.Err == nil && r.Status == http.StatusOK
	}
	call("a read of results", func(ctx context.Context, entry netip.AddrPort) platformtest.Response {
		_, r := s.client.Results(ctx, entry, j.id, j.key, 0)
		return r
	})
	call("a read of an item", func(ctx context.Context, entry netip.AddrPort) platformtest.Response {
		return s.client.Item(ctx, entry, j.id, j.items[0], j.key)
	})
	for until := s.Clock.Now().Add(convergenceTimeout); s.Clock.Now().Before(until); s.Clock.Sleep(50 * time.Millisecond) {
		if call("its end", func(ctx context.Context, entry netip.AddrPort) platformtest.Response {
			return s.client.Cancel(ctx, entry, j.id, j.key)
		}) {
			j.endedAt = s.Clock.Now()
			return
		}
	}
	s.history.addViolation("job %s: its end was not acknowledged", j.id)
}

// verifyEnds checks that no item reached a target long after the end of its job, unless a process was disturbed in the
// meantime, which may not have learned of the end.
func (s *Soak) verifyEnds() {
	endedAt := map[string]*job{}
	for _, j := range s.history.jobs {
		if !j.endedAt.IsZero() {
			for _, id := range j.items {
				endedAt[id] = j
			}
		}
	}
	for _, t := range s.targets {
		for _, r := range t.Runs() {
			j := endedAt[r.ID]
			if j == nil || r.At.Sub(j.endedAt) <= cancelTime || s.disturbed(s.processes(), j.endedAt.Add(-cancelTime), r.At) {
				continue
			}
			s.history.addViolation("item %s reached target %s %v after the end of its job", r.ID, t.Instance, r.At.Sub(j.endedAt).Round(time.Millisecond))
		}
	}
}

// verifyFollowed checks that the items of the jobs that followItems submitted are listed.
func (s *Soak) verifyFollowed() {
	s.history.mu.Lock()
	late := slices.DeleteFunc(slices.Clone(s.history.jobs), func(j *job) bool { return !j.followed || !j.accepted || len(j.listed) == len(j.items) })
	s.history.mu.Unlock()
	for _, j := range late {
		s.history.addViolation("job %s, at whose item targets ended by chance: %d of %d items are listed %v after the load", j.id, len(j.listed), len(j.items), finishTime)
	}
}
