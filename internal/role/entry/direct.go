package entry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/crashes"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/limits"
	"rhubarbgate.example/rhubarbgate/internal/controller/reserve"
	"rhubarbgate.example/rhubarbgate/internal/controller/streams"
	"rhubarbgate.example/rhubarbgate/internal/controller/targetlimits"
	"rhubarbgate.example/rhubarbgate/internal/http/ingress"
	"rhubarbgate.example/rhubarbgate/internal/policy/admission"
	"rhubarbgate.example/rhubarbgate/internal/policy/cold"
	"rhubarbgate.example/rhubarbgate/internal/policy/hedge"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/pick"
	policy "rhubarbgate.example/rhubarbgate/internal/policy/reserve"
	"rhubarbgate.example/rhubarbgate/internal/policy/retry"
	"rhubarbgate.example/rhubarbgate/internal/policy/versions"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// Direct is an entry that sends requests directly to the targets of the platform's
// list, without side processes. Set the exported fields before Run.
type Direct struct {
	Listener         net.Listener // for callers
	Readiness        net.Listener // for the balancer's checks
	AvailabilityZone string
	// Control are the addresses of some control hosts, which send the current list.
	Control []netip.AddrPort
	// Dialect translates requests and responses for the platform's targets.
	Dialect rhubarbgate.Dialect
	// Directory reads the platform's list of targets.
	Directory rhubarbgate.Directory
	Wire      *wire.Client
	Clock     clockwork.Clock
	Random    *rand.Rand
	Logger    log.Interface
	Metrics   *expvar.Map
	// SidePort is the port at which the side of a target listens, on the target's host; 0
	// means that sides are not asked about their targets.
	SidePort uint16
	// Asks, if set, is the UDP socket from which sides are asked for free slots, if SidePort is set.
	Asks reserve.Conn
	// Features are the optional parts that the deployment enables.
	Features rhubarbgate.Features
	// MaxAge is the age of the configuration past which the entry is not ready and
	// refuses requests that need a caller's key.
	MaxAge time.Duration
	// BalancerLag is how long the balancer may still send callers' requests after the
	// readiness check fails.
	BalancerLag time.Duration
	// HedgeShare is the share of the requests that may be repeated of which a copy may be sent; 0 means none.
	HedgeShare float64
	// JobReads is how many reads of batch jobs a second one workspace may make here; 0 means any number.
	JobReads float64
	// Grace is how long a draining entry waits for its requests, BalancerLag included.
	Grace time.Duration

	server *ingress.Server
}

// continuityTimeout bounds the question to a side for how long its target's address has been in use.
const continuityTimeout = 100 * time.Millisecond

// continuity asks the side on the host of an address since when the address has been in use without
// a pause.
func (d *Direct) continuity(ctx context.Context, address netip.AddrPort) (time.Time, bool) {
	ctx, cancel := deadline.WithTimeout(ctx, d.Clock, continuityTimeout)
	defer cancel()
	r, err := wire.Call[side.ContinuityReply](ctx, d.Wire, netip.AddrPortFrom(address.Addr(), d.SidePort), side.MethodContinuity, &side.Continuity{Target: address})
	if err != nil || r.InUse <= 0 {
		return time.Time{}, false
	}
	// The side replied before now, so the address has been in use for longer.
	return d.Clock.Now().Add(-r.InUse), true
}

// table returns the table of targets. It gets the list from the control hosts, and
// reads it from the platform while they do not send it.
func (d *Direct) table() *discovery.Table {
	t := &discovery.Table{
		Directory: d.Directory, Clock: d.Clock, Logger: d.Logger, AvailabilityZone: d.AvailabilityZone,
		Failures: newCounter(d.Metrics, "ListFailures"), Unreadable: newCounter(d.Metrics, "ListEntriesUnreadable"),
		Opened: newCounter(d.Metrics, "TargetConnections"), Ejections: newCounter(d.Metrics, "TargetsEjected"),
		IDHeader: d.Dialect.IDHeader(), Strays: newCounter(d.Metrics, "AnswersOfOthers"),
		Adopted: newCounter(d.Metrics, "TargetsAdopted"), Unconfirmed: newCounter(d.Metrics, "TargetsUnconfirmed"),
	}
	if d.SidePort != 0 {
		t.Continuity = d.continuity
	}
	return t
}

// reservations returns the client that asks sides for free slots, or nil without a socket.
func (d *Direct) reservations(p rhubarbgate.RankingPicker) *reserve.Client {
	if d.Asks == nil || d.SidePort == 0 {
		return nil
	}
	return &reserve.Client{
		Conn: d.Asks, Port: d.SidePort, Demand: &policy.Demand{Clock: d.Clock, Always: d.Features.ContendedCapacity}, Picker: p,
		Clock: d.Clock, Random: derivedRandom(d.Random, 4), Logger: d.Logger, Counts: reserve.NewClientCounters(d.Metrics),
	}
}

// Run serves until ctx ends or a listener fails. When ctx ends, it finishes the
// requests in flight and stops.
func (d *Direct) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	name := strconv.FormatUint(d.Random.Uint64(), 36)
	controls := &control.Client{Wire: d.Wire, Hosts: d.Control, Clock: d.Clock}
	stores := &control.Client{Wire: d.Wire, Clock: d.Clock}
	table := d.table()
	table.Cold = &cold.Tracker{Clock: d.Clock, Logger: d.Logger}
	table.Versions = &versions.History{Clock: d.Clock}
	origins := streams.NewKeeper(d.Wire, d.Clock, table.Versions, d.Metrics)
	origins.Refresh = table.Refresh
	keeper := targetlimits.NewKeeper(name, controls, d.Clock, d.Logger, d.Metrics)
	keeper.Cold = table.Cold
	recorder := crashes.NewRecorder(table, controls, d.Clock, d.Logger, d.Metrics)
	watcher := &configuration.Watcher{
		OnTargets: table.Update, OnQuarantine: recorder.Update, OnTargetLimits: keeper.Update, OnEvacuation: table.SetEvacuation,
		OnApplied: func(c *config.Config) { table.Cold.SetServices(c.Services) },
		Wire:      d.Wire, Parents: d.Control, Clock: d.Clock, Random: derivedRandom(d.Random, 1), Logger: d.Logger,
		Failures: newCounter(d.Metrics, "ConfigPollFailures"),
		OnPeers: func(p control.Peers) {
			controls.SetHosts(p.Controls)
			origins.SetHosts(p.Controls)
			stores.SetHosts(p.Stores)
		},
	}
	d.Metrics.Set("ZonesEvacuated", expvar.Func(func() any { return len(table.Evacuation().Zones) }))
	d.Metrics.Set("EvacuationVersion", expvar.Func(func() any { return table.Evacuation().Version }))
	d.Metrics.Set("ConfigVersion", expvar.Func(func() any { return watcher.Current().Version }))
	exchange := &limits.Exchange{
		Holder: &limit.Holder{Clock: d.Clock}, Client: controls, Clock: d.Clock, Name: name,
		Groups: watcher.Groups, Exchanges: newCounter(d.Metrics, "LimitExchanges"),
	}
	exchange.Start()
	room := &admission.Policy{Clock: d.Clock, Random: derivedRandom(d.Random, 5), Logger: d.Logger}
	d.Metrics.Set("Room", expvar.Func(func() any { return room.Snapshot() }))
	picker := &pick.LeastRequests{Random: derivedRandom(d.Random, 2)}
	d.server = &ingress.Server{
		Dialect: d.Dialect, Source: watcher, Holder: exchange.Holder, Targets: table, Crashes: recorder, Limits: keeper, Streams: origins, Stores: stores,
		Picker: &pick.WarmFirst{Picker: picker}, Reservations: d.reservations(picker), Admission: room, Budget: &retry.Budget{Ratio: retryRatio, MaxBalance: maxRetryBalance},
		Clock: d.Clock, Random: derivedRandom(d.Random, 3), Logger: d.Logger, Counts: ingress.NewCounters(d.Metrics), MaxAge: d.MaxAge,
	}
	if d.JobReads > 0 {
		d.server.JobReads = limit.Uniform(d.Clock, d.JobReads)
	}
	if d.HedgeShare > 0 {
		d.server.Hedger = &hedge.Policy{Clock: d.Clock, Share: d.HedgeShare}
	}
	d.server.Prepare()
	d.Metrics.Set("RequestsInFlight", expvar.Func(func() any { return d.server.InFlight() }))
	var tasks conc.WaitGroup
	served := make(chan error, 2)
	tasks.Go(func() { watcher.Run(work) })
	tasks.Go(func() { table.Run(work) })
	tasks.Go(func() { recorder.Run(work) })
	tasks.Go(func() { keeper.Run(work) })
	tasks.Go(func() { origins.Run(work) })
	tasks.Go(func() { exchange.Run(work) })
	if d.server.Reservations != nil {
		tasks.Go(func() { d.server.Reservations.Run(work) })
	}
	tasks.Go(func() { served <- d.server.Serve(d.Listener) })
	tasks.Go(func() { served <- d.server.ServeReadiness(d.Readiness) })
	var err error
	select {
	case <-ctx.Done():
		drain(d.server, d.Clock, d.Logger, d.BalancerLag, d.Grace-d.BalancerLag)
	case err = <-served:
	}
	stop()
	tasks.Wait()
	return errors.Trace(err)
}
