package retry

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// amplification simulates requests whose attempts fail with failureProbability, with
// at most three attempts each, and returns the mean number of attempts a request.
func amplification(b rhubarbgate.RetryBudget, failureProbability float64) float64 {
	const requests = 20000
	random := rand.New(rand.NewPCG(1, 1))
	attempts := 0
	for range requests {
		for n := 1; n <= 3; n++ {
			attempts++
			if random.Float64() >= failureProbability {
				b.RecordSuccess()
				break
			}
			if n == 3 || !b.Withdraw() {
				break
			}
		}
	}
	return float64(attempts) / requests
}

// TestRetriesAreBoundedByTheBudget guards against retries that multiply the load while
// many attempts fail: the budget keeps attempts to at most 1.2 a request, which
// unlimited retries exceed.
func TestRetriesAreBoundedByTheBudget(t *testing.T) {
	tests := []struct {
		name               string
		failureProbability float64
	}{
		{"a third", 1.0 / 3},
		{"most", 0.9},
		{"all", 1},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			withBudget := amplification(&Budget{Ratio: 0.1, MaxBalance: 20}, x.failureProbability)
			unlimited := amplification(Unlimited{}, x.failureProbability)
			t.Logf("attempts a request: %.3f, unlimited %.3f", withBudget, unlimited)
			qt.Assert(t, withBudget <= 1.2, qt.IsTrue, qt.Commentf("%.3f", withBudget))
			qt.Assert(t, unlimited > 1.2, qt.IsTrue, qt.Commentf("%.3f", unlimited))
		})
	}
}
