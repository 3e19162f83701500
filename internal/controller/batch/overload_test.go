package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/order"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

// withoutPace is the order without the estimate of the next item, as a baseline.
type withoutPace struct{ rhubarbgate.Order }

func (o withoutPace) Next(now time.Time, pending []rhubarbgate.PendingJob) int {
	for i := range pending {
		pending[i].NextItem = 0
	}
	return o.Order.Next(now, pending)
}

// earliestDue takes the job that is due first, also if it is past due, as a baseline.
type earliestDue struct{}

func (earliestDue) Next(_ time.Time, pending []rhubarbgate.PendingJob) int {
	best := 0
	for i := range pending {
		if pending[i].Due.Before(pending[best].Due) {
			best = i
		}
	}
	return best
}

// backlog simulates a group after an outage: jobs that were submitted together lost their
// time, others arrive, and together they need more than the slots give until their due
// times. Online requests take all slots for 2.4 s of every 6 s. It returns how many items
// completed by their due time.
func backlog(t *testing.T, seed uint64, newOrder func(*rand.Rand) rhubarbgate.Order) int {
	const (
		slots, step      = 8, 100 * time.Millisecond
		itemTime         = 4900 * time.Millisecond
		outputBytes      = 9800
		wave, top        = 6 * time.Second, 2400 * time.Millisecond
		warmUp, duration = 12 * time.Second, 70 * time.Second
	)
	clock := clockwork.NewFakeClock()
	m := jobs.New(&disk.Spill{Dir: t.TempDir()})
	random := rand.New(rand.NewPCG(seed, 1))
	d := &Dispatcher{
		Clock: clock, Machine: m, Order: newOrder(random), Weight: func(string) float64 { return 1 },
		ItemRate: func(string) (limit.Rate, bool) { return limit.Rate{}, false },
	}
	d.Begin()
	start := clock.Now()
	submit := func(n, items int, window time.Duration) {
		s := &jobs.Submit{ID: fmt.Sprint(n), Workspace: fmt.Sprint(n % 3), Window: window, Retention: time.Hour, Attempts: 3}
		for i := range items {
			s.Items = append(s.Items, jobs.ItemInput{ID: fmt.Sprint(n, i), Needs: "r", Idempotent: true, Line: []byte("x")})
		}
		m.Apply(&jobs.Command{At: clock.Now(), Submit: s})
	}
	type run struct {
		grant jobs.Grant
		done  time.Duration
	}
	var running []run
	inTime := 0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		switch {
		case elapsed == 0:
			submit(0, 8, 18*time.Second) // from its items the pace is known
		case elapsed == warmUp:
			for n := 1; n <= 4; n++ {
				submit(n, 6, 13*time.Second)
			}
		case elapsed > warmUp && elapsed <= warmUp+30*time.Second && elapsed%(5*time.Second) == 0:
			submit(10+int(elapsed/time.Second), 6, 18*time.Second)
		}
		var kept []run
		for _, r := range running {
			r.done += step
			switch progress := int(int64(outputBytes) * int64(r.done) / int64(itemTime)); {
			case r.done >= itemTime:
				outcomes := []jobs.Outcome{{Ref: r.grant.Ref, OK: true, Output: make([]byte, outputBytes)}}
				m.Apply(&jobs.Command{At: clock.Now(), Complete: &jobs.Complete{Outcomes: outcomes}})
				d.RecordCompleted(outcomes)
				d.RemoveLeases([]jobs.ItemRef{r.grant.Ref}, 1)
				if !clock.Now().After(r.grant.Due) {
					inTime++
				}
			case elapsed > warmUp && elapsed%wave < top:
				m.Apply(&jobs.Command{At: clock.Now(), Return: &jobs.Return{Items: []jobs.ItemRef{r.grant.Ref}, Progress: [][]byte{make([]byte, progress)}}})
				d.RemoveLeases([]jobs.ItemRef{r.grant.Ref}, 0)
			default:
				kept = append(kept, r)
			}
		}
		running = kept
		if free := slots - len(running); free > 0 && (elapsed <= warmUp || elapsed%wave >= top) {
			refs := d.Pick([]string{"r"}, free)
			r := m.Apply(&jobs.Command{At: clock.Now(), Lease: &jobs.Lease{Side: LeaseHolder("s", "1"), Items: refs}})
			d.RecordGranted(refs, r.Granted)
			for _, g := range r.Granted {
				running = append(running, run{grant: g, done: itemTime * time.Duration(len(g.Progress)) / outputBytes})
			}
		}
		clock.Advance(step)
	}
	qt.Assert(t, clock.Since(start), qt.Equals, duration)
	return inTime
}

// TestBacklogAfterAnOutage is the load after a loss of power in front of a wave of online
// requests. It guards against slots that go to items that cannot end by their due time, so
// that the items that could are late as well.
func TestBacklogAfterAnOutage(t *testing.T) {
	deadline := func(r *rand.Rand) rhubarbgate.Order {
		return &order.Deadline{WeightedShare: order.DefaultWeightedShare, Random: r}
	}
	orders := []struct {
		name string
		new  func(*rand.Rand) rhubarbgate.Order
	}{
		{"by deadline", deadline},
		{"by deadline, without the pace of items", func(r *rand.Rand) rhubarbgate.Order { return withoutPace{deadline(r)} }},
		{"earliest due time", func(*rand.Rand) rhubarbgate.Order { return earliestDue{} }},
	}
	var inTime [3]int
	for i, o := range orders {
		for seed := range uint64(10) {
			inTime[i] += backlog(t, seed, o.new)
		}
		t.Logf("%s: %d items in time", o.name, inTime[i])
	}
	qt.Assert(t, inTime[0] > inTime[1] && inTime[1] > inTime[2], qt.IsTrue, qt.Commentf("%v", inTime))
}
