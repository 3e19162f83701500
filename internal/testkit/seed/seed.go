// Package seed makes randomised tests use the same cases on every run.
package seed

import (
	"flag"
	"os"
	"testing"
)

const (
	// DefaultSeed is the seed of the randomised tests if the command line sets none.
	DefaultSeed = "1"
	// DefaultChecks is the number of cases of each test if the command line sets none.
	DefaultChecks = "500"
)

// Main runs the tests of a package with DefaultSeed and DefaultChecks, unless the
// command line sets the flags rapid.seed and rapid.checks. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", DefaultSeed)
	setDefault("rapid.checks", DefaultChecks)
	os.Exit(m.Run())
}

// setDefault sets a flag that has its default value; a flag that the test binary does
// not define is ignored.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
