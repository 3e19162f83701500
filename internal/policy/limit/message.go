// Package limit enforces the rates of workspaces over all entries: each workspace has one owner, which grants prepaid tokens to the entries.
package limit

import (
	"time"
)

// Report says how much of a grant a holder spent. Spent is cumulative, so a
// repeated report changes nothing.
type Report struct {
	// Grant is the grant's ID.
	Grant uint64
	Spent float64
	// Final says that the holder will spend no more of the grant and returns the rest.
	Final bool `msgpack:",omitempty"`
}

// TokenRequest is a holder's request to the owner of one workspace's rate. It also
// carries the reports on earlier grants.
type TokenRequest struct {
	Workspace string
	// Want is how many tokens the holder requests; 0 if it only reports.
	Want    float64  `msgpack:",omitempty"`
	Reports []Report `msgpack:",omitempty"`
}

// Grant is an owner's reply to a TokenRequest: a number of prepaid tokens, which may
// be 0.
type Grant struct {
	Workspace string
	ID        uint64  `msgpack:",omitempty"`
	Tokens    float64 `msgpack:",omitempty"`
	// TTL is how long the tokens may be spent, counted from when the holder sent its
	// request.
	TTL time.Duration
	// Wait is how long to wait before the next request, if Tokens is 0.
	Wait time.Duration `msgpack:",omitempty"`
	// GrantPause is how much longer a new owner grants nothing, because it does not know
	// which grants of earlier owners are outstanding.
	GrantPause time.Duration `msgpack:"Blind,omitempty"`
	// PerSecond is the workspace's rate.
	PerSecond float64
	// Unknown says that the workspace has no rate.
	Unknown bool `msgpack:",omitempty"`
}
