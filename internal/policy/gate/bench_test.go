package gate

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// BenchmarkQueue measures, by queue length, a step in which one online request
// arrives, one finishes and the next one starts, and the cost of a tick.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			g := &Priority{Clock: clockwork.NewRealClock(), Slots: 1}
			id, running := uint64(0), uint64(1)
			offer := func() {
				id++
				g.Offer(rhubarbgate.Work{ID: id, Workspace: fmt.Sprintf("w%d", id%20)})
			}
			for range n + 1 {
				offer()
			}
			for b.Loop() {
				offer()
				running = g.Done(running).Start[0]
			}
		})
		b.Run(fmt.Sprintf("tick/queued=%d", n), func(b *testing.B) {
			g := &Priority{Clock: clockwork.NewRealClock(), Slots: 1}
			for id := range uint64(n + 1) {
				g.Offer(rhubarbgate.Work{ID: id + 1, Workspace: fmt.Sprintf("w%d", id%20)})
			}
			for b.Loop() {
				g.Tick()
			}
		})
	}
}
