package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

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

func (s *Soak) startAll() error {
	if err := s.list.Start(); err != nil {
		return errors.Trace(err)
	}
	l := &layout{dir: s.Dir, network: byte(s.Seed%250 + 1), list: s.list.Address()}
	var seeds []string
	var addresses []netip.Addr
	for range controls {
		a := l.address()
		addresses, seeds = append(addresses, a), append(seeds, at(a, fleetPort))
	}
	list := strings.Join(seeds, ",")
	for i, a := range addresses {
		s.control = append(s.control, l.replica("control", i, a, list))
	}
	for i := range stores {
		s.store = append(s.store, l.replica("store", i, l.address(), list))
	}
	for i := range entries {
		s.entry = append(s.entry, l.entry(i, l.address(), list))
	}
	for i := range targetCount {
		t, err := s.startTarget(i)
		if err != nil {
			return errors.Trace(err)
		}
		s.side = append(s.side, l.side(i, l.address(), list, t.Address()))
	}
	s.list.Set(s.targets)
	for _, p := range s.all() {
		if err := p.start(s.Binary); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (s *Soak) startTarget(i int) (*platformtest.Target, error) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(1000+len(s.targets))))
	t := &platformtest.Target{
		Instance: fmt.Sprintf("i-%d", len(s.targets)), Service: platformtest.TargetService, Zone: zone(i), Slots: 8,
		Events: streamEvents, Pace: pace, Plain: []string{"/safe/", "/unsafe/"},
	}
	// The emulator calls this under its lock.
	t.Fault = func(id string, nth int) platformtest.Fault {
		if strings.HasPrefix(id, neverPrefix) {
			return platformtest.Never
		}
		if nth > 2 || random.IntN(100) >= 6 {
			return platformtest.None
		}
		return []platformtest.Fault{platformtest.Shed, platformtest.CutStream, platformtest.Foreign, platformtest.Lost, platformtest.Silent}[random.IntN(5)]
	}
	s.targets = append(s.targets, t)
	return t, t.Start()
}

func (s *Soak) all() []*process {
	var r []*process
	for _, l := range [][]*process{s.control, s.store, s.entry, s.side} {
		r = append(r, l...)
	}
	return r
}

func (s *Soak) stopAll() {
	var tasks conc.WaitGroup
	for _, p := range s.all() {
		if p.command != nil {
			tasks.Go(func() { p.stop(grace) })
		}
	}
	tasks.Wait()
	for _, t := range s.targets {
		t.Close()
	}
	s.list.Close()
}

// awaitService configures the fleet and waits until a request of each kind is served.
func (s *Soak) awaitService(ctx context.Context) error {
	until := time.Now().Add(patience)
	if !s.configure(ctx, 1, until) {
		return errors.Errorf("seed %d: no configuration was accepted within %v", s.Seed, patience)
	}
	for n := 0; time.Now().Before(until); n++ {
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
		time.Sleep(200 * time.Millisecond)
	}
	return errors.Errorf("seed %d: the fleet does not serve within %v", s.Seed, patience)
}

// configure sends the current configuration until it is acknowledged.
func (s *Soak) configure(ctx context.Context, version uint64, until time.Time) bool {
	document := platformtest.Document(version, s.keys)
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		call, cancel := context.WithTimeout(ctx, time.Second)
		r := s.client.Put(call, netip.AddrPortFrom(s.control[n%controls].address, operatorPort), document)
		cancel()
		if r.Err == nil && r.Status == 200 {
			s.ledger.mu.Lock()
			s.ledger.version = max(s.ledger.version, version)
			s.ledger.mu.Unlock()
			return true
		}
		if r.Err == nil && r.Status >= 400 && r.Status < 500 {
			s.ledger.breaks("configuration %d was refused with status %d: %s", version, r.Status, r.Body)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// send sends one request to an entry and notes what its caller saw.
func (s *Soak) send(ctx context.Context, entry int, route, id, tenant, key string, wait time.Duration) *sent {
	p := s.entry[entry]
	q := &sent{id: id, route: route, tenant: tenant, key: key, at: time.Now()}
	call, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.mu.Lock()
	before, faults := s.terminating[p], s.faults
	s.mu.Unlock()
	q.answer = s.client.Send(call, netip.AddrPortFrom(p.address, callerPort), route, id, key, wait)
	// The entry ends a request at the deadline too, a little before its caller.
	q.expired = call.Err() != nil || time.Since(q.at) > wait*9/10
	s.mu.Lock()
	// Only a stop that nothing else came on top of counts as graceful.
	q.stopping = (before || s.terminating[p]) && s.faults == faults
	s.mu.Unlock()
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.ledger.requests = append(s.ledger.requests, q)
	return q
}

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
			time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
		}
	}
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
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
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
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerWait)
	defer cancel()
	r := s.client.Submit(call, netip.AddrPortFrom(s.entry[entry].address, callerPort), j.id, j.key, j.items)
	ok := r.Err == nil && r.Status == 202
	j.refused = (j.refused || !j.accepted) && r.Promised() && !ok && !j.unsure
	j.unsure = j.unsure || !ok && !r.Promised()
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
		call, cancel := context.WithTimeout(ctx, callerWait)
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

// settle lets the fleet recover and the jobs end, and reads back what was acknowledged.
func (s *Soak) settle(ctx context.Context) {
	until := time.Now().Add(patience)
	for time.Now().Before(until) && ctx.Err() == nil {
		s.readJobs(ctx, 0)
		if s.pending() == 0 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	until = time.Now().Add(patience)
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		call, cancel := context.WithTimeout(ctx, 2*time.Second)
		v, r := s.client.Version(call, netip.AddrPortFrom(s.control[n%controls].address, operatorPort))
		cancel()
		if r.Err != nil || r.Status != 200 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if v < s.ledger.version {
			s.ledger.breaks("configuration %d is read back, %d was acknowledged", v, s.ledger.version)
		}
		return
	}
	s.ledger.breaks("no configuration can be read at the end")
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

// disturb injects faults, one series after the other, until the run is over.
func (s *Soak) disturb(ctx context.Context) {
	until := time.Now().Add(s.Duration)
	version := uint64(1)
	for time.Now().Before(until) && ctx.Err() == nil {
		switch s.random.IntN(8) {
		case 0, 1:
			s.restart(s.pick(s.all()), syscall.SIGKILL)
		case 2:
			s.freeze(s.pick(s.all()))
		case 3:
			s.restart(s.pick(s.entry), syscall.SIGTERM)
		case 4:
			s.restart(s.pick(s.all()), syscall.SIGTERM)
		case 5:
			s.bounceTarget()
		case 6:
			version += 1 + s.random.Uint64N(4)
			s.changeKeys(ctx, version)
		case 7:
			s.pick(s.all()).signal(syscall.SIGHUP)
		}
		time.Sleep(time.Duration(300+s.random.IntN(1200)) * time.Millisecond)
	}
}

func (s *Soak) pick(l []*process) *process { return l[s.random.IntN(len(l))] }

// fault notes a disturbance that is not a graceful stop of an entry.
func (s *Soak) fault(what string, p *process) {
	s.mu.Lock()
	s.faults++
	s.mu.Unlock()
	s.Logger.WithField("process", p.name).Info(what)
}

// restart ends a process and starts it again.
func (s *Soak) restart(p *process, signal syscall.Signal) {
	if signal == syscall.SIGTERM && strings.HasPrefix(p.name, "entry") {
		s.mu.Lock()
		s.terminating[p] = true
		s.mu.Unlock()
		s.Logger.WithField("process", p.name).Info("stop")
		noticed := time.AfterFunc(balancerLag, func() { s.setUnready(p, true) })
		p.stop(grace)
		noticed.Stop()
		s.mu.Lock()
		s.terminating[p] = false
		s.mu.Unlock()
		defer s.setUnready(p, false)
	} else {
		s.fault(signal.String(), p)
		if signal == syscall.SIGTERM {
			p.stop(grace)
		} else {
			p.kill()
		}
	}
	time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	if err := p.start(s.Binary); err != nil {
		s.ledger.breaks("%s does not start: %v", p.name, err)
	}
}

func (s *Soak) setUnready(p *process, unready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unready[p] = unready
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

// freeze stops a process for a while.
func (s *Soak) freeze(p *process) {
	s.fault("freeze", p)
	p.signal(syscall.SIGSTOP)
	time.Sleep(time.Duration(500+s.random.IntN(2500)) * time.Millisecond)
	p.signal(syscall.SIGCONT)
}

// bounceTarget lets a target leave the list for a while, as one that drains.
func (s *Soak) bounceTarget() {
	t := s.targets[s.random.IntN(targetCount)]
	s.Logger.WithField("target", t.Instance).Info("drain")
	s.mu.Lock()
	s.faults++
	s.mu.Unlock()
	t.Drain(true)
	time.Sleep(time.Duration(500+s.random.IntN(3000)) * time.Millisecond)
	t.Drain(false)
}

// changeKeys withdraws a key of the tenants or gives it back.
func (s *Soak) changeKeys(ctx context.Context, version uint64) {
	if len(s.keys["one"]) == 2 {
		s.keys["one"] = []string{"key-one-a"}
		if s.configure(ctx, version, time.Now().Add(patience)) {
			s.ledger.mu.Lock()
			s.ledger.withdrawn["key-one-b"] = time.Now()
			s.ledger.mu.Unlock()
		}
		return
	}
	// A key that is given back would need its times of validity, so only other
	// content follows.
	s.configure(ctx, version, time.Now().Add(patience))
}
