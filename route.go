package rhubarbgate

import "time"

//go:generate go tool -modfile=tools/go.mod stringer -type=RouteKind -output=routekind_string.go

// RouteKind says how a route's requests run and which of them may be retried.
type RouteKind uint8

const (
	// Named routes are plain services under /services/{Name}/.
	Named RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Unsafe requests run at most once for each attempt of the caller.
	Unsafe
	// Streaming requests get a stream of server-sent events as response.
	Streaming
	// BatchJob requests submit items that run later.
	BatchJob
)

// Share is a service's weight in the split of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable targets from the platform's list.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one target over all callers; 0
	// means no bound. It is stored, but not enforced.
	MaxConnections int `json:",omitempty"`
	// Slots is the number of requests that a target runs concurrently; 0 means
	// the number in the platform's list.
	Slots int `json:",omitempty"`
	// ColdStart is how long a target that started during traffic is cold, and ColdPerSecond the rate
	// of requests that it takes from all processes together until then. If either is 0, the service's
	// targets are never cold.
	ColdStart     time.Duration `json:",omitempty"`
	ColdPerSecond float64       `json:",omitempty"`
	// HealthPath is where a target states for how long it stays cold; it is set only if targets may be cold.
	HealthPath string `json:",omitempty"`
}

// HasColdTargets reports whether targets of the service may be cold.
func (s *Service) HasColdTargets() bool { return s.ColdStart > 0 && s.ColdPerSecond > 0 }

// CallerLimits bound the size of a caller's request and the time to send it. Only
// BodyBytes is enforced; entries have fixed limits for the rest.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Path is the host name and the path prefix under which a route is served.
type Path struct {
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
}
