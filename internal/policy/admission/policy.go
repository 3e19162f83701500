// Package admission decides whether a request for contended capacity is sent or
// refused at once, by the wait that is expected for it.
//
// The caller of the package reports each request in this order:
//
//	d := p.Admit(r)           // before the request is first sent
//	p.Begin(r)                // if d.Send, when it is sent
//	p.FirstEvent(r, elapsed)  // at the first event of a stream or the head of another response
//	p.End(r, elapsed)         // exactly once for each Begin, whatever the outcome
//
// Elapsed counts from the sending to the target for FirstEvent, and from Begin for End. A request
// that has been sent once may be sent again without Admit and Begin. The strings of r may be reused
// after each call. The four calls allocate nothing once service and workspace are known.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// minBusy is the share of taken slots below which nothing is refused. Queues at some
	// targets then come from an uneven choice of targets, which admission cannot mend.
	minBusy = 0.5
	// assumedFirstEventShare is the time to the first event, as a share of the objective,
	// that is assumed until one is measured.
	assumedFirstEventShare = 0.2
	// minRoomShare is the least share of the objective that is left for waiting. A service
	// that usually misses its objective would otherwise never be queued for.
	minRoomShare = 0.1
	// minRankShare is the part of the allowed wait that the lowest ranks keep. The rest of it falls
	// with the number of higher ranks that have requests too. The values of ranks do not count, as
	// all requests of a deployment may have the same low one.
	minRankShare = 0.25
	// usualSmoothing is the weight of a sample in the averages of usual times.
	usualSmoothing = 0.05
	// recentWindow is the time constant of the average time to the first event that stands in
	// for missing offers. It follows a queue that grows, and forgets one that is gone.
	recentWindow = 300 * time.Millisecond
	// lateTarget is the share of late answers among requests sent without a free slot that the
	// margin is adjusted for. Expected waits are means: with a full margin about half of the
	// requests at the limit would be late.
	lateTarget = 0.05
	// marginStep is how much one late answer lowers the margin, and minMargin the lowest value.
	marginStep = 0.02
	minMargin  = 0.4
	// starvedAfter is how long a workspace without a request in flight, or a rank, is refused
	// before its next request is treated as one of rank 0 within its share.
	starvedAfter = time.Second
	// guaranteedAfter is how long a workspace without a request in flight is refused before its
	// next request is sent whatever wait is expected.
	guaranteedAfter = 2 * time.Second
	// guaranteedShare bounds those requests as a share of all that are sent, and maxGuaranteed
	// how many may be sent at once. With 90 workspaces at an entry an unbounded guarantee would
	// admit most requests at the top of a wave.
	guaranteedShare = 0.05
	maxGuaranteed   = 3
	// forgetRefusal is the time without a request after which a workspace's or rank's refusals no
	// longer count as starvation. It is longer than callers' usual deadline of 5 s.
	forgetRefusal = 6 * time.Second
)

// Policy admits requests by the wait that is expected for them, the recent use of their
// workspace and their rank. Each service has its own state. It is safe for concurrent use.
// Set the exported fields before the first call.
type Policy struct {
	Clock clockwork.Clock
	// Random spreads refused callers. The policy serializes its use; nothing else may use it.
	Random *rand.Rand
	Logger log.Interface

	mu       sync.Mutex
	services map[string]*service
	start    time.Time // of the first call; times of the state count from it
}

var (
	_ rhubarbgate.Admission         = (*Policy)(nil)
	_ rhubarbgate.AdmissionFeedback = (*Policy)(nil)
)

// service returns the state of a service, brought up to date. The caller holds mu.
func (p *Policy) service(name string) (*service, time.Duration) {
	now := p.now()
	s := p.services[name]
	if s == nil {
		s = p.addService(name, now)
	}
	s.lastSeen = now
	s.advance(now)
	return s, now
}

// now returns the time since the first call.
func (p *Policy) now() time.Duration {
	now := p.Clock.Now()
	if p.services == nil {
		p.services, p.start = map[string]*service{}, now
	}
	return now.Sub(p.start)
}

// Admit implements rhubarbgate.Admission.
func (p *Policy) Admit(r rhubarbgate.AdmissionRequest) rhubarbgate.AdmissionDecision {
	p.mu.Lock()
	s, now := p.service(r.Service)
	w := s.workspace(r, now)
	s.recordArrival(w, r, now)
	outcome := s.judge(w, r, now)
	var d rhubarbgate.AdmissionDecision
	if outcome <= lastSent {
		s.recordSent(w, r, now)
		d.Send = true
	} else {
		s.recordRefused(w, r, now)
		d.RetryAfter, d.Reason = s.retryAfter(r, now, p.Random), outcome.reason()
		if d.RetryAfter == 0 {
			s.withoutRetry++
			d.Reason = outcome.finalReason()
		}
	}
	s.outcomes[outcome]++
	e := s.takeEvent(w, r, outcome, now)
	p.mu.Unlock()
	if e.kind != noEvent {
		e.log(p.Logger)
	}
	return d
}

// judge decides on a request.
func (s *service) judge(w *workspace, r rhubarbgate.AdmissionRequest, now time.Duration) outcome {
	objective := r.Objective
	if objective <= 0 || r.Remaining > 0 && r.Remaining < objective {
		objective = r.Remaining
	}
	switch {
	case r.Known && r.Free:
		return sentFree
	case objective <= 0, r.Known && r.Busy < minBusy:
		return sentWaiting
	}
	rankShare, share := s.allowances(w, r, now)
	var o outcome
	if r.Known {
		o = s.judgeWait(r.Wait, objective, rankShare, share)
	} else {
		o = s.judgeRecent(objective, rankShare, share, now)
	}
	if o > lastSent && s.guarantees(w, r, now) {
		return sentGuaranteed
	}
	return o
}

// allowances returns the parts of the allowed wait that rank and recent use leave.
func (s *service) allowances(w *workspace, r rhubarbgate.AdmissionRequest, now time.Duration) (rankShare, share float64) {
	rankShare, share = minRankShare+(1-minRankShare)/float64(s.higherRanks(r.Rank, now)+1), 1
	if w.inFlight > 0 {
		share = s.useAllowance(w, now)
	}
	rank := s.rank(r.Rank)
	rank.askedAt = now
	if rank.starved(now, starvedAfter) || w.inFlight == 0 && w.starved(now, starvedAfter) {
		rankShare = 1
	}
	return rankShare, share
}

// judgeWait decides by the expected wait at the best target.
func (s *service) judgeWait(wait, objective time.Duration, rankShare, share float64) outcome {
	usual := s.usualFirstEvent
	if usual == 0 {
		usual = assumedFirstEventShare * objective.Seconds()
	}
	room := max(objective.Seconds()-usual, minRoomShare*objective.Seconds()) * s.margin
	switch seconds := wait.Seconds(); {
	case seconds <= room*rankShare*share:
		return sentWaiting
	case seconds > room:
		return refusedWait
	case seconds > room*rankShare:
		return refusedRank
	}
	return refusedShare
}

// judgeRecent decides by the recent times to the first event. It sends a share of the requests
// that falls as the times exceed the objective, because sending all or none would oscillate:
// the times follow a decision only after they have passed.
func (s *service) judgeRecent(objective time.Duration, rankShare, share float64, now time.Duration) outcome {
	recent := s.recentFirstEvent(now)
	if recent <= objective.Seconds() {
		return sentUnknown
	}
	s.unknownCredit = min(s.unknownCredit+objective.Seconds()/recent*rankShare*share, 1)
	if s.unknownCredit == 1 {
		s.unknownCredit = 0
		return sentUnknown
	}
	switch {
	case share < 1:
		return refusedShare
	case rankShare < 1:
		return refusedRank
	}
	return refusedLate
}

// guarantees decides whether a request is sent although it does not fit, because its workspace
// has had none in flight for long. It spends from the budget of such requests.
func (s *service) guarantees(w *workspace, r rhubarbgate.AdmissionRequest, now time.Duration) bool {
	if w.inFlight > 0 || !w.starved(now, guaranteedAfter) || s.guaranteeBalance < 1 {
		return false
	}
	if r.Remaining > 0 && r.Known && r.Wait >= r.Remaining-seconds(s.usualFirstEvent) {
		return false
	}
	s.guaranteeBalance--
	return true
}

// Begin implements rhubarbgate.AdmissionFeedback.
func (p *Policy) Begin(r rhubarbgate.AdmissionRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := p.service(r.Service)
	s.workspace(r, now).inFlight++
}

// FirstEvent implements rhubarbgate.AdmissionFeedback.
func (p *Policy) FirstEvent(r rhubarbgate.AdmissionRequest, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := p.service(r.Service)
	s.recordFirstEvent(r, elapsed, now)
}

// End implements rhubarbgate.AdmissionFeedback.
func (p *Policy) End(r rhubarbgate.AdmissionRequest, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := p.service(r.Service)
	s.recordEnd(s.workspace(r, now), elapsed)
}
