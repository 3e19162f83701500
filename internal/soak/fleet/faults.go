package fleet

import (
	"context"
	"strings"
	"syscall"
	"time"
)

// disturb injects faults, one series after the other, until the run is over.
func (s *Soak) disturb(ctx context.Context) {
	until := s.Clock.Now().Add(s.Duration)
	version := uint64(1)
	for s.Clock.Now().Before(until) && ctx.Err() == nil {
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
		s.Clock.Sleep(time.Duration(300+s.random.IntN(1200)) * time.Millisecond)
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
		noticed := s.Clock.AfterFunc(balancerLag, func() { s.setUnready(p, true) })
		p.stop(s.Clock, grace)
		noticed.Stop()
		s.mu.Lock()
		s.terminating[p] = false
		s.mu.Unlock()
		defer s.setUnready(p, false)
	} else {
		s.fault(signal.String(), p)
		if signal == syscall.SIGTERM {
			p.stop(s.Clock, grace)
		} else {
			p.kill()
		}
	}
	s.Clock.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	if err := p.start(s.Binary); err != nil {
		s.ledger.breaks("%s does not start: %v", p.name, err)
	}
}

func (s *Soak) setUnready(p *process, unready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unready[p] = unready
}

// freeze stops a process for a while.
func (s *Soak) freeze(p *process) {
	s.fault("freeze", p)
	p.signal(syscall.SIGSTOP)
	s.Clock.Sleep(time.Duration(500+s.random.IntN(2500)) * time.Millisecond)
	p.signal(syscall.SIGCONT)
}

// bounceTarget lets a target leave the list for a while, as one that drains.
func (s *Soak) bounceTarget() {
	t := s.targets[s.random.IntN(targetCount)]
	s.Logger.WithField("target", t.Instance).Info("drain")
	s.mu.Lock()
	s.faults++
	s.mu.Unlock()
	t.SetDraining(true)
	s.Clock.Sleep(time.Duration(500+s.random.IntN(3000)) * time.Millisecond)
	t.SetDraining(false)
}

// changeKeys withdraws a key of the tenants or gives it back.
func (s *Soak) changeKeys(ctx context.Context, version uint64) {
	if len(s.keys["one"]) == 2 {
		s.keys["one"] = []string{"key-one-a"}
		if s.configure(ctx, version, s.Clock.Now().Add(patience)) {
			s.ledger.mu.Lock()
			s.ledger.withdrawn["key-one-b"] = s.Clock.Now()
			s.ledger.mu.Unlock()
		}
		return
	}
	// A key that is given back would need its times of validity, so only other
	// content follows.
	s.configure(ctx, version, s.Clock.Now().Add(patience))
}
