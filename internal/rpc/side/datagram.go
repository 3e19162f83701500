package side

import (
	"bytes"
	"math"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"rhubarbgate.example/rhubarbgate"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=DatagramKind -output=datagramkind_string.go

// DatagramKind is the kind of a Datagram.
type DatagramKind uint8

const (
	// Ask datagrams ask a side whether its target has a free slot.
	Ask DatagramKind = iota + 1
	// Offer datagrams answer an Ask.
	Offer
	// Reserve datagrams announce a request that is sent to the side's target. They are not answered.
	Reserve
)

// MaxDatagramBytes bounds a datagram. The longest one that is sent has fewer than 100 bytes.
const MaxDatagramBytes = 512

// Datagram is a message between an entry and a side over UDP. It is one array in MessagePack: kind, nonce,
// target and, in an Offer, the figures in the order of rhubarbgate.TargetOffer. Further elements are ignored.
type Datagram struct {
	Kind  DatagramKind
	Nonce uint64
	// Target is the address of the target that the datagram is about.
	Target netip.AddrPort
	// Offer is set in an Offer.
	Offer rhubarbgate.TargetOffer
}

const (
	// headElements is the number of elements of an Ask or a Reserve, offerElements that of an Offer.
	headElements  = 3
	offerElements = headElements + 7
	// maxAddressBytes is the length of an encoded IPv6 address with its port; addresses with zones
	// are longer and do not occur between hosts.
	maxAddressBytes = 18
	// maxCount bounds the counts of an Offer, so that sums of them do not overflow.
	maxCount = 1 << 20
)

// DatagramWriter encodes datagrams into a buffer that it reuses. It is not safe for concurrent use.
type DatagramWriter struct {
	buffer  bytes.Buffer
	encoder *msgpack.Encoder
	address [maxAddressBytes]byte
}

// Encode returns the encoded datagram, which is valid until the next call.
func (w *DatagramWriter) Encode(d *Datagram) ([]byte, error) {
	w.buffer.Reset()
	if w.encoder == nil {
		w.encoder = msgpack.NewEncoder(&w.buffer)
	}
	e := w.encoder
	n := headElements
	if d.Kind == Offer {
		n = offerElements
	}
	address, err := d.Target.AppendBinary(w.address[:0])
	if err != nil {
		return nil, errors.Trace(err)
	}
	err = errFirst(e.EncodeArrayLen(n), e.EncodeUint(uint64(d.Kind)), e.EncodeUint(d.Nonce), e.EncodeBytes(address))
	if err == nil && d.Kind == Offer {
		o := &d.Offer
		err = errFirst(
			e.EncodeInt(int64(o.Slots)), e.EncodeInt(int64(o.Online)), e.EncodeInt(int64(o.Queued)), e.EncodeInt(int64(o.Reserved)),
			e.EncodeInt(int64(o.Batch)), e.EncodeFloat64(o.Slowness), e.EncodeInt(int64(o.Age)))
	}
	return w.buffer.Bytes(), errors.Trace(err)
}

// errFirst returns the first of the errors that is not nil.
func errFirst(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

// DatagramReader decodes datagrams. It is not safe for concurrent use.
type DatagramReader struct {
	in      bytes.Reader
	decoder *msgpack.Decoder
	address [maxAddressBytes]byte
}

// Decode decodes a datagram. Figures that no side states, such as negative counts, are an error.
func (r *DatagramReader) Decode(b []byte, d *Datagram) (err error) {
	// The decoder panics on some malformed input.
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("decode a datagram: %v", p)
		}
	}()
	r.in.Reset(b)
	if r.decoder == nil {
		r.decoder = msgpack.NewDecoder(&r.in)
	} else {
		r.decoder.Reset(&r.in)
	}
	n, err := r.decoder.DecodeArrayLen()
	if err != nil || n < headElements {
		return errors.Errorf("decode a datagram: %d elements (%v)", n, err)
	}
	kind, err := r.decoder.DecodeUint8()
	if err != nil {
		return errors.Trace(err)
	}
	*d = Datagram{Kind: DatagramKind(kind)}
	if d.Nonce, err = r.decoder.DecodeUint64(); err != nil {
		return errors.Trace(err)
	}
	length, err := r.decoder.DecodeBytesLen()
	if err != nil || length < 0 || length > len(r.address) {
		return errors.Errorf("decode a datagram: an address of %d bytes (%v)", length, err)
	}
	if err := r.decoder.ReadFull(r.address[:length]); err != nil {
		return errors.Trace(err)
	}
	if err := d.Target.UnmarshalBinary(r.address[:length]); err != nil {
		return errors.Trace(err)
	}
	switch {
	case d.Kind == Ask || d.Kind == Reserve:
		return nil
	case d.Kind != Offer || n < offerElements:
		return errors.Errorf("decode a datagram: kind %d of %d elements", kind, n)
	}
	return r.decodeOffer(&d.Offer)
}

func (r *DatagramReader) decodeOffer(o *rhubarbgate.TargetOffer) error {
	for _, count := range []*int{&o.Slots, &o.Online, &o.Queued, &o.Reserved, &o.Batch} {
		n, err := r.decoder.DecodeInt64()
		if err != nil {
			return errors.Trace(err)
		}
		if n < 0 || n > maxCount {
			return errors.Errorf("decode an offer: the count %d", n)
		}
		*count = int(n)
	}
	var err error
	if o.Slowness, err = r.decoder.DecodeFloat64(); err != nil {
		return errors.Trace(err)
	}
	age, err := r.decoder.DecodeInt64()
	if err != nil {
		return errors.Trace(err)
	}
	o.Age = time.Duration(age)
	if o.Slots == 0 || age < 0 || !(o.Slowness >= 0) || math.IsInf(o.Slowness, 0) {
		return errors.Errorf("decode an offer: %+v", *o)
	}
	return nil
}
