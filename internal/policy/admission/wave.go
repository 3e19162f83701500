package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// historyBuckets is the past from which the wave is learnt: six periods of a usual wave.
	historyBuckets = 360
	// minPeriod and maxPeriod bound the period of a wave in buckets: 3 to 12 s, and a little more,
	// since chance moves the highest correlation by some buckets.
	minPeriod = 27
	maxPeriod = 124
	// ringSize holds the history and the promises of one period ahead.
	ringSize = 512
	// smoothBuckets is the length of the moving average of demand. Single buckets hold a few
	// requests each, so chance would hide the wave.
	smoothBuckets = 5
	// minCorrelation is the least autocorrelation of a wave that is used. The largest value of
	// aperiodic demand over all periods is about 0.4 within the history.
	minCorrelation = 0.5
	// minContrast is how much the correlation at the period exceeds the least one at a shorter
	// lag. Demand that rises or falls slowly correlates at all lags.
	minContrast = 0.4
	// harmonicShare is the share of the highest correlation from which a shorter period is
	// preferred to its multiple.
	harmonicShare = 0.85
	// forecastPeriods is how many past periods the forecast averages. Errors of the period add up
	// over more.
	forecastPeriods = 3
	// learnInterval is how long a learnt wave is used, in buckets. A search takes about as long as 20
	// decisions.
	learnInterval = 10
	// horizon is the length of the forecast in buckets, beginning when it is learnt.
	horizon = maxPeriod + learnInterval
	// fillShare is the share of the room that refused callers are told to return into before
	// later room is used. The rest absorbs errors of the forecast.
	fillShare = 0.8
	// minRetryAfter and maxRetryAfter bound the Retry-After without a forecast.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// minForecastRetryAfter is the least Retry-After with a forecast; a caller needs about as
	// long to return.
	minForecastRetryAfter = 200 * time.Millisecond
)

// wave is the demand for a service over time, and what callers that were refused were promised.
// Buckets are numbered from the policy's first call, and kept in rings.
type wave struct {
	current  int64 // number of the bucket of now
	first    int64 // number of the first bucket of the history
	demand   [ringSize]uint16
	promised [ringSize]uint16

	ended   int     // requests that ended in the current bucket
	served  float64 // mean number of requests that end in a contended bucket
	samples int     // contended buckets, up to 1/servedSmoothing

	learntAt int64 // bucket of the last search for a period
	learnt   bool
	period   int // in buckets; 0 means that there is no clear wave
	smoothed [historyBuckets]float32
	// forecast is the demand expected in the buckets from learntAt on.
	forecast [horizon]float32
}

// slot returns the index of a bucket in the rings.
func slot(bucket int64) int64 { return bucket & (ringSize - 1) }

// clear forgets everything but the rate served.
func (w *wave) clear(current int64) {
	w.demand, w.promised = [ringSize]uint16{}, [ringSize]uint16{}
	w.current, w.first, w.ended, w.learnt, w.period = current, current, 0, false, 0
}

// recordServed adds the current bucket to the rate served.
func (w *wave) recordServed() {
	w.samples = min(w.samples+1, int(1/servedSmoothing))
	w.served += (float64(w.ended) - w.served) / float64(w.samples)
}

// next begins the next bucket.
func (w *wave) next() {
	w.current++
	w.ended = 0
	w.demand[slot(w.current)] = 0
	w.promised[slot(w.current+maxPeriod)] = 0
}

// retryAfter returns when the caller of a refused request may find room, or 0 if there is none
// before its deadline.
func (s *service) retryAfter(r rhubarbgate.AdmissionRequest, now time.Duration, random *rand.Rand) time.Duration {
	latest := time.Duration(maxPeriod) * bucketLength
	if r.Remaining > 0 {
		latest = min(latest, r.Remaining-seconds(s.usualAnswer))
	}
	s.wave.learn()
	if s.wave.period > 0 && s.wave.samples > 0 {
		return s.wave.reserve(now, latest, random)
	}
	if latest < minRetryAfter {
		return 0
	}
	return minRetryAfter + time.Duration(random.Float64()*float64(min(maxRetryAfter, latest)-minRetryAfter))
}

// reserve takes a place in the earliest bucket with room, so that callers return in the order of
// their refusals and in proportion to the room. It returns 0 if there is none up to latest.
func (w *wave) reserve(now, latest time.Duration, random *rand.Rand) time.Duration {
	from := int64((now+minForecastRetryAfter)/bucketLength) + 1
	to := min(int64((now+latest)/bucketLength), w.current+maxPeriod)
	for _, share := range [2]float64{fillShare, 1} {
		// The part of a place that early buckets lack is carried to the next ones.
		carried := 0.0
		for b := from; b < to; b++ {
			room := max(w.served-float64(w.forecast[b-w.learntAt]), 0)*share - float64(w.promised[slot(b)])
			carried = min(carried+room, w.served)
			if carried >= 1 {
				w.promised[slot(b)]++
				at := time.Duration(b)*bucketLength + time.Duration(random.Float64()*float64(bucketLength))
				return at - now
			}
			carried = max(carried, -w.served)
		}
	}
	return 0
}

// predict fills the forecast: the mean of the same phase in past periods.
func (w *wave) predict(length int) {
	for i := range w.forecast {
		sum, n := float32(0), 0
		for past := historyBuckets + i - w.period; past >= historyBuckets-length && n < forecastPeriods; past -= w.period {
			if past < historyBuckets {
				sum += w.smoothed[past]
				n++
			}
		}
		w.forecast[i] = sum / float32(max(n, 1))
	}
}

// learn searches for the period of the wave, at most once in learnInterval.
func (w *wave) learn() {
	if w.learnt && w.current-w.learntAt < learnInterval {
		return
	}
	w.learnt, w.learntAt, w.period = true, w.current, 0
	length := int(min(w.current-w.first, historyBuckets))
	if length < 2*minPeriod {
		return
	}
	w.smooth(length)
	w.period = findPeriod(w.smoothed[historyBuckets-length:])
	if w.period > 0 {
		w.predict(length)
	}
}

// smooth fills the last buckets of smoothed, up to the one before the current bucket, with a
// centred moving average of the demand without callers that were told to return.
func (w *wave) smooth(length int) {
	start := w.learntAt - int64(length)
	for i := range length {
		sum, n := 0, 0
		for b := start + int64(i) - smoothBuckets/2; b <= start+int64(i)+smoothBuckets/2; b++ {
			if b >= start && b < w.learntAt {
				sum += int(w.demand[slot(b)]) - int(w.promised[slot(b)])
				n++
			}
		}
		w.smoothed[historyBuckets-length+i] = float32(max(sum, 0)) / float32(n)
	}
}

// findPeriod returns the period in buckets with the highest autocorrelation, or 0 if none is
// clear.
func findPeriod(x []float32) int {
	var sums, squares [historyBuckets + 1]float64
	for i, v := range x {
		sums[i+1] = sums[i] + float64(v)
		squares[i+1] = squares[i] + float64(v)*float64(v)
	}
	// correlation returns Pearson's correlation of the series with itself, lag buckets later.
	correlation := func(lag int) float64 {
		later, earlier := x[lag:], x[:len(x)-lag]
		// Four sums are independent of each other, so that their additions overlap.
		var a, b, c, d float32
		i := 0
		for ; i+4 <= len(later); i += 4 {
			x, y := later[i:i+4:i+4], earlier[i:i+4:i+4]
			a += x[0] * y[0]
			b += x[1] * y[1]
			c += x[2] * y[2]
			d += x[3] * y[3]
		}
		for ; i < len(later); i++ {
			a += later[i] * earlier[i]
		}
		product := a + b + c + d
		n := float64(len(later))
		sumLater, sumEarlier := sums[len(x)]-sums[lag], sums[len(x)-lag]
		variance := (squares[len(x)] - squares[lag] - sumLater*sumLater/n) * (squares[len(x)-lag] - sumEarlier*sumEarlier/n)
		if variance <= 0 {
			return 0
		}
		return (float64(product) - sumLater*sumEarlier/n) / math.Sqrt(variance)
	}
	// Two whole periods must be in the history.
	longest := min(maxPeriod, len(x)/2)
	var correlations [maxPeriod + 2]float64
	lowest, highest := math.Inf(1), 0.0
	for lag := smoothBuckets; lag <= longest+1; lag++ {
		c := correlation(lag)
		correlations[lag] = c
		if lag < minPeriod {
			lowest = min(lowest, c)
		} else if lag <= longest {
			highest = max(highest, c)
		}
	}
	if highest < minCorrelation {
		return 0
	}
	for lag := minPeriod; lag <= longest; lag++ {
		c := correlations[lag]
		peak := c >= correlations[lag-1] && c >= correlations[lag+1]
		if peak && c >= harmonicShare*highest && c-lowest >= minContrast {
			return lag
		}
		lowest = min(lowest, c)
	}
	return 0
}
