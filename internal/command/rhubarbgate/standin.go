package rhubarbgate

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/standin/engine"
)

// Timing of the stand-in engine, as of a mid-sized model.
const (
	standinStep      = 20 * time.Millisecond
	standinPerStream = 50 * time.Microsecond
	standinPrefill   = 20 * time.Microsecond
	standinSlots     = 32
	standinCache     = 4096
	standinLoadLag   = time.Second
)

func newStandin() *cobra.Command {
	e := &engine.Engine{Clock: clockwork.NewRealClock()}
	var listenOn string
	c := &cobra.Command{
		Use:   "standin",
		Short: "Runs a stand-in of a model engine",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&listenOn, "listen", "127.0.0.1:9000", "IP:PORT")
	f.DurationVar(&e.StepBase, "step", standinStep, "time of a step")
	f.DurationVar(&e.StepPerStream, "step-per-stream", standinPerStream, "time added to a step for each stream")
	f.DurationVar(&e.PrefillPerToken, "prefill-per-token", standinPrefill, "time added to a step for each prompt token")
	f.IntVar(&e.Slots, "slots", standinSlots, "streams that run at once")
	f.IntVar(&e.CacheBlocks, "cache-blocks", standinCache, "blocks of prompt prefixes kept")
	f.DurationVar(&e.LoadLag, "load-lag", standinLoadLag, "age of the load report")
	f.BoolVar(&e.HonourFence, "honour-fence", false, "refuse orders with an old fencing number")
	f.Float64Var(&e.Slowdown, "slowdown", 1, "factor on all times")
	f.Int64Var(&e.FailEvery, "fail-every", 0, "fail every n-th completion; 0 means none")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var k checks
		on := k.address("listen", listenOn)
		k.that(e.Slots > 0, "slots", "is not positive")
		if err := k.err(); err != nil {
			return err
		}
		l, err := listen(on, nil, nil)
		if err != nil {
			return err
		}
		return e.Run(c.Context(), l)
	}
	return c
}
