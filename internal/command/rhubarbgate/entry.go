package rhubarbgate

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/role/entry"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

func newEntry() *cobra.Command {
	var listenOn, relayOn, controls, parents, zone, picker, hostList, debug string
	var maxAge, grace, lag time.Duration
	var unlimited bool
	var subset int
	var files tlsFlags
	c := &cobra.Command{
		Use:   "entry",
		Short: "Runs an entry host, which callers reach through the balancer",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&listenOn, "listen", "127.0.0.1:8080", "IP:PORT for callers")
	f.StringVar(&relayOn, "relay", "", "IP:PORT at which other daemons poll configuration; empty means none")
	f.StringVar(&controls, "control", "", "control hosts: IP:PORT,…")
	f.StringVar(&parents, "parents", "", "where to poll configuration; empty means the control hosts")
	f.StringVar(&zone, "availability-zone", "", "this host's availability zone, as ZONE or REGION/ZONE")
	f.StringVar(&picker, "picker", "affinity", "choice of target: affinity, two-choices, helper-cost or round-robin")
	f.StringVar(&hostList, "host-list", "", "the platform's host list: http://IP:PORT/PATH; empty means none")
	f.IntVar(&subset, "subset", defaultSubset, "targets of one model or route that this entry uses; 0 means all")
	f.BoolVar(&unlimited, "unlimited-retries", false, "retry without a budget (baseline)")
	f.StringVar(&debug, "debug", "", "IP:PORT for counters; empty means none")
	f.DurationVar(&maxAge, "max-age", defaultMaxAge, "age of the configuration beyond which keyed requests are refused")
	f.DurationVar(&lag, "balancer-lag", defaultLag, "how long the balancer may send callers after the health check fails")
	f.DurationVar(&grace, "grace", defaultGrace, "how long to wait for requests when stopping")
	files.add(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		var k checks
		k.that(zone != "", "availability-zone", "is missing")
		k.that(strings.Contains(" affinity two-choices helper-cost round-robin ", " "+picker+" "), "picker", "%q is unknown", picker)
		k.that(maxAge > 0, "max-age", "is not positive")
		on := k.address("listen", listenOn)
		h := &entry.Host{
			AvailabilityZone: zone, Control: k.addresses("control", controls), Picker: picker, UnlimitedRetries: unlimited, Subset: subset,
			Clock: clockwork.NewRealClock(), Random: newRandom(0), Logger: newLogger(os.Stderr, "entry"),
			Metrics: newMetrics("Entry"), MaxAge: maxAge, Lag: lag, Grace: grace,
		}
		h.Parents = h.Control
		if parents != "" {
			h.Parents = k.addresses("parents", parents)
		}
		if hostList != "" {
			source, path, _ := strings.Cut(strings.TrimPrefix(hostList, "http://"), "/")
			h.HostList, h.HostListPath = k.address("host-list", source), "/"+path
		}
		var relay netip.AddrPort
		if relayOn != "" {
			relay = k.address("relay", relayOn)
		}
		h.TLS = files.config(&k, relay)
		h.Traffic = wire.NewTraffic(h.Metrics)
		if err := k.err(); err != nil {
			return err
		}
		if err := serveDebug(debug); err != nil {
			return err
		}
		var err error
		if h.Listener, err = listen(on, nil, nil); err != nil {
			return err
		}
		if relay.IsValid() {
			if h.Relay, err = listen(relay, h.TLS, h.Traffic); err != nil {
				return err
			}
		}
		h.Logger.WithField("listen", on.String()).Info("serving")
		return h.Run(c.Context())
	}
	return c
}
