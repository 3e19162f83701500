package side

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// serveLeader serves the leader of a job group for the test's worker.
func serveLeader(t *testing.T, w *worker, register func(m *wire.Mux)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	mux := wire.NewMux()
	register(mux)
	go func() { _ = mux.Serve(t.Context(), l) }()
	w.host.control.SetHosts([]netip.AddrPort{l.Addr().(*net.TCPAddr).AddrPort()})
}

// TestOutcomesFitIntoOneMessage guards against results that are ready and never arrive, because together they have more bytes than
// a message may have.
func TestOutcomesFitIntoOneMessage(t *testing.T) {
	w, _ := newBatchOnlyWorker(t, &platformtest.Target{}, clockwork.NewRealClock())
	reported := map[int]bool{}
	serveLeader(t, w, func(m *wire.Mux) {
		wire.Unary(m, control.MethodPropose, wire.Sides, func(_ context.Context, in *control.Propose) (*control.ProposeReply, error) {
			bytes := 0
			r := &jobs.Result{}
			for _, o := range in.Command.Jobs.Complete.Outcomes {
				bytes += len(o.Output)
				reported[o.Ref.Index] = true
				r.Accepted = append(r.Accepted, true)
			}
			qt.Check(t, bytes <= wire.BatchBytes || len(r.Accepted) == 1, qt.IsTrue, qt.Commentf("%d bytes in %d outcomes", bytes, len(r.Accepted)))
			return &control.ProposeReply{Result: &shard.Result{Jobs: r}}, nil
		})
	})
	const count = 12
	for i := range count {
		ref := jobs.ItemRef{Job: "j", Index: i, Attempt: 1}
		w.leased[ref] = &task{}
		w.queueOutcome(&task{group: 1}, jobs.Outcome{Ref: ref, OK: true, Output: make([]byte, maxItemResponseBytes)})
	}
	w.reportOutcomes()
	qt.Assert(t, reported, qt.HasLen, count)
	qt.Assert(t, w.leased, qt.HasLen, 0)
}

// TestLeasesAfterAFailure guards against asking again unchanged for items whose reply did not arrive.
func TestLeasesAfterAFailure(t *testing.T) {
	w, task := newBatchOnlyWorker(t, &platformtest.Target{}, clockwork.NewRealClock())
	var counts []int
	failing := true
	serveLeader(t, w, func(m *wire.Mux) {
		wire.Unary(m, control.MethodLease, wire.Sides, func(_ context.Context, in *control.Lease) (*control.LeaseReply, error) {
			counts = append(counts, in.Count)
			if failing {
				return nil, rhubarbgate.AsError(errors.New("too large"))
			}
			return &control.LeaseReply{TTL: time.Minute, Granted: []jobs.Grant{task.grant}}, nil
		})
	})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	for i := range 4 {
		failing = i < 2
		w.leaseFromGroup(context.WithoutCancel(ctx), 1, []string{"r"}, 8)
	}
	w.tasks.Wait()
	qt.Assert(t, counts, qt.DeepEquals, []int{8, 1, 1, 8})
}
