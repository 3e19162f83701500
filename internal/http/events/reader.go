// Package events reads server-sent events from a stream that one response may begin and others
// continue, and checks that they are the events of one stream.
package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

const (
	// bufferBytes is the size of the read buffer; longer lines are collected in the event.
	bufferBytes = 4 << 10
	// maxEventBytes bounds the raw size of one event.
	maxEventBytes = 1 << 20
	// maxShownBytes bounds what an error shows of a line or an ID.
	maxShownBytes = 60
)

// ErrPartial reports a stream that ended within an event.
const ErrPartial = errors.ConstError("the stream ended in the middle of an event")

// ErrNoEvent reports a response that ended without an event.
const ErrNoEvent = errors.ConstError("the stream ended without an event")

// Event is one server-sent event, or a comment.
type Event struct {
	// Raw holds the event as received, with the empty line that ends it.
	Raw []byte
	// ID is the value of the last id field, or empty.
	ID string
	// Data holds the values of the data fields, joined by line feeds.
	Data []byte
}

// IsComment reports whether e has neither an ID nor data, so that it is no part of the content.
func (e *Event) IsComment() bool { return e.ID == "" && e.Data == nil }

// CheckHead returns an error unless the headers of a response are those of a stream of events.
// header returns the value of the named header.
func CheckHead(header func(name string) string) error {
	mediaType, _, _ := strings.Cut(header("Content-Type"), ";")
	if !strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream") {
		return errors.Errorf("content type %q is not text/event-stream", header("Content-Type"))
	}
	if e := header("Content-Encoding"); e != "" && !strings.EqualFold(e, "identity") {
		return errors.Errorf("the stream is encoded as %q", e)
	}
	return nil
}

// Position is how far a stream has come, over all of its responses. The IDs of a numbered stream
// are consecutive. The zero value is the start of a stream.
type Position struct {
	last       uint64
	id         string // as received; empty if no event has a number
	unnumbered bool   // an event without a number followed
}

// After returns the position after the event with this ID, or the start if it is no number.
func After(id string) Position {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return Position{}
	}
	return Position{last: n, id: id}
}

// Resumable returns the ID of the last event, or none at the start. It reports false if an event
// without a number followed, so that nothing shows whether a response continues the stream there.
func (p *Position) Resumable() (id string, ok bool) { return p.id, !p.unnumbered }

func (p *Position) numbered() bool { return p.id != "" }

// advance moves the position past e. It returns an error if e does not follow: a response that
// continues a stream begins with the next ID.
func (p *Position) advance(e *Event, isFirst bool) error {
	if e.ID == "" {
		if p.numbered() && isFirst {
			return errors.Errorf("the event after %d has no ID", p.last)
		}
		p.unnumbered = true
		return nil
	}
	next := After(e.ID)
	if p.numbered() && (!next.numbered() || next.last != p.last+1) {
		return errors.Errorf("event %.*q follows event %d", maxShownBytes, e.ID, p.last)
	}
	*p = next
	p.unnumbered = !next.numbered()
	return nil
}

// Reader splits one response of a stream into events.
type Reader struct {
	in       *bufio.Reader
	position *Position
	begun    bool // an event was returned
	err      error
}

// NewReader returns a Reader that reads from r a response that continues the stream at position p
// and advances p; nil means the start of a stream whose position is not needed.
func NewReader(r io.Reader, p *Position) *Reader {
	if p == nil {
		p = &Position{}
	}
	return &Reader{in: bufio.NewReaderSize(r, bufferBytes), position: p}
}

// Next returns the next complete event or comment. It returns io.EOF only if the response ends
// between events and had one, ErrPartial if it ends within one, and other errors for lines that
// are no event's and for events that do not belong here. After an error it reads no more.
// Comments before the first event of a continuation are left out, because it may not become one.
func (r *Reader) Next() (Event, error) {
	for r.err == nil {
		var e Event
		if e, r.err = r.next(); r.err != nil {
			break
		}
		if e.IsComment() {
			if r.begun || !r.position.numbered() {
				return e, nil
			}
			continue
		}
		if r.err = r.position.advance(&e, !r.begun); r.err == nil {
			r.begun = true
			return e, nil
		}
	}
	if r.err == io.EOF && !r.begun {
		r.err = ErrNoEvent
	}
	return Event{}, r.err
}

// next reads an event without regard to its ID.
func (r *Reader) next() (Event, error) {
	var e Event
	var hasData, hasStandard, hasOther bool
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
			if hasOther && !hasStandard {
				return Event{}, errors.Errorf("%.*q is not an event", maxShownBytes, e.Raw)
			}
			return e, nil
		}
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "":
			continue
		case "id":
			e.ID = string(value)
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			hasData = true
			e.Data = append(e.Data, value...)
		case "event", "retry":
		default:
			// Targets add fields of their own, but before the standard ones: a line behind those
			// may be from the head of another response.
			if hasStandard || !hasValue || !isFieldName(name) {
				return Event{}, errors.Errorf("unexpected line %.*q in the event stream", maxShownBytes, line)
			}
			hasOther = true
			continue
		}
		hasStandard = true
	}
}

// isFieldName reports whether name consists of small letters, digits and hyphens.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') {
			return false
		}
	}
	return true
}
