package rhubarbgate

import (
	"context"
	"math"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/spf13/pflag"

	"rhubarbgate.example/rhubarbgate/internal/clock/boottime"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/reserve"
	"rhubarbgate.example/rhubarbgate/internal/http/ingress"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/net/socket"
	"rhubarbgate.example/rhubarbgate/internal/role/entry"
	"rhubarbgate.example/rhubarbgate/internal/role/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform"
)

const (
	// fleetDialTimeout bounds a new connection to another process of the fleet or to
	// the side's own target.
	fleetDialTimeout = 600 * time.Millisecond
	// gcPercent is the garbage collector's target (GOGC) of the daemons that run with
	// --seeds or --target-list. Their live heaps are a few megabytes, so collecting more
	// often costs little CPU time and keeps memory low.
	gcPercent = 30
	// listDialTimeout bounds a new connection to the platform's list of targets.
	listDialTimeout = time.Second
)

// directFlags are the settings of entries and sides that read the platform's list
// of targets instead of the targets in the configuration.
type directFlags struct {
	targetList, readiness, features string
	fleetPort                       uint16
}

func (d *directFlags) add(f *pflag.FlagSet) {
	f.StringVar(&d.targetList, "target-list", "", "IP:PORT of the platform's list of targets; empty means that the configuration lists the targets")
	f.StringVar(&d.readiness, "readiness", "", "with --target-list: IP:PORT to listen on for the balancer's readiness checks; required for an entry, not used by a side")
	f.StringVar(&d.features, "features", "", "with --target-list: names of the deployment's contracts, separated by commas; those that enable no feature are ignored, and so is an empty value")
	f.Uint16Var(&d.fleetPort, "fleet-port", 0, "with --target-list: port of the fleet's processes on control and store hosts, in place of the ports in --control and --parents, and of sides on the hosts of their targets; 0 keeps the ports, and sides do not listen")
}

// maxHedgeShare bounds --hedge-share: copies of more than a fifth of the requests load a slow service too much.
const maxHedgeShare = 0.2

// optionalShare is a flag whose value may be empty, as a deployment may not enable it.
type optionalShare struct{ value float64 }

func (o *optionalShare) String() string { return strconv.FormatFloat(o.value, 'g', -1, 64) }
func (o *optionalShare) Type() string   { return "float" }

// Set implements pflag.Value.
func (o *optionalShare) Set(s string) error {
	if s == "" {
		o.value = 0
		return nil
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f >= 0 && f <= maxHedgeShare) {
		return errors.NotValidf("%q, which is not from 0 to %g,", s, maxHedgeShare)
	}
	o.value = f
	return nil
}

// replacePorts returns the addresses with their ports replaced by port; 0 keeps
// them.
func replacePorts(list []netip.AddrPort, port uint16) []netip.AddrPort {
	if port == 0 {
		return list
	}
	r := make([]netip.AddrPort, len(list))
	for i, a := range list {
		r[i] = netip.AddrPortFrom(a.Addr(), port)
	}
	return r
}

func (d *directFlags) directory(v *validator) *platform.Directory {
	return targetDirectory(v.address("target-list", d.targetList))
}

// targetDirectory returns a client of the platform's list of targets at a.
func targetDirectory(a netip.AddrPort) *platform.Directory {
	return &platform.Directory{Client: &target.Client{Address: a, Dialer: socket.Dialer(listDialTimeout)}}
}

// runDirect runs an entry that sends requests directly to the listed targets,
// without a side between them.
func (e *entryFlags) runDirect(ctx context.Context) error {
	var v validator
	a := e.check(&v)
	readiness := v.address("readiness", e.direct.readiness)
	v.require(e.jobReads >= 0 && !math.IsInf(e.jobReads, 1), "job-reads", "%g is not a rate", e.jobReads)
	d := &entry.Direct{
		AvailabilityZone: e.availabilityZone, Control: replacePorts(a.control, e.direct.fleetPort), Dialect: platform.Dialect{},
		Directory: e.direct.directory(&v), Wire: wire.NewClient(nil), Clock: boottime.New(), Random: newRandom(0),
		Logger: newLogger(os.Stdout, "entry"), Metrics: newMetrics("Entry"), MaxAge: e.maxAge, BalancerLag: e.lag, Grace: e.grace, HedgeShare: e.hedgeShare.value,
		JobReads: e.jobReads, SidePort: e.direct.fleetPort, Features: platform.Features(e.direct.features),
	}
	if err := v.err(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	held := e.memory.account(d.Logger, d.Metrics)
	d.Wire.Dialer = socket.Dialer(fleetDialTimeout)
	d.Wire.Traffic = wire.NewTraffic(d.Metrics)
	if err := serveDebug(e.debug, held); err != nil {
		return err
	}
	var err error
	if d.Listener, err = socket.Listen(a.listen.String()); err != nil {
		return errors.Trace(err)
	}
	if d.Readiness, err = socket.Listen(readiness.String()); err != nil {
		return errors.Trace(err)
	}
	if e.direct.fleetPort != 0 {
		// The port is any free one; sides reply to where an ask came from.
		if d.Asks = listenForDatagrams(netip.AddrPort{}, d.Logger); d.Asks == nil {
			d.Logger.Warn("sides are not asked for free slots")
		}
	}
	d.Listener = held.Port("callers", account.Requests, true).Listener(d.Listener)
	d.Readiness = held.Port("readiness", account.Requests, false).WithMaxBody(ingress.MaxReadinessBody).Listener(d.Readiness)
	d.Logger.WithField("listen", a.listen.String()).WithField("contendedCapacity", d.Features.ContendedCapacity).Info("serving")
	return errors.Trace(d.Run(ctx))
}

// runForListedTarget runs a side for a target on the platform's list. Entries
// send online requests directly to such a target; the side runs its batch items
// and listens only if it has a fleet port, for entries that ask for how long its target has been there.
func (s *sideFlags) runForListedTarget(ctx context.Context) error {
	var v validator
	a := s.check(&v)
	t := v.address("target", s.target)
	h := &side.Host{
		Name: s.name, Target: t, AvailabilityZone: s.availabilityZone, Slots: s.slots, Batch: true,
		Control: replacePorts(a.control, s.direct.fleetPort), Parents: replacePorts(a.parents, s.direct.fleetPort),
		Clock: boottime.New(), Random: newRandom(0), Logger: newLogger(os.Stdout, "side"), Metrics: newMetrics("Side"), AddressReuseDelay: s.reuseDelay,
		MaxAge: s.maxAge, Grace: s.grace, Dialect: platform.Dialect{}, Dialer: socket.Dialer(fleetDialTimeout),
	}
	// A report of some milliseconds ago, which may come late, serves as well.
	engine := &platform.Engine{Client: &target.Client{Address: t, Dialer: socket.Dialer(fleetDialTimeout), KeepUnidentified: true}}
	h.Probe, h.Health = engine, engine
	h.Targets = &discovery.Table{
		Directory: s.direct.directory(&v), Clock: h.Clock, Logger: h.Logger, AvailabilityZone: s.availabilityZone,
		Failures: newCounter(h.Metrics, "ListFailures"), Unreadable: newCounter(h.Metrics, "ListEntriesUnreadable"),
		Opened: newCounter(h.Metrics, "TargetConnections"), Ejections: newCounter(h.Metrics, "TargetsEjected"),
		IDHeader: h.Dialect.IDHeader(), Strays: newCounter(h.Metrics, "AnswersOfOthers"),
		Adopted: newCounter(h.Metrics, "TargetsAdopted"), Unconfirmed: newCounter(h.Metrics, "TargetsUnconfirmed"),
	}
	v.require(s.reuseDelay >= 0, "address-reuse-delay", "is negative")
	v.require(s.name != "", "target-name", "is missing")
	v.require(s.slots > 0, "slots", "is not positive")
	if err := v.err(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	h.Account = s.memory.account(h.Logger, h.Metrics)
	h.Traffic = wire.NewTraffic(h.Metrics)
	if err := serveDebug(s.debug, h.Account); err != nil {
		return err
	}
	if s.direct.fleetPort != 0 {
		address := netip.AddrPortFrom(t.Addr(), s.direct.fleetPort)
		h.Listener = listenForEntries(address, h.Logger)
		h.Asks = listenForDatagrams(address, h.Logger)
	}
	h.Logger.WithField("target", t.String()).Info("serving")
	return errors.Trace(h.Run(ctx))
}

// listenForDatagrams opens a UDP socket at an address; the zero address stands for any. Without the socket
// entries choose targets by their own view alone, so a failure is logged and does not stop the process.
func listenForDatagrams(a netip.AddrPort, l log.Interface) reserve.Conn {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		l.WithError(err).WithField("listen", a.String()).Warn("cannot exchange asks for free slots")
		return nil
	}
	return c
}

// listenForEntries listens for entries that ask about a side's target. Without a listener,
// as on a host with several targets whose address another side took, the side only cannot
// confirm that its target restarted, so a failure is logged and does not stop it.
func listenForEntries(a netip.AddrPort, l log.Interface) net.Listener {
	listener, err := socket.Listen(a.String())
	if err != nil {
		l.WithError(err).WithField("listen", a.String()).Warn("entries cannot ask this side about its target")
		return nil
	}
	return listener
}
