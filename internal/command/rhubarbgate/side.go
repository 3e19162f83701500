package rhubarbgate

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/role/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	defaultSlots    = 32
	defaultEntryLag = time.Second
)

// sideFlags are the settings of a side.
type sideFlags struct {
	daemonFlags
	target, name, models string
	slots                int
	batch, firstCome     bool
	direct               directFlags
}

func newSide() *cobra.Command {
	var s sideFlags
	c := &cobra.Command{
		Use:   "side",
		Short: "Runs the process beside a target, the only way into it",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	s.add(f, "127.0.0.1:7100", "entry-lag", "how long entries may send work after this side says that it leaves", defaultEntryLag)
	f.StringVar(&s.target, "target", "", "the target: http://IP:PORT")
	f.StringVar(&s.name, "target-name", "", "the target's name in the configuration")
	f.StringVar(&s.models, "models", "", "models to run batch items for, separated by commas; empty means all that the configuration names")
	f.IntVar(&s.slots, "slots", defaultSlots, "requests that the target works on at once")
	f.BoolVar(&s.batch, "batch", true, "run batch items in the gaps")
	f.BoolVar(&s.firstCome, "first-come", false, "replace the gate by first come, first served (baseline)")
	s.direct.add(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if s.direct.list != "" {
			return s.runBeside(c.Context())
		}
		return s.run(c.Context())
	}
	return c
}

func (s *sideFlags) run(ctx context.Context) error {
	var k checks
	a := s.check(&k)
	k.that(s.name != "", "target-name", "is missing")
	k.that(s.slots > 0, "slots", "is not positive")
	h := &side.Host{
		Name: s.name, Target: k.address("target", strings.TrimPrefix(s.target, "http://")), AvailabilityZone: s.zone,
		Control: a.control, Parents: a.parents, Slots: s.slots, Batch: s.batch, FirstCome: s.firstCome, Models: splitList(s.models),
		Clock: clockwork.NewRealClock(), Random: newRandom(0), Logger: newLogger(os.Stderr, "side"),
		Metrics: newMetrics("Side"), MaxAge: s.maxAge, Grace: s.grace, Lag: s.lag,
	}
	h.TLS = s.files.config(&k, a.listen)
	h.Traffic = wire.NewTraffic(h.Metrics)
	if err := k.err(); err != nil {
		return err
	}
	if err := serveDebug(s.debug); err != nil {
		return err
	}
	var err error
	if h.Listener, err = listen(a.listen, h.TLS, h.Traffic); err != nil {
		return errors.Trace(err)
	}
	h.Logger.WithField("listen", a.listen.String()).Info("serving")
	return errors.Trace(h.Run(ctx))
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
