package rhubarbgate

import (
	"context"
	"net/netip"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/clock/boottime"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/role/entry"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// pickers are the values that --picker accepts; the first is the default.
var pickers = []string{"affinity", "two-choices", "helper-cost", "round-robin"}

// defaultJobReads is the default of --job-reads. A caller reads each of its jobs twice a second.
const defaultJobReads = 500

// entryFlags are the settings of an entry.
type entryFlags struct {
	daemonFlags
	relay, picker, hostList string
	unlimitedRetries        bool
	subset                  int
	direct                  directFlags
	hedgeShare              optionalShare
	jobReads                float64
}

func newEntry() *cobra.Command {
	var e entryFlags
	c := &cobra.Command{
		Use:   "entry",
		Short: "Runs an entry, which receives callers' requests from the balancer",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	e.add(f, "127.0.0.1:8080", "balancer-lag", "how long the balancer may still send callers' requests after the health check starts to fail", defaultBalancerLag)
	f.StringVar(&e.relay, "relay", "", "without --target-list: IP:PORT to listen on for other daemons that poll the configuration; empty means none")
	f.StringVar(&e.picker, "picker", pickers[0], "without --target-list: rule that chooses the target of a request: "+strings.Join(pickers, ", "))
	f.BoolVar(&e.unlimitedRetries, "unlimited-retries", false, "without --target-list: retry without a retry budget (baseline of measurements)")
	f.StringVar(&e.hostList, "host-list", "", "without --target-list: URL of the platform's host list, as http://IP:PORT/PATH; empty means none")
	f.IntVar(&e.subset, "subset", defaultSubset, "without --target-list: most targets of one model or route that this entry uses; 0 means all")
	e.direct.add(f)
	f.Var(&e.hedgeShare, "hedge-share", "with --target-list: share of the requests that may be repeated of which a copy may be sent to a second target when the answer is late, from 0 to 0.2; 0 or empty means none")
	f.Float64Var(&e.jobReads, "job-reads", defaultJobReads, "with --target-list: reads of batch jobs a second that one workspace may make at this entry; 0 sets no limit")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if e.direct.targetList != "" {
			return e.runDirect(c.Context())
		}
		return e.run(c.Context())
	}
	return c
}

func (e *entryFlags) run(ctx context.Context) error {
	var v validator
	a := e.check(&v)
	h := &entry.Host{
		AvailabilityZone: e.availabilityZone, Control: a.control, Parents: a.parents, Picker: e.picker,
		UnlimitedRetries: e.unlimitedRetries, Subset: e.subset,
		Clock: boottime.New(), Random: newRandom(0), Logger: newLogger(os.Stderr, "entry"),
		Metrics: newMetrics("Entry"), MaxAge: e.maxAge, BalancerLag: e.lag, Grace: e.grace,
	}
	relay := e.configure(&v, h)
	if err := v.err(); err != nil {
		return err
	}
	h.Account = e.memory.account(h.Logger, h.Metrics)
	if err := serveDebug(e.debug, h.Account); err != nil {
		return err
	}
	var err error
	if h.Listener, err = listen(a.listen, nil, nil); err != nil {
		return errors.Trace(err)
	}
	h.Listener = h.Account.Port("callers", account.Streams, true).Listener(h.Listener)
	if relay.IsValid() {
		if h.Relay, err = listen(relay, h.TLS, h.Traffic); err != nil {
			return errors.Trace(err)
		}
	}
	h.Logger.WithField("listen", a.listen.String()).Info("serving")
	return errors.Trace(h.Run(ctx))
}

// configure checks the settings that only an entry has, sets them in h and
// returns the relay's address, which is invalid if there is no relay.
func (e *entryFlags) configure(v *validator, h *entry.Host) netip.AddrPort {
	v.require(strings.Contains(" "+strings.Join(pickers, " ")+" ", " "+e.picker+" "), "picker", "%q is unknown", e.picker)
	v.require(e.subset >= 0, "subset", "is negative")
	if e.hostList != "" {
		source, path, _ := strings.Cut(strings.TrimPrefix(e.hostList, "http://"), "/")
		h.HostList, h.HostListPath = v.address("host-list", source), "/"+path
	}
	var relay netip.AddrPort
	if e.relay != "" {
		relay = v.address("relay", e.relay)
	}
	h.TLS = e.tlsFiles.config(v, relay)
	h.Traffic = wire.NewTraffic(h.Metrics)
	return relay
}
