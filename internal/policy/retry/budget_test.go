package retry

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// amplification sends requests whose attempts fail with the given probability,
// at most three attempts each, and returns the attempts a request.
func amplification(b rhubarbgate.RetryBudget, failing float64) float64 {
	const requests = 20000
	random := rand.New(rand.NewPCG(1, 1))
	attempts := 0
	for range requests {
		for n := 1; n <= 3; n++ {
			attempts++
			if random.Float64() >= failing {
				b.Succeed()
				break
			}
			if n == 3 || !b.Withdraw() {
				break
			}
		}
	}
	return float64(attempts) / requests
}

func TestRetriesAreBoundedByTheBudget(t *testing.T) {
	tests := []struct {
		name    string
		failing float64
	}{
		{"a third", 1.0 / 3},
		{"most", 0.9},
		{"all", 1},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			ours := amplification(&Budget{Ratio: 0.1, MaxBalance: 20}, x.failing)
			baseline := amplification(Unlimited{}, x.failing)
			t.Logf("attempts a request: %.3f, unlimited %.3f", ours, baseline)
			qt.Assert(t, ours <= 1.2, qt.IsTrue, qt.Commentf("%.3f", ours))
			qt.Assert(t, baseline > 1.2, qt.IsTrue, qt.Commentf("%.3f", baseline))
		})
	}
}
