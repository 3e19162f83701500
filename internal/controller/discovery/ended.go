package discovery

import (
	"cmp"
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/net/socket"
)

const (
	// endedTTL is how long a target that was found to have ended counts as ended. A crash
	// breaks off all of its responses within milliseconds.
	endedTTL = 300 * time.Millisecond
	// endedRedialInterval is the time after which a lost opening packet is sent again.
	endedRedialInterval = 80 * time.Millisecond
)

// HasEnded reports whether the process of a target has ended: its port refuses connections. A
// host that is off or cut off does not reply and counts as not ended. Concurrent calls for a
// target share one check.
func (t *Table) HasEnded(ctx context.Context, x *Target) bool {
	if at := x.endedAt.Load(); at != nil && t.Clock.Since(*at) < endedTTL {
		return true
	}
	ended, _, _ := t.checkingEnd.Do(x.name, func() (any, error) {
		c, err := socket.Redial(ctx, t.Clock, cmp.Or(t.Dialer, socket.Dialer(dialTimeout)), endedRedialInterval, x.Instance.Address.String())
		if err == nil {
			c.Close()
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return false, nil
		}
		now := t.Clock.Now()
		x.endedAt.Store(&now)
		return true, nil
	})
	return ended == true
}
