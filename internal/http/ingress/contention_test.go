package ingress

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/reserve"
	"rhubarbgate.example/rhubarbgate/internal/policy/pick"
	policy "rhubarbgate.example/rhubarbgate/internal/policy/reserve"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// sides is a socket at which the sides of all targets reply.
type sides struct {
	replies chan []byte

	mu       sync.Mutex
	offers   map[netip.AddrPort]rhubarbgate.TargetOffer // by target; the others do not reply
	asks     int
	reserved []netip.AddrPort
}

func (s *sides) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	reply, ok := <-s.replies
	if !ok {
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	return copy(b, reply), netip.AddrPort{}, nil
}

func (s *sides) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) {
	var d side.Datagram
	if err := new(side.DatagramReader).Decode(b, &d); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Kind == side.Reserve {
		s.reserved = append(s.reserved, d.Target)
		return len(b), nil
	}
	s.asks++
	offer, ok := s.offers[d.Target]
	if !ok {
		return len(b), nil
	}
	d.Kind, d.Offer = side.Offer, offer
	reply, err := new(side.DatagramWriter).Encode(&d)
	s.replies <- reply
	return len(b), err
}

func (s *sides) Close() error { return nil }

// contendedEntry is an entry whose service's targets are contended for.
func contendedEntry(t *testing.T, targets int) (*testEntry, *sides) {
	var list []*platformtest.Target
	for range targets {
		list = append(list, &platformtest.Target{Events: 3})
	}
	e := newEntry(t, list...)
	return e, contend(t, e)
}

// contend lets an entry ask sides for free slots.
func contend(t *testing.T, e *testEntry) *sides {
	s := &sides{replies: make(chan []byte, 64), offers: map[netip.AddrPort]rhubarbgate.TargetOffer{}}
	e.server.Reservations = &reserve.Client{
		Conn: s, Port: 1, Demand: &policy.Demand{Clock: e.server.Clock, Always: true}, Picker: &pick.LeastRequests{Random: rand.New(rand.NewPCG(4, 4))},
		Clock: e.server.Clock, Random: rand.New(rand.NewPCG(3, 3)), Logger: e.server.Logger, Counts: reserve.NewClientCounters(new(expvar.Map).Init()),
	}
	go e.server.Reservations.Run(t.Context())
	t.Cleanup(func() { close(s.replies) })
	return s
}

// TestRequestsFollowOffers guards against requests to a target without a free slot, for which no slot is
// reserved, or that fail because sides do not reply, and against asks while nothing is contended.
func TestRequestsFollowOffers(t *testing.T) {
	full, free := rhubarbgate.TargetOffer{Slots: 8, Online: 8}, rhubarbgate.TargetOffer{Slots: 8, Online: 7}
	tests := []struct {
		name      string
		contended bool
		offers    []rhubarbgate.TargetOffer // of the first targets
		want      int                       // the target that gets the request and the reservation, -1 if any
	}{
		{"free slot", true, []rhubarbgate.TargetOffer{full, full, free}, 2},
		{"shortest wait", true, []rhubarbgate.TargetOffer{{Slots: 8, Online: 8, Queued: 3}, full, {Slots: 8, Online: 8, Queued: 1}}, 1},
		{"one reply", true, []rhubarbgate.TargetOffer{full}, 0},
		{"no reply", true, nil, -1},
		{"calm", false, []rhubarbgate.TargetOffer{full, full, free}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, s := contendedEntry(t, 3)
			for i, o := range test.offers {
				s.offers[e.targets[i].Address()] = o
			}
			if test.contended {
				e.server.Reservations.ObserveLoad("lm", rhubarbgate.TargetLoad{Waiting: 1, Slots: 8})
			}
			status, body, err := e.send(context.Background(), "stream", "r", secret)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, 200)
			qt.Assert(t, body, qt.Equals, streamText("r", 3))
			s.mu.Lock()
			defer s.mu.Unlock()
			qt.Assert(t, s.asks > 0, qt.Equals, test.contended)
			if test.want < 0 {
				qt.Assert(t, s.reserved, qt.HasLen, 0)
				return
			}
			qt.Assert(t, e.runs("r")[0].Instance, qt.Equals, e.targets[test.want].Instance)
			qt.Assert(t, s.reserved, qt.HasLen, 1)
			qt.Assert(t, s.reserved[0], qt.Equals, e.targets[test.want].Address())
		})
	}
}

// admission records what it is asked and told.
type admission struct {
	decision rhubarbgate.AdmissionDecision

	mu       sync.Mutex
	requests []rhubarbgate.AdmissionRequest
	events   []string
}

func (a *admission) Admit(r rhubarbgate.AdmissionRequest) rhubarbgate.AdmissionDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, r)
	return a.decision
}

func (a *admission) record(event string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, event)
}

func (a *admission) Begin(r rhubarbgate.AdmissionRequest) { a.record("begun " + r.Workspace) }

func (a *admission) FirstEvent(r rhubarbgate.AdmissionRequest, _ time.Duration) {
	a.record("first " + r.Service)
}

func (a *admission) End(r rhubarbgate.AdmissionRequest, _ time.Duration) {
	a.record("ended " + r.Workspace)
}

// TestAdmission guards against a refused request that runs or reserves a slot, one that has been sent and is
// refused then, a policy that is asked without knowing the offers, and requests that never end for it.
func TestAdmission(t *testing.T) {
	for _, send := range []bool{true, false} {
		e, s := contendedEntry(t, 3)
		var refused atomic.Bool
		for _, x := range e.targets {
			s.offers[x.Address()] = rhubarbgate.TargetOffer{Slots: 8, Online: 8, Queued: 1}
			// The first attempt of the request is refused, and sent again to another target.
			x.Fault = func(string, int) platformtest.Fault {
				if !refused.Swap(true) {
					return platformtest.Shed
				}
				return platformtest.None
			}
		}
		a := &admission{decision: rhubarbgate.AdmissionDecision{Send: send, RetryAfter: 700 * time.Millisecond, Reason: "no room"}}
		e.server.Admission, e.server.feedback = a, a
		e.server.Reservations.ObserveLoad("lm", rhubarbgate.TargetLoad{Waiting: 1, Slots: 8})
		status, _, err := e.send(context.Background(), "stream", "r", secret)
		qt.Assert(t, err, qt.IsNil)
		want := []string{}
		if send {
			qt.Assert(t, status, qt.Equals, 200)
			want = []string{"begun w", "first lm", "ended w"}
			qt.Assert(t, e.server.Counts.TargetRefusals.Value(), qt.Equals, int64(1))
		} else {
			qt.Assert(t, status, qt.Equals, 503)
			qt.Assert(t, e.runs("r"), qt.HasLen, 0)
			qt.Assert(t, e.server.Counts.NotAdmitted.Value(), qt.Equals, int64(1))
		}
		for deadline := time.Now().Add(5 * time.Second); e.server.InFlight() > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		a.mu.Lock()
		qt.Assert(t, a.requests, qt.HasLen, 1)
		r := a.requests[0]
		qt.Assert(t, r.Remaining > 3*time.Second && r.Wait > 0, qt.IsTrue)
		r.Remaining, r.Wait = 0, 0
		qt.Assert(t, r, qt.Equals, rhubarbgate.AdmissionRequest{Service: "lm", Workspace: "w", Weight: 1, Known: true, Busy: 1})
		qt.Assert(t, append([]string{}, a.events...), qt.DeepEquals, want)
		a.mu.Unlock()
		s.mu.Lock()
		qt.Assert(t, len(s.reserved) > 0, qt.Equals, send)
		s.mu.Unlock()
	}
}
