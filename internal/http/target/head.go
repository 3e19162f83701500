package target

import (
	"bufio"
	"bytes"

	"github.com/juju/errors"
)

// checkHead reads ahead in the next response and fails unless its head is well formed. It consumes only empty lines
// before the head.
//
// The HTTP library accepts blanks in the names of headers. It cuts them off the end of a name, so that it goes by a
// Content-Length that the target may not have meant, and passes others on.
func checkHead(r *bufio.Reader) error {
	if err := checkStatusLine(r); err != nil {
		return err
	}
	statusLine, err := peekLine(r, 0)
	if err != nil {
		return err
	}
	for offset := len(statusLine); ; {
		line, err := peekLine(r, offset)
		if err != nil {
			return err
		}
		offset += len(line)
		if line = trimLineEnd(line); len(line) == 0 {
			return nil
		}
		if err := checkHeaderLine(line); err != nil {
			return err
		}
	}
}

// peekLine returns the line that begins at an offset of the unread bytes, with its line feed.
func peekLine(r *bufio.Reader, offset int) ([]byte, error) {
	for {
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, errors.Trace(err)
		}
		if i := bytes.IndexByte(b[offset:], '\n'); i >= 0 {
			return b[offset : offset+i+1], nil
		}
		switch _, err := r.Peek(len(b) + 1); {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errors.Errorf("the head has more than %d bytes", len(b))
		case err != nil:
			return nil, errors.Trace(err)
		}
	}
}

// trimLineEnd returns a line without its line feed and a carriage return before that.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// checkHeaderLine fails unless a line that is not empty is a header whose name is a token, or continues the value of
// the one before (RFC 9112, 5.2). A line that begins with a blank and has a colon could be either a continuation or a
// header with a malformed name, so it fails too.
func checkHeaderLine(line []byte) error {
	valid := line[0] == ' ' || line[0] == '\t'
	name, _, isHeader := bytes.Cut(line, []byte(":"))
	if isHeader {
		valid = IsToken(string(name))
	}
	if !valid {
		return errors.Errorf("a header has the malformed name %.64q", name)
	}
	return nil
}
