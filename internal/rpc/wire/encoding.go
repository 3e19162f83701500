// Package wire provides typed RPCs between the fleet's processes over DRPC, encoded as MessagePack.
package wire

import (
	"fmt"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// MaxMessageBytes bounds the size of one message, in either direction.
	MaxMessageBytes = 8 << 20
	// BatchBytes bounds the data that one message carries of what callers hand in, where a message can carry more
	// than one piece: replies to leases, reports of outcomes, pages. Each carries at least one piece, which is
	// smaller than the rest of MaxMessageBytes.
	BatchBytes = 2 << 20
	// maxSentBytes leaves room for what the transport adds to a message.
	maxSentBytes = MaxMessageBytes - 4<<10
)

// SizeError reports a message that is too large to be sent. Nothing was written.
type SizeError struct {
	Type  string
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("a message of type %s has %d bytes, more than %d", e.Type, e.Bytes, maxSentBytes)
}

// asError returns the error for a call whose request or reply is too large.
func (e *SizeError) asError(v rhubarbgate.Verdict) *rhubarbgate.Error {
	return rhubarbgate.Errorf(rhubarbgate.CodeTooLarge, v, "%v", e)
}

// encoding implements drpc.Encoding with MessagePack.
type encoding struct{}

var _ drpc.Encoding = encoding{}

// encoded is a message that is encoded already.
type encoded []byte

func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	if b, ok := m.(encoded); ok {
		return b, nil
	}
	b, err := Marshal(m)
	if err == nil && len(b) > maxSentBytes {
		return nil, &SizeError{Type: fmt.Sprintf("%T", m), Bytes: len(b)}
	}
	return b, err
}

func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	return Unmarshal(b, m)
}

// Marshal encodes v as MessagePack.
func Marshal(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	return b, errors.Annotatef(err, "encode %T", v)
}

// Unmarshal decodes MessagePack into v. The decoder panics on some malformed input, such as
// nil in place of a time, which is an error here too.
func Unmarshal(b []byte, v any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("decode %T: %v", v, p)
		}
	}()
	return errors.Annotatef(msgpack.Unmarshal(b, v), "decode %T", v)
}
