package main

import (
	"os/exec"
	"testing"

	qt "github.com/frankban/quicktest"
)

// failedSeeds are the seeds of soaks that ever broke a promise. Faults come at
// times of the machine's own, so a seed repeats the kinds of faults, not the run.
var failedSeeds = []struct {
	seed, cause string
}{
	{"1", "an item at a silent target kept its lease for ever; a stream cut at its own deadline counted as cut by a stop"},
}

func TestSoakSeeds(t *testing.T) {
	for _, x := range failedSeeds {
		out, err := exec.Command(binary, "soak", "--seed", x.seed, "--duration", "6s", "--dir", t.TempDir()).CombinedOutput()
		qt.Check(t, err, qt.IsNil, qt.Commentf("seed %s (%s): %s", x.seed, x.cause, out))
	}
}
