package rhubarbgate

//go:generate go tool -modfile=tools/go.mod stringer -type=Verdict -output=verdict_string.go

// Verdict says whether a request may have run at a target.
type Verdict uint8

const (
	// NotRun means that no target ran the request or will run it: none received
	// it, or the target that received it refused it.
	NotRun Verdict = iota
	// MayHaveRun means that the request reached a target and its outcome is unknown.
	MayHaveRun
	// Ran means that a target ran the request and responded.
	Ran
)

// Worst returns the worse of v and o for a retry: Ran is worse than MayHaveRun,
// and MayHaveRun is worse than NotRun.
func (v Verdict) Worst(o Verdict) Verdict {
	if o > v {
		return o
	}
	return v
}
