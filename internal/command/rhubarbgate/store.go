package rhubarbgate

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rhubarbgate.example/rhubarbgate/internal/clock/boottime"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/net/socket"
	"rhubarbgate.example/rhubarbgate/internal/role/replica"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform"
)

// defaultStoreGroups is the default number of job groups on the store hosts.
const defaultStoreGroups = 4

// seedFlags are the settings of store hosts and of control hosts with --seeds:
// they start from a few addresses and manage the groups' members themselves.
type seedFlags struct {
	data, listen, operator, seeds, debug, name, availabilityZone string
	targetList                                                   string
	fleetPort                                                    uint16
	bootstrap                                                    bool
	toleratedLosses, storeGroups                                 int
	retention                                                    time.Duration
	memory                                                       memoryFlags
}

// add defines the flags that store hosts and control hosts with --seeds have in
// common.
func (s *seedFlags) add(f *pflag.FlagSet) {
	s.memory.add(f)
	f.StringVar(&s.seeds, "seeds", "", "control hosts to contact first, as IP:PORT,…; required for a store host; the hosts then choose the members of the groups themselves")
	f.Uint16Var(&s.fleetPort, "fleet-port", 0, "with --seeds: port for the fleet's processes, the same on all hosts, in place of the ports in --seeds; required")
	f.BoolVar(&s.bootstrap, "bootstrap", false, "with --seeds: create a new fleet instead of joining one; only a control host that --seeds lists does so")
	f.IntVar(&s.toleratedLosses, "losses", 1, "with --seeds: number of hosts with a disk whose simultaneous loss is tolerated, 0 to 3")
	f.IntVar(&s.storeGroups, "store-groups", defaultStoreGroups, "with --seeds: number of job groups on the store hosts, 1 to 64; the same on all hosts, and never changed")
	f.StringVar(&s.name, "host-name", "", "with --seeds: name of this host")
	f.StringVar(&s.availabilityZone, "availability-zone", "", "with --seeds: this host's availability zone, as ZONE or REGION/ZONE")
	f.StringVar(&s.targetList, "target-list", "", "with --seeds: IP:PORT of the platform's list of targets, which a control host reads for all daemons; empty means none")
	f.DurationVar(&s.retention, "retention", 0, "with --seeds: how long ended jobs are kept; 0 means 48 hours")
}

func newStore() *cobra.Command {
	var s seedFlags
	c := &cobra.Command{
		Use: "store", Short: "Runs a store host, which keeps batch jobs and their results", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return s.run(c.Context(), true) },
	}
	f := c.Flags()
	f.StringVar(&s.data, "data", "", "folder of the host's stored state; required")
	f.StringVar(&s.listen, "listen", "127.0.0.1:7000", "IP:PORT to listen on for the fleet's processes")
	f.StringVar(&s.debug, "debug", "", "IP:PORT to serve counters on, under /debug/vars; empty means none")
	s.add(f)
	return c
}

// run runs a store host, or a control host and its listener for operators, until
// ctx ends.
func (s *seedFlags) run(ctx context.Context, store bool) error {
	var v validator
	v.require(s.data != "", "data", "is missing")
	v.require(s.storeGroups >= 1 && s.storeGroups <= 64, "store-groups", "%d is not between 1 and 64", s.storeGroups)
	v.require(s.toleratedLosses >= 0 && s.toleratedLosses <= 3, "losses", "%d is not between 0 and 3", s.toleratedLosses)
	s.memory.check(&v)
	v.require(s.fleetPort > 0, "fleet-port", "is missing")
	role := "control"
	if store {
		role = "store"
	}
	h := &replica.Host{
		Data: s.data, Listen: v.address("listen", s.listen), Seeds: replacePorts(v.addresses("seeds", s.seeds), s.fleetPort), Store: store,
		Name: s.name, AvailabilityZone: s.availabilityZone, ToleratedLosses: s.toleratedLosses, Join: !s.bootstrap, JobGroups: 1, StoreGroups: s.storeGroups, Retention: s.retention,
		Clock: boottime.New(), Random: newRandom(0), Logger: newLogger(os.Stdout, role), Metrics: newMetrics("Replica"),
		Dialer: socket.Dialer(fleetDialTimeout),
	}
	if store {
		h.JobGroups = s.storeGroups
	}
	if s.targetList != "" {
		h.Directory = targetDirectory(v.address("target-list", s.targetList))
	}
	if err := v.err(); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	h.Account = s.memory.account(h.Logger, h.Metrics)
	h.Traffic = wire.NewTraffic(h.Metrics)
	if err := serveDebug(s.debug, h.Account); err != nil {
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

// serveOperators serves the platform's interface for operators until stop is
// called.
func (s *seedFlags) serveOperators(h *replica.Host) (stop func(), err error) {
	l, err := socket.Listen(s.operator)
	if err != nil {
		return nil, errors.Trace(err)
	}
	client := &control.Client{Wire: wire.NewClient(nil), Hosts: h.Seeds, Clock: h.Clock}
	client.Wire.Dialer = h.Dialer
	l = h.Account.Port("operators", account.Requests, false).WithMaxBody(platform.MaxDocumentBytes).Listener(l)
	h.ControlHostsUpdated = client.SetHosts
	o := &platform.Operator{Client: client, Logger: h.Logger}
	server := o.Server()
	go func() {
		if err := server.Serve(l); err != nil {
			h.Logger.WithError(err).Error("the operators' listener failed")
		}
	}()
	return func() {
		if err := server.Shutdown(); err != nil {
			h.Logger.WithError(err).Warn("closing the operators' listener failed")
		}
	}, nil
}
