package rhubarbgate

import (
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/load/openloop"
)

// comparison is a run beside a baseline run with the same seed.
type comparison struct {
	Run      *openloop.Result
	Baseline *openloop.Result `json:",omitempty"`
	// Ratios are those of the run over the baseline.
	FirstTokenP50, FirstTokenP99, TotalP50, TotalP99 float64 `json:",omitempty"`
	// Added times are in milliseconds.
	AddedFirstTokenP50, AddedFirstTokenP99 float64 `json:",omitempty"`
}

func newLoad() *cobra.Command {
	p := openloop.Plan{Clock: clockwork.NewRealClock()}
	var url, baseline string
	var seed uint64
	c := &cobra.Command{
		Use:   "load",
		Short: "Sends requests at their due times and prints latency quantiles as JSON",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	f.StringVar(&url, "url", "http://127.0.0.1:8080", "where to send")
	f.StringVar(&baseline, "baseline", "", "a stand-in that gets the same load directly, side by side")
	f.StringVar(&p.Key, "caller-key", "", "the caller's key")
	f.StringVar(&p.Path, "path", openai.ChatPath, "endpoint")
	f.StringVar(&p.Model, "model", "small", "model")
	f.Float64Var(&p.Rate, "rate", 10, "requests a second")
	f.BoolVar(&p.Even, "even", false, "even arrivals instead of Poisson ones")
	f.DurationVar(&p.Duration, "duration", 10*time.Second, "length of the run")
	f.DurationVar(&p.BurstEvery, "burst-every", 0, "interval of bursts; 0 means none")
	f.IntVar(&p.BurstSize, "burst-size", 0, "requests in a burst")
	f.BoolVar(&p.Stream, "stream", true, "ask for streams")
	f.IntVar(&p.MaxTokens, "max-tokens", 16, "tokens of an answer")
	f.IntVar(&p.PromptBytes, "prompt-bytes", 256, "bytes of a prompt")
	f.IntVar(&p.Prefixes, "prefixes", 0, "number of shared prompt heads; 0 means none")
	f.IntVar(&p.PrefixBytes, "prefix-bytes", 1024, "bytes of a shared prompt head")
	f.DurationVar(&p.Timeout, "timeout", time.Minute, "bound of one request")
	f.Uint64Var(&seed, "seed", 1, "seed of arrivals and prompts")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var k checks
		k.that(p.Rate > 0, "rate", "is not positive")
		p.Address = k.address("url", strings.TrimPrefix(url, "http://"))
		b := p
		if baseline != "" {
			b.Address = k.address("baseline", strings.TrimPrefix(baseline, "http://"))
		}
		if err := k.err(); err != nil {
			return err
		}
		p.Random, b.Random, b.Key = newRandom(seed), newRandom(seed), ""
		var r comparison
		var tasks conc.WaitGroup
		tasks.Go(func() { r.Run = p.Run(c.Context()) })
		if baseline != "" {
			tasks.Go(func() { r.Baseline = b.Run(c.Context()) })
		}
		tasks.Wait()
		r.compare()
		return printJSON(c, &r)
	}
	return c
}

func (r *comparison) compare() {
	if r.Baseline == nil || r.Baseline.OK == 0 {
		return
	}
	x, y := r.Run, r.Baseline
	r.FirstTokenP50 = x.FirstToken.P50 / y.FirstToken.P50
	r.FirstTokenP99 = x.FirstToken.P99 / y.FirstToken.P99
	r.TotalP50 = x.Total.P50 / y.Total.P50
	r.TotalP99 = x.Total.P99 / y.Total.P99
	r.AddedFirstTokenP50 = x.FirstToken.P50 - y.FirstToken.P50
	r.AddedFirstTokenP99 = x.FirstToken.P99 - y.FirstToken.P99
}
