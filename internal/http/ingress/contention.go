package ingress

import (
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/controller/reserve"
)

// contention is what is known of the contention for the targets of one attempt.
type contention struct {
	// contended says that the targets of the request's service may be contended for.
	contended bool
	// offered is what the sides offered for the last attempt. Its Best, Wait and Known are the offer that
	// was taken and its expected wait.
	offered reserve.Result
}

// chooseByOffer asks sides for a free slot and returns the target whose offer is the best, or nil if no
// side was asked or none has an offer. It returns an error if the admission policy refuses the request.
func (q *forwardedRequest) chooseByOffer(list []*discovery.Target, candidates []rhubarbgate.Candidate) (*discovery.Target, *rhubarbgate.Error) {
	s, x := q.server, q.x
	q.offered = reserve.Result{Unasked: -1}
	q.contended = len(list) > 0 && s.Reservations.Applies(q.service)
	if !q.contended {
		return nil, nil
	}
	q.ask(list, candidates)
	if err := q.admit(); err != nil {
		return nil, err
	}
	if i := q.offered.Unasked; i >= 0 && s.Limits.Take(list[i].Name()) {
		return list[i], nil
	}
	var limited []int // candidates whose tokens other requests took meanwhile
	excluded := func(candidate int) bool { return slices.Contains(limited, candidate) }
	for {
		best, ok := q.offered.Choice.Best(excluded)
		if !ok {
			q.offered.Known = false
			return nil, nil
		}
		if t := list[best.Candidate]; s.Limits.Take(t.Name()) {
			q.offered.Best, q.offered.Wait = best, q.offered.Choice.Wait(best)
			if x.Context.Err() == nil {
				s.Reservations.Reserve(t.Instance.Address)
			}
			return t, nil
		}
		limited = append(limited, best.Candidate)
	}
}

// ask asks the sides of some candidates for a free slot and records the loads that they reply.
func (q *forwardedRequest) ask(list []*discovery.Target, candidates []rhubarbgate.Candidate) {
	s, x := q.server, q.x
	q.offered = s.Reservations.Ask(x.Context, q.service, rhubarbgate.PickRequest{Workspace: x.Workspace}, candidates)
	for _, o := range q.offered.Choice.Offers() {
		s.Targets.RecordLoad(list[o.Candidate], rhubarbgate.TargetLoad{
			Running: o.Online + o.Reserved + o.Batch, Waiting: o.Queued, Slots: o.Slots, Slowness: o.Slowness,
		})
	}
}

// admit returns an error if the admission policy refuses the request. It does not apply to a request that
// has been sent before.
func (q *forwardedRequest) admit() *rhubarbgate.Error {
	s, x := q.server, q.x
	if s.Admission == nil || len(q.tried) > 0 || q.resumed {
		return nil
	}
	workspace := x.Config.Workspaces[x.Workspace]
	r := rhubarbgate.AdmissionRequest{
		Service: q.service, Workspace: x.Workspace, Rank: rank(workspace.Priority, x.Route.Priority), Weight: x.Config.Weight(x.Workspace),
		Objective: x.Route.Objective, Remaining: x.Deadline.Sub(s.Clock.Now()),
		Wait: q.offered.Wait, Known: q.offered.Known, Free: q.offered.Choice.Free(), Busy: q.offered.Choice.Busy(),
	}
	d := s.Admission.Admit(r)
	if !d.Send {
		s.Counts.NotAdmitted.Add(1)
		return notRun(rhubarbgate.CodeOverloaded, "service %q has no slot in time: %s; expected wait %v (known: %t), %d offers, %.2f of their slots taken, rank %d",
			q.service, d.Reason, r.Wait, r.Known, len(q.offered.Choice.Offers()), r.Busy, r.Rank).WithRetryAfter(d.RetryAfter)
	}
	if s.feedback != nil && x.admitted.Service == "" {
		x.admitted, x.admittedAt = r, s.Clock.Now()
		s.feedback.Begin(r)
	}
	return nil
}

// routeRanks is the number of ranks of the routes of one priority of workspaces.
const routeRanks = 16

// rank orders requests by the priority of their workspace, then by that of their route.
func rank(workspace, route int) int {
	return max(0, workspace)*routeRanks + min(max(0, route), routeRanks-1)
}

// recordEnded tells the admission policy that the request of an exchange ended.
func (s *Server) recordEnded(x *Exchange) {
	if x.admitted.Service != "" {
		s.feedback.End(x.admitted, s.Clock.Since(x.admittedAt))
		x.admitted.Service = ""
	}
}

// observeFirstEvent tells the admission policy how long the first event of a stream took.
func (a *attempt) observeFirstEvent() {
	if a.contended && a.x.admitted.Service != "" {
		a.server.feedback.FirstEvent(a.x.admitted, a.server.Clock.Since(a.sent))
	}
}

// observeHold records for how long the request held a slot, if it did not wait for it and its response
// was complete. The time at a slow target counts as if it had usual speed.
func (a *attempt) observeHold() {
	waited := a.head.Load.Waiting > 0
	if a.offered.Known {
		waited = a.offered.Wait > 0
	}
	if !a.contended || waited || a.resumed {
		return
	}
	hold := a.server.Clock.Since(a.sent)
	if a.head.Load.Slowness > 1 {
		hold = time.Duration(float64(hold) / a.head.Load.Slowness)
	}
	a.server.Reservations.ObserveHold(a.service, hold)
}
