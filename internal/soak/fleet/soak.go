package fleet

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

const (
	controlCount, storeCount = 3, 4
	// entriesPerSize, targetsPerSize and callersPerSize are multiplied by Soak.Size. A caller
	// sends one request at a time.
	entriesPerSize, targetsPerSize, callersPerSize = 2, 3, 8
	// streamEvents and eventInterval are the number of events of a target's streams and
	// the time between them.
	streamEvents  = 12
	eventInterval = 10 * time.Millisecond
	// unrunnablePrefix marks items that the targets refuse for good, with status 422.
	unrunnablePrefix = "never-"
	// convergenceTimeout bounds each wait for the fleet: to serve after the start, to
	// accept a configuration, and to finish all jobs at the end.
	convergenceTimeout = time.Minute
	// stopTimeout is how long a process may take to exit after SIGTERM. It exceeds the
	// --grace of entries and sides.
	stopTimeout = 10 * time.Second
	// balancerLag is how long the balancer still routes callers to an entry after its
	// SIGTERM.
	balancerLag = 800 * time.Millisecond
	// callerTimeout is how long callers wait for a response.
	callerTimeout = 4 * time.Second
	// crashPart is the part of a prompt that crashes targets, after crashDelay. The mean time
	// between requests with it is drawn for each run; they start after a crashStartDivisor-th
	// of the run.
	crashPart           = "crash"
	crashDelay          = 50 * time.Millisecond
	minCrashInterval    = 30 * time.Millisecond
	randomCrashInterval = 300 * time.Millisecond
	crashStartDivisor   = 4
	minDowntime         = 500 * time.Millisecond
	randomDowntime      = 3 * time.Second
	commonParts         = 3
	subjectParts        = 20
	// crashBody is the body of a request that crashes targets and comes again under other IDs.
	crashBody = "crash-body"
	// maxUpgradePause bounds the time between two upgrades of targets. Targets have one of two versions.
	maxUpgradePause = 6 * time.Second
	// targetLimit is the rate that a target states while it has a limit.
	targetLimit = 4.0
	// maxOddEntries and maxOddPeriod bound how many odd entries the list has at a time, and for how long.
	maxOddEntries = 4
	maxOddPeriod  = 2 * time.Second
	// crashItem is the item that crashes targets if Soak.CrashingItem is set.
	crashItem = "crash-item"
	// addressReuseDelay is how long the address of a target that ended stays unused before one of
	// another service has it. maxReuse bounds how long that one stays.
	addressReuseDelay = time.Second
	maxReuse          = 4 * time.Second
	// largeItemBytes is the size of the items of some jobs; two of them fit into a submission.
	largeItemBytes = 3_000_000
	// defaultInjectors is the default of Soak.Injectors.
	defaultInjectors = 2
)

// Soak is one randomised run. The seed determines the random choices, but not how
// processes and faults interleave in time. Set the exported fields before Run.
type Soak struct {
	// Binary is the path of the program under test, Dir an empty directory for data and
	// logs.
	Binary   string
	Dir      string
	Seed     uint64
	Duration time.Duration
	// Size multiplies the numbers of entries, targets and callers; 0 means 1.
	Size int
	// Injectors is how many series of faults are injected at the same time; 0 means 2.
	Injectors int
	// CrashingItem replaces the requests whose prompts crash targets by one batch item that does.
	CrashingItem bool
	Clock        clockwork.Clock
	Logger       log.Interface

	client     *platformtest.Client
	history    history
	targetList platformtest.List
	targets    []*platformtest.Target // all that were started
	// unlisted is a target that only odd entries of the list name.
	unlisted *platformtest.Target
	// foreign are targets of a service to which no route leads, at addresses of targets.
	foreign      []*platformtest.Target
	controlHosts []*process
	storeHosts   []*process
	entries      []*process
	sides        []*process
	// keys holds the keys of each workspace in the current configuration.
	keys map[string][]string
	// configuring serializes changes of the configuration, whose highest version is version. markers are the routes
	// that its versions added.
	configuring sync.Mutex
	version     atomic.Uint64
	markers     []string
	// mu guards the fields below.
	mu sync.Mutex
	// gracefullyStopping holds the entries that are stopping after SIGTERM.
	gracefullyStopping map[*process]bool
	// unready holds the entries that the balancer has taken out of rotation.
	unready map[*process]bool
	// faulted holds the processes that an injector is dealing with.
	faulted    map[*process]bool
	faultCount int
	// strayCount counts the responses that targets sent out of turn.
	strayCount atomic.Int64
	// listed are the targets that the list shows: s.targets, or the foreign one at the same address.
	listed []*platformtest.Target
	// reused holds the targets whose address an injector gives to another service.
	reused map[*platformtest.Target]bool
	// disturbances are the times in which processes were stopped, frozen or restarting.
	disturbances []*disturbance
	// evacuated is set by the task that evacuates a zone.
	evacuated evacuation
}

// Report is the outcome of a run: how many requests were sent and served, how many jobs
// were accepted, how many of their items are done, how many faults were injected, how often
// requests crashed a target, how many such requests should not have reached one any more, how
// many responses targets sent out of turn, and how many streams callers took up and how many of these went on.
type Report struct {
	Seed                         uint64
	Requests, Served, Jobs, Done int
	Faults                       int
	Crashes, LateCrashingRuns    int
	Strays                       int64
	TakenUp, WentOn              int
	// Broken lists the violated guarantees.
	Broken []string
}

// Run starts the fleet, sends load while it injects faults, and checks the guarantees.
// The error is set if the run could not be completed; violated guarantees are in the
// report.
func (s *Soak) Run(ctx context.Context) (*Report, error) {
	s.Size, s.Injectors = max(s.Size, 1), cmp.Or(s.Injectors, defaultInjectors)
	s.client = platformtest.NewClient()
	s.keys = map[string][]string{"one": {"key-one-a", "key-one-b"}, "two": {"key-two-a"}, "three": {greedyKey}}
	s.history.revokedKeys = map[string]time.Time{}
	s.gracefullyStopping, s.unready, s.faulted, s.reused = map[*process]bool{}, map[*process]bool{}, map[*process]bool{}, map[*platformtest.Target]bool{}
	defer s.stopAll()
	if err := s.startAll(); err != nil {
		return nil, errors.Trace(err)
	}
	if err := s.awaitServing(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	for i := range callersPerSize * s.Size {
		random := rand.New(rand.NewPCG(s.Seed, uint64(100+i)))
		tasks.Go(func() { s.sendRequests(loadCtx, i, random) })
	}
	jobs := rand.New(rand.NewPCG(s.Seed, 99))
	tasks.Go(func() { s.submitJobs(loadCtx, jobs) })
	crashing, repeating := rand.New(rand.NewPCG(s.Seed, 98)), rand.New(rand.NewPCG(s.Seed, 96))
	sendsParts, sendsBodies := true, true
	switch repeating.IntN(3) {
	case 0:
		sendsBodies = false
	case 1:
		sendsParts = false
	}
	if s.CrashingItem {
		tasks.Go(func() { s.submitCrashingItem(loadCtx) })
		sendsParts, sendsBodies = false, false
	}
	if sendsParts {
		tasks.Go(func() { s.sendCrashingRequests(loadCtx, crashing) })
	}
	if sendsBodies {
		tasks.Go(func() { s.repeatCrashingRequest(loadCtx, repeating) })
	}
	following, greedy := rand.New(rand.NewPCG(s.Seed, 90)), rand.New(rand.NewPCG(s.Seed, 91))
	if following.IntN(2) == 0 {
		tasks.Go(func() { s.followItems(loadCtx, following) })
	}
	if greedy.IntN(2) == 0 {
		tasks.Go(func() { s.useBeyondRate(loadCtx, greedy) })
	}
	raising, probing := rand.New(rand.NewPCG(s.Seed, 92)), rand.New(rand.NewPCG(s.Seed, 93))
	tasks.Go(func() { s.raiseVersions(loadCtx, raising) })
	tasks.Go(func() { s.probeVersions(loadCtx, probing) })
	upgrading := rand.New(rand.NewPCG(s.Seed, 95))
	tasks.Go(func() { s.upgradeTargets(loadCtx, upgrading) })
	oddities := rand.New(rand.NewPCG(s.Seed, 97))
	tasks.Go(func() { s.changeOddEntries(loadCtx, oddities) })
	var evacuating conc.WaitGroup
	evacuations := rand.New(rand.NewPCG(s.Seed, 94))
	evacuating.Go(func() { s.evacuateZone(ctx, evacuations) })
	s.injectFaults(ctx)
	evacuating.Wait()
	stopLoad()
	tasks.Wait()
	if err := ctx.Err(); err != nil {
		return nil, errors.Annotatef(err, "seed %d", s.Seed)
	}
	s.awaitRecovery(ctx)
	s.verifyRestored(ctx)
	s.verifyDrain(ctx)
	s.history.verify(s.targets)
	for _, r := range s.unlisted.Runs() {
		s.history.addViolation("request %s ran at a target that only odd entries of the list name", r.ID)
	}
	for _, t := range s.foreign {
		for _, r := range t.Runs() {
			s.history.addViolation("request %s ran at target %s of a service to which no route leads", r.ID, r.Instance)
		}
	}
	s.verifyLimits()
	s.verifyEvacuation()
	s.verifyEnds()
	s.verifyProcesses()
	crashes, late := s.verifyCrashes()
	r := s.report()
	r.Crashes, r.LateCrashingRuns = crashes, late
	return r, nil
}

// awaitServing configures the fleet and waits until every entry serves a request and a
// job is accepted.
func (s *Soak) awaitServing(ctx context.Context) error {
	until := s.Clock.Now().Add(convergenceTimeout)
	if !s.configure(ctx, s.version.Add(1), until) {
		return errors.Errorf("seed %d: no configuration was accepted within %v", s.Seed, convergenceTimeout)
	}
	for n := 0; s.Clock.Now().Before(until); n++ {
		served := true
		for i := range s.entries {
			req := s.send(ctx, i, "safe", fmt.Sprintf("warm-%d-%d", n, i), "one", s.keys["one"][0], callerTimeout)
			served = served && req.response.Status == 200
		}
		id := fmt.Sprintf("warm-job-%d", n)
		j := &job{id: id, workspace: "one", key: s.keys["one"][0], items: []string{id + "-item"}}
		served = served && s.submit(ctx, j, 0)
		s.recordJob(j)
		if served {
			return nil
		}
		s.Clock.Sleep(200 * time.Millisecond)
	}
	return errors.Errorf("seed %d: the fleet did not start serving within %v", s.Seed, convergenceTimeout)
}

// awaitRecovery waits until the results of all accepted jobs are listed, then checks
// that the configuration read back is not older than the last one acknowledged.
func (s *Soak) awaitRecovery(ctx context.Context) {
	loadEnded := s.Clock.Now()
	until := loadEnded.Add(convergenceTimeout)
	verified := false
	for s.Clock.Now().Before(until) && ctx.Err() == nil {
		s.readJobs(ctx, 0)
		if s.pendingJobs() == 0 {
			break
		}
		if !verified && s.Clock.Since(loadEnded) > finishTime {
			verified = true
			s.verifyFollowed()
		}
		s.Clock.Sleep(200 * time.Millisecond)
	}
	until = s.Clock.Now().Add(convergenceTimeout)
	for n := 0; s.Clock.Now().Before(until) && ctx.Err() == nil; n++ {
		callCtx, cancel := deadline.WithTimeout(ctx, s.Clock, 2*time.Second)
		v, r := s.client.Version(callCtx, netip.AddrPortFrom(s.controlHosts[n%controlCount].address, operatorPort))
		cancel()
		if r.Err != nil || r.Status != 200 {
			s.Clock.Sleep(50 * time.Millisecond)
			continue
		}
		if v < s.history.version {
			s.history.addViolation("configuration %d is read back, %d was acknowledged", v, s.history.version)
		}
		return
	}
	s.history.addViolation("no configuration can be read at the end")
}

// report counts what the history holds.
func (s *Soak) report() *Report {
	r := &Report{Seed: s.Seed, Requests: len(s.history.requests), Faults: s.faultCount, Strays: s.strayCount.Load(), Broken: s.history.violations}
	for _, req := range s.history.requests {
		if req.response.Err == nil && req.response.Status == 200 {
			r.Served++
		}
		if req.resumes != nil {
			r.TakenUp++
			if req.response.Status == 200 {
				r.WentOn++
			}
		}
	}
	for _, j := range s.history.jobs {
		if j.accepted {
			r.Jobs++
			r.Done += len(j.listed)
		}
	}
	return r
}
