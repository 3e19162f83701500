// Package side implements the sidecar process of a target, which runs batch items on it and, without a Probe, is the only way to it for online requests.
package side

import (
	"context"
	"crypto/tls"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/crashes"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/controller/reserve"
	"rhubarbgate.example/rhubarbgate/internal/controller/targetlimits"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/policy/cold"
	"rhubarbgate.example/rhubarbgate/internal/policy/gate"
	policy "rhubarbgate.example/rhubarbgate/internal/policy/reserve"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// defaultFirstToken and defaultBetweenTokens are the latency objectives of the
	// gate.
	defaultFirstToken    = 1300 * time.Millisecond
	defaultBetweenTokens = 68 * time.Millisecond
	// batchStartInterval spaces the starts of batch items while online work runs.
	batchStartInterval = 25 * time.Millisecond
	// drainPollInterval is how often a draining side checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// portProbeInterval is the interval of connection attempts to the target's port
	// and the timeout of each.
	portProbeInterval = time.Second
)

// Host is a side process. Set the exported fields before Run.
type Host struct {
	// Name is the target's name in the configuration, and identifies this side when
	// it leases items.
	Name             string
	Target           netip.AddrPort
	Listener         net.Listener
	AvailabilityZone string
	// Parents are the processes from which the configuration is polled.
	Parents []netip.AddrPort
	// Control are the control hosts that lease items; with a Probe, the store hosts
	// do.
	Control []netip.AddrPort
	// Models restricts the models that the side runs batch items for; empty means
	// all that the configuration names.
	Models []string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Batch enables batch items; with a Probe they always run.
	Batch bool
	// FirstCome replaces the priority gate by a first-come-first-served baseline.
	FirstCome bool
	TLS       *tls.Config
	// Dialer opens connections to the fleet's processes and to the target; nil
	// means the default.
	Dialer *net.Dialer
	// Traffic, if set, counts the bytes exchanged with other processes of the fleet.
	Traffic *wire.Traffic
	// Account, if set, bounds what the process holds for others.
	Account *account.Account
	Clock   clockwork.Clock
	Random  *rand.Rand
	Logger  log.Interface
	Metrics *expvar.Map
	// MaxAge is the age of the configuration past which online requests with a key
	// are refused and, with a Probe, no items are leased.
	MaxAge time.Duration
	// Grace is how long a draining side waits for requests in flight.
	Grace time.Duration
	// Probe reads the target's load. If it is set, online requests do not pass
	// through this side, the gate decides by the probed load, and items come from
	// store hosts.
	Probe rhubarbgate.EngineProbe
	// Health, if set, reads for how long a target stays cold.
	Health rhubarbgate.HealthProbe
	// Dialect encodes items for the target if Probe is set.
	Dialect rhubarbgate.Dialect
	// Targets lists the targets of the platform if Probe is set.
	Targets *discovery.Table
	// Service is the service that the target belongs to if Probe is set.
	Service string
	// EntryLag is how long a leaving side keeps serving, because entries may not have
	// received the report that it is leaving.
	EntryLag time.Duration
	// Asks, if set, is the UDP socket on which entries ask for free slots of the target, if Probe is set.
	Asks reserve.Conn
	// AddressReuseDelay is how long the platform leaves an address unused before a target of another
	// service gets it, if Probe is set; 0 means that it is not known.
	AddressReuseDelay time.Duration

	startedAt    time.Time
	wire         *wire.Client
	control      *control.Client
	watcher      *configuration.Watcher
	keeper       *gatekeeper.Gatekeeper
	targetClient *target.Client
	worker       *worker
	crashes      *crashes.Recorder    // nil without a Probe
	limits       *targetlimits.Keeper // nil without a Probe
	presence     *discovery.Presence  // nil without a Probe
	reservations *reserve.Server      // nil without Asks
	health       healthCheck
	leaving      atomic.Bool
	targetDown   atomic.Bool
	evacuated    atomic.Bool // the target's zone, see updateEvacuated
	// targetRequests is how many requests the target last reported, running and waiting.
	targetRequests atomic.Int64
	activeRequests atomic.Int64
	counts         counters
}

type counters struct {
	online, batch, preempted, refusedNotRun, lateResults, lostLeases, panics, itemsAtEnds *expvar.Int
	// slowestPreemption is the longest time that a preempted item took to stop, in
	// microseconds.
	slowestPreemption *expvar.Int
}

// recordPreemption records that a preempted item took d to stop.
func (c *counters) recordPreemption(d time.Duration) {
	c.slowestPreemption.Set(max(c.slowestPreemption.Value(), d.Microseconds()))
}

func newCounters(m *expvar.Map) counters {
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	return counters{
		online: counter("OnlineRequests"), batch: counter("BatchAttempts"), preempted: counter("Preemptions"),
		refusedNotRun: counter("RefusedNotRun"), lateResults: counter("ResultsTooLate"), lostLeases: counter("LeasesLost"), panics: counter("Panics"),
		itemsAtEnds: counter("ItemsAtTargetEnds"), slowestPreemption: counter("SlowestYieldMicroseconds"),
	}
}

// Run serves until ctx ends; then it drains and returns.
func (h *Host) Run(ctx context.Context) error {
	h.setUp()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if h.Probe != nil {
		return h.runBatchOnly(ctx, work)
	}
	mux := wire.NewMux()
	mux.OnPanic, mux.OnTooLarge = wire.LogPanics(h.Logger), wire.LogTooLarge(h.Logger)
	mux.Port = h.Account.Port("fleet", account.Messages, true)
	wire.ServerStream(mux, side.MethodRun, wire.Entries, h.handleRun)
	wire.ServerStream(mux, side.MethodReport, wire.Entries, h.handleReport)
	configuration.Register(mux, h.watcher, h.Clock)
	var tasks conc.WaitGroup
	served := make(chan error, 1)
	tasks.Go(func() { served <- mux.Serve(work, h.Listener) })
	tasks.Go(func() { h.watcher.Run(work) })
	tasks.Go(func() { h.keeper.Run(work) })
	tasks.Go(func() { h.probePort(work) })
	tasks.Go(func() { h.followEvacuation(work) })
	batch, stopBatch := context.WithCancel(work)
	defer stopBatch()
	if h.Batch {
		tasks.Go(func() { h.worker.run(batch) })
	}
	var err error
	select {
	case <-ctx.Done():
		h.drain(stopBatch)
	case err = <-served:
	}
	stop()
	tasks.Wait()
	h.targetClient.CloseIdle()
	return errors.Trace(err)
}

func (h *Host) setUp() {
	h.startedAt = h.Clock.Now()
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
		controls := &control.Client{Wire: h.wire, Hosts: h.Parents, Clock: h.Clock}
		h.crashes = crashes.NewRecorder(h.Targets, controls, h.Clock, h.Logger, h.Metrics)
		h.limits = targetlimits.NewKeeper(strconv.FormatUint(h.Random.Uint64(), 36), controls, h.Clock, h.Logger, h.Metrics)
		h.Targets.Cold = &cold.Tracker{Clock: h.Clock, Logger: h.Logger}
		h.limits.Cold = h.Targets.Cold
		h.watcher.OnApplied = func(c *config.Config) { h.Targets.Cold.SetServices(c.Services) }
		h.limits.Beside, h.limits.HasWork = h.targetName, func() bool { return h.worker.hadItems() }
		h.watcher.OnPeers = func(p control.Peers) {
			h.control.SetHosts(p.Stores)
			controls.SetHosts(p.Controls)
		}
		h.watcher.OnTargets, h.watcher.OnQuarantine, h.watcher.OnTargetLimits = h.Targets.Update, h.crashes.Update, h.limits.Update
		h.Targets.NamesService = h.namesService
		h.presence = &discovery.Presence{Clock: h.Clock, ReuseDelay: h.AddressReuseDelay}
		h.Targets.Continuity = func(_ context.Context, a netip.AddrPort) (time.Time, bool) {
			since, known := h.presence.Since()
			return since, known && a == h.Target
		}
	}
	h.Metrics.Set("ZoneEvacuated", expvar.Func(func() any { return h.evacuated.Load() }))
	h.Metrics.Set("EvacuationVersion", expvar.Func(func() any { return h.watcher.Evacuation().Version }))
	h.Metrics.Set("ConfigVersion", expvar.Func(func() any { return h.watcher.Current().Version }))
	h.keeper = &gatekeeper.Gatekeeper{Clock: h.Clock, Gate: h.gate(), OnPreempted: h.counts.recordPreemption}
	h.keeper.Start()
	h.targetClient = &target.Client{Address: h.Target, Dialer: h.Dialer, Clock: h.Clock, CloseDelimited: h.Probe != nil}
	if h.Probe != nil {
		h.targetClient.IDHeader, h.targetClient.OnStray = h.Dialect.IDHeader(), h.recordStray
	}
	h.worker = newWorker(h)
	if h.Probe != nil && h.Asks != nil {
		h.reservations = &reserve.Server{
			Conn: h.Asks, Target: h.Target, Ledger: &policy.Ledger{Clock: h.Clock, Slots: h.Slots},
			Items: func() int { return h.keeper.Load().Batch }, OnReserved: h.keeper.ObserveReserved,
			Clock: h.Clock, Logger: h.Logger, Counts: reserve.NewServerCounters(h.Metrics),
		}
	}
}

// recordStray records a response out of turn of the target.
func (h *Host) recordStray(s target.Stray) {
	i, _ := h.Targets.Find(h.Target)
	h.Targets.RecordStray(i, s)
}

func (h *Host) gate() rhubarbgate.Gate {
	if h.Probe != nil {
		return &gate.Yielding{Clock: h.Clock, Slots: h.Slots, Headroom: headroomSlots}
	}
	if h.FirstCome {
		return &gate.FirstCome{Clock: h.Clock, Slots: h.Slots}
	}
	return &gate.Priority{
		Clock: h.Clock, Slots: h.Slots,
		FirstToken: defaultFirstToken, BetweenTokens: defaultBetweenTokens, BatchStartInterval: batchStartInterval,
	}
}

// drain reports to entries that the side is leaving, stops leasing items, keeps
// serving for EntryLag, waits up to Grace for requests in flight and then for running
// items.
func (h *Host) drain(stopBatch func()) {
	h.leaving.Store(true)
	h.Logger.Info("leaving")
	stopBatch()
	h.Clock.Sleep(h.EntryLag)
	deadline := h.Clock.Now().Add(h.Grace)
	for h.activeRequests.Load() > 0 && h.Clock.Now().Before(deadline) {
		h.Clock.Sleep(drainPollInterval)
	}
	h.worker.waitForTasks()
}

// probePort checks periodically whether the target's port is reachable.
func (h *Host) probePort(ctx context.Context) {
	t := h.Clock.NewTicker(portProbeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		if !h.evacuated.Load() {
			h.setTargetDown(!h.targetReachable())
		}
	}
}

func (h *Host) targetReachable() bool {
	c, err := net.DialTimeout("tcp", h.Target.String(), portProbeInterval)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

func (h *Host) setTargetDown(down bool) {
	if h.targetDown.Swap(down) != down {
		h.Logger.WithField("down", down).Warn("reachability of the target changed")
	}
}

// isLeaving reports whether the side is draining or its target is leaving,
// according to the configuration or the list of targets, or in an evacuated zone.
func (h *Host) isLeaving() bool {
	if h.evacuated.Load() {
		return true
	}
	if h.Probe != nil {
		return h.leaving.Load() || !h.targetUsable()
	}
	return h.leaving.Load() || h.watcher.Current().Targets[h.Name].Leaving
}

// handleReport streams reports of the side's load.
func (h *Host) handleReport(ctx context.Context, w *side.Watch, send func(*side.Report) error) error {
	t := h.Clock.NewTicker(max(w.Interval, time.Millisecond))
	defer t.Stop()
	for {
		if err := send(h.loadReport()); err != nil {
			return errors.Trace(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.Chan():
		}
	}
}

// loadReport returns the side's current load.
func (h *Host) loadReport() *side.Report {
	l := h.keeper.Load()
	return &side.Report{
		Target: h.Name, Running: l.Online, Queued: l.Queued, Batch: l.Batch, Slots: h.Slots,
		Wait: l.Wait, Leaving: h.isLeaving(), EngineDown: h.targetDown.Load(),
	}
}

// configuration returns the configuration in force.
func (h *Host) configuration() *config.Config { return h.watcher.Current() }
