// Package seed makes randomised tests draw the same cases on every run.
package seed

import (
	"flag"
	"os"
	"testing"
)

const (
	// Fixed is the seed of all randomised tests that name no other.
	Fixed = "1"
	// Checks is the number of cases of each test that names no other.
	Checks = "500"
)

// Main runs the tests with the fixed seed and number of cases, unless the
// command line sets others.
func Main(m *testing.M) {
	flag.Parse()
	set("rapid.seed", Fixed)
	set("rapid.checks", Checks)
	os.Exit(m.Run())
}

// set changes a flag that has its default value.
func set(name, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
