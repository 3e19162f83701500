package rhubarbgate

import (
	"context"
	"crypto/tls"
	"net/netip"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/http/operator"
	"rhubarbgate.example/rhubarbgate/internal/role/replica"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

func newControl() *cobra.Command {
	var data, listenOn, operatorOn, members, operators, credential, debug string
	var id uint64
	var join bool
	var groups, maxBatch int
	var files tlsFlags
	var seeded seedFlags
	c := &cobra.Command{
		Use:   "control",
		Short: "Runs a control host, which keeps the replicated state",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&data, "data", "", "data folder")
	f.StringVar(&listenOn, "listen", "127.0.0.1:7000", "IP:PORT for the fleet's processes")
	f.StringVar(&operatorOn, "operator", "127.0.0.1:8081", "IP:PORT for operators")
	f.Uint64Var(&id, "id", 0, "this host's ID, from 1")
	f.StringVar(&members, "members", "", "first control hosts: ID=IP:PORT,…")
	f.BoolVar(&join, "join", false, "wait to be added to an existing group")
	f.StringVar(&operators, "operators", "", "file of operators' public keys and the threshold")
	f.StringVar(&credential, "credential", "", "what operators show; better set by the environment")
	f.StringVar(&debug, "debug", "", "IP:PORT for counters; empty means none")
	f.IntVar(&groups, "job-groups", defaultGroups, "number of job groups, the same on all control hosts for ever")
	f.IntVar(&maxBatch, "max-batch", 0, "commands synced together; 0 means no bound, 1 is the baseline")
	files.add(f)
	seeded.add(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if seeded.seeds != "" {
			seeded.data, seeded.listen, seeded.operator, seeded.debug = data, listenOn, operatorOn, debug
			return seeded.run(c.Context(), false)
		}
		var k checks
		k.that(data != "", "data", "is missing")
		k.that(id > 0, "id", "is missing")
		k.that(credential != "", "credential", "is missing")
		k.that(groups >= 1 && groups <= 64, "job-groups", "%d is not between 1 and 64", groups)
		h := &replica.Host{
			ID: id, Data: data, Listen: k.address("listen", listenOn), Members: k.members("members", members), Join: join,
			JobGroups: groups, MaxBatch: maxBatch, Operators: k.operators("operators", operators), Clock: clockwork.NewRealClock(),
			Random: newRandom(0), Logger: newLogger(os.Stderr, "control"), Metrics: newMetrics("Control"),
		}
		h.Traffic = wire.NewTraffic(h.Metrics)
		operatorAddress := k.address("operator", operatorOn)
		k.that(h.Members[id] == h.Listen || join, "members", "does not list this host's ID with its --listen address")
		var operatorTLS *tls.Config
		if keeper := files.keeper(&k, h.Listen, operatorAddress); keeper != nil {
			h.TLS, operatorTLS = keeper.Config(), keeper.OperatorConfig()
		}
		if err := k.err(); err != nil {
			return err
		}
		if err := serveDebug(debug); err != nil {
			return err
		}
		return runControl(c.Context(), h, operatorAddress, operatorTLS, credential)
	}
	return c
}

// runControl runs a control host with its operators' listener.
func runControl(ctx context.Context, h *replica.Host, operatorOn netip.AddrPort, operatorTLS *tls.Config, credential string) error {
	var err error
	if h.Listener, err = listen(h.Listen, h.TLS, h.Traffic); err != nil {
		return errors.Trace(err)
	}
	ol, err := listen(operatorOn, operatorTLS, nil)
	if err != nil {
		return errors.Trace(err)
	}
	if err := h.Open(); err != nil {
		return errors.Trace(err)
	}
	hosts := []netip.AddrPort{h.Listen}
	for _, a := range h.Members {
		if a != h.Listen {
			hosts = append(hosts, a)
		}
	}
	o := &operator.Server{
		Credential: credential, Source: h,
		Client: &control.Client{Wire: wire.NewClient(h.TLS), Hosts: hosts, Clock: h.Clock},
	}
	o.Prepare()
	go func() { _ = o.Serve(ol) }()
	defer o.Close()
	h.Logger.WithField("listen", h.Listen.String()).Info("serving")
	return errors.Trace(h.Run(ctx))
}
