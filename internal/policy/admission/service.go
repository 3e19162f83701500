package admission

import (
	"math"
	"strings"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// bucketLength is the resolution of demand and service over time.
	bucketLength = 100 * time.Millisecond
	// contentionSmoothing is the weight of one bucket in the share of requests without a free
	// slot. Contention begins above contentionBegin and ends below contentionEnd.
	contentionSmoothing = 0.3
	contentionBegin     = 0.5
	contentionEnd       = 0.1
	// servedSmoothing is the weight of one contended bucket in the rate served, which then
	// covers about 5 s of contention, two tops of a usual wave.
	servedSmoothing = 0.02
	// maxServices bounds the services in memory. Their names come from the configuration; the
	// bound guards against one that changes them often.
	maxServices = 256
	// serviceExpiry is the time without a request after which a service is forgotten.
	serviceExpiry = 10 * time.Minute
	// maxRanks bounds the ranks with a state of their own; further ones share the last.
	maxRanks = 16
)

// refusals is since when a workspace or rank is refused without any request of it being sent.
type refusals struct {
	since, last time.Duration
	refused     bool
}

// refuse records a refusal. One that follows the previous one by more than forgetRefusal
// begins anew.
func (f *refusals) refuse(now time.Duration) {
	if !f.refused || now-f.last > forgetRefusal {
		f.since = now
	}
	f.refused, f.last = true, now
}

// starved reports whether all requests were refused for at least the given time.
func (f *refusals) starved(now, after time.Duration) bool {
	return f.refused && now-f.last <= forgetRefusal && now-f.since >= after
}

// rankState is the state of one rank.
type rankState struct {
	refusals
	rank               int
	askedAt            time.Duration // of the last request that found no free slot
	sent, refusedTotal uint64
}

// service is the state of one service. Times count from the policy's first call.
type service struct {
	name     string
	lastSeen time.Duration
	shares
	wave

	ranks     [maxRanks]rankState
	rankCount int // of ranks
	outcomes  [outcomeCount]uint64
	// withoutRetry counts the refusals that state no time for a retry.
	withoutRetry uint64

	usualFirstEvent  float64 // seconds, of requests that found a free slot; 0 until measured
	usualAnswer      float64 // seconds from Begin to End; 0 until measured
	recent           float64 // average of recent times to the first event, in seconds, as of recentAt
	recentAt         time.Duration
	margin           float64
	unknownCredit    float64
	guaranteeBalance float64

	arrived, withoutSlot int     // requests in the current bucket
	contention           float64 // moving average of the share of requests without a free slot
	contended            bool
	events
}

// addService adds the state of a service and forgets services without recent requests.
func (p *Policy) addService(name string, now time.Duration) *service {
	var oldest *service
	for n, s := range p.services {
		if now-s.lastSeen > serviceExpiry {
			delete(p.services, n)
		} else if oldest == nil || s.lastSeen < oldest.lastSeen {
			oldest = s
		}
	}
	if len(p.services) >= maxServices {
		delete(p.services, oldest.name)
	}
	s := &service{name: strings.Clone(name), lastSeen: now, margin: 1, guaranteeBalance: 1}
	s.shares.workspaces = map[string]*workspace{}
	s.wave.current = int64(now / bucketLength)
	p.services[s.name] = s
	return s
}

// advance closes the buckets that have passed.
func (s *service) advance(now time.Duration) {
	current := int64(now / bucketLength)
	if current-s.wave.current > ringSize {
		s.wave.clear(current)
		s.arrived, s.withoutSlot, s.contention = 0, 0, 0
	}
	for s.wave.current < current {
		lack := 0.0
		if s.arrived > 0 {
			lack = float64(s.withoutSlot) / float64(s.arrived)
		}
		s.contention += contentionSmoothing * (lack - s.contention)
		s.arrived, s.withoutSlot = 0, 0
		// Only while slots lack does the rate of ends show what fits.
		if s.contention > contentionBegin {
			s.wave.recordServed()
		}
		s.updateContended(now)
		s.wave.next()
		s.shares.outdated = true
	}
}

// updateContended begins or ends contention.
func (s *service) updateContended(now time.Duration) {
	switch {
	case !s.contended && s.contention > contentionBegin:
		s.contended = true
		s.events.contentionChanged = true
	case s.contended && s.contention < contentionEnd:
		s.contended = false
		s.events.contentionChanged = true
	}
}

// recordArrival counts a request before the decision on it.
func (s *service) recordArrival(w *workspace, r rhubarbgate.AdmissionRequest, now time.Duration) {
	s.wave.demand[slot(s.wave.current)]++
	w.recordDemand(now)
	s.arrived++
	if r.Known && !r.Free || !r.Known && r.Objective > 0 && s.recentFirstEvent(now) > r.Objective.Seconds() {
		s.withoutSlot++
	}
}

// recordSent counts an admitted request.
func (s *service) recordSent(w *workspace, r rhubarbgate.AdmissionRequest, now time.Duration) {
	w.recordUse(now)
	w.refused = false
	rank := s.rank(r.Rank)
	rank.refused = false
	rank.sent++
	s.guaranteeBalance = min(s.guaranteeBalance+guaranteedShare, maxGuaranteed)
}

// recordRefused counts a refused request.
func (s *service) recordRefused(w *workspace, r rhubarbgate.AdmissionRequest, now time.Duration) {
	w.refuse(now)
	w.refusedTotal++
	rank := s.rank(r.Rank)
	rank.refuse(now)
	rank.refusedTotal++
}

// recordFirstEvent learns from the time to a first event.
func (s *service) recordFirstEvent(r rhubarbgate.AdmissionRequest, elapsed, now time.Duration) {
	x := elapsed.Seconds()
	keep := math.Exp(-(now - s.recentAt).Seconds() / recentWindow.Seconds())
	s.recent, s.recentAt = s.recent*keep+x*(1-keep), now
	switch {
	case r.Known && r.Free:
		s.usualFirstEvent = smooth(s.usualFirstEvent, x)
	case r.Known && r.Objective > 0 && elapsed > r.Objective:
		s.margin = max(s.margin-marginStep, minMargin)
	case r.Known && r.Objective > 0:
		s.margin = min(s.margin+marginStep*lateTarget/(1-lateTarget), 1)
	}
}

// recordEnd counts the end of a request.
func (s *service) recordEnd(w *workspace, elapsed time.Duration) {
	if w.inFlight == 0 {
		// The request began when the workspace was not in memory for lack of room.
		w = &s.shares.others
	}
	w.inFlight = max(w.inFlight-1, 0)
	s.wave.ended++
	s.usualAnswer = smooth(s.usualAnswer, elapsed.Seconds())
}

// recentFirstEvent returns the average of recent times to the first event, which decays while
// none arrives.
func (s *service) recentFirstEvent(now time.Duration) float64 {
	if s.recent == 0 {
		return 0
	}
	return s.recent * math.Exp(-(now-s.recentAt).Seconds()/recentWindow.Seconds())
}

// smooth adds a sample to a moving average. The first sample sets it.
func smooth(average, x float64) float64 {
	if average == 0 {
		return x
	}
	return average + usualSmoothing*(x-average)
}

// rank returns the state of a rank.
func (s *service) rank(rank int) *rankState {
	for i := range s.ranks[:s.rankCount] {
		if s.ranks[i].rank == rank {
			return &s.ranks[i]
		}
	}
	if s.rankCount == maxRanks {
		return &s.ranks[maxRanks-1]
	}
	s.rankCount++
	s.ranks[s.rankCount-1].rank = rank
	return &s.ranks[s.rankCount-1]
}

// higherRanks returns the number of ranks above the given one of which requests found no free slot
// a short time ago.
func (s *service) higherRanks(rank int, now time.Duration) int {
	n := 0
	for i := range s.ranks[:s.rankCount] {
		if x := &s.ranks[i]; x.rank < rank && now-x.askedAt <= forgetRefusal {
			n++
		}
	}
	return n
}

// seconds converts a number of seconds.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
