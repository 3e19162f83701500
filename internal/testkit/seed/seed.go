// Package seed makes randomised tests draw the same cases on every run.
package seed

import (
	"flag"
	"os"
	"testing"
)

// Fixed is the seed of all randomised tests that name no other.
const Fixed = "1"

// Main runs the tests with the fixed seed, unless the command line sets one.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set(Fixed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
