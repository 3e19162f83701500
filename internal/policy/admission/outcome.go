package admission

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=outcome -output=outcome_string.go

// outcome is the decision on a request with its cause.
type outcome uint8

const (
	// sentFree requests found a free slot, sentWaiting ones a wait that fits their objective.
	sentFree outcome = iota
	sentWaiting
	// sentUnknown requests were sent without an offer.
	sentUnknown
	// sentGuaranteed requests do not fit, but their workspace was refused for long.
	sentGuaranteed
	// refusedWait requests would wait longer than their objective allows at any rank.
	refusedWait
	// refusedRank and refusedShare requests would wait longer than their rank or their
	// workspace's recent use allows.
	refusedRank
	refusedShare
	// refusedLate requests have no offer, and recent first events were later than the objective.
	refusedLate
	outcomeCount
)

// lastSent is the last outcome with which a request is sent.
const lastSent = sentGuaranteed

// reason returns the text for a caller that may retry.
func (o outcome) reason() string {
	switch o {
	case refusedWait:
		return "no slot is expected to be free within the objective"
	case refusedRank:
		return "no slot is expected to be free in time for requests of this priority"
	case refusedShare:
		return "the workspace uses more than its share of contended slots"
	case refusedLate:
		return "recent responses were later than the objective"
	}
	return ""
}

// finalReason returns the text for a caller to which no time for a retry is given.
func (o outcome) finalReason() string {
	switch o {
	case refusedWait:
		return "no slot is expected to be free within the objective, nor again before the deadline"
	case refusedRank:
		return "no slot is expected to be free in time for requests of this priority, nor again before the deadline"
	case refusedShare:
		return "the workspace uses more than its share of contended slots, and no room is expected before the deadline"
	case refusedLate:
		return "recent responses were later than the objective, and no room is expected before the deadline"
	}
	return ""
}
