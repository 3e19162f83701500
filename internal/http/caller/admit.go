package caller

import (
	"time"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// maxAdmitWait is the longest wait for a token of the workspace's rate.
	maxAdmitWait = 800 * time.Millisecond
	// admitDeadlineDivisor limits the wait to this fraction of the time to the
	// deadline: one quarter.
	admitDeadlineDivisor = 4
	// minAdmitRetryAfter is the least Retry-After of a refusal.
	minAdmitRetryAfter = time.Second
)

// admit takes a token of the workspace's rate limit, waiting for it if necessary. Open
// routes have no workspace and are not limited.
type admit struct{ server *Server }

// Handle implements Filter.
func (f *admit) Handle(x *Exchange, next Handler) error {
	if x.Open {
		return next(x)
	}
	maxWait := min(maxAdmitWait, x.remaining(f.server.Clock.Now())/admitDeadlineDivisor)
	ok, wait := f.server.Holder.Acquire(x.Workspace, 1, maxWait, x.Context.Done())
	if !ok && f.server.Holder.OwnerUnreachable(x.Workspace) {
		return notRun(rhubarbgate.CodeUnavailable, "the owner of workspace %s's rate cannot be reached", x.Workspace).WithRetryAfter(max(wait, minAdmitRetryAfter))
	}
	if !ok {
		return notRun(rhubarbgate.CodeRateLimited, "workspace %s is beyond its rate and burst", x.Workspace).WithRetryAfter(max(wait, minAdmitRetryAfter))
	}
	return next(x)
}
