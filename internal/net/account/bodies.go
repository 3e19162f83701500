package account

import (
	"bytes"
	"math/bits"
	"strconv"
)

// place is where in a request the bytes that arrive are.
type place int

const (
	inHead place = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
)

// maxLine bounds the part of a line that is kept. Longer lines are neither lengths nor sizes of chunks.
const maxLine = 64

// bodies follows the requests on a connection to know the buffers of their bodies before the HTTP
// library allocates them, which it does as soon as it reads a length or the size of a chunk. What it
// makes of a malformed request only has to be no less than what the library does.
type bodies struct {
	maxBody int64 // the library refuses longer ones without a buffer
	place   place
	line    [maxLine]byte
	n       int
	chunked bool
	length  int64 // of the body, or of the chunks so far
	left    int64 // of the body or of the chunk
	need    int64 // the largest buffer since the last reset
}

// read takes the bytes that arrived.
func (r *bodies) read(b []byte) {
	for len(b) > 0 {
		if r.place == inBody || r.place == inChunk {
			n := min(r.left, int64(len(b)))
			b, r.left = b[n:], r.left-n
			if r.left == 0 {
				r.endData()
			}
			continue
		}
		i := bytes.IndexByte(b, '\n')
		part := b
		if i >= 0 {
			part = b[:i]
		}
		if r.n < maxLine {
			copy(r.line[r.n:], part)
		}
		r.n = min(r.n+len(part), maxLine+1)
		if i < 0 {
			return
		}
		b = b[i+1:]
		r.endLine(bytes.TrimRight(r.line[:min(r.n, maxLine)], "\r"))
		r.n = 0
	}
}

// endData ends a body or a chunk.
func (r *bodies) endData() {
	if r.place == inChunk {
		r.place = inChunkSize
		return
	}
	r.endRequest()
}

func (r *bodies) endRequest() { r.place, r.chunked, r.length, r.left = inHead, false, 0, 0 }

// endLine takes a line without its end.
func (r *bodies) endLine(line []byte) {
	switch r.place {
	case inHead:
		r.endHeadLine(line)
	case inChunkSize:
		r.endChunkSize(line)
	case inTrailer:
		if len(line) == 0 {
			r.endRequest()
		}
	}
}

func (r *bodies) endHeadLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	name, value = bytes.TrimSpace(name), bytes.TrimSpace(value)
	switch {
	case len(line) == 0 && r.chunked:
		r.place, r.length = inChunkSize, 0
	case len(line) == 0 && r.length > 0:
		r.place, r.left = inBody, r.length
		r.require(r.length)
	case bytes.EqualFold(name, []byte("Content-Length")):
		if r.n > maxLine {
			r.length = r.maxBody // the digits may be beyond what is kept
		} else if n, err := strconv.ParseInt(string(value), 10, 64); err == nil && n >= 0 {
			r.length = n
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		r.chunked = true
	}
}

// endChunkSize takes the line before a chunk. The buffer of a body in chunks doubles, while the former
// one still has to be collected.
func (r *bodies) endChunkSize(line []byte) {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = line[:i]
	}
	n, err := strconv.ParseInt(string(bytes.TrimSpace(line)), 16, 62)
	if err != nil || n == 0 {
		r.place = inTrailer
		return
	}
	r.place, r.left = inChunk, n+2
	if r.length += n; r.length <= r.maxBody {
		r.require(int64(1) << bits.Len64(uint64(r.length+2)) / 2 * 3)
	}
}

// require notes the size of a buffer. A body that is too long gets none.
func (r *bodies) require(n int64) {
	if r.length <= r.maxBody {
		r.need = max(r.need, n)
	}
}

// reset forgets the buffers of requests that were answered, but not that of one that is arriving.
func (r *bodies) reset() {
	r.need = 0
	switch {
	case r.place == inBody:
		r.require(r.length)
	case r.length > 0 && r.place != inHead:
		r.require(int64(1) << bits.Len64(uint64(r.length+2)) / 2 * 3)
	}
}
