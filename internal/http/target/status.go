package target

import (
	"bufio"
	"bytes"

	"github.com/juju/errors"
)

// statusLineLen is the length of a status line up to and including its status, "HTTP/1.1 200".
const statusLineLen = 12

// checkStatusLine reads ahead in the next response and fails unless that begins with a status line of
// HTTP/1 whose status exists. The HTTP library takes the status 000 for 200, and any first word for the
// protocol.
func checkStatusLine(r *bufio.Reader) error {
	for skipped := 0; ; skipped++ {
		if skipped == maxHeadBytes {
			return errors.Errorf("the target sends more than %d bytes of empty lines in place of a response", maxHeadBytes)
		}
		b, err := r.Peek(1)
		if err != nil {
			return errors.Trace(err)
		}
		if b[0] != '\r' && b[0] != '\n' {
			break
		}
		// The library skips empty lines before a response as well.
		if _, err := r.Discard(1); err != nil {
			return errors.Trace(err)
		}
	}
	line, err := r.Peek(statusLineLen + 1)
	if err != nil {
		return errors.Trace(err)
	}
	protocol, status, end := line[:9], line[9:statusLineLen], line[statusLineLen]
	valid := (bytes.Equal(protocol, []byte("HTTP/1.1 ")) || bytes.Equal(protocol, []byte("HTTP/1.0 "))) &&
		isStatus(status) && (end == ' ' || end == '\r' || end == '\n')
	if !valid {
		return errors.Errorf("the target's response begins with %q, which is no status line", line)
	}
	return nil
}

// isStatus reports whether three bytes are a status from 100 to 599.
func isStatus(b []byte) bool {
	isDigit := func(c byte) bool { return c >= '0' && c <= '9' }
	return b[0] >= '1' && b[0] <= '5' && isDigit(b[1]) && isDigit(b[2])
}
