package rhubarbgate

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/clock/boottime"
	"rhubarbgate.example/rhubarbgate/internal/role/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// Defaults of the side's flags.
const (
	defaultSlots    = 32
	defaultEntryLag = time.Second
)

// sideFlags are the settings of a side, the sidecar process of a target. Without
// --target-list, entries reach the target only through its side.
type sideFlags struct {
	daemonFlags
	target, name, models string
	slots                int
	batch, firstCome     bool
	reuseDelay           time.Duration
	direct               directFlags
}

func newSide() *cobra.Command {
	var s sideFlags
	c := &cobra.Command{
		Use:   "side",
		Short: "Runs a side, the sidecar process of a target; without --target-list, entries reach the target only through it",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	s.add(f, "127.0.0.1:7100", "entry-lag", "without --target-list: how long entries may still send requests after this side reports that it is leaving", defaultEntryLag)
	f.StringVar(&s.target, "target", "", "address of the target, as http://IP:PORT, or as IP:PORT with --target-list; required")
	f.StringVar(&s.name, "target-name", "", "the target's name in the configuration, or with --target-list the name of this side; required")
	f.StringVar(&s.models, "models", "", "without --target-list: models to run batch items for, separated by commas; empty means all of the target's models in the configuration")
	f.IntVar(&s.slots, "slots", defaultSlots, "most requests that the target runs concurrently")
	f.BoolVar(&s.batch, "batch", true, "without --target-list: run batch items in slots that online requests leave free")
	f.BoolVar(&s.firstCome, "first-come", false, "without --target-list: admit work in order of arrival instead of by the gate's priorities (baseline of measurements)")
	f.DurationVar(&s.reuseDelay, "address-reuse-delay", 0, "with --target-list: how long an address stays unused before the platform gives it to a target of another service; 0 means that this is not known, so that a restarted target is used only when the list shows it")
	s.direct.add(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if s.direct.targetList != "" {
			return s.runForListedTarget(c.Context())
		}
		return s.run(c.Context())
	}
	return c
}

func (s *sideFlags) run(ctx context.Context) error {
	var v validator
	a := s.check(&v)
	v.require(s.name != "", "target-name", "is missing")
	v.require(s.slots > 0, "slots", "is not positive")
	h := &side.Host{
		Name: s.name, Target: v.address("target", strings.TrimPrefix(s.target, "http://")), AvailabilityZone: s.availabilityZone,
		Control: a.control, Parents: a.parents, Slots: s.slots, Batch: s.batch, FirstCome: s.firstCome, Models: splitList(s.models),
		Clock: boottime.New(), Random: newRandom(0), Logger: newLogger(os.Stderr, "side"),
		Metrics: newMetrics("Side"), MaxAge: s.maxAge, Grace: s.grace, EntryLag: s.lag,
	}
	h.TLS = s.tlsFiles.config(&v, a.listen)
	h.Traffic = wire.NewTraffic(h.Metrics)
	if err := v.err(); err != nil {
		return err
	}
	h.Account = s.memory.account(h.Logger, h.Metrics)
	if err := serveDebug(s.debug, h.Account); err != nil {
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
