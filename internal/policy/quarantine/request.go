package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// MinRequestEnds is at how many ends of targets a request must have been, with no answer to it
	// since, before it is sent only as a trial. One end is also that of the requests beside it.
	MinRequestEnds = 2
	// minBlockEnds is at how many ends, that of a trial included, a request is blocked.
	minBlockEnds = 3
	// minFailedTrials is after how many trials that ended their targets a request is blocked
	// although the targets have answered no other since.
	minFailedTrials = 2
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

// isRequestSuspect reports whether targets ended with a request time and again. The lock is held.
func (t *Table) isRequestSuspect(part Part, now time.Time) bool {
	c := t.counted(part)
	return len(c) >= MinRequestEnds && now.Sub(newest(c)) < BlockTime
}

// updateBlockedRequests updates the requests to block, given the number of ends of targets for each part. The
// lock is held.
func (t *Table) updateBlockedRequests(ends map[Part]int, now time.Time) {
	maps.DeleteFunc(t.blockedRequests, func(p Part, _ bool) bool { return !t.isRequestSuspect(p, now) })
	for p := range t.suspected {
		if p.IsRequest() && ends[p] >= minBlockEnds && t.shouldBlock(p) {
			t.blockedRequests[p] = true
		}
	}
}

// shouldBlock reports whether to block a request: its trial ended the target too, while others were
// answered or time and again. The lock is held.
func (t *Table) shouldBlock(part Part) bool {
	c := t.counted(part)
	if len(c) < minBlockEnds {
		return false
	}
	failed := t.countFailedTrials(part)
	return failed >= minFailedTrials || failed > 0 && t.answers[Part{part.Service, AnyPart}].After(oldest(c))
}

// countFailedTrials returns how many trials of a request ended their targets. An end at which another
// suspected request was present too does not show which of them was the cause. The lock is held.
func (t *Table) countFailedTrials(part Part) int {
	n := t.failedTrials[part]
	at, ok := t.trials[part]
	if ok && slices.ContainsFunc(t.counted(part), func(c *crash) bool { return c.at.After(at) && !t.hasOtherSuspect(c, part) }) {
		n++
	}
	return n
}

// hasOtherSuspect reports whether another suspected request was present at the end of a target. The
// lock is held.
func (t *Table) hasOtherSuspect(c *crash, part Part) bool {
	for p := range t.suspected {
		if p.IsRequest() && p != part && c.parts[p] {
			return true
		}
	}
	return false
}

// mayTryRequest reports whether a request may be sent as a trial. The requests that were sent before
// it was suspected have an outcome by then, and so has the newest trial of another request at
// the service: a target that ends during two trials would show neither to be the cause. The lock is held.
func (t *Table) mayTryRequest(part Part, now time.Time) bool {
	if now.Sub(newest(t.counted(part))) < TrialInterval {
		return false
	}
	last, ok := t.requestTrials[part.Service]
	if !ok || now.Sub(last.at) >= trialOutcomeTime || t.answers[last.part].After(last.at) {
		return true
	}
	return slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.parts[last.part] && c.at.After(last.at) })
}

// oldest returns the time of the first of the ends of targets.
func oldest(c []*crash) time.Time {
	at := c[0].at
	for _, x := range c {
		if x.at.Before(at) {
			at = x.at
		}
	}
	return at
}
