package caller

import (
	"time"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// admitPatience is the longest wait for a token.
	admitPatience = 800 * time.Millisecond
	// admitShare is the part of the time to the deadline that the wait may use.
	admitShare = 4
	// admitRetry is when a caller may come back if nothing better is known.
	admitRetry = time.Second
)

// admit takes a token of the workspace's rate.
type admit struct{ server *Server }

// Handle implements Filter.
func (f *admit) Handle(x *Exchange, next Handler) error {
	if x.Open {
		return next(x)
	}
	patience := min(admitPatience, x.remaining(f.server.Clock.Now())/admitShare)
	ok, wait := f.server.Holder.Acquire(x.Workspace, 1, patience, x.Context.Done())
	if !ok && f.server.Holder.OwnerUnreachable(x.Workspace) {
		return notRun(rhubarbgate.CodeUnavailable, "the owner of workspace %s's rate cannot be reached", x.Workspace).After(max(wait, admitRetry))
	}
	if !ok {
		return notRun(rhubarbgate.CodeRateLimited, "workspace %s is beyond its rate and burst", x.Workspace).After(max(wait, admitRetry))
	}
	return next(x)
}
