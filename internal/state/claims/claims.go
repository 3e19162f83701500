// Package claims is the replicated state of idempotency keys of online requests.
package claims

import (
	"maps"
	"sync"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// Claim reserves an idempotency key before the request runs.
type Claim struct {
	Workspace string
	Key       string
	// Digest covers the request's content.
	Digest []byte
	// Token names the attempt, so that a repeated command finds its own claim.
	Token string
}

// Finish stores the outcome of a claimed request.
type Finish struct {
	Workspace string
	Key       string
	Token     string
	Outcome   Outcome
}

// Release gives up a claim whose request did not run.
type Release struct {
	Workspace string
	Key       string
	Token     string
}

// Command is one log entry; one field besides At is set.
type Command struct {
	At      time.Time
	Claim   *Claim
	Finish  *Finish
	Release *Release
	// Collect removes claims made before a time.
	Collect *time.Time
}

// Outcome is a stored answer.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
}

// Result is the outcome of a command.
type Result struct {
	Err *rhubarbgate.Error
	// Granted says that the caller holds the claim and may run the request.
	Granted bool
	// Outcome is the stored answer of an earlier attempt.
	Outcome *Outcome
}

type name struct{ Workspace, Key string }

type record struct {
	Digest  []byte
	Token   string
	At      time.Time
	Outcome *Outcome
}

// State holds the claims of one group.
type State struct {
	mu     sync.Mutex
	claims map[name]record
}

// New returns an empty state.
func New() *State { return &State{claims: map[name]record{}} }

// Apply executes a command.
func (s *State) Apply(c *Command) *Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Claim != nil:
		return s.claim(c.At, c.Claim)
	case c.Finish != nil:
		return s.finish(c.Finish)
	case c.Release != nil:
		n := name{c.Release.Workspace, c.Release.Key}
		if r, ok := s.claims[n]; ok && r.Token == c.Release.Token && r.Outcome == nil {
			delete(s.claims, n)
		}
	case c.Collect != nil:
		maps.DeleteFunc(s.claims, func(_ name, r record) bool { return r.At.Before(*c.Collect) })
	}
	return &Result{}
}

func (s *State) claim(at time.Time, c *Claim) *Result {
	n := name{c.Workspace, c.Key}
	r, ok := s.claims[n]
	if !ok {
		s.claims[n] = record{Digest: c.Digest, Token: c.Token, At: at}
		return &Result{Granted: true}
	}
	switch {
	case string(r.Digest) != string(c.Digest):
		return &Result{Err: rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun, "idempotency key %q was used with other content", c.Key)}
	case r.Outcome != nil:
		return &Result{Outcome: r.Outcome}
	case r.Token == c.Token:
		return &Result{Granted: true}
	default:
		return &Result{Err: rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.MayHaveRun, "a request with idempotency key %q was started and its outcome is unknown", c.Key)}
	}
}

func (s *State) finish(f *Finish) *Result {
	n := name{f.Workspace, f.Key}
	r, ok := s.claims[n]
	if ok && r.Token == f.Token && r.Outcome == nil {
		o := f.Outcome
		r.Outcome = &o
		s.claims[n] = r
	}
	return &Result{}
}

// Entry is one claim in a snapshot.
type Entry struct {
	Name   name
	Record record
}

// Entries returns all claims.
func (s *State) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := make([]Entry, 0, len(s.claims))
	for n, c := range s.claims {
		r = append(r, Entry{n, c})
	}
	return r
}

// Restore replaces all claims.
func (s *State) Restore(entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = make(map[name]record, len(entries))
	for _, e := range entries {
		s.claims[e.Name] = e.Record
	}
}
