package account

// keptBytes is the size from which on the buffer of a message counts after its end, as the message
// library keeps it.
const keptBytes = 256 << 10

// frames follows the frames of messages between processes: a byte of flags, then the numbers of the
// stream, of the message, and of the bytes that follow, each with seven bits a byte, lowest first.
type frames struct {
	field, shift int
	length       uint64
	left         uint64
	done         bool
	message      int64 // bytes of the current message
	kept         int64
}

// read takes the bytes that arrived and reports whether a message is complete.
func (f *frames) read(b []byte) (complete bool) {
	for len(b) > 0 {
		if f.field == 4 {
			n := min(f.left, uint64(len(b)))
			b, f.left, f.message = b[n:], f.left-n, f.message+int64(n)
			complete = f.endFrame() || complete
			continue
		}
		x := b[0]
		b = b[1:]
		f.message++
		if f.field == 0 {
			f.done, f.field, f.shift, f.length = x&1 != 0, 1, 0, 0
			continue
		}
		// A length that has too many bits ends the connection in the message library.
		f.length |= uint64(x&0x7f) << min(f.shift, 63)
		f.shift += 7
		if x&0x80 != 0 {
			continue
		}
		if f.field++; f.field == 4 {
			f.left = f.length
			complete = f.endFrame() || complete
		}
		f.shift, f.length = 0, 0
	}
	return complete
}

// endFrame ends the frame if nothing of it is left, and reports whether it was the last one of a message.
func (f *frames) endFrame() bool {
	if f.left > 0 {
		return false
	}
	f.field = 0
	if !f.done {
		return false
	}
	if f.message > keptBytes {
		f.kept = max(f.kept, f.message)
	} else {
		f.kept -= f.kept / 8 // the library drops a large buffer after some small messages
	}
	f.message = 0
	return true
}

// unfinished returns the bytes of the message that is not complete.
func (f *frames) unfinished() int64 { return f.message }

// charge returns the size of the buffers, which double as they grow and are copied once.
func (f *frames) charge() int64 {
	n := max(f.message, f.kept)
	if n < readBuffer {
		return 0
	}
	return baseBytes + 2*n
}
