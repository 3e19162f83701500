package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// injectFaults runs the injectors for the duration of the run.
func (s *Soak) injectFaults(ctx context.Context) {
	until := s.Clock.Now().Add(s.Duration)
	var injectors conc.WaitGroup
	for i := range s.Injectors {
		random := rand.New(rand.NewPCG(s.Seed, uint64(2000+i)))
		injectors.Go(func() {
			for s.Clock.Now().Before(until) && ctx.Err() == nil {
				s.injectSeries(ctx, random)
				s.Clock.Sleep(time.Duration(300+random.IntN(1200)) * time.Millisecond)
			}
		})
	}
	injectors.Wait()
}

// injectSeries injects one to three faults, which follow each other at once.
func (s *Soak) injectSeries(ctx context.Context, random *rand.Rand) {
	for range 1 + random.IntN(6)/3 {
		switch random.IntN(10) {
		case 0, 1:
			s.withProcess(random, s.processes(), func(p *process) { s.restart(p, syscall.SIGKILL, random) })
		case 2:
			s.withProcess(random, s.processes(), func(p *process) { s.freeze(p, random) })
		case 3:
			s.withProcess(random, s.entries, func(p *process) { s.restart(p, syscall.SIGTERM, random) })
		case 4:
			s.withProcess(random, s.processes(), func(p *process) { s.restart(p, syscall.SIGTERM, random) })
		case 5:
			s.drainTarget(random)
		case 6:
			s.changeKeys(ctx, 1+random.Uint64N(4))
		case 7:
			s.withProcess(random, s.processes(), func(p *process) { p.signal(syscall.SIGHUP) })
		case 8:
			s.limitTarget(random)
		case 9:
			s.reuseAddress(random)
		}
	}
}

// withProcess calls f with a random process of the list that no other injector deals with.
func (s *Soak) withProcess(random *rand.Rand, list []*process, f func(p *process)) {
	p := list[random.IntN(len(list))]
	s.mu.Lock()
	free := !s.faulted[p]
	s.faulted[p] = true
	s.mu.Unlock()
	if !free {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faulted[p] = false
	}()
	f(p)
}

// recordFault counts and logs a fault of a process other than the graceful stop of an
// entry.
func (s *Soak) recordFault(message string, p *process) {
	s.mu.Lock()
	s.faultCount++
	s.mu.Unlock()
	s.Logger.WithField("process", p.name).Info(message)
}

// disturbance is a time in which a process does not run as usual. until is zero while it lasts.
type disturbance struct {
	process     *process
	from, until time.Time
}

// disturb records that a process is disturbed until the returned function is called.
func (s *Soak) disturb(p *process) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &disturbance{process: p, from: s.Clock.Now()}
	s.disturbances = append(s.disturbances, d)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		d.until = s.Clock.Now()
	}
}

// disturbed reports whether one of the processes was disturbed at any time from start to end.
func (s *Soak) disturbed(list []*process, start, end time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.disturbances, func(d *disturbance) bool {
		return slices.Contains(list, d.process) && d.from.Before(end) && (d.until.IsZero() || d.until.After(start))
	})
}

// restart stops a process with the signal and starts it again after a random pause. An
// entry that receives SIGTERM is taken out of rotation after balancerLag and put back
// once it is restarted.
func (s *Soak) restart(p *process, signal syscall.Signal, random *rand.Rand) {
	defer s.disturb(p)()
	if signal == syscall.SIGTERM && strings.HasPrefix(p.name, "entry") {
		s.mu.Lock()
		s.gracefullyStopping[p] = true
		s.mu.Unlock()
		s.Logger.WithField("process", p.name).Info("stopping entry gracefully")
		if random.IntN(3) == 0 {
			// Settings may change while an entry stops.
			s.Clock.AfterFunc(time.Duration(random.IntN(2000))*time.Millisecond, func() { p.signal(syscall.SIGHUP) })
		}
		balancerTimer := s.Clock.AfterFunc(balancerLag, func() { s.setUnready(p, true) })
		p.stop(s.Clock, stopTimeout)
		balancerTimer.Stop()
		s.mu.Lock()
		s.gracefullyStopping[p] = false
		s.mu.Unlock()
		defer s.setUnready(p, false)
	} else {
		s.recordFault(signal.String(), p)
		if signal == syscall.SIGTERM {
			p.stop(s.Clock, stopTimeout)
		} else {
			p.kill()
		}
	}
	s.Clock.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	if err := p.start(s.Binary); err != nil {
		s.history.addViolation("%s does not start: %v", p.name, err)
	}
}

// setUnready takes an entry out of the balancer's rotation or puts it back.
func (s *Soak) setUnready(p *process, unready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unready[p] = unready
}

// freeze suspends a process with SIGSTOP for 0.5 to 3 seconds.
func (s *Soak) freeze(p *process, random *rand.Rand) {
	defer s.disturb(p)()
	s.recordFault("freeze", p)
	p.signal(syscall.SIGSTOP)
	s.Clock.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
	p.signal(syscall.SIGCONT)
}

// drainTarget lists a target as draining for 0.5 to 3.5 seconds, then as ready again.
func (s *Soak) drainTarget(random *rand.Rand) {
	t := s.targets[random.IntN(len(s.targets))]
	s.Logger.WithField("target", t.Instance).Info("draining target")
	s.mu.Lock()
	s.faultCount++
	s.mu.Unlock()
	t.SetDraining(true)
	s.Clock.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
	t.SetDraining(false)
}

// limitTarget makes a target state a limit for 4 to 9 seconds.
func (s *Soak) limitTarget(random *rand.Rand) {
	t := s.targets[random.IntN(len(s.targets))]
	s.Logger.WithField("target", t.Instance).Info("limiting target")
	t.SetLimit(strconv.FormatFloat(targetLimit, 'f', 1, 64))
	s.Clock.Sleep(time.Duration(4000+random.IntN(5000)) * time.Millisecond)
	t.SetLimit("")
}

// reuseAddress ends a target, starts one of another service at its address before the list shows
// that, and later brings the former back.
func (s *Soak) reuseAddress(random *rand.Rand) {
	i := random.IntN(len(s.targets))
	t := s.targets[i]
	s.mu.Lock()
	free := !s.reused[t]
	s.reused[t] = true
	s.mu.Unlock()
	if !free {
		return
	}
	s.Logger.WithField("target", t.Instance).Info("giving the address of a target to another service")
	t.Close()
	unused := func() { s.Clock.Sleep(addressReuseDelay*11/10 + time.Duration(random.IntN(1000))*time.Millisecond) }
	unused()
	x := &platformtest.Target{Instance: "foreign-" + t.Instance, Service: "foreign", Zone: t.Zone, Slots: t.Slots, Events: streamEvents, Pace: eventInterval}
	if err := x.StartAt(t.Address()); err != nil {
		s.Logger.WithError(err).Warn("the address is not reused")
	} else {
		s.mu.Lock()
		s.foreign, s.faultCount = append(s.foreign, x), s.faultCount+1
		s.mu.Unlock()
		s.Clock.Sleep(time.Duration(random.Int64N(int64(maxReuse / 2))))
		s.list(i, x)
		s.Clock.Sleep(time.Duration(random.Int64N(int64(maxReuse / 2))))
		x.Close()
		unused()
	}
	if err := t.Restart(); err != nil {
		s.Logger.WithError(err).Warn("the target stays down")
	}
	s.list(i, t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reused[t] = false
}

// list makes the list show a target in place of the i-th.
func (s *Soak) list(i int, t *platformtest.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed[i] = t
	s.targetList.Set(slices.Clone(s.listed))
}

// upgradeTargets gives targets the other software version, one after the other, until ctx is done.
func (s *Soak) upgradeTargets(ctx context.Context, random *rand.Rand) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(time.Duration(random.Int64N(int64(maxUpgradePause)))):
		}
		t, version := s.targets[random.IntN(len(s.targets))], versionOf(random.IntN(2))
		s.Logger.WithField("target", t.Instance).WithField("version", version).Info("upgrading target")
		if err := t.Upgrade(version); err != nil {
			s.Logger.WithError(err).Warn("the target stays down")
		}
	}
}

// changeOddEntries adds odd entries to the list of targets and removes them until ctx is done. Then
// it adds maxOddEntries, which stay.
func (s *Soak) changeOddEntries(ctx context.Context, random *rand.Rand) {
	odd := platformtest.OddEntries(s.unlisted.Instance, s.unlisted.Service, s.unlisted.Address())
	for {
		n, last := random.IntN(maxOddEntries+1), ctx.Err() != nil
		if last {
			n = maxOddEntries
		}
		var extra []json.RawMessage
		for range n {
			e := odd[random.IntN(len(odd))]
			s.Logger.WithField("entry", e.Name).Info("listing an odd entry")
			extra = append(extra, e.Raw)
		}
		s.targetList.SetExtra(extra)
		if last {
			return
		}
		select {
		case <-ctx.Done():
		case <-s.Clock.After(time.Duration(random.Int64N(int64(maxOddPeriod)))):
		}
	}
}

// changeKeys commits a configuration with a version that is higher by step. The first call
// withdraws a key of workspace one; later ones only raise the version.
func (s *Soak) changeKeys(ctx context.Context, step uint64) {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	version := s.version.Add(step)
	if len(s.keys["one"]) == 2 {
		s.keys["one"] = []string{"key-one-a"}
		if s.configure(ctx, version, s.Clock.Now().Add(convergenceTimeout)) {
			s.history.mu.Lock()
			s.history.revokedKeys["key-one-b"] = s.Clock.Now()
			s.history.mu.Unlock()
		}
		return
	}
	// The key stays withdrawn: restoring it would need its periods of validity in the
	// check of withdrawn keys.
	s.configure(ctx, version, s.Clock.Now().Add(convergenceTimeout))
}
