package rhubarbgate

//go:generate go tool -modfile=tools/go.mod stringer -type=Verdict -output=verdict_string.go

// Verdict says whether a request may have run at a target.
type Verdict uint8

const (
	// NotRun means that no byte of the request reached a target.
	NotRun Verdict = iota
	// MayHaveRun means that the request reached a target and its outcome is unknown.
	MayHaveRun
	// Ran means that a target answered the request.
	Ran
)

// Worst returns the verdict that promises less to the caller.
func (v Verdict) Worst(o Verdict) Verdict {
	if o > v {
		return o
	}
	return v
}
