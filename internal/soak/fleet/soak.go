package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

const (
	controls, stores, entries, targetCount = 3, 4, 2, 3
	// streamEvents and pace are the length and speed of a target's streams.
	streamEvents = 12
	pace         = 10 * time.Millisecond
	// neverPrefix marks items that no target can run.
	neverPrefix = "never-"
	// callers is how many callers send requests one after the other.
	callers = 8
	// patience bounds waits for the fleet to come up, and to settle at the end.
	patience = time.Minute
	// grace is how long a process may take to stop.
	grace = 10 * time.Second
	// balancerLag is how long the balancer sends callers to an entry that leaves.
	balancerLag = 800 * time.Millisecond
	// callerWait is how long callers wait for an answer.
	callerWait = 4 * time.Second
)

// Soak is one randomised run. Set the exported fields before Run.
type Soak struct {
	// Binary is the program under test, Dir an empty folder for data and logs.
	Binary   string
	Dir      string
	Seed     uint64
	Duration time.Duration
	Clock    clockwork.Clock
	Logger   log.Interface

	random  *rand.Rand
	client  *platformtest.Client
	ledger  ledger
	list    platformtest.List
	targets []*platformtest.Target // all that ever ran
	control []*process
	store   []*process
	entry   []*process
	side    []*process
	keys    map[string][]string
	// terminating are entries that got SIGTERM and no other fault.
	mu          sync.Mutex
	terminating map[*process]bool
	// unready are entries that the balancer has taken out of the rotation.
	unready map[*process]bool
	faults  int
}

// Report is the outcome of a run.
type Report struct {
	Seed                         uint64
	Requests, Served, Jobs, Done int
	Faults                       int
	// Broken lists the broken promises.
	Broken []string
}

// Run starts the fleet, loads it while faults come, and checks what was seen.
func (s *Soak) Run(ctx context.Context) (*Report, error) {
	s.random = rand.New(rand.NewPCG(s.Seed, 77))
	s.client = platformtest.NewClient()
	s.keys = map[string][]string{"one": {"key-one-a", "key-one-b"}, "two": {"key-two-a"}}
	s.ledger.withdrawn = map[string]time.Time{}
	s.terminating, s.unready = map[*process]bool{}, map[*process]bool{}
	defer s.stopAll()
	if err := s.startAll(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := s.awaitService(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	load, stop := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(s.Seed, uint64(100+i)))
		tasks.Go(func() { s.call(load, i, random) })
	}
	jobs := rand.New(rand.NewPCG(s.Seed, 99))
	tasks.Go(func() { s.submitJobs(load, jobs) })
	s.disturb(ctx)
	stop()
	tasks.Wait()
	if err := ctx.Err(); err != nil {
		return nil, errors.Annotatef(err, "seed %d", s.Seed)
	}
	s.settle(ctx)
	s.ledger.verify(s.targets)
	return s.report(), nil
}

// awaitService configures the fleet and waits until a request of each kind is served.
func (s *Soak) awaitService(ctx context.Context) error {
	until := s.Clock.Now().Add(patience)
	if !s.configure(ctx, 1, until) {
		return errors.Errorf("seed %d: no configuration was accepted within %v", s.Seed, patience)
	}
	for n := 0; s.Clock.Now().Before(until); n++ {
		served := true
		for i := range s.entry {
			q := s.send(ctx, i, "safe", fmt.Sprintf("warm-%d-%d", n, i), "one", s.keys["one"][0], callerWait)
			served = served && q.answer.Status == 200
		}
		id := fmt.Sprintf("warm-job-%d", n)
		j := &job{id: id, tenant: "one", key: s.keys["one"][0], items: []string{id + "-item"}}
		served = served && s.submit(ctx, j, 0)
		s.note(j)
		if served {
			return nil
		}
		s.Clock.Sleep(200 * time.Millisecond)
	}
	return errors.Errorf("seed %d: the fleet does not serve within %v", s.Seed, patience)
}

// settle lets the fleet recover and the jobs end, and reads back what was acknowledged.
func (s *Soak) settle(ctx context.Context) {
	until := s.Clock.Now().Add(patience)
	for s.Clock.Now().Before(until) && ctx.Err() == nil {
		s.readJobs(ctx, 0)
		if s.pending() == 0 {
			break
		}
		s.Clock.Sleep(200 * time.Millisecond)
	}
	until = s.Clock.Now().Add(patience)
	for n := 0; s.Clock.Now().Before(until) && ctx.Err() == nil; n++ {
		call, cancel := deadline.WithTimeout(ctx, s.Clock, 2*time.Second)
		v, r := s.client.Version(call, netip.AddrPortFrom(s.control[n%controls].address, operatorPort))
		cancel()
		if r.Err != nil || r.Status != 200 {
			s.Clock.Sleep(50 * time.Millisecond)
			continue
		}
		if v < s.ledger.version {
			s.ledger.breaks("configuration %d is read back, %d was acknowledged", v, s.ledger.version)
		}
		return
	}
	s.ledger.breaks("no configuration can be read at the end")
}

func (s *Soak) report() *Report {
	r := &Report{Seed: s.Seed, Requests: len(s.ledger.requests), Faults: s.faults, Broken: s.ledger.broken}
	for _, q := range s.ledger.requests {
		if q.answer.Err == nil && q.answer.Status == 200 {
			r.Served++
		}
	}
	for _, j := range s.ledger.jobs {
		if j.accepted {
			r.Jobs++
			r.Done += len(j.listed)
		}
	}
	return r
}
