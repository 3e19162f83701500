package rhubarbgate

import (
	"context"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/pflag"

	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/net/socket"
	"rhubarbgate.example/rhubarbgate/internal/role/entry"
	"rhubarbgate.example/rhubarbgate/internal/role/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform"
)

const (
	// fleetDialTimeout bounds a new connection between the fleet's processes.
	fleetDialTimeout = 600 * time.Millisecond
	// gcPercent keeps the heaps of the daemons small: they are a few megabytes, so
	// collecting more often costs little.
	gcPercent = 30
	// listDialTimeout bounds a new connection to the platform's list.
	listDialTimeout = time.Second
)

// directFlags are the settings of daemons whose targets are on the platform's list.
type directFlags struct {
	list, readiness string
	fleetPort       uint16
}

func (d *directFlags) add(f *pflag.FlagSet) {
	f.StringVar(&d.list, "target-list", "", "IP:PORT of the platform's list of targets; empty means that the configuration names them")
	f.StringVar(&d.readiness, "readiness", "", "IP:PORT for the balancer's readiness checks, with --target-list")
	f.Uint16Var(&d.fleetPort, "fleet-port", 0, "port of the control and store hosts for the fleet's processes, if it is not that in --control")
}

// withPort replaces the ports of addresses, unless port is 0.
func withPort(list []netip.AddrPort, port uint16) []netip.AddrPort {
	if port == 0 {
		return list
	}
	r := make([]netip.AddrPort, len(list))
	for i, a := range list {
		r[i] = netip.AddrPortFrom(a.Addr(), port)
	}
	return r
}

func (d *directFlags) directory(k *checks) *platform.Directory {
	return listedAt(k.address("target-list", d.list))
}

// listedAt returns the platform's list of targets at an address.
func listedAt(a netip.AddrPort) *platform.Directory {
	return &platform.Directory{Client: &target.Client{Address: a, Dialer: socket.Dialer(listDialTimeout)}}
}

// runDirect runs an entry whose requests go straight to the listed targets.
func (e *entryFlags) runDirect(ctx context.Context) error {
	var k checks
	a := e.check(&k)
	readiness := k.address("readiness", e.direct.readiness)
	d := &entry.Direct{
		AvailabilityZone: e.zone, Control: withPort(a.control, e.direct.fleetPort), Dialect: platform.Dialect{},
		Directory: e.direct.directory(&k), Wire: wire.NewClient(nil), Clock: clockwork.NewRealClock(), Random: newRandom(0),
		Logger: newLogger(os.Stdout, "entry"), Metrics: newMetrics("Entry"), MaxAge: e.maxAge, BalancerLag: e.lag, Grace: e.grace,
	}
	if err := k.err(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	d.Wire.Dialer = socket.Dialer(fleetDialTimeout)
	d.Wire.Traffic = wire.NewTraffic(d.Metrics)
	if err := serveDebug(e.debug); err != nil {
		return err
	}
	var err error
	if d.Listener, err = socket.Listen(a.listen.String()); err != nil {
		return errors.Trace(err)
	}
	if d.Readiness, err = socket.Listen(readiness.String()); err != nil {
		return errors.Trace(err)
	}
	d.Logger.WithField("listen", a.listen.String()).Info("serving")
	return errors.Trace(d.Run(ctx))
}

// runBeside runs a side beside a listed target.
func (s *sideFlags) runBeside(ctx context.Context) error {
	var k checks
	a := s.check(&k)
	t := k.address("target", s.target)
	h := &side.Host{
		Name: s.name, Target: t, AvailabilityZone: s.zone, Slots: s.slots, Batch: true,
		Control: withPort(a.control, s.direct.fleetPort), Parents: withPort(a.parents, s.direct.fleetPort),
		Clock: clockwork.NewRealClock(), Random: newRandom(0), Logger: newLogger(os.Stdout, "side"), Metrics: newMetrics("Side"),
		MaxAge: s.maxAge, Grace: s.grace, Dialect: platform.Dialect{}, Dialer: socket.Dialer(fleetDialTimeout),
		Probe: &platform.Engine{Client: &target.Client{Address: t, Dialer: socket.Dialer(fleetDialTimeout)}},
	}
	h.Targets = &discovery.Table{
		Directory: s.direct.directory(&k), Clock: h.Clock, Logger: h.Logger, AvailabilityZone: s.zone,
		Failures: newCounter(h.Metrics, "ListFailures"), Unreadable: newCounter(h.Metrics, "ListEntriesUnreadable"),
		Opened: newCounter(h.Metrics, "TargetConnections"), Ejections: newCounter(h.Metrics, "TargetsEjected"),
	}
	k.that(s.name != "", "target-name", "is missing")
	k.that(s.slots > 0, "slots", "is not positive")
	if err := k.err(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	h.Traffic = wire.NewTraffic(h.Metrics)
	if err := serveDebug(s.debug); err != nil {
		return err
	}
	h.Logger.WithField("target", t.String()).Info("serving")
	return errors.Trace(h.Run(ctx))
}
