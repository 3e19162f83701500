package fleet

import (
	"math/rand/v2"
	"strings"
	"time"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

const (
	// maxStrayPercent bounds the share of responses beside which a target writes one out of turn. It
	// does so in periods of up to maxStrayPeriod, which alternate at random with quiet ones.
	maxStrayPercent = 40
	maxStrayPeriod  = 3 * time.Second
	// maxStrayDelay bounds the time after a response at which one out of turn follows it.
	maxStrayDelay = 5 * time.Millisecond
	// strayHistory is how many requests a target gets before it may respond once more to one of another connection.
	strayHistory = 32
)

// strayHeads are the heads of the responses out of turn that have no body.
var strayHeads = []struct {
	status int
	notRun bool
}{
	{503, true},
	{429, true},
	{408, true},
	{421, true},
	{503, false},
	{429, false},
	{500, false},
	{422, false},
}

// newStrays returns a function that chooses the responses out of turn of one target: ahead of a response
// on a kept connection, or after one.
func (s *Soak) newStrays(random *rand.Rand) func(id, earlier string) platformtest.Stray {
	percent := 1 + random.IntN(maxStrayPercent)
	var active bool
	var until time.Time
	var others []string
	return func(id, earlier string) platformtest.Stray {
		if now := s.Clock.Now(); now.After(until) {
			active, until = random.IntN(2) == 0, now.Add(time.Duration(random.Int64N(int64(maxStrayPeriod))))
		}
		// An item may be sent again at any time, so its ID is not one of a past request.
		if isItem := strings.Contains(id, "job-") || id == crashItem; !isItem && id != platformtest.ReportPath {
			others = append(others[max(0, len(others)-strayHistory):], id)
		}
		after := random.IntN(2) == 0
		owner := earlier
		if after {
			owner = id
		}
		if !active || owner == "" || random.IntN(100) >= percent {
			return platformtest.Stray{}
		}
		s.strayCount.Add(1)
		stated := owner
		switch {
		case owner == platformtest.ReportPath || random.IntN(3) == 0:
			stated = ""
		case random.IntN(2) == 0 && len(others) > strayHistory:
			owner, stated = others[0], others[0]
		}
		raw := ""
		switch i := random.IntN(len(strayHeads) + 2); {
		case i < len(strayHeads):
			raw = platformtest.Refusal(stated, strayHeads[i].status, strayHeads[i].notRun)
		case i == len(strayHeads):
			raw = platformtest.Complete(owner, stated, 0)
		default:
			raw = platformtest.Complete(owner, stated, streamEvents)
		}
		if random.IntN(4) == 0 {
			raw += raw
		}
		return platformtest.Stray{Raw: raw, After: after, Delay: time.Duration(random.Int64N(int64(maxStrayDelay)))}
	}
}
