package main

import (
	"os/exec"
	"testing"

	qt "github.com/frankban/quicktest"
)

// failedSeeds are seeds whose soak run has failed a check, and why. The timing of
// faults depends on the processes' scheduling, so a seed reproduces the kinds of
// faults and not the exact run.
var failedSeeds = []struct {
	seed, cause string
}{
	{"1", "an item at a silent target kept its lease for ever; a stream cut at its own deadline counted as cut by a stop"},
	{"2", "a request that crashed targets and came again under other IDs was run again and again; a stream that its caller took up went on at another software version"},
	{"202", "a refusal that a target wrote once more on a kept connection counted as the response to the next request"},
	{"222", "a target's response that did not continue a stream became a part of it"},
	{"233", "an odd entry of the list hid the others, so that an entry went on to use a target that was draining"},
	{"403", "an emulated target wrote a response out of turn before the response to the same request"},
	{"407", "an emulated target responded to a request with another ID, then refused it with its own"},
}

// TestSoakSeeds runs the soak command with the seeds that have failed. It guards
// against lost or repeated work and cut responses under crashes, stops and frozen
// processes.
func TestSoakSeeds(t *testing.T) {
	for _, x := range failedSeeds {
		out, err := exec.Command(binary, "soak", "--seed", x.seed, "--duration", "6s", "--dir", t.TempDir()).CombinedOutput()
		qt.Check(t, err, qt.IsNil, qt.Commentf("seed %s (%s): %s", x.seed, x.cause, out))
	}
}

// TestItemThatCrashesTargets guards against running an item that crashes its target on one target
// after the other until its retention ends.
func TestItemThatCrashesTargets(t *testing.T) {
	out, err := exec.Command(binary, "soak", "--seed", "9900", "--duration", "12s", "--crashing-item", "--dir", t.TempDir()).CombinedOutput()
	qt.Check(t, err, qt.IsNil, qt.Commentf("%s", out))
}
