package side

import (
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

// TestFindDuringUpdates guards against a side that hangs when the list has two services at its
// address: the choice between them needs the configuration, whose owner updates the list.
func TestFindDuringUpdates(t *testing.T) {
	clock := clockwork.NewRealClock()
	logger := &log.Logger{Handler: discard.New()}
	h := &Host{}
	h.watcher = &configuration.Watcher{Clock: clock, Logger: logger}
	table := &discovery.Table{Clock: clock, Logger: logger, NamesService: h.namesService}
	h.watcher.OnTargets = table.Update
	a := netip.MustParseAddrPort("127.0.0.1:9")
	list := []rhubarbgate.Instance{{ID: "i", Service: "s", Address: a, Slots: 8}, {ID: "i", Service: "other", Address: a, Slots: 8}}
	const finders, rounds = 4, 2000
	done := make(chan struct{}, finders+1)
	for range finders {
		go func() {
			for range rounds {
				table.Find(a)
			}
			done <- struct{}{}
		}()
	}
	go func() {
		for i := range rounds {
			h.watcher.ApplyReply(&control.PollReply{Targets: &control.TargetList{Digest: uint64(i + 1), Instances: list}}, clock.Now())
		}
		done <- struct{}{}
	}()
	for range finders + 1 {
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			qt.Assert(t, false, qt.IsTrue, qt.Commentf("finds and updates block each other"))
		}
	}
}
