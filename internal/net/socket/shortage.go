package socket

import (
	"syscall"
	"time"

	"github.com/juju/errors"
)

// AcceptPause is the time before the next attempt to accept a connection after one failed because
// a resource was short. Connections that end meanwhile free some.
const AcceptPause = 20 * time.Millisecond

// IsShortage reports whether accepting a connection failed in a way that passes: the listener is
// sound.
func IsShortage(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
