package ingress

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/http/events"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
)

// Causes for which no copy is sent, besides those of the Hedger.
const (
	refusedDraining    = "entry is draining"
	refusedAttempts    = "attempts are used up"
	refusedBlocked     = "prompt is blocked"
	refusedKey         = "key is not confirmed"
	refusedRetryBudget = "retry budget is spent"
	refusedNoHost      = "no target on another host"
	refusedNoRoom      = "no target with free room"
	refusedAnswered    = "first attempt ended meanwhile"
)

// Outcomes of copies in the log.
const (
	copyWon        = "won"
	copyLost       = "lost"
	copyRefused    = "refused"
	copyFailed     = "failed"
	copyCallerLeft = "callerLeft"
)

// hedging is what is known of the copy of a request.
type hedging struct {
	// delay is after which time without an answer a copy may be sent, if known is set. Both are valid
	// once asked is set.
	delay        time.Duration
	known, asked bool
	// copied says that a copy was sent. There is one at most.
	copied bool
}

// reading is what a goroutine has read of the response to an attempt: the body, or the first event of a stream.
type reading struct {
	response *target.Response
	failure  error // of the exchange, without a response
	// notRun says that the target refused the request, and readAsNotRun that callers take its status for that.
	notRun, readAsNotRun bool

	body     []byte
	position *events.Position // after first
	events   *events.Reader
	first    events.Event
	err      error // of the body or the first event
}

// readFirstEvent reads the first event of a stream.
func (r *reading) readFirstEvent(response *target.Response) {
	if r.err = events.CheckHead(response.Header); r.err != nil {
		return
	}
	r.events = events.NewReader(response, r.position)
	r.first, r.err = r.events.Next()
}

// failed reports whether the target gave no answer.
func (r *reading) failed() bool {
	return r.failure != nil || r.notRun || r.readAsNotRun || r.err != nil || r.response.Status >= fasthttp.StatusInternalServerError
}

// mayHedge reports whether a copy of the request may be sent in principle, so that its latency counts.
// Streams that continue others and trials of blocked prompts have no copies.
func (q *forwardedRequest) mayHedge() bool {
	s, x := q.server, q.x
	if s.Hedger == nil || x.Route.Attempts < 2 || x.trial {
		return false
	}
	switch x.Route.Kind {
	case rhubarbgate.Safe:
		return true
	case rhubarbgate.Streaming:
		return x.Route.Resumable && !q.resumed && !q.hasVersion && q.origin == nil && len(x.HTTP.Request.Header.Peek(lastEventHeader)) == 0
	default:
		return false
	}
}

// hedge makes an attempt and, if its answer is late, sends a copy of the request to another target. It
// passes on the first answer. After an error nothing has been sent to the caller.
func (q *forwardedRequest) hedge(first *attempt) *rhubarbgate.Error {
	s := q.server
	if !q.hedging.asked {
		q.hedging.asked = true
		q.hedging.delay, q.hedging.known = s.Hedger.Delay(q.service)
	}
	if !q.hedging.known || q.hedging.copied {
		err := first.send()
		if err == nil {
			err = first.relay()
		}
		if err == nil && first.response.Status < fasthttp.StatusInternalServerError {
			s.Hedger.Observe(q.service, s.Clock.Since(first.sent))
		}
		return err
	}
	open := []*attempt{first}
	// Attempts that are left, also after a panic, are not relayed.
	defer func() {
		for _, a := range open {
			a.discard()
		}
	}()
	first.start()
	late := s.Clock.NewTimer(q.hedging.delay)
	defer late.Stop()
	select {
	case r := <-first.done:
		open = nil
		return first.settle(r)
	case <-late.Chan():
	}
	ofFirst := q.contention
	second := q.sendCopy(first)
	if second == nil {
		q.contention = ofFirst
		r := <-first.done
		open = nil
		return first.settle(r)
	}
	open = append(open, second)
	copyOutcome, runs := "", q.possibleRuns
	remaining := q.x.Deadline.Sub(second.sent)
	defer func() { q.finishCopy(first, second, remaining, runs, copyOutcome) }()
	var earlier *rhubarbgate.Error
	for {
		var a *attempt
		var r *reading
		select {
		case r = <-first.done:
			a = first
		case r = <-second.done:
			a = second
		}
		open = slices.DeleteFunc(open, func(o *attempt) bool { return o == a })
		if a == second || !r.failed() && copyOutcome == "" {
			copyOutcome = q.outcome(a == second, r)
		}
		if r.failed() && len(open) > 0 {
			earlier = a.fail(r)
			q.verdict = q.verdict.Worst(earlier.Verdict)
			continue
		}
		for _, loser := range open {
			loser.lose()
			if loser == first {
				// Its answer would have taken longer.
				s.Hedger.Observe(q.service, s.Clock.Since(first.sent))
			}
		}
		open = nil
		if a == first {
			q.contention = ofFirst
		}
		err := a.settle(r)
		if err != nil && earlier != nil && err.Verdict == rhubarbgate.NotRun {
			// The other attempt may have run, which decides whether the request may be sent again.
			return earlier
		}
		return err
	}
}

// outcome returns the outcome of the copy as of the end of one attempt.
func (q *forwardedRequest) outcome(ofCopy bool, r *reading) string {
	switch {
	case !ofCopy:
		return copyLost
	case !r.failed():
		return copyWon
	case q.x.Context.Err() != nil:
		return copyCallerLeft
	case r.notRun || r.failure != nil && rhubarbgate.AsError(r.failure).Verdict == rhubarbgate.NotRun:
		return copyRefused
	default:
		return copyFailed
	}
}

// finishCopy counts and logs the outcome of a copy.
func (q *forwardedRequest) finishCopy(first, second *attempt, remaining time.Duration, runs int, outcome string) {
	s := q.server
	s.Hedger.Finish(q.service, outcome == copyWon)
	if outcome == copyWon {
		s.Counts.HedgesWon.Add(1)
	}
	now := s.Clock.Now()
	f := q.x.fields(now)
	f["service"], f["delay"], f["remaining"], f["ran"] = q.service, q.hedging.delay.String(), remaining.String(), runs
	f["first"], f["target"] = first.target.Instance.ID, second.target.Instance.ID
	f["sentAfter"], f["took"], f["outcome"] = second.sent.Sub(first.sent).String(), now.Sub(second.sent).String(), outcome
	s.Logger.WithFields(f).Info("sent a copy of a late request")
}

// sendCopy sends a copy of the request to another target than the attempt's, or returns nil if none may
// be sent.
func (q *forwardedRequest) sendCopy(first *attempt) *attempt {
	s, x := q.server, q.x
	if x.Context.Err() != nil {
		return nil
	}
	t, cause := q.chooseForCopy(first)
	if cause != "" {
		s.Counts.HedgesRefused.Add(cause, 1)
		return nil
	}
	now := s.Clock.Now()
	q.tried = append(q.tried, t)
	q.hedging.copied = true
	s.Counts.HedgesSent.Add(1)
	a := q.begin(t, now, x.Deadline.Sub(now), false)
	a.start()
	return a
}

// chooseForCopy returns the target for a copy, with a token of its limit and a reservation taken, or the
// cause why no copy is sent.
func (q *forwardedRequest) chooseForCopy(first *attempt) (*discovery.Target, string) {
	s, x := q.server, q.x
	switch {
	case s.draining():
		return nil, refusedDraining
	case q.possibleRuns+2 > x.Route.Attempts:
		return nil, refusedAttempts
	case q.checkBlocked() != nil:
		return nil, refusedBlocked
	case s.confirmKey(x) != nil:
		return nil, refusedKey
	}
	list, candidates := q.candidatesForCopy()
	if len(list) == 0 {
		return nil, refusedNoHost
	}
	if ok, reason := s.Hedger.Allow(q.service, x.Deadline.Sub(s.Clock.Now())); !ok {
		return nil, reason
	}
	i, ok := q.chooseFree(list, candidates)
	switch {
	case !ok:
		return nil, refusedNoRoom
	case len(first.done) > 0 || x.Context.Err() != nil || !s.Clock.Now().Before(x.Deadline):
		return nil, refusedAnswered
	case !s.Budget.Withdraw():
		return nil, refusedRetryBudget
	case !s.Limits.Take(list[i].Name()):
		return nil, refusedNoRoom
	}
	if q.offered.Known {
		s.Reservations.Reserve(list[i].Instance.Address)
	}
	return list[i], ""
}

// candidatesForCopy returns the targets on other hosts than those that were tried.
func (q *forwardedRequest) candidatesForCopy() ([]*discovery.Target, []rhubarbgate.Candidate) {
	list, candidates := q.server.Targets.Candidates(q.service, true, q.tried)
	var kept []*discovery.Target
	var keptCandidates []rhubarbgate.Candidate
	for i, t := range list {
		if !slices.ContainsFunc(q.tried, func(o *discovery.Target) bool { return o.Instance.Address.Addr() == t.Instance.Address.Addr() }) {
			kept, keptCandidates = append(kept, t), append(keptCandidates, candidates[i])
		}
	}
	return kept, keptCandidates
}

// chooseFree returns the index of a target with free room, if there is one. If sides are asked, that
// is one whose side offers a free slot, else one to which this entry sends nothing and that is not known to
// have a queue. Cold targets have no room for copies.
func (q *forwardedRequest) chooseFree(list []*discovery.Target, candidates []rhubarbgate.Candidate) (int, bool) {
	s := q.server
	usable := func(i int) bool {
		limited, ok, _ := s.Limits.Available(list[i].Name())
		candidates[i].Limited = limited
		return ok && !(limited && s.Limits.IsCold(list[i].Name()))
	}
	q.contention = contention{contended: s.Reservations.Applies(q.service)}
	q.offered.Unasked = -1
	if q.contended {
		q.ask(list, candidates)
		q.offered.Known = false
		if q.offered.Unasked >= 0 {
			return 0, false
		}
		if q.offered.Choice.Asked() > 0 {
			best, ok := q.offered.Choice.Best(func(i int) bool { return !usable(i) })
			if !ok || !q.offered.Choice.HasFreeSlot(best) {
				return 0, false
			}
			q.offered.Best, q.offered.Wait, q.offered.Known = best, q.offered.Choice.Wait(best), true
			return best.Candidate, true
		}
	}
	var free []int
	var freeCandidates []rhubarbgate.Candidate
	for i, c := range candidates {
		isFull := c.HasReport && (c.Queued > 0 || c.Slots > 0 && c.Reported >= c.Slots)
		if c.InFlight == 0 && !isFull && usable(i) {
			free, freeCandidates = append(free, i), append(freeCandidates, candidates[i])
		}
	}
	if len(free) == 0 {
		return 0, false
	}
	return free[s.Picker.Pick(rhubarbgate.PickRequest{Workspace: q.x.Workspace}, freeCandidates)], true
}

// start sends the request to the attempt's target and reads the answer on another goroutine.
func (a *attempt) start() {
	a.done = make(chan *reading, 1)
	a.x.sending.Add(1)
	go func() { a.done <- a.exchange() }()
}

// exchange sends the request and reads the answer: the whole body, or the first event of a stream. It
// changes nothing of the request.
func (a *attempt) exchange() (r *reading) {
	r = &reading{position: new(events.Position)}
	defer func() {
		if p := recover(); p != nil {
			a.server.logPanic(a.x, p)
			r.failure = rhubarbgate.Errorf(rhubarbgate.CodeInternal, rhubarbgate.MayHaveRun, "internal error")
		}
	}()
	r.response, r.failure = a.do()
	if r.failure != nil {
		return r
	}
	head := a.server.Dialect.DecodeResponse(r.response.Status, r.response.Header)
	r.notRun, r.readAsNotRun = head.NotRun, head.ReadAsNotRun
	switch {
	case r.notRun:
		a.readRefusal(r.response)
	case a.x.Route.Kind == rhubarbgate.Streaming && r.response.Status == fasthttp.StatusOK:
		r.readFirstEvent(r.response)
	default:
		r.body, r.err = a.readBodyOf(r.response)
	}
	return r
}

// do sends the request. When it returns, the request's body is not read any more.
func (a *attempt) do() (*target.Response, error) {
	defer a.x.sending.Done()
	return a.target.Client.Do(a.ctx, &a.request)
}

// settle takes what was read as the response of the attempt and passes it on to the caller.
func (a *attempt) settle(r *reading) *rhubarbgate.Error {
	a.early = r
	err := a.receive(r.response, r.failure)
	if err == nil {
		err = a.relay()
	}
	if err == nil && !r.failed() {
		a.server.Hedger.Observe(a.service, a.server.Clock.Since(a.sent))
	}
	return err
}

// fail records the failure of an attempt while another one is in flight. Nothing is passed on to the caller.
func (a *attempt) fail(r *reading) *rhubarbgate.Error {
	a.paired, a.early = true, r
	if err := a.receive(r.response, r.failure); err != nil {
		return err
	}
	if r.err != nil {
		return a.relay()
	}
	verdict := rhubarbgate.Ran
	if r.readAsNotRun {
		verdict = rhubarbgate.MayHaveRun
	}
	a.finish(a.response.Status >= fasthttp.StatusInternalServerError)
	return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, verdict, "target %s answered with status %d", a.target.Instance.ID, a.response.Status)
}

// lose ends an attempt whose answer is not needed. It counts as one that may have run, unless it failed
// just before.
func (a *attempt) lose() {
	select {
	case r := <-a.done:
		if r.failed() {
			a.fail(r)
			return
		}
		a.done <- r
	default:
	}
	a.possibleRuns++
	a.discard()
}

// discard cancels an attempt and closes its connection, so that the target drops the request. What the
// head of its response says about the target is recorded, and nothing of it reaches the caller.
func (a *attempt) discard() {
	a.cancel()
	go func() {
		r := <-a.done
		if a.response = r.response; a.response != nil {
			a.response.Abandon()
			if a.observeHead(); !a.head.NotRun {
				a.target.RecordRun(a.sent)
			}
		}
		a.finish(false)
	}()
}
