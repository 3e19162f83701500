// Package wire provides typed RPCs between the fleet's processes over DRPC, encoded as MessagePack.
package wire

import (
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"
)

// MaxMessageBytes bounds the size of one message, in either direction.
const MaxMessageBytes = 8 << 20

// encoding implements drpc.Encoding with MessagePack.
type encoding struct{}

var _ drpc.Encoding = encoding{}

func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	return Marshal(m)
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
