package rhubarbgate

import (
	"net/netip"
	"time"
)

// Workspace is a tenant with its share of the fleet.
type Workspace struct {
	Name string
	// Rate is in requests a second, over the whole fleet.
	Rate float64
	// Burst is in requests, over the whole fleet.
	Burst float64
	// Weight is the share of contended capacity; 0 counts as 1.
	Weight float64
	// ItemRate is in batch items started a second; 0 sets no limit.
	ItemRate float64 `json:",omitempty"`
	// ItemBurst is in batch items.
	ItemBurst float64 `json:",omitempty"`
	// Unlimited workspaces have neither rate nor burst.
	Unlimited bool `json:",omitempty"`
	// Priority is the rank of the workspace's requests, 0 the highest. It goes
	// before that of the route.
	Priority int `json:",omitempty"`
}

// Key grants access to a workspace. Only the digest of the secret is stored.
type Key struct {
	// Digest is the lower-case hexadecimal SHA-256 of the secret.
	Digest    string
	Workspace string
}

// Route is a plain service behind /services/{Name}/ or, with a Path, a set of
// requests that services of the platform's list answer.
type Route struct {
	Name string
	// Open routes need no key.
	Open bool `json:",omitempty"`
	// Idempotent routes may be retried after a failure of unknown outcome.
	Idempotent bool `json:",omitempty"`
	// Timeout bounds a request from arrival to its last byte; 0 means the default.
	Timeout time.Duration `json:",omitempty"`
	Kind    RouteKind     `json:",omitempty"`
	Path    Path          `json:",omitzero"`
	// Split divides the requests among services by weight.
	Split []Share `json:",omitempty"`
	// Attempts is the most targets that one request may run on.
	Attempts int `json:",omitempty"`
	// Resumable streams may go on at another target behind the last event.
	Resumable bool `json:",omitempty"`
	Priority  int  `json:",omitempty"`
	// Objective is the latency objective; streams: up to the first event.
	Objective time.Duration `json:",omitempty"`
	// Window is the time from a batch job's submission until its results are due.
	Window time.Duration `json:",omitempty"`
	// Retention is the time from a batch job's submission after which an item may
	// be given up.
	Retention time.Duration `json:",omitempty"`
}

// Model is a model that targets serve.
type Model struct {
	Name    string
	Timeout time.Duration `json:",omitempty"`
}

// Target is a back end and the side process in front of it.
type Target struct {
	Name             string
	Address          netip.AddrPort
	AvailabilityZone string
	Models           []string `json:",omitempty"`
	Routes           []string `json:",omitempty"`
	// Slots is the number of requests that the target works on at once.
	Slots   int
	Leaving bool `json:",omitempty"`
}

// Objective is a service level for the online requests of a workspace or, with
// an empty Workspace, of all workspaces.
type Objective struct {
	Name      string
	Workspace string `json:",omitempty"`
	// Goal is the share of good requests, such as 0.95.
	Goal          float64
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Bundle is a signed change of the configuration from version Base to Version.
type Bundle struct {
	Version    uint64
	Base       uint64
	Note       string `json:",omitempty"`
	Put        Section
	Remove     Removal
	Signatures []Signature `json:",omitempty"`
	// Whole bundles hold a complete configuration, which replaces any that has a
	// lower version. Base and Remove are empty.
	Whole bool `json:",omitempty"`
	// Document is the configuration as its operator sent it.
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
	// Services and Limits are set by whole bundles.
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
