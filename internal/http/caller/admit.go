package caller

import (
	"time"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// maxTokenWait is the longest wait for a token of the workspace's rate.
	maxTokenWait = 800 * time.Millisecond
	// tokenWaitDivisor limits the wait to this fraction of the time to the
	// deadline: one quarter.
	tokenWaitDivisor = 4
	// minRateLimitRetryAfter is the least Retry-After of a refusal.
	minRateLimitRetryAfter = time.Second
)

// rateFilter takes a token of the workspace's rate limit, waiting for it if necessary. Open
// routes have no workspace and are not limited, nor are unlimited workspaces.
type rateFilter struct{ server *Server }

// Handle implements Filter.
func (f *rateFilter) Handle(x *Exchange, next Handler) error {
	if x.Open || x.Config.Workspaces[x.Workspace].Unlimited {
		return next(x)
	}
	maxWait := min(maxTokenWait, x.remaining(f.server.Clock.Now())/tokenWaitDivisor)
	ok, wait := f.server.Holder.Acquire(x.Workspace, 1, maxWait, x.Context.Done())
	if !ok && f.server.Holder.OwnerUnreachable(x.Workspace) {
		return notRun(rhubarbgate.CodeUnavailable, "the owner of workspace %s's rate cannot be reached", x.Workspace).WithRetryAfter(max(wait, minRateLimitRetryAfter))
	}
	if !ok {
		return notRun(rhubarbgate.CodeRateLimited, "workspace %s is beyond its rate and burst", x.Workspace).WithRetryAfter(max(wait, minRateLimitRetryAfter))
	}
	return next(x)
}
