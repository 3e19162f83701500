package config

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// TestBatchRoute guards against batch jobs that lose their route, or run by another one than it, when the
// configuration changes.
func TestBatchRoute(t *testing.T) {
	route := func(name, host, prefix string, kind rhubarbgate.RouteKind) rhubarbgate.Route {
		return rhubarbgate.Route{Name: name, Kind: kind, Path: rhubarbgate.Path{Host: host, Prefix: prefix}}
	}
	batch := func(name, host, prefix string) rhubarbgate.Route {
		return route(name, host, prefix, rhubarbgate.BatchJob)
	}
	tests := []struct {
		name       string
		routes     []rhubarbgate.Route
		host, path string // where the job was submitted to route r; an empty host is that of an earlier build
		want       string
	}{
		{"unchanged", []rhubarbgate.Route{batch("r", "h", "/b/")}, "h", "/b/x", "r"},
		{"removed", []rhubarbgate.Route{batch("s", "h", "/c/")}, "h", "/b/x", ""},
		{"renamed", []rhubarbgate.Route{batch("s", "h", "/b/")}, "h", "/b/x", "s"},
		{"moved to another prefix", []rhubarbgate.Route{batch("r", "h", "/c/")}, "h", "/b/x", "r"},
		{"moved to another host", []rhubarbgate.Route{batch("r", "g", "/b/")}, "h", "/b/x", "r"},
		{"moved, and another has its place", []rhubarbgate.Route{batch("r", "h", "/c/"), batch("s", "h", "/b/")}, "h", "/b/x", "s"},
		{"renamed, and another has its name", []rhubarbgate.Route{batch("r", "h", "/c/"), batch("s", "h", "/b/")}, "h", "/b/x", "s"},
		{"a part of its prefix moved", []rhubarbgate.Route{batch("r", "h", "/b/"), batch("s", "h", "/b/x/")}, "h", "/b/x/y", "s"},
		{"of another kind", []rhubarbgate.Route{route("r", "h", "/b/", rhubarbgate.Streaming)}, "h", "/b/x", ""},
		{"its place is of another kind", []rhubarbgate.Route{route("s", "h", "/b/", rhubarbgate.Streaming)}, "h", "/b/x", ""},
		{"unchanged, earlier build", []rhubarbgate.Route{batch("r", "h", "/b/")}, "", "/b/x", "r"},
		{"renamed, earlier build", []rhubarbgate.Route{batch("s", "h", "/b/"), batch("t", "h", "/c/")}, "", "/b/x", "s"},
		{"renamed, not clear to what", []rhubarbgate.Route{batch("s", "h", "/b/"), batch("t", "g", "/b/")}, "", "/b/x", ""},
		{"removed, earlier build", []rhubarbgate.Route{batch("s", "h", "/c/")}, "", "/b/x", ""},
	}
	for _, test := range tests {
		c := FromSection(1, nil, rhubarbgate.Section{Routes: test.routes})
		r, ok := c.BatchRoute("r", test.host, test.path)
		qt.Check(t, r.Name, qt.Equals, test.want, qt.Commentf(test.name))
		qt.Check(t, ok, qt.Equals, test.want != "", qt.Commentf(test.name))
	}
}
