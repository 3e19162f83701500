package entry_test

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/role/side"
	"rhubarbgate.example/rhubarbgate/platform"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// addressReuseDelay is how long an address stays unused before another service gets it.
const addressReuseDelay = 500 * time.Millisecond

// startSide starts the side of a target with the given control hosts.
func (f *fleet) startSide(x *platformtest.Target, l net.Listener, seeds []netip.AddrPort) {
	ctx, stop := context.WithCancel(context.Background())
	f.t.Cleanup(stop)
	clock, logger := clockwork.NewRealClock(), &log.Logger{Handler: discard.New()}
	h := &side.Host{
		Name: x.Instance, Target: x.Address(), Listener: l, AvailabilityZone: "z", Parents: seeds, Slots: x.Slots, Batch: true,
		Clock: clock, Random: rand.New(rand.NewPCG(1, 4)), Logger: logger, Metrics: new(expvar.Map).Init(), MaxAge: 3 * time.Second,
		Dialect: platform.Dialect{}, Probe: &platform.Engine{Client: &target.Client{Address: x.Address(), KeepUnidentified: true}},
		Targets:           &discovery.Table{Directory: f.directory, Clock: clock, Logger: logger, Failures: new(expvar.Int), Unreadable: new(expvar.Int)},
		AddressReuseDelay: addressReuseDelay,
	}
	f.running.Go(func() { _ = h.Run(ctx) })
}

// TestAddressOfATargetThatGoesToAnotherService guards against requests at a target of another service, which has
// the address of a target that ended before the list shows it, although the side there goes on; and against
// leaving out a target that restarted until the list shows it.
func TestAddressOfATargetThatGoesToAnotherService(t *testing.T) {
	tests := []struct {
		name     string
		service  string
		downtime time.Duration
		alone    bool // the side reaches neither control hosts nor the list
		used     bool
	}{
		{"another service", "other", addressReuseDelay + 100*time.Millisecond, false, false},
		{"another service, the side is cut off", "other", addressReuseDelay + 100*time.Millisecond, true, false},
		{"the same service", platformtest.TargetService, 100 * time.Millisecond, false, true},
		{"the same service, the side is cut off", platformtest.TargetService, 100 * time.Millisecond, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFleetOf(t, 2, func(x *platformtest.Target) { x.CrashPart = "" })
			sides := f.listen()
			seeds := f.seeds
			if test.alone {
				gone := f.listen()
				seeds = []netip.AddrPort{gone.Addr().(*net.TCPAddr).AddrPort()}
				gone.Close()
			}
			f.startSide(f.targets[0], sides, seeds)
			f.stopEntries()
			f.sidePort = sides.Addr().(*net.TCPAddr).AddrPort().Port()
			f.startEntries()
			f.awaitServing()
			sent := 0
			send := func(count int) {
				for range count {
					sent++
					_ = f.send(sent%entryCount, "resume", fmt.Sprintf("r-%d", sent), nil)
				}
			}
			send(30)
			ended := f.targets[0]
			ended.Close()
			time.Sleep(test.downtime)
			// The list goes on to show the target that ended.
			next := &platformtest.Target{Instance: "next", Service: test.service, Slots: 8, Events: 12, Pace: 10 * time.Millisecond}
			qt.Assert(t, next.StartAt(ended.Address()), qt.IsNil)
			t.Cleanup(next.Close)
			for until := time.Now().Add(time.Second); time.Now().Before(until); {
				send(10)
			}
			qt.Assert(t, len(next.Runs()) > 0, qt.Equals, test.used, qt.Commentf("%d requests", len(next.Runs())))
		})
	}
}
