// Package claims holds the replicated idempotency keys of online requests and the responses stored for them.
package claims

import (
	"maps"
	"sync"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// Claim reserves an idempotency key before the request is sent to a target.
type Claim struct {
	Workspace string
	Key       string
	// Digest is computed over the request's content; a claim of the same key with
	// another digest is refused.
	Digest []byte
	// Token identifies the request that claims the key, so that a repeated command
	// is granted again instead of being refused by its own claim.
	Token string
}

// Finish stores the response to the request that holds the claim under Token.
type Finish struct {
	Workspace string
	Key       string
	Token     string
	Outcome   Outcome
}

// Release removes a claim whose request did not run, so that the key can be
// claimed again. It changes nothing once an outcome is stored.
type Release struct {
	Workspace string
	Key       string
	Token     string
}

// Command is one Raft log entry; exactly one field besides At is set.
type Command struct {
	// At is the time that a new claim is stored with.
	At      time.Time
	Claim   *Claim
	Finish  *Finish
	Release *Release
	// Collect removes the claims made before this time, with their outcomes.
	Collect *time.Time
}

// Outcome is the stored response to a claimed request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
}

// Result is what applying a command returns.
type Result struct {
	Err *rhubarbgate.Error
	// Granted means that the claim is held under the command's token, so the
	// request may run.
	Granted bool
	// Outcome is the stored response to an earlier request with the same key and
	// content.
	Outcome *Outcome
}

// claimKey identifies a claim: keys of different workspaces are independent.
type claimKey struct{ Workspace, Key string }

// record is a claim; Outcome is nil until the request is finished.
type record struct {
	Digest  []byte
	Token   string
	At      time.Time
	Outcome *Outcome
}

// State holds the claims of one Raft group.
type State struct {
	mu     sync.Mutex
	claims map[claimKey]record
}

// New returns an empty state.
func New() *State { return &State{claims: map[claimKey]record{}} }

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
		n := claimKey{c.Release.Workspace, c.Release.Key}
		if r, ok := s.claims[n]; ok && r.Token == c.Release.Token && r.Outcome == nil {
			delete(s.claims, n)
		}
	case c.Collect != nil:
		maps.DeleteFunc(s.claims, func(_ claimKey, r record) bool { return r.At.Before(*c.Collect) })
	}
	return &Result{}
}

func (s *State) claim(at time.Time, c *Claim) *Result {
	n := claimKey{c.Workspace, c.Key}
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
	n := claimKey{f.Workspace, f.Key}
	r, ok := s.claims[n]
	if ok && r.Token == f.Token && r.Outcome == nil {
		o := f.Outcome
		r.Outcome = &o
		s.claims[n] = r
	}
	return &Result{}
}

// Entry is one claim, as a snapshot encodes it.
type Entry struct {
	Name   claimKey
	Record record
}

// Entries returns all claims, in no particular order.
func (s *State) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := make([]Entry, 0, len(s.claims))
	for n, c := range s.claims {
		r = append(r, Entry{n, c})
	}
	return r
}

// Restore replaces all claims by entries.
func (s *State) Restore(entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = make(map[claimKey]record, len(entries))
	for _, e := range entries {
		s.claims[e.Name] = e.Record
	}
}
