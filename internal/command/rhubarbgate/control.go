package rhubarbgate

import (
	"context"
	"crypto/tls"
	"net/netip"
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/clock/boottime"
	"rhubarbgate.example/rhubarbgate/internal/http/operator"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/role/replica"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

func newControl() *cobra.Command {
	var data, listenOn, operatorOn, members, operators, credential, debug string
	var id uint64
	var join bool
	var groups, maxBatch int
	var tlsFiles tlsFlags
	var seeded seedFlags
	c := &cobra.Command{
		Use:   "control",
		Short: "Runs a control host, which keeps the replicated configuration and state",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&data, "data", "", "folder of the host's stored state; required")
	f.StringVar(&listenOn, "listen", "127.0.0.1:7000", "IP:PORT to listen on for the fleet's processes")
	f.StringVar(&operatorOn, "operator", "127.0.0.1:8081", "IP:PORT to listen on for operators")
	f.Uint64Var(&id, "id", 0, "without --seeds: this host's ID, from 1; required")
	f.StringVar(&members, "members", "", "without --seeds: control hosts of the first membership, as ID=IP:PORT,…; required, and must list this host unless --join is set")
	f.BoolVar(&join, "join", false, "without --seeds: wait until an operator adds this host to the existing groups")
	f.StringVar(&operators, "operators", "", "without --seeds: JSON file with the operators' public keys (Keys) and how many of them must sign a bundle (Threshold); required")
	f.StringVar(&credential, "credential", "", "without --seeds: credential that operators must send; required; set it as RHUBARBGATE_CREDENTIAL, as process lists show flags")
	f.StringVar(&debug, "debug", "", "IP:PORT to serve counters on, under /debug/vars; empty means none")
	f.IntVar(&groups, "job-groups", defaultJobGroups, "without --seeds: number of job groups, 1 to 64; the same on all control hosts, and never changed")
	f.IntVar(&maxBatch, "max-batch", 0, "without --seeds: most commands written to disk in one sync; 0 means no bound, 1 is the baseline of measurements")
	tlsFiles.add(f)
	seeded.add(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if seeded.seeds != "" {
			seeded.data, seeded.listen, seeded.operator, seeded.debug = data, listenOn, operatorOn, debug
			return seeded.run(c.Context(), false)
		}
		var v validator
		seeded.memory.check(&v)
		v.require(data != "", "data", "is missing")
		v.require(id > 0, "id", "is missing")
		v.require(credential != "", "credential", "is missing")
		v.require(groups >= 1 && groups <= 64, "job-groups", "%d is not between 1 and 64", groups)
		h := &replica.Host{
			ID: id, Data: data, Listen: v.address("listen", listenOn), Members: v.members("members", members), Join: join,
			JobGroups: groups, MaxBatch: maxBatch, Operators: v.operators("operators", operators), Clock: boottime.New(),
			Random: newRandom(0), Logger: newLogger(os.Stderr, "control"), Metrics: newMetrics("Control"),
		}
		h.Traffic = wire.NewTraffic(h.Metrics)
		operatorAddress := v.address("operator", operatorOn)
		v.require(h.Members[id] == h.Listen || join, "members", "does not list this host's ID with its --listen address")
		var operatorTLS *tls.Config
		if certificates := tlsFiles.certificates(&v, h.Listen, operatorAddress); certificates != nil {
			h.TLS, operatorTLS = certificates.Config(), certificates.OperatorConfig()
		}
		if err := v.err(); err != nil {
			return err
		}
		h.Account = seeded.memory.account(h.Logger, h.Metrics)
		if err := serveDebug(debug, h.Account); err != nil {
			return err
		}
		return runControl(c.Context(), h, operatorAddress, operatorTLS, credential)
	}
	return c
}

// runControl runs a control host and its listener for operators until ctx ends.
func runControl(ctx context.Context, h *replica.Host, operatorOn netip.AddrPort, operatorTLS *tls.Config, credential string) error {
	var err error
	if h.Listener, err = listen(h.Listen, h.TLS, h.Traffic); err != nil {
		return errors.Trace(err)
	}
	operatorListener, err := listen(operatorOn, operatorTLS, nil)
	if err != nil {
		return errors.Trace(err)
	}
	operatorListener = h.Account.Port("operators", account.Requests, false).WithMaxBody(operator.MaxBodyBytes).Listener(operatorListener)
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
	go func() { _ = o.Serve(operatorListener) }()
	defer o.Close()
	h.Logger.WithField("listen", h.Listen.String()).Info("serving")
	return errors.Trace(h.Run(ctx))
}
