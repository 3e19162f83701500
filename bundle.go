package rhubarbgate

import (
	"net/netip"
	"time"
)

// Workspace is a group of callers that shares rate limits, a priority and a
// share of the fleet.
type Workspace struct {
	Name string
	// Rate is in requests a second, over the whole fleet.
	Rate float64
	// Burst is in requests, over the whole fleet.
	Burst float64
	// Weight is the relative share of contended capacity; 0 counts as 1.
	Weight float64
	// ItemRate is in batch items started a second; 0 sets no limit.
	ItemRate float64 `json:",omitempty"`
	// ItemBurst is in batch items.
	ItemBurst float64 `json:",omitempty"`
	// Unlimited exempts the workspace from Rate and Burst.
	Unlimited bool `json:",omitempty"`
	// Priority ranks the workspace's requests; 0 is the highest. It takes
	// precedence over the route's priority. Both order the admission of requests
	// where slots are contended for.
	Priority int `json:",omitempty"`
}

// Key grants access to a workspace. Only the digest of the secret is stored.
type Key struct {
	// Digest is the lower-case hexadecimal SHA-256 of the secret.
	Digest    string
	Workspace string
}

// Route is a plain service under /services/{Name}/ or, with a Path, a set of
// requests that services in the platform's list of targets serve.
type Route struct {
	Name string
	// Open routes need no key.
	Open bool `json:",omitempty"`
	// Idempotent routes may be retried after a failure of unknown outcome.
	Idempotent bool `json:",omitempty"`
	// Timeout bounds a request from its arrival to the last byte of the response;
	// 0 means the default.
	Timeout time.Duration `json:",omitempty"`
	Kind    RouteKind     `json:",omitempty"`
	Path    Path          `json:",omitzero"`
	// Split divides the requests among services by weight.
	Split []Share `json:",omitempty"`
	// Attempts is the maximum number of targets that one request may run on.
	Attempts int `json:",omitempty"`
	// Resumable streams may continue at another target after the last event
	// received.
	Resumable bool `json:",omitempty"`
	// Priority ranks the route's requests; 0 is the highest. See
	// Workspace.Priority.
	Priority int `json:",omitempty"`
	// Objective is the latency objective; for streams it covers the time to the
	// first event. Requests whose expected wait does not fit it are refused where
	// slots are contended for.
	Objective time.Duration `json:",omitempty"`
	// Window is the time from a batch job's submission until its results are due.
	Window time.Duration `json:",omitempty"`
	// Retention is the time from a batch job's submission after which an item that
	// has not ended may be failed without further attempts.
	Retention time.Duration `json:",omitempty"`
}

// Model is a language model that targets serve under Name.
type Model struct {
	Name    string
	Timeout time.Duration `json:",omitempty"`
}

// Target is a server of models or plain services with the side process in front
// of it.
type Target struct {
	Name             string
	Address          netip.AddrPort
	AvailabilityZone string
	Models           []string `json:",omitempty"`
	Routes           []string `json:",omitempty"`
	// Slots is the number of requests that the target runs concurrently.
	Slots   int
	Leaving bool `json:",omitempty"`
}

// Objective is a service-level objective for the online requests of a workspace
// or, with an empty Workspace, of all workspaces.
type Objective struct {
	Name      string
	Workspace string `json:",omitempty"`
	// Goal is the required share of good requests, such as 0.95.
	Goal          float64
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Bundle is a signed change of the configuration from version Base to version
// Version.
type Bundle struct {
	Version    uint64
	Base       uint64
	Note       string `json:",omitempty"`
	Put        Section
	Remove     Removal
	Signatures []Signature `json:",omitempty"`
	// Whole marks a full configuration, which replaces any of a lower version.
	// Base and Remove are then empty.
	Whole bool `json:",omitempty"`
	// Document is the configuration document as the operator sent it.
	Document []byte `json:",omitempty"`
}

// Section lists the objects that a bundle creates or replaces.
type Section struct {
	Workspaces []Workspace `json:",omitempty"`
	Keys       []Key       `json:",omitempty"`
	Routes     []Route     `json:",omitempty"`
	Models     []Model     `json:",omitempty"`
	Targets    []Target    `json:",omitempty"`
	Objectives []Objective `json:",omitempty"`
	// Services and Limits are set only in full configurations.
	Services []Service     `json:",omitempty"`
	Limits   *CallerLimits `json:",omitempty"`
}

// Removal lists the names (for keys, the digests) that a bundle removes.
type Removal struct {
	Workspaces []string `json:",omitempty"`
	Keys       []string `json:",omitempty"`
	Routes     []string `json:",omitempty"`
	Models     []string `json:",omitempty"`
	Targets    []string `json:",omitempty"`
	Objectives []string `json:",omitempty"`
}

// Signature is an operator's ed25519 signature over the bundle's digest.
type Signature struct {
	Operator string
	Value    []byte
}
