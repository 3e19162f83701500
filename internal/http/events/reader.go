// Package events reads server-sent events from a stream.
package events

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	// bufferBytes is the size of the read buffer; longer lines are collected in the event.
	bufferBytes = 4 << 10
	// maxEventBytes bounds the raw size of one event.
	maxEventBytes = 1 << 20
)

// ErrPartial reports a stream that ended within an event.
const ErrPartial = errors.ConstError("the stream ended in the middle of an event")

// Event is one server-sent event.
type Event struct {
	// Raw holds the event as received, with the empty line that ends it.
	Raw []byte
	// ID is the value of the last id field, or empty.
	ID string
	// Data holds the values of the data fields, joined by line feeds.
	Data []byte
}

// Reader splits a stream into events.
type Reader struct{ in *bufio.Reader }

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, bufferBytes)} }

// Next returns the next complete event. It returns io.EOF only if the stream ends between
// events, and ErrPartial if it ends within one.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasData := false
	for {
		start := len(e.Raw)
		part, err := r.in.ReadSlice('\n')
		e.Raw = append(e.Raw, part...)
		for err == bufio.ErrBufferFull && len(e.Raw) <= maxEventBytes {
			part, err = r.in.ReadSlice('\n')
			e.Raw = append(e.Raw, part...)
		}
		line := e.Raw[start:]
		if err == io.EOF && len(e.Raw) > 0 {
			return Event{}, ErrPartial
		}
		if len(e.Raw) > maxEventBytes {
			return Event{}, errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if err != nil {
			return Event{}, err
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
