// Package entry runs entry hosts, which receive callers' requests from the load balancer, admit them and choose a target.
package entry

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
	"rhubarbgate.example/rhubarbgate/internal/controller/burnrate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/limits"
	"rhubarbgate.example/rhubarbgate/internal/controller/targets"
	"rhubarbgate.example/rhubarbgate/internal/http/caller"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/pick"
	"rhubarbgate.example/rhubarbgate/internal/policy/retry"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// retryRatio is how many retries each successful request adds to the retry budget.
	retryRatio = 0.1
	// maxRetryBalance bounds the retries that the budget accumulates.
	maxRetryBalance = 20
)

// Host is one entry process. Set the exported fields before Run.
type Host struct {
	Listener         net.Listener // for callers
	Relay            net.Listener // for daemons that poll configuration here; may be nil
	AvailabilityZone string
	// Parents are the addresses from which the entry polls configuration.
	Parents []netip.AddrPort
	// Control are the addresses of the control hosts.
	Control []netip.AddrPort
	// Picker names the policy that chooses a target: affinity, two-choices,
	// helper-cost or round-robin. Any other value means affinity.
	Picker string
	// Subset bounds the targets of one model or route that the entry uses; 0 means
	// no bound.
	Subset int
	// HostList is the address that serves the platform's host list at HostListPath;
	// an invalid address means that there is none.
	HostList     netip.AddrPort
	HostListPath string
	// UnlimitedRetries disables the retry budget, as a baseline to compare it with.
	UnlimitedRetries bool
	TLS              *tls.Config // for connections to other processes of the fleet
	// Traffic, if set, counts the bytes exchanged with other processes of the fleet.
	Traffic *wire.Traffic
	// Account, if set, bounds what the process holds for others.
	Account *account.Account
	Clock   clockwork.Clock
	Random  *rand.Rand
	Logger  log.Interface
	Metrics *expvar.Map
	// MaxAge is the age of the configuration past which the health check fails and
	// requests with a caller's key are refused.
	MaxAge time.Duration
	// BalancerLag is how long the balancer may still send callers' requests after the
	// health check fails.
	BalancerLag time.Duration
	// Grace is how long a draining entry waits for its requests after BalancerLag.
	Grace time.Duration

	server *caller.Server
	table  atomic.Pointer[targets.Table]
}

// Run serves until ctx ends or a listener fails. When ctx ends, it finishes the
// requests in flight and stops.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	name := strconv.FormatUint(h.Random.Uint64(), 36)
	client := wire.NewClient(h.TLS)
	client.Traffic = h.Traffic
	controls := &control.Client{Wire: client, Hosts: h.Control, Clock: h.Clock}
	table := &targets.Table{
		Wire: client, Clock: h.Clock, Logger: h.Logger,
		AvailabilityZone: h.AvailabilityZone, Name: name, Subset: h.Subset, Ejections: newCounter(h.Metrics, "TargetsEjected"),
	}
	table.Start(work)
	h.table.Store(table)
	watcher := &configuration.Watcher{
		Wire: client, Parents: h.Parents, Clock: h.Clock, Random: derivedRandom(h.Random, 1), Logger: h.Logger,
		Failures:  newCounter(h.Metrics, "ConfigPollFailures"),
		OnApplied: func(c *config.Config) { table.Update(c) }, OnEvacuation: table.SetEvacuation,
	}
	h.Metrics.Set("ConfigVersion", expvar.Func(func() any { return watcher.Current().Version }))
	exchange := &limits.Exchange{
		Holder: &limit.Holder{Clock: h.Clock}, Client: controls, Clock: h.Clock, Name: name,
		Groups: watcher.Groups, Exchanges: newCounter(h.Metrics, "LimitExchanges"),
	}
	exchange.Start()
	recorder := &burnrate.Recorder{
		Source: watcher, Client: controls, Clock: h.Clock, Name: name, Pushes: newCounter(h.Metrics, "BurnPushes"),
	}
	h.server = &caller.Server{
		Source: watcher, Holder: exchange.Holder, Targets: table, Wire: client, Control: controls,
		Picker: h.picker(), Budget: h.budget(), Clock: h.Clock, Logger: h.Logger,
		Counts: caller.NewCounters(h.Metrics), Observe: recorder.Observe, MaxAge: h.MaxAge, Name: name,
	}
	h.server.Prepare()
	h.Metrics.Set("RequestsInFlight", expvar.Func(func() any { return h.server.InFlight() }))
	var tasks conc.WaitGroup
	served := make(chan error, 2)
	tasks.Go(func() { watcher.Run(work) })
	tasks.Go(func() { table.Run(work) })
	tasks.Go(func() { exchange.Run(work) })
	if h.HostList.IsValid() {
		list := &targets.HostList{
			Source: h.HostList, Path: h.HostListPath, Clock: h.Clock, Table: table,
			Failures: newCounter(h.Metrics, "HostListFailures"), Unreadable: newCounter(h.Metrics, "HostListEntriesUnreadable"),
		}
		tasks.Go(func() { list.Run(work) })
	}
	tasks.Go(func() { recorder.Run(work) })
	tasks.Go(func() { served <- h.server.Serve(h.Listener) })
	if h.Relay != nil {
		mux := wire.NewMux()
		mux.OnPanic, mux.OnTooLarge = wire.LogPanics(h.Logger), wire.LogTooLarge(h.Logger)
		mux.Port = h.Account.Port("fleet", account.Messages, false)
		configuration.Register(mux, watcher, h.Clock)
		tasks.Go(func() { served <- mux.Serve(work, h.Relay) })
	}
	var err error
	select {
	case <-ctx.Done():
		drain(h.server, h.Clock, h.Logger, h.BalancerLag, h.Grace)
		recorder.Push(work)
	case err = <-served:
	}
	stop()
	tasks.Wait()
	return errors.Trace(err)
}

// ServesModel reports whether a target of the model has reported its load, so that
// it can be chosen.
func (h *Host) ServesModel(model string) bool {
	t := h.table.Load()
	return t != nil && t.HasReport(model)
}

// budget returns the limit on retries.
func (h *Host) budget() rhubarbgate.RetryBudget {
	if h.UnlimitedRetries {
		return retry.Unlimited{}
	}
	return &retry.Budget{Ratio: retryRatio, MaxBalance: maxRetryBalance}
}

// picker returns the policy that Picker names.
func (h *Host) picker() rhubarbgate.Picker {
	twoChoices := &pick.TwoChoices{Random: derivedRandom(h.Random, 3)}
	switch h.Picker {
	case "round-robin":
		return &pick.RoundRobin{}
	case "two-choices":
		return twoChoices
	case "helper-cost":
		return pick.HelperCost{}
	default:
		return &pick.Affinity{Fallback: twoChoices}
	}
}
