package fleet

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"time"
)

// injectFaults injects random faults, one after the other, for the duration of the run.
func (s *Soak) injectFaults(ctx context.Context) {
	until := s.Clock.Now().Add(s.Duration)
	version := uint64(1)
	for s.Clock.Now().Before(until) && ctx.Err() == nil {
		switch s.random.IntN(8) {
		case 0, 1:
			s.restart(s.pick(s.processes()), syscall.SIGKILL)
		case 2:
			s.freeze(s.pick(s.processes()))
		case 3:
			s.restart(s.pick(s.entries), syscall.SIGTERM)
		case 4:
			s.restart(s.pick(s.processes()), syscall.SIGTERM)
		case 5:
			s.drainTarget()
		case 6:
			version += 1 + s.random.Uint64N(4)
			s.changeKeys(ctx, version)
		case 7:
			s.pick(s.processes()).signal(syscall.SIGHUP)
		}
		s.Clock.Sleep(time.Duration(300+s.random.IntN(1200)) * time.Millisecond)
	}
}

// pick returns a random process of the list.
func (s *Soak) pick(l []*process) *process { return l[s.random.IntN(len(l))] }

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
func (s *Soak) restart(p *process, signal syscall.Signal) {
	defer s.disturb(p)()
	if signal == syscall.SIGTERM && strings.HasPrefix(p.name, "entry") {
		s.mu.Lock()
		s.gracefullyStopping[p] = true
		s.mu.Unlock()
		s.Logger.WithField("process", p.name).Info("stopping entry gracefully")
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
	s.Clock.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
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
func (s *Soak) freeze(p *process) {
	defer s.disturb(p)()
	s.recordFault("freeze", p)
	p.signal(syscall.SIGSTOP)
	s.Clock.Sleep(time.Duration(500+s.random.IntN(2500)) * time.Millisecond)
	p.signal(syscall.SIGCONT)
}

// drainTarget lists a target as draining for 0.5 to 3.5 seconds, then as ready again.
func (s *Soak) drainTarget() {
	t := s.targets[s.random.IntN(targetCount)]
	s.Logger.WithField("target", t.Instance).Info("draining target")
	s.mu.Lock()
	s.faultCount++
	s.mu.Unlock()
	t.SetDraining(true)
	s.Clock.Sleep(time.Duration(500+s.random.IntN(3000)) * time.Millisecond)
	t.SetDraining(false)
}

// changeKeys commits a configuration. The first call withdraws a key of workspace one;
// later ones only raise the version.
func (s *Soak) changeKeys(ctx context.Context, version uint64) {
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
