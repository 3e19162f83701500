package rhubarbgate

import (
	"context"
	"net/netip"
	"os"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/role/entry"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// pickers are the names that --picker takes.
var pickers = []string{"affinity", "two-choices", "helper-cost", "round-robin"}

// entryFlags are the settings of an entry.
type entryFlags struct {
	daemonFlags
	relay, picker, hostList string
	unlimited               bool
	subset                  int
	direct                  directFlags
}

func newEntry() *cobra.Command {
	var e entryFlags
	c := &cobra.Command{
		Use:   "entry",
		Short: "Runs an entry host, which callers reach through the balancer",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	e.add(f, "127.0.0.1:8080", "balancer-lag", "how long the balancer may send callers after the health check fails", defaultLag)
	f.StringVar(&e.relay, "relay", "", "IP:PORT at which other daemons poll configuration; empty means none")
	f.StringVar(&e.picker, "picker", pickers[0], "choice of target: "+strings.Join(pickers, ", "))
	f.BoolVar(&e.unlimited, "unlimited-retries", false, "retry without a budget (baseline)")
	f.StringVar(&e.hostList, "host-list", "", "the platform's host list: http://IP:PORT/PATH; empty means none")
	f.IntVar(&e.subset, "subset", defaultSubset, "targets of one model or route that this entry uses; 0 means all")
	e.direct.add(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if e.direct.list != "" {
			return e.runDirect(c.Context())
		}
		return e.run(c.Context())
	}
	return c
}

func (e *entryFlags) run(ctx context.Context) error {
	var k checks
	a := e.check(&k)
	h := &entry.Host{
		AvailabilityZone: e.zone, Control: a.control, Parents: a.parents, Picker: e.picker,
		UnlimitedRetries: e.unlimited, Subset: e.subset,
		Clock: clockwork.NewRealClock(), Random: newRandom(0), Logger: newLogger(os.Stderr, "entry"),
		Metrics: newMetrics("Entry"), MaxAge: e.maxAge, BalancerLag: e.lag, Grace: e.grace,
	}
	relay := e.finish(&k, h)
	if err := k.err(); err != nil {
		return err
	}
	if err := serveDebug(e.debug); err != nil {
		return err
	}
	var err error
	if h.Listener, err = listen(a.listen, nil, nil); err != nil {
		return errors.Trace(err)
	}
	if relay.IsValid() {
		if h.Relay, err = listen(relay, h.TLS, h.Traffic); err != nil {
			return errors.Trace(err)
		}
	}
	h.Logger.WithField("listen", a.listen.String()).Info("serving")
	return errors.Trace(h.Run(ctx))
}

// finish checks the entry's own settings and returns the address of the relay.
func (e *entryFlags) finish(k *checks, h *entry.Host) netip.AddrPort {
	k.that(strings.Contains(" "+strings.Join(pickers, " ")+" ", " "+e.picker+" "), "picker", "%q is unknown", e.picker)
	k.that(e.subset >= 0, "subset", "is negative")
	if e.hostList != "" {
		source, path, _ := strings.Cut(strings.TrimPrefix(e.hostList, "http://"), "/")
		h.HostList, h.HostListPath = k.address("host-list", source), "/"+path
	}
	var relay netip.AddrPort
	if e.relay != "" {
		relay = k.address("relay", e.relay)
	}
	h.TLS = e.files.config(k, relay)
	h.Traffic = wire.NewTraffic(h.Metrics)
	return relay
}
