package rhubarbgate

import (
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/role/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

func newSide() *cobra.Command {
	var listenOn, target, controls, parents, zone, name, models, debug string
	var slots int
	var batch, firstCome bool
	var maxAge, grace, lag time.Duration
	var files tlsFlags
	c := &cobra.Command{
		Use:   "side",
		Short: "Runs the process beside a target, the only way into it",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&listenOn, "listen", "127.0.0.1:7100", "IP:PORT for entries")
	f.StringVar(&target, "target", "", "the target: http://IP:PORT")
	f.StringVar(&controls, "control", "", "control hosts: IP:PORT,…")
	f.StringVar(&parents, "parents", "", "where to poll configuration; empty means the control hosts")
	f.StringVar(&zone, "availability-zone", "", "this host's availability zone")
	f.StringVar(&name, "target-name", "", "the target's name in the configuration")
	f.StringVar(&models, "models", "", "models that the target must serve by the configuration; checked at the start, empty means any")
	f.IntVar(&slots, "slots", 32, "requests that the target works on at once")
	f.BoolVar(&batch, "batch", true, "run batch items in the gaps")
	f.BoolVar(&firstCome, "first-come", false, "replace the gate by first come, first served (baseline)")
	f.StringVar(&debug, "debug", "", "IP:PORT for counters; empty means none")
	f.DurationVar(&maxAge, "max-age", defaultMaxAge, "age of the configuration beyond which no keyed work starts")
	f.DurationVar(&lag, "entry-lag", time.Second, "how long entries may send work after this side says that it leaves")
	f.DurationVar(&grace, "grace", defaultGrace, "how long to wait for work when stopping")
	files.add(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		var k checks
		k.that(zone != "", "availability-zone", "is missing")
		k.that(name != "", "target-name", "is missing")
		k.that(slots > 0, "slots", "is not positive")
		on := k.address("listen", listenOn)
		h := &side.Host{
			Name: name, Target: k.address("target", strings.TrimPrefix(target, "http://")), AvailabilityZone: zone,
			Control: k.addresses("control", controls), Slots: slots, Batch: batch, FirstCome: firstCome,
			Models: splitList(models),
			Clock:  clockwork.NewRealClock(), Random: newRandom(0), Logger: newLogger(os.Stderr, "side"),
			Metrics: newMetrics("Side"), MaxAge: maxAge, Grace: grace, Lag: lag,
		}
		h.Parents = h.Control
		if parents != "" {
			h.Parents = k.addresses("parents", parents)
		}
		h.TLS = files.config(&k, on)
		h.Traffic = wire.NewTraffic(h.Metrics)
		if err := k.err(); err != nil {
			return err
		}
		if err := serveDebug(debug); err != nil {
			return err
		}
		var err error
		if h.Listener, err = listen(on, h.TLS, h.Traffic); err != nil {
			return err
		}
		h.Logger.WithField("listen", on.String()).Info("serving")
		return h.Run(c.Context())
	}
	return c
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
