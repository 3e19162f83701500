// Package events splits streams of server-sent events.
package events

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	bufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// ErrPartial reports a stream that ended in the middle of an event.
const ErrPartial = errors.ConstError("the stream ended in the middle of an event")

// Event is one event.
type Event struct {
	// Raw are the event's bytes with the empty line that ends it.
	Raw []byte
	ID  string
	// Data is the event's data, its lines joined by line feeds.
	Data []byte
}

// Reader reads events one by one.
type Reader struct{ in *bufio.Reader }

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, bufferBytes)} }

// Next returns the next whole event. The error is io.EOF only behind a whole one.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasData := false
	for {
		line, err := r.in.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if err == bufio.ErrBufferFull && len(e.Raw) <= maxEventBytes {
			rest, restErr := r.in.ReadBytes('\n')
			e.Raw = append(e.Raw, rest...)
			line, err = e.Raw[len(e.Raw)-len(rest)-bufferBytes:], restErr
		}
		if err == io.EOF && len(e.Raw) > 0 {
			return Event{}, ErrPartial
		}
		if err != nil {
			return Event{}, err
		}
		if len(e.Raw) > maxEventBytes {
			return Event{}, errors.Errorf("event of more than %d bytes", maxEventBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID = string(value)
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			hasData = true
			e.Data = append(e.Data, value...)
		}
	}
}
