// Package deadline provides context timeouts that follow a given clock, which may be a fake one in tests.
package deadline

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a context that is cancelled after d on the clock c. Its Err is then
// context.Canceled, as after a cancel; Passed reports whether the timeout was the cause.
func WithTimeout(ctx context.Context, c clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := c.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// Passed reports whether ctx ended because a deadline passed that WithTimeout or the
// standard library set.
func Passed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
