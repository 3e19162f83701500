package target

import (
	"bufio"
	"io"

	"github.com/juju/errors"
)

// errCut reports a body that ended before its announced length.
const errCut = errors.ConstError("the answer was cut short")

// exactReader reads a body of known length.
type exactReader struct {
	r    io.Reader
	left int64
}

func (e *exactReader) Read(b []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	if int64(len(b)) > e.left {
		b = b[:e.left]
	}
	n, err := e.r.Read(b)
	e.left -= int64(n)
	if err == io.EOF && e.left > 0 {
		err = errCut
	}
	return n, err
}

// cutReader reads a body of unknown length, whose end proves nothing.
type cutReader struct{ r io.Reader }

func (c cutReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if err == io.EOF {
		err = errCut
	}
	return n, err
}

// chunkedReader reads a chunked body and the empty line behind its last chunk.
type chunkedReader struct {
	r    io.Reader
	tail *bufio.Reader
}

func (c *chunkedReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if err != io.EOF {
		if err == io.ErrUnexpectedEOF {
			err = errCut
		}
		return n, err
	}
	for {
		line, tailErr := c.tail.ReadSlice('\n')
		if tailErr != nil {
			return n, errCut
		}
		if len(line) <= 2 {
			return n, io.EOF
		}
	}
}
