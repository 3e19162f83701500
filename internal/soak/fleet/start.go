package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// startAll starts the target list, the targets and all processes.
func (s *Soak) startAll() error {
	s.targetList.Interleave = s.Seed%2 == 0
	if err := s.targetList.Start(); err != nil {
		return errors.Trace(err)
	}
	l := &layout{dir: s.Dir, network: byte(s.Seed%250 + 1), targetList: s.targetList.Address()}
	var seeds []string
	var addresses []netip.Addr
	for range controlCount {
		a := l.address()
		addresses, seeds = append(addresses, a), append(seeds, hostPort(a, fleetPort))
	}
	seedList := strings.Join(seeds, ",")
	for i, a := range addresses {
		s.controlHosts = append(s.controlHosts, l.replica("control", i, a, seedList))
	}
	for i := range storeCount {
		s.storeHosts = append(s.storeHosts, l.replica("store", i, l.address(), seedList))
	}
	for i := range entriesPerSize * s.Size {
		s.entries = append(s.entries, l.entry(i, l.address(), seedList))
	}
	for i := range targetsPerSize * s.Size {
		t, err := s.startTarget(i)
		if err != nil {
			return errors.Trace(err)
		}
		s.sides = append(s.sides, l.side(i, l.address(), seedList, t.Address()))
	}
	s.unlisted = &platformtest.Target{Instance: "i-unlisted", Service: platformtest.TargetService, Slots: 1}
	if err := s.unlisted.Start(); err != nil {
		return errors.Trace(err)
	}
	s.listed = slices.Clone(s.targets)
	s.targetList.Set(slices.Clone(s.listed))
	for _, p := range s.processes() {
		if err := p.start(s.Binary); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// faults are the faults of which targets choose.
var faults = []platformtest.Fault{
	platformtest.Shed, platformtest.CutStream, platformtest.OtherRequestID, platformtest.DropConnection, platformtest.Hang, platformtest.Fail,
	platformtest.NoStatus, platformtest.MalformedHeader, platformtest.MalformedRefusal,
}

// failStatuses are statuses of targets that ran a request. Callers take the last three for the
// promise that it did not run, which the targets do not state.
var failStatuses = []int{500, 503, 429, 408}

// resumeFaults are the faults of requests that resume a stream.
var resumeFaults = []platformtest.Fault{
	platformtest.ResumeError, platformtest.ResumePlainText, platformtest.ResumeRepeat, platformtest.ResumeSkip, platformtest.ResumeEmpty,
}

// resumeFaultPercent is the share of requests and items that all targets mishandle with the same one of the
// resumeFaults, so that a stream that one target cut is continued wrongly at the next.
const resumeFaultPercent = 3

// resumeFault returns the fault of all targets for a request, None for most.
func (s *Soak) resumeFault(id string) platformtest.Fault {
	random := rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(id)))
	if random.IntN(100) >= resumeFaultPercent {
		return platformtest.None
	}
	return resumeFaults[random.IntN(len(resumeFaults))]
}

// versionOf returns one of the two software versions of targets.
func versionOf(n int) string { return fmt.Sprintf("v%d", n%2+1) }

// startTarget starts the emulated target of side i. About 10% of the first two attempts
// of each request at this target get a random fault or a resumeFault; items with unrunnablePrefix always
// get status 422.
func (s *Soak) startTarget(i int) (*platformtest.Target, error) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(1000+len(s.targets))))
	t := &platformtest.Target{
		Instance: fmt.Sprintf("i-%d", len(s.targets)), Service: platformtest.TargetService, Zone: availabilityZone(i), Slots: 8,
		Events: streamEvents, Pace: eventInterval, PlainPrefixes: []string{"/safe/", "/unsafe/", "/" + markerPrefix},
		CrashPart: crashPart, CrashItem: crashItem, CrashBodies: []string{crashBody}, Version: versionOf(len(s.targets)), CrashDelay: crashDelay, Downtime: minDowntime + time.Duration(random.Int64N(int64(randomDowntime))),
	}
	behaviour := rand.New(rand.NewPCG(s.Seed, uint64(3000+len(s.targets))))
	t.FailStatus, t.Stray = failStatuses[behaviour.IntN(len(failStatuses))], s.newStrays(behaviour)
	// The target calls Fault while it holds its lock, so random needs no lock of its own.
	t.Fault = func(id string, attempt int) platformtest.Fault {
		if strings.HasPrefix(id, unrunnablePrefix) {
			return platformtest.Unprocessable
		}
		if attempt > 2 {
			return platformtest.None
		}
		if f := s.resumeFault(id); f != platformtest.None {
			return f
		}
		if random.IntN(100) >= 7 {
			return platformtest.None
		}
		return faults[random.IntN(len(faults))]
	}
	s.targets = append(s.targets, t)
	return t, t.Start()
}

// processes returns the processes of all roles.
func (s *Soak) processes() []*process {
	var r []*process
	for _, l := range [][]*process{s.controlHosts, s.storeHosts, s.entries, s.sides} {
		r = append(r, l...)
	}
	return r
}

// stopAll stops all processes concurrently, then the targets and the target list.
func (s *Soak) stopAll() {
	var tasks conc.WaitGroup
	for _, p := range s.processes() {
		if p.cmd != nil {
			tasks.Go(func() { p.stop(s.Clock, stopTimeout) })
		}
	}
	tasks.Wait()
	for _, t := range s.targets {
		t.Close()
	}
	if s.unlisted != nil {
		s.unlisted.Close()
	}
	for _, t := range s.foreign {
		t.Close()
	}
	s.targetList.Close()
}

// configure sends the configuration with the current keys to the control hosts in turn
// until one acknowledges it. It returns false if that does not happen in time or the
// configuration is refused.
func (s *Soak) configure(ctx context.Context, version uint64, until time.Time) bool {
	// The route of open jobs changes its name with each version.
	s.markers = append(s.markers, marker(version))
	document := platformtest.WithRate(platformtest.DocumentWithBatch(fmt.Sprintf("batch-%d", version), version, s.keys, s.markers...), "three", greedyRate)
	for n := 0; s.Clock.Now().Before(until) && ctx.Err() == nil; n++ {
		callCtx, cancel := deadline.WithTimeout(ctx, s.Clock, time.Second)
		r := s.client.Put(callCtx, netip.AddrPortFrom(s.controlHosts[n%controlCount].address, operatorPort), document)
		cancel()
		if r.Err == nil && r.Status == 200 {
			s.history.mu.Lock()
			s.history.version = max(s.history.version, version)
			s.history.acknowledged = append(s.history.acknowledged, acknowledgement{version, s.Clock.Now()})
			s.history.mu.Unlock()
			return true
		}
		if r.Err == nil && r.Status >= 400 && r.Status < 500 {
			s.history.addViolation("configuration %d was refused with status %d: %s", version, r.Status, r.Body)
			return false
		}
		s.Clock.Sleep(50 * time.Millisecond)
	}
	return false
}
