// Package side is the role of the process beside each target: the only way into it, for online and batch work.
package side

import (
	"context"
	"crypto/tls"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/policy/gate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// defaultFirstToken and defaultBetweenTokens are the objectives where the
	// configuration names none.
	defaultFirstToken    = 1300 * time.Millisecond
	defaultBetweenTokens = 68 * time.Millisecond
	// batchStartEvery spaces the starts of batch items beside online work.
	batchStartEvery = 25 * time.Millisecond
	// drainPoll is how often a leaving side looks whether its work has ended.
	drainPoll = 20 * time.Millisecond
	// probeInterval is how often the target's port is tried.
	probeInterval = time.Second
)

// Host is one side process. Set the exported fields before Run.
type Host struct {
	Name             string
	Target           netip.AddrPort
	Listener         net.Listener
	AvailabilityZone string
	Parents          []netip.AddrPort
	Control          []netip.AddrPort
	// Models restricts the models that the side runs batch items for; empty means
	// all that the configuration names.
	Models []string
	Slots  int
	Batch  bool
	// FirstCome replaces the gate by the baseline.
	FirstCome bool
	TLS       *tls.Config
	// Dialer opens connections to the fleet's processes; nil means the default.
	Dialer *net.Dialer
	// Traffic counts the bytes between the fleet's processes, if set.
	Traffic *wire.Traffic
	Clock   clockwork.Clock
	Random  *rand.Rand
	Logger  log.Interface
	Metrics *expvar.Map
	// MaxAge is the age of the configuration beyond which no keyed work starts.
	MaxAge time.Duration
	// Grace is how long a leaving side waits for its work.
	Grace time.Duration
	// Probe asks the target for its load. With it, online requests do not pass
	// this side, the gate goes by the probe, and items come from store hosts.
	Probe rhubarbgate.EngineProbe
	// Dialect is how items are sent if Probe is set.
	Dialect rhubarbgate.Dialect
	// Targets lists the targets of the platform if Probe is set.
	Targets *discovery.Table
	// Service is the service that the target belongs to if Probe is set.
	Service string
	// Lag is how long a leaving side keeps listening for entries that do not know yet.
	Lag time.Duration

	wire    *wire.Client
	control *control.Client
	watcher *configuration.Watcher
	keeper  *gatekeeper.Gatekeeper
	engine  *target.Client
	worker  *worker
	leaving atomic.Bool
	down    atomic.Bool
	active  atomic.Int64
	counts  counters
}

type counters struct {
	online, batch, preempted, refused, late, lost *expvar.Int
	// slowestYield is in microseconds.
	slowestYield *expvar.Int
}

// noteYield keeps the longest time that a preempted item took to stop.
func (c *counters) noteYield(d time.Duration) {
	c.slowestYield.Set(max(c.slowestYield.Value(), d.Microseconds()))
}

func newCounters(m *expvar.Map) counters {
	n := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	return counters{
		online: n("OnlineRequests"), batch: n("BatchAttempts"), preempted: n("Preemptions"),
		refused: n("RefusedNotRun"), late: n("ResultsTooLate"), lost: n("LeasesLost"), slowestYield: n("SlowestYieldMicroseconds"),
	}
}

// Run serves until ctx ends; then it finishes its work and stops.
func (h *Host) Run(ctx context.Context) error {
	h.open()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if h.Probe != nil {
		return h.runBeside(ctx, work)
	}
	mux := wire.NewMux()
	wire.Streamed(mux, side.MethodRun, wire.Entries, h.run)
	wire.Streamed(mux, side.MethodReport, wire.Entries, h.report)
	configuration.Register(mux, h.watcher, h.Clock)
	var tasks conc.WaitGroup
	served := make(chan error, 1)
	tasks.Go(func() { served <- mux.Serve(work, h.Listener) })
	tasks.Go(func() { h.watcher.Run(work) })
	tasks.Go(func() { h.keeper.Run(work) })
	tasks.Go(func() { h.probe(work) })
	batch, stopBatch := context.WithCancel(work)
	defer stopBatch()
	if h.Batch {
		tasks.Go(func() { h.worker.run(batch) })
	}
	var err error
	select {
	case <-ctx.Done():
		h.leave(stopBatch)
	case err = <-served:
	}
	stop()
	tasks.Wait()
	h.engine.CloseIdle()
	return errors.Trace(err)
}

func (h *Host) open() {
	h.wire = wire.NewClient(h.TLS)
	h.wire.Dialer = h.Dialer
	h.wire.Traffic = h.Traffic
	h.control = &control.Client{Wire: h.wire, Hosts: h.Control, Clock: h.Clock}
	if h.Probe != nil {
		h.control.Hosts = nil
	}
	h.counts = newCounters(h.Metrics)
	failures := new(expvar.Int)
	h.Metrics.Set("ConfigPollFailures", failures)
	h.watcher = &configuration.Watcher{
		Wire: h.wire, Parents: h.Parents, Clock: h.Clock, Random: h.Random, Logger: h.Logger, Failures: failures,
	}
	if h.Probe != nil {
		h.watcher.Met = func(p control.Peers) { h.control.Update(p.Stores) }
		h.watcher.Listed = h.Targets.Update
	}
	h.Metrics.Set("ConfigVersion", expvar.Func(func() any { return h.watcher.Current().Version }))
	h.keeper = &gatekeeper.Gatekeeper{Clock: h.Clock, Gate: h.gate(), Yielded: h.counts.noteYield}
	h.keeper.Start()
	h.engine = &target.Client{Address: h.Target, Dialer: h.Dialer, CloseDelimited: h.Probe != nil}
	h.worker = newWorker(h)
}

func (h *Host) gate() rhubarbgate.Gate {
	if h.Probe != nil {
		return &gate.Yielding{Clock: h.Clock, Slots: h.Slots, Headroom: headroom}
	}
	if h.FirstCome {
		return &gate.FirstCome{Clock: h.Clock, Slots: h.Slots}
	}
	return &gate.Priority{
		Clock: h.Clock, Slots: h.Slots,
		FirstToken: defaultFirstToken, BetweenTokens: defaultBetweenTokens, StartEvery: batchStartEvery,
	}
}

// leave tells entries to go elsewhere, lets work end, and returns leases.
func (h *Host) leave(stopBatch func()) {
	h.leaving.Store(true)
	h.Logger.Info("leaving")
	stopBatch()
	h.Clock.Sleep(h.Lag)
	deadline := h.Clock.Now().Add(h.Grace)
	for h.active.Load() > 0 && h.Clock.Now().Before(deadline) {
		h.Clock.Sleep(drainPoll)
	}
	h.worker.wait()
}

// probe notices when the target's port cannot be reached.
func (h *Host) probe(ctx context.Context) {
	t := h.Clock.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		h.setDown(!h.reachable())
	}
}

func (h *Host) reachable() bool {
	c, err := net.DialTimeout("tcp", h.Target.String(), probeInterval)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

func (h *Host) setDown(down bool) {
	if h.down.Swap(down) != down {
		h.Logger.WithField("down", down).Warn("reachability of the target changed")
	}
}

// isLeaving reports whether the side or, by configuration, its target leaves.
func (h *Host) isLeaving() bool {
	if h.Probe != nil {
		return h.leaving.Load() || !h.usable()
	}
	return h.leaving.Load() || h.watcher.Current().Targets[h.Name].Leaving
}

// report streams the side's load.
func (h *Host) report(ctx context.Context, w *side.Watch, send func(*side.Report) error) error {
	t := h.Clock.NewTicker(max(w.Interval, time.Millisecond))
	defer t.Stop()
	for {
		if err := send(h.load()); err != nil {
			return errors.Trace(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.Chan():
		}
	}
}

// load describes the side's work at this moment.
func (h *Host) load() *side.Report {
	l := h.keeper.Load()
	return &side.Report{
		Target: h.Name, Running: l.Online, Queued: l.Queued, Batch: l.Batch, Slots: h.Slots,
		Wait: l.Wait, Leaving: h.isLeaving(), EngineDown: h.down.Load(),
	}
}

// configuration returns the configuration in force.
func (h *Host) configuration() *config.Config { return h.watcher.Current() }
