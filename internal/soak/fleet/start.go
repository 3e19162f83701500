package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

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
		Events: streamEvents, Pace: pace, PlainPrefixes: []string{"/safe/", "/unsafe/"},
	}
	// The emulator calls this under its lock.
	t.Fault = func(id string, nth int) platformtest.Fault {
		if strings.HasPrefix(id, neverPrefix) {
			return platformtest.Unprocessable
		}
		if nth > 2 || random.IntN(100) >= 6 {
			return platformtest.None
		}
		return []platformtest.Fault{platformtest.Shed, platformtest.CutStream, platformtest.OtherRequestID, platformtest.DropConnection, platformtest.Hang}[random.IntN(5)]
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
			tasks.Go(func() { p.stop(s.Clock, grace) })
		}
	}
	tasks.Wait()
	for _, t := range s.targets {
		t.Close()
	}
	s.list.Close()
}

// configure sends the current configuration until it is acknowledged.
func (s *Soak) configure(ctx context.Context, version uint64, until time.Time) bool {
	document := platformtest.Document(version, s.keys)
	for n := 0; s.Clock.Now().Before(until) && ctx.Err() == nil; n++ {
		call, cancel := deadline.WithTimeout(ctx, s.Clock, time.Second)
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
		s.Clock.Sleep(50 * time.Millisecond)
	}
	return false
}
