package order

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// serve works at one item a second and returns which lots end before their due time.
func serve(o rhubarbgate.Order, lots []rhubarbgate.PendingJob) map[string]bool {
	met := map[string]bool{}
	for now := epoch; len(lots) > 0; now = now.Add(time.Second) {
		i := o.Next(now, lots)
		lots[i].Pending--
		lots[i].Remaining--
		if lots[i].Pending > 0 {
			continue
		}
		met[lots[i].Job] = !now.Add(time.Second).After(lots[i].Due)
		lots = append(lots[:i:i], lots[i+1:]...)
	}
	return met
}

// mixed returns lots that arrive with the longest due time first. All can be met
// if 40% of the time goes unused, and none is due so late that order is no matter.
func mixed(random *rand.Rand) []rhubarbgate.PendingJob {
	var lots []rhubarbgate.PendingJob
	work := 0
	for i := range 8 {
		n := 20 + random.IntN(60)
		work += n
		lots = append(lots, rhubarbgate.PendingJob{
			Job: string(rune('a' + i)), Workspace: string(rune('a' + i%4)), Pending: n, Remaining: n, ItemsPerSecond: 1,
			Due: epoch.Add(time.Duration(float64(work)*1.67) * time.Second),
		})
	}
	for i := range lots {
		lots[i].Created = epoch.Add(-time.Duration(i) * time.Second)
	}
	return lots
}

func TestFeasibleLotsFinishInTime(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 9))
	ours, baseline, total := 0, 0, 0
	for seed := range uint64(50) {
		lots := mixed(random)
		total += len(lots)
		for _, ok := range serve(&Deadline{Floor: DefaultFloor, Random: rand.New(rand.NewPCG(seed, 1))}, append([]rhubarbgate.PendingJob(nil), lots...)) {
			if ok {
				ours++
			}
		}
		for _, ok := range serve(FirstCome{}, append([]rhubarbgate.PendingJob(nil), lots...)) {
			if ok {
				baseline++
			}
		}
	}
	t.Logf("lots in time: %d of %d, first come %d", ours, total, baseline)
	qt.Assert(t, ours, qt.Equals, total)
	qt.Assert(t, baseline < total, qt.IsTrue)
}

func TestFloorServesEveryWorkspace(t *testing.T) {
	d := &Deadline{Floor: DefaultFloor, Random: rand.New(rand.NewPCG(1, 1))}
	lots := []rhubarbgate.PendingJob{
		{Job: "urgent", Workspace: "a", Pending: 1000, Remaining: 1000, Due: epoch.Add(time.Minute)},
		{Job: "patient", Workspace: "b", Pending: 1000, Remaining: 1000, Due: epoch.Add(time.Hour)},
	}
	patient := 0
	for range 500 {
		if d.Next(epoch, lots) == 1 {
			patient++
		}
	}
	qt.Assert(t, patient >= 75, qt.IsTrue, qt.Commentf("%d of 500", patient))
}
