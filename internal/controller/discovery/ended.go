package discovery

import (
	"cmp"
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/net/socket"
)

// endedCheckTTL is how long the result of a check is used for further responses that the
// same target broke off. A crash breaks off all of them within milliseconds.
const endedCheckTTL = 300 * time.Millisecond

// endedCheck is the result of a check whether a target has ended.
type endedCheck struct {
	ended bool
	at    time.Time
}

// HasEnded reports whether the process of a target has ended: its port refuses connections. A
// host that is off or cut off does not reply and counts as not ended. Concurrent calls for a
// target share one connection attempt.
func (t *Table) HasEnded(ctx context.Context, x *Target) bool {
	if c := x.endedCheck.Load(); c != nil && t.Clock.Since(c.at) < endedCheckTTL {
		return c.ended
	}
	ended, _, _ := t.checkingEnd.Do(x.name, func() (any, error) {
		c, err := cmp.Or(t.Dialer, socket.Dialer(dialTimeout)).DialContext(ctx, "tcp", x.Instance.Address.String())
		if err == nil {
			c.Close()
		}
		ended := errors.Is(err, syscall.ECONNREFUSED)
		x.endedCheck.Store(&endedCheck{ended, t.Clock.Now()})
		return ended, nil
	})
	return ended == true
}
