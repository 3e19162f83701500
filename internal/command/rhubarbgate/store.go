package rhubarbgate

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rhubarbgate.example/rhubarbgate/internal/net/socket"
	"rhubarbgate.example/rhubarbgate/internal/role/replica"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform"
)

// defaultStoreGroups is the number of job groups of the store hosts.
const defaultStoreGroups = 4

// seedFlags are the settings of hosts that find each other from seeds.
type seedFlags struct {
	data, listen, operator, seeds, debug, name, zone string
	targets                                          string
	fleetPort                                        uint16
	bootstrap                                        bool
	losses, groups                                   int
	retention                                        time.Duration
}

// add defines the flags that a control host has besides its own.
func (s *seedFlags) add(f *pflag.FlagSet) {
	f.StringVar(&s.seeds, "seeds", "", "control hosts to begin with: IP:PORT,…; hosts then plan the membership of the groups by themselves")
	f.Uint16Var(&s.fleetPort, "fleet-port", 0, "port for the fleet's processes, on all hosts the same")
	f.BoolVar(&s.bootstrap, "bootstrap", false, "the fleet starts for the first time, with --seeds")
	f.IntVar(&s.losses, "losses", 1, "hosts with a disk that may be lost at once, with --seeds")
	f.IntVar(&s.groups, "store-groups", defaultStoreGroups, "job groups of the store hosts, the same for ever, with --seeds")
	f.StringVar(&s.name, "host-name", "", "name of this host, with --seeds")
	f.StringVar(&s.zone, "availability-zone", "", "this host's availability zone, as ZONE or REGION/ZONE")
	f.StringVar(&s.targets, "target-list", "", "IP:PORT of the platform's list of targets, which a control host reads for all daemons; empty means none")
	f.DurationVar(&s.retention, "retention", 0, "how long ended jobs are kept; 0 means 48 hours")
}

func newStore() *cobra.Command {
	var s seedFlags
	c := &cobra.Command{
		Use: "store", Short: "Runs a store host, which keeps batch jobs and their results", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return s.run(c.Context(), true) },
	}
	f := c.Flags()
	f.StringVar(&s.data, "data", "", "data folder")
	f.StringVar(&s.listen, "listen", "127.0.0.1:7000", "IP:PORT for the fleet's processes")
	f.StringVar(&s.debug, "debug", "", "IP:PORT for counters; empty means none")
	s.add(f)
	return c
}

// run runs a store host, or a control host with its operators' listener.
func (s *seedFlags) run(ctx context.Context, store bool) error {
	var k checks
	k.that(s.data != "", "data", "is missing")
	k.that(s.groups >= 1 && s.groups <= 64, "store-groups", "%d is not between 1 and 64", s.groups)
	k.that(s.losses >= 0 && s.losses <= 3, "losses", "%d is not between 0 and 3", s.losses)
	k.that(s.fleetPort > 0, "fleet-port", "is missing")
	role := "control"
	if store {
		role = "store"
	}
	h := &replica.Host{
		Data: s.data, Listen: k.address("listen", s.listen), Seeds: withPort(k.addresses("seeds", s.seeds), s.fleetPort), Store: store,
		Name: s.name, AvailabilityZone: s.zone, ToleratedLosses: s.losses, Join: !s.bootstrap, JobGroups: 1, StoreGroups: s.groups, Retention: s.retention,
		Clock: clockwork.NewRealClock(), Random: newRandom(0), Logger: newLogger(os.Stdout, role), Metrics: newMetrics("Replica"),
		Dialer: socket.Dialer(fleetDialTimeout),
	}
	if store {
		h.JobGroups = s.groups
	}
	if s.targets != "" {
		h.Directory = listedAt(k.address("target-list", s.targets))
	}
	if err := k.err(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	h.Traffic = wire.NewTraffic(h.Metrics)
	if err := serveDebug(s.debug); err != nil {
		return err
	}
	l, err := socket.Listen(h.Listen.String())
	if err != nil {
		return errors.Trace(err)
	}
	h.Listener = h.Traffic.Listener(l)
	if err := h.Open(); err != nil {
		return errors.Trace(err)
	}
	if !store {
		stop, err := s.serveOperators(h)
		if err != nil {
			return err
		}
		defer stop()
	}
	h.Logger.WithField("listen", h.Listen.String()).WithField("id", h.ID).Info("serving")
	return errors.Trace(h.Run(ctx))
}

// serveOperators answers operators in the platform's way until stop is called.
func (s *seedFlags) serveOperators(h *replica.Host) (stop func(), err error) {
	l, err := socket.Listen(s.operator)
	if err != nil {
		return nil, errors.Trace(err)
	}
	client := &control.Client{Wire: wire.NewClient(nil), Hosts: h.Seeds, Clock: h.Clock}
	client.Wire.Dialer = h.Dialer
	h.ControlHostsUpdated = client.Update
	o := &platform.Operator{Client: client, Logger: h.Logger}
	server := o.Server()
	go func() {
		if err := server.Serve(l); err != nil {
			h.Logger.WithError(err).Error("the operators' listener failed")
		}
	}()
	return func() {
		if err := server.Shutdown(); err != nil {
			h.Logger.WithError(err).Warn("closing the operators' listener")
		}
	}, nil
}
