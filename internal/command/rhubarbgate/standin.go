package rhubarbgate

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/standin/engine"
)

// Defaults of the stand-in engine's flags: the timing of a mid-sized model.
const (
	standinStep            = 20 * time.Millisecond
	standinStepPerStream   = 50 * time.Microsecond
	standinPrefillPerToken = 20 * time.Microsecond
	standinSlots           = 32
	standinCacheBlocks     = 4096
	standinLoadLag         = time.Second
)

func newStandin() *cobra.Command {
	e := &engine.Engine{Clock: clockwork.NewRealClock()}
	var listenOn string
	c := &cobra.Command{
		Use:   "standin",
		Short: "Runs a stand-in engine, which imitates the timing of a model engine",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&listenOn, "listen", "127.0.0.1:9000", "IP:PORT to listen on")
	f.DurationVar(&e.StepBase, "step", standinStep, "base duration of a step, in which each running stream whose prompt has been processed gets one token; also the duration of a call to a plain service")
	f.DurationVar(&e.StepPerStream, "step-per-stream", standinStepPerStream, "time added to a step for each running stream")
	f.DurationVar(&e.PrefillPerToken, "prefill-per-token", standinPrefillPerToken, "time added to a step for each prompt token that it processes")
	f.IntVar(&e.Slots, "slots", standinSlots, "most streams that run concurrently; further ones queue")
	f.IntVar(&e.CacheBlocks, "cache-blocks", standinCacheBlocks, "number of blocks that the cache of prompt prefixes holds")
	f.DurationVar(&e.LoadLag, "load-lag", standinLoadLag, "how old the reported load may be")
	f.BoolVar(&e.HonourFence, "honour-fence", false, "refuse orders to load a model that have a lower fencing number than an earlier order")
	f.Float64Var(&e.Slowdown, "slowdown", 1, "factor that multiplies the duration of each step, but not of a call to a plain service; 0 or less counts as 1")
	f.Int64Var(&e.FailEvery, "fail-every", 0, "fail every n-th completion with status 500; 0 means none")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var v validator
		listenAddress := v.address("listen", listenOn)
		v.require(e.Slots > 0, "slots", "is not positive")
		if err := v.err(); err != nil {
			return err
		}
		l, err := listen(listenAddress, nil, nil)
		if err != nil {
			return err
		}
		return e.Run(c.Context(), l)
	}
	return c
}
