package replica

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
)

// TestCommandsOfTheLeader guards against processes that give up, expire or drop items of others by a
// command that only the leader of their group issues.
func TestCommandsOfTheLeader(t *testing.T) {
	commands := []jobs.Command{
		{Lease: &jobs.Lease{}}, {Expire: &jobs.Expire{}}, {Collect: &jobs.Collect{}}, {GiveUp: &jobs.GiveUp{}},
		{GiveUp: &jobs.GiveUp{}, CreateFile: &jobs.CreateFile{}}, {Collect: &jobs.Collect{}, Complete: &jobs.Complete{}},
	}
	for i, c := range commands {
		for _, r := range wire.Daemons {
			err := authorizeCommand(wire.Peer{TLS: true, Role: r}, &shard.Command{Jobs: &c})
			qt.Check(t, rhubarbgate.HasCode(err, rhubarbgate.CodeForbidden), qt.IsTrue, qt.Commentf("command %d of role %v: %v", i, r, err))
		}
	}
}
