// Package check finds what is wrong or of no use in a configuration before it is sent, and how it differs from another one.
package check

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Severity -output=severity_string.go

// Severity ranks a finding.
type Severity uint8

const (
	// Warning is an entry of no use, or limits that contradict each other.
	Warning Severity = iota
	// Error is what a control host refuses.
	Error
)

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity
	Position
	// Field is the place in the file, such as routes[3].timeout_ms; it is empty if that is not known.
	Field string `json:",omitempty"`
	// Text names the place first.
	Text string
}

// Report is the result of a check. It holds neither secrets nor digests of keys.
type Report struct {
	Version  uint64
	Findings []Finding
	// Notes say what was not checked.
	Notes []string `json:",omitempty"`
	// Compared is the version that Differences refer to, if there is one.
	Compared    *uint64      `json:",omitempty"`
	Differences []Difference `json:",omitempty"`
}

// Count returns the number of findings of a severity.
func (r *Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// File is a decoded file.
type File struct {
	Bundle *rhubarbgate.Bundle // nil if Err is set
	// Faults are those that decoding found.
	Faults []config.Fault
	// Err is why the file cannot be decoded.
	Err error
	// Place maps a field of the bundle to the one of the file, which the finding names. Nil means that they are the same.
	Place func(field string) string
}

// Checker checks files. Its fields are limits and rules of the processes that a configuration is sent to.
type Checker struct {
	// EntryBodyBytes is the largest body that entries read, StoreBytes the largest command that store hosts accept.
	EntryBodyBytes, StoreBytes int
	// MaxFileBytes is the largest file that control hosts read.
	MaxFileBytes int
	// Refusals return the errors with which control hosts refuse a bundle for other reasons than its content.
	Refusals []func(*rhubarbgate.Bundle) error
}

// Check reports on a file with this content. A nil base means that the configuration in force is not known.
func (k *Checker) Check(body []byte, f File, base *config.Config) *Report {
	x, err := newIndex(body)
	c := &checking{checker: k, index: x, place: f.Place, base: base, report: &Report{Findings: []Finding{}}}
	if c.place == nil {
		c.place = func(field string) string { return field }
	}
	if len(body) > k.MaxFileBytes {
		c.unplaced("the file has %d bytes, more than the %d that a control host reads", len(body), k.MaxFileBytes)
	}
	switch {
	case err != nil:
		c.malformed(err)
	case f.Err != nil:
		c.malformed(f.Err)
	default:
		c.bundle(f)
	}
	return c.sorted()
}

// unknownField begins the JSON decoder's error for a member that it does not know.
const unknownField = "json: unknown field "

// malformed adds the error of a file that cannot be decoded.
func (c *checking) malformed(err error) {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	p := c.index.at(0)
	switch {
	case errors.As(err, &syntax):
		// The offset is that after the invalid byte, or the end of a file that is cut short.
		p = c.index.at(int(syntax.Offset) - 1)
		if strings.Contains(err.Error(), "unexpected end") {
			p = c.index.at(len(c.index.body))
		}
	case errors.As(err, &wrongType):
		p = c.index.before(int(wrongType.Offset))
	default:
		if name, ok := strings.CutPrefix(err.Error(), unknownField); ok {
			p = c.index.member(strings.Trim(name, `"`))
		}
	}
	c.report.Findings = append(c.report.Findings, Finding{Severity: Error, Position: p, Text: err.Error()})
}

// bundle checks the content of a decoded file.
func (c *checking) bundle(f File) {
	b := f.Bundle
	c.report.Version, c.b = b.Version, b
	for _, x := range f.Faults {
		c.fault(x)
	}
	faults, next := config.Faults(c.base, b)
	for _, x := range faults {
		c.fault(x)
	}
	if next == nil {
		return
	}
	c.next = next
	c.versions()
	for _, refuse := range c.checker.Refusals {
		if err := refuse(b); err != nil {
			c.unplaced("%v", err)
		}
	}
	c.warnings()
	if c.base != nil {
		c.report.Compared = &c.base.Version
		c.report.Differences = differences(c.base, next)
	}
}

// versions checks that the bundle's version follows the one in force.
func (c *checking) versions() {
	b := c.b
	switch {
	case c.base == nil && !b.Whole:
		c.report.Notes = append(c.report.Notes, "the bundle holds changes, and the configuration in force is not known: references to objects that the bundle does not hold, and removals, are not checked")
	case c.base == nil:
	case b.Whole && b.Version > 0 && b.Version <= c.base.Version:
		c.warn("Version", "%d is not above version %d: a control host acknowledges the configuration and changes nothing", b.Version, c.base.Version)
	case !b.Whole:
		if err := c.base.CheckBase(b); err != nil {
			c.finding(Error, "Version", err.Error())
		}
	}
}

// sorted returns the report with its findings in the order of the file.
func (c *checking) sorted() *Report {
	slices.SortFunc(c.report.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Text, b.Text))
	})
	c.report.Findings = slices.Compact(c.report.Findings)
	return c.report
}
