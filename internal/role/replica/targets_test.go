package replica

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// TestListOfLeaderIsTakenOver guards against a control host that serves an older list than
// it has, an empty one, or one whose content it does not have.
func TestListOfLeaderIsTakenOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	instances := func(id string) []rhubarbgate.Instance { return []rhubarbgate.Instance{{ID: id}} }
	leader, follower := &Host{Clock: clock}, &Host{Clock: clock}
	answer := func() *control.TargetList {
		return configuration.TargetListReply(leader, clock.Now(), follower.targetsDigest())
	}
	check := func(id string, age time.Duration) {
		list, at := follower.Targets()
		qt.Assert(t, list.Instances, qt.HasLen, 1)
		qt.Assert(t, list.Instances[0].ID, qt.Equals, id)
		qt.Assert(t, clock.Since(at), qt.Equals, age)
	}
	follower.applyTargets(answer(), clock.Now())
	qt.Assert(t, follower.targetsDigest(), qt.Equals, uint64(0))

	leader.setTargets(instances("a"), clock.Now())
	follower.applyTargets(answer(), clock.Now())
	check("a", 0)

	clock.Advance(time.Second)
	leader.setTargets(instances("a"), clock.Now())
	confirmed := answer()
	qt.Assert(t, confirmed.Instances, qt.HasLen, 0)
	sent := clock.Now()
	clock.Advance(100 * time.Millisecond)
	follower.applyTargets(confirmed, sent)
	check("a", 100*time.Millisecond)

	follower.setTargets(instances("b"), clock.Now())
	follower.applyTargets(confirmed, clock.Now())
	check("b", 0)
	clock.Advance(time.Second)
	late := *confirmed
	follower.applyTargets(&late, clock.Now())
	check("b", time.Second)
}
