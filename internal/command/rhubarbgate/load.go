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

// comparison holds a run and, if there is a baseline, the baseline's run at the
// same time with the same seed, unless that is 0.
type comparison struct {
	Run      *openloop.Result
	Baseline *openloop.Result `json:",omitempty"`
	// These are ratios: the run's latency divided by the baseline's.
	FirstTokenP50, FirstTokenP99, TotalP50, TotalP99 float64 `json:",omitempty"`
	// These are differences in milliseconds: the run's latency minus the baseline's.
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
	f.StringVar(&url, "url", "http://127.0.0.1:8080", "entry to send requests to, as http://IP:PORT")
	f.StringVar(&baseline, "baseline", "", "stand-in engine that receives the same load directly and concurrently, as http://IP:PORT; empty means none")
	f.StringVar(&p.Key, "caller-key", "", "caller's key to send with the requests")
	f.StringVar(&p.Path, "path", openai.ChatPath, "path of the endpoint")
	f.StringVar(&p.Model, "model", "small", "model to request")
	f.Float64Var(&p.Rate, "rate", 10, "requests per second, without bursts")
	f.BoolVar(&p.Even, "even", false, "send at even intervals instead of Poisson arrivals")
	f.DurationVar(&p.Duration, "duration", 10*time.Second, "how long to send requests")
	f.DurationVar(&p.BurstEvery, "burst-every", 0, "interval between bursts of simultaneous requests; 0 means no bursts")
	f.IntVar(&p.BurstSize, "burst-size", 0, "requests in each burst")
	f.BoolVar(&p.Stream, "stream", true, "request streamed responses")
	f.IntVar(&p.MaxTokens, "max-tokens", 16, "most tokens in a response")
	f.IntVar(&p.PromptBytes, "prompt-bytes", 256, "least length of a prompt, in bytes, including a shared prefix")
	f.IntVar(&p.Prefixes, "prefixes", 0, "number of prompt prefixes that requests share; 0 means none")
	f.IntVar(&p.PrefixBytes, "prefix-bytes", 1024, "least length of a shared prompt prefix, in bytes")
	f.DurationVar(&p.Timeout, "timeout", time.Minute, "longest time of one request")
	f.Uint64Var(&seed, "seed", 1, "seed of arrival times and prompts; 0 means a random one, a different one for the run and its baseline")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var v validator
		v.require(p.Rate > 0, "rate", "is not positive")
		p.Address = v.address("url", strings.TrimPrefix(url, "http://"))
		b := p
		if baseline != "" {
			b.Address = v.address("baseline", strings.TrimPrefix(baseline, "http://"))
		}
		if err := v.err(); err != nil {
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
	run, baseline := r.Run, r.Baseline
	r.FirstTokenP50 = run.FirstToken.P50 / baseline.FirstToken.P50
	r.FirstTokenP99 = run.FirstToken.P99 / baseline.FirstToken.P99
	r.TotalP50 = run.Total.P50 / baseline.Total.P50
	r.TotalP99 = run.Total.P99 / baseline.Total.P99
	r.AddedFirstTokenP50 = run.FirstToken.P50 - baseline.FirstToken.P50
	r.AddedFirstTokenP99 = run.FirstToken.P99 - baseline.FirstToken.P99
}
