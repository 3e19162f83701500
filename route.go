package rhubarbgate

import "time"

//go:generate go tool -modfile=tools/go.mod stringer -type=RouteKind -output=routekind_string.go

// RouteKind says how a route's requests run and what may be repeated.
type RouteKind uint8

const (
	// Named routes are plain services behind /services/{Name}/.
	Named RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Unsafe requests run at most once for each attempt of the caller.
	Unsafe
	// Streaming requests are answered with a series of events.
	Streaming
	// BatchJob requests hand in items that run later.
	BatchJob
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable targets that the platform's list names.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one target; 0 means
	// no bound.
	MaxConnections int `json:",omitempty"`
	// Slots is the number of requests that a target works on at once; 0 means
	// that the platform's list tells.
	Slots int `json:",omitempty"`
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Path is where a route is served, by host name and prefix of the path.
type Path struct {
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
}
