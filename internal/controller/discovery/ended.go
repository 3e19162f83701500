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
	// downRetryInterval is how long a target whose port refuses connections is left out before
	// a request tries it again. A crash breaks off all of its responses within milliseconds.
	downRetryInterval = 300 * time.Millisecond
	// restartListLag is how long after a target was down the list may still show it as it was before. It
	// covers the lag of the platform's list.
	restartListLag = 3 * time.Second
	// endedRedialInterval is the time after which a lost opening packet is sent again.
	endedRedialInterval = 80 * time.Millisecond
)

// recordRefused records that the target's port refused a connection.
func (x *Target) recordRefused(now time.Time) {
	x.refusedAt.Store(&now)
	x.downAt.Store(&now)
}

// recordResponse records that the target responded.
func (x *Target) recordResponse() {
	if x.refusedAt.Load() != nil {
		x.refusedAt.Store(nil)
	}
}

// isDown reports whether the target's port has refused connections and the target has not
// responded since. If so, refused says how long ago the last time was.
func (x *Target) isDown(now time.Time) (down bool, refused time.Duration) {
	at := x.refusedAt.Load()
	if at == nil {
		return false, 0
	}
	return true, now.Sub(*at)
}

// HasEnded reports whether the process of a target has ended: its port refuses connections. A
// host that is off or cut off does not reply and counts as not ended. Concurrent calls for a
// target share one check.
func (t *Table) HasEnded(ctx context.Context, x *Target) bool {
	if down, refused := x.isDown(t.Clock.Now()); down && refused < downRetryInterval {
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
		x.recordRefused(t.Clock.Now())
		return true, nil
	})
	return ended == true
}
