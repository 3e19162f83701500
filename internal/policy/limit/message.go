// Package limit spends the rates of workspaces exactly: one owner a workspace hands out prepaid grants to the entries.
package limit

import (
	"time"
)

// Report tells the owner how much of a grant was spent. Spent is cumulative, so
// a repeated report changes nothing.
type Report struct {
	Grant uint64
	Spent float64
	// Final reports come from a holder that will spend no more of the grant.
	Final bool `msgpack:",omitempty"`
}

// TokenRequest is a holder's request for one workspace.
type TokenRequest struct {
	Workspace string
	// Want is how many tokens the holder could use; 0 only reports.
	Want    float64  `msgpack:",omitempty"`
	Reports []Report `msgpack:",omitempty"`
}

// Grant is a number of prepaid tokens. The holder counts TTL from the moment it
// sent its request.
type Grant struct {
	Workspace string
	ID        uint64  `msgpack:",omitempty"`
	Tokens    float64 `msgpack:",omitempty"`
	TTL       time.Duration
	// Wait is how long to wait before asking again, if Tokens is 0.
	Wait time.Duration `msgpack:",omitempty"`
	// Blind is how long a new owner grants nothing at all.
	Blind time.Duration `msgpack:",omitempty"`
	// PerSecond is the workspace's rate.
	PerSecond float64
	// Unknown says that the workspace has no rate.
	Unknown bool `msgpack:",omitempty"`
}
