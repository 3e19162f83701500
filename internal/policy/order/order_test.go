package order

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runJobs completes one item a second in the given order and returns which jobs end by
// their due time.
func runJobs(o rhubarbgate.Order, jobs []rhubarbgate.PendingJob) map[string]bool {
	inTime := map[string]bool{}
	for now := epoch; len(jobs) > 0; now = now.Add(time.Second) {
		i := o.Next(now, jobs)
		jobs[i].Pending--
		jobs[i].Remaining--
		if jobs[i].Pending > 0 {
			continue
		}
		inTime[jobs[i].Job] = !now.Add(time.Second).After(jobs[i].Due)
		jobs = append(jobs[:i:i], jobs[i+1:]...)
	}
	return inTime
}

// feasibleJobs returns jobs of which those with the latest due time are the oldest.
// Due times leave 1.67 times the work, so that all can be met even if 40% of the time
// goes unused, but not in every order.
func feasibleJobs(random *rand.Rand) []rhubarbgate.PendingJob {
	var jobs []rhubarbgate.PendingJob
	work := 0
	for i := range 8 {
		n := 20 + random.IntN(60)
		work += n
		jobs = append(jobs, rhubarbgate.PendingJob{
			Job: string(rune('a' + i)), Workspace: string(rune('a' + i%4)), Pending: n, Remaining: n, ItemsPerSecond: 1,
			Due: epoch.Add(time.Duration(float64(work)*1.67) * time.Second),
		})
	}
	for i := range jobs {
		jobs[i].Created = epoch.Add(-time.Duration(i) * time.Second)
	}
	return jobs
}

// TestFeasibleJobsFinishInTime guards against a missed due time that the order could
// have met: the leases that go by weight must not cost jobs their due time. First come,
// first served misses some with the same jobs.
func TestFeasibleJobsFinishInTime(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 9))
	byDeadline, firstCome, total := 0, 0, 0
	for seed := range uint64(50) {
		jobs := feasibleJobs(random)
		total += len(jobs)
		for _, ok := range runJobs(&Deadline{WeightedShare: DefaultWeightedShare, Random: rand.New(rand.NewPCG(seed, 1))}, append([]rhubarbgate.PendingJob(nil), jobs...)) {
			if ok {
				byDeadline++
			}
		}
		for _, ok := range runJobs(FirstCome{}, append([]rhubarbgate.PendingJob(nil), jobs...)) {
			if ok {
				firstCome++
			}
		}
	}
	t.Logf("jobs in time: %d of %d, first come, first served: %d", byDeadline, total, firstCome)
	qt.Assert(t, byDeadline, qt.Equals, total)
	qt.Assert(t, firstCome < total, qt.IsTrue)
}

// TestWeightedShareServesEveryWorkspace guards against starvation: without the weighted
// share, a job with an early deadline takes every lease until it ends.
func TestWeightedShareServesEveryWorkspace(t *testing.T) {
	d := &Deadline{WeightedShare: DefaultWeightedShare, Random: rand.New(rand.NewPCG(1, 1))}
	jobs := []rhubarbgate.PendingJob{
		{Job: "urgent", Workspace: "a", Pending: 1000, Remaining: 1000, Due: epoch.Add(time.Minute)},
		{Job: "patient", Workspace: "b", Pending: 1000, Remaining: 1000, Due: epoch.Add(time.Hour)},
	}
	patientLeases := 0
	for range 500 {
		if d.Next(epoch, jobs) == 1 {
			patientLeases++
		}
	}
	qt.Assert(t, patientLeases >= 75, qt.IsTrue, qt.Commentf("%d of 500", patientLeases))
}
