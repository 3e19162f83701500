package target

import (
	"bufio"
	"io"

	"github.com/juju/errors"
)

// errTruncated reports a body that ended before its Content-Length, before its last
// chunk, or in a way that does not show whether it is complete.
const errTruncated = errors.ConstError("the answer was cut short")

// maxTrailerBytes bounds the trailer fields after a chunked body.
const maxTrailerBytes = 4 << 10

// Abandon makes Close close the connection even if the body was read to its end. It is for
// responses that are not what was asked for: what follows on their connection may not be either.
func (r *Response) Abandon() { r.reusable = false }

// lengthReader reads a body with a Content-Length.
type lengthReader struct {
	r         io.Reader
	remaining int64
}

func (l *lengthReader) Read(b []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(b)) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.r.Read(b)
	l.remaining -= int64(n)
	if err == io.EOF && l.remaining > 0 {
		err = errTruncated
	}
	return n, err
}

// closeDelimitedReader reads a body that ends with its connection. Such an end does not
// prove that the body is complete, so it is reported as errTruncated.
type closeDelimitedReader struct{ r io.Reader }

func (c closeDelimitedReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if err == io.EOF {
		err = errTruncated
	}
	return n, err
}

// chunkedReader reads a chunked body from r, and from the same connection the trailer
// fields and the empty line after the last chunk, which r leaves unread.
type chunkedReader struct {
	r       io.Reader
	trailer *bufio.Reader
}

func (c *chunkedReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if err != io.EOF {
		if err == io.ErrUnexpectedEOF {
			err = errTruncated
		}
		return n, err
	}
	for read := 0; read < maxTrailerBytes; {
		line, trailerErr := c.trailer.ReadSlice('\n')
		if trailerErr != nil {
			return n, errTruncated
		}
		read += len(line)
		if line = trimLineEnd(line); len(line) == 0 {
			return n, io.EOF
		}
		if err := checkHeaderLine(line); err != nil {
			return n, err
		}
	}
	return n, errTruncated
}
