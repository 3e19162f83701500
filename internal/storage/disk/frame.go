// Package disk implements the files of Raft replicas: logs, snapshots, the identity of a data folder, and temporary files for payloads.
package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

// A frame is a header of three little-endian 32-bit words (payload length,
// CRC-32C of the payload, CRC-32C of the first two words) and the payload. The
// header has its own checksum, so a damaged length is not mistaken for a torn tail:
// the incomplete last frame that a crash during a write leaves.
const (
	headerBytes   = 12
	maxFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame that holds payload to b.
func appendFrame(b, payload []byte) []byte {
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(h[:8], castagnoli))
	b = append(b, h[:]...)
	return append(b, payload...)
}

// parseFrame returns the payload of the frame at the start of b and the size of
// the frame with its header; ok is false if b does not start with a valid frame.
func parseFrame(b []byte) (payload []byte, size int, ok bool) {
	size, ok = parseHeader(b)
	if !ok || size > len(b) {
		return nil, 0, false
	}
	payload = b[headerBytes:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, false
	}
	return payload, size, true
}

// parseHeader returns the size of the frame whose header is at the start of b; ok is
// false if the header is not valid.
func parseHeader(b []byte) (size int, ok bool) {
	if len(b) < headerBytes || crc32.Checksum(b[:8], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, false
	}
	n := int(binary.LittleEndian.Uint32(b))
	return headerBytes + n, n <= maxFrameBytes
}

// scanFrames calls f for each frame of b and returns the size of the valid part.
// An invalid frame that a valid one follows is corruption. Without a later valid
// frame it is the torn tail of a write that was never acknowledged.
func scanFrames(b []byte, f func(payload []byte) error) (int, error) {
	at := 0
	for at < len(b) {
		payload, size, ok := parseFrame(b[at:])
		if !ok {
			if hasLaterFrame(b[at:]) {
				return at, errors.Annotatef(raft.ErrCorrupt, "record at byte %d", at)
			}
			return at, nil
		}
		if err := f(payload); err != nil {
			return at, errors.Annotatef(err, "record at byte %d", at)
		}
		at += size
	}
	return at, nil
}

// hasLaterFrame reports whether a valid frame starts after the invalid one at the start
// of b, whose payload may contain what looks like a frame. If its header is not valid
// either, its end is not known, and any byte of b but the first may start a frame.
func hasLaterFrame(b []byte) bool {
	first, ok := parseHeader(b)
	if !ok {
		first = 1
	}
	for i := first; i+headerBytes <= len(b); i++ {
		// A header of zeros is invalid; don't compute checksums over runs of zeros.
		if bytes.Equal(b[i:i+headerBytes], make([]byte, headerBytes)) {
			continue
		}
		if _, _, ok := parseFrame(b[i:]); ok {
			return true
		}
	}
	return false
}

// syncDir makes the creation, renaming and removal of files in dir durable, which
// syncing the files themselves does not.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Trace(err)
	}
	defer d.Close()
	return errors.Trace(d.Sync())
}

// writeFile replaces the file at path atomically and durably.
func writeFile(path string, data []byte) error {
	tmp := path + ".tmp"
	f, err := os.Create(tmp)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return errors.Trace(err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return errors.Trace(err)
	}
	if err := f.Close(); err != nil {
		return errors.Trace(err)
	}
	if err := os.Rename(tmp, path); err != nil {
		return errors.Trace(err)
	}
	return syncDir(filepath.Dir(path))
}
