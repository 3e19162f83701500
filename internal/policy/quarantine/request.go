package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// requestPrefix begins the IDs of parts that stand for whole requests. No part of a prompt has it,
// as the IDs of those are lists of hexadecimal digits.
const requestPrefix = "request:"

// requestDigestBytes is the length of the digest in the ID of a request's part.
const requestDigestBytes = 16

// RequestPart returns the ID of the part that stands for the content of a request: all requests of
// a workspace with the same method, host, path and body have it, whatever their request IDs.
func RequestPart(workspace, method, host, uri string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{workspace, method, host, uri} {
		// The length keeps apart what would be equal when joined. Writes to a hash do not fail.
		_ = binary.Write(h, binary.BigEndian, uint32(len(s)))
		h.Write([]byte(s))
	}
	h.Write(body)
	return requestPrefix + hex.EncodeToString(h.Sum(nil)[:requestDigestBytes])
}

// IsRequest reports whether the part stands for the content of a request.
func (p Part) IsRequest() bool { return strings.HasPrefix(p.ID, requestPrefix) }
