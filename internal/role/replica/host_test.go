package replica

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

// TestHandedOver answers TestGracefulStop (2026-12-04): a host stopped 0.3 s
// after it had asked others to take over its groups, and still led three.
func TestHandedOver(t *testing.T) {
	alone := raft.Members{{ID: 1}}
	three := raft.Members{{ID: 1}, {ID: 2}, {ID: 3}}
	for _, x := range []struct {
		name   string
		status raft.Status
		want   bool
	}{
		{"leading", raft.Status{Self: 1, Phase: raft.Leader, Leader: 1, Members: three}, false},
		{"electing", raft.Status{Self: 1, Members: three}, false},
		{"following", raft.Status{Self: 1, Leader: 2, Members: three}, true},
		{"alone", raft.Status{Self: 1, Phase: raft.Leader, Leader: 1, Members: alone}, true},
		{"with a learner only", raft.Status{Self: 1, Phase: raft.Leader, Leader: 1, Members: raft.Members{{ID: 1}, {ID: 2, Learner: true}}}, true},
		{"not a member", raft.Status{Self: 1}, true},
	} {
		qt.Check(t, handedOver(x.status), qt.Equals, x.want, qt.Commentf("%s", x.name))
	}
}
