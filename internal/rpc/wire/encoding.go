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

// Unmarshal decodes MessagePack into v.
func Unmarshal(b []byte, v any) error {
	return errors.Annotatef(msgpack.Unmarshal(b, v), "decode %T", v)
}
