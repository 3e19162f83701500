package rhubarbgate

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
)

// run runs the command line and returns the exit status, stdout and stderr.
func run(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

// TestBadSettingsAreListed guards against reporting only the first of several
// invalid settings: each must be named on stderr, with exit status 2.
func TestBadSettingsAreListed(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want []string
	}{
		{"control", []string{"control", "--members", "x=1", "--listen", "host:1"}, []string{"--data", "--id", "--credential", "--members", "--operators", "--listen"}},
		{"entry", []string{"entry", "--control", "nowhere", "--picker", "best"}, []string{"--control", "--availability-zone", "--picker"}},
		{"side", []string{"side", "--slots", "0", "--control", "127.0.0.1:1", "--listen", "10.1.2.3:7100"}, []string{"--target", "--target-name", "--availability-zone", "--slots", "--certificate"}},
		{"quarantine", []string{"quarantine", "list", "--control", "nowhere", "--key", "k"}, []string{"--control", "--certificate"}},
		{"memory", []string{"side", "--memory-limit", "63", "--max-connections", "9"}, []string{"--memory-limit: 63", "--max-connections: 9"}},
		{"memory of a store host", []string{"store", "--memory-limit=10", "--max-connections=100000000"}, []string{"--memory-limit: 10", "--max-connections: 100000000"}},
		{"memory that is no number", []string{"entry", "--memory-limit", "lots"}, []string{"lots"}},
		{"unknown flag", []string{"entry", "--colour", "red"}, []string{"--colour"}},
		{"load", []string{"load", "--rate", "0"}, []string{"--rate"}},
		{"soak", []string{"soak", "--seeds", "0", "--duration", "0s", "--size", "0", "--injectors", "-1"}, []string{"--seeds", "--duration", "--size", "--injectors"}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			code, _, errs := run(x.args...)
			qt.Assert(t, code, qt.Equals, exitUsage)
			for _, w := range x.want {
				qt.Assert(t, strings.Contains(errs, w+": ") || strings.Contains(errs, w), qt.IsTrue, qt.Commentf("%s is not in:\n%s", w, errs))
			}
		})
	}
}

// TestEnvironmentSetsFlags guards against environment variables that are ignored,
// and against error messages that do not name the invalid variable.
func TestEnvironmentSetsFlags(t *testing.T) {
	t.Setenv("RHUBARBGATE_PICKER", "best")
	_, _, errs := run("entry")
	qt.Assert(t, errs, qt.Contains, `"best" is unknown`)
	t.Setenv("RHUBARBGATE_GRACE", "soon")
	code, _, errs := run("entry")
	qt.Assert(t, code, qt.Equals, exitUsage)
	qt.Assert(t, errs, qt.Contains, "RHUBARBGATE_GRACE")
}

// TestKeysAndCertificates creates keys and certificates. It guards against
// overwriting an existing key and issuing a certificate for an unknown role.
func TestKeysAndCertificates(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	code, out, errs := run("key", "operator", "--out", filepath.Join(dir, "a.key"))
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", errs))
	c.Assert(out, qt.Contains, "PublicKey ")
	code, _, _ = run("key", "operator", "--out", filepath.Join(dir, "a.key"))
	c.Assert(code, qt.Equals, 1, qt.Commentf("an existing key was overwritten"))
	code, _, _ = run("certificate", "authority", "--dir", dir)
	c.Assert(code, qt.Equals, 0)
	code, _, _ = run("certificate", "issue", "entry", "entry-1", "--dir", dir)
	c.Assert(code, qt.Equals, 0)
	code, _, errs = run("certificate", "issue", "king", "x", "--dir", dir)
	c.Assert(code, qt.Equals, exitUsage)
	c.Assert(errs, qt.Contains, "king")
}

// TestSoakKeepsForeignFiles guards against removing what soak did not write: the rest of the folder
// that it is given, and a folder that is in the place of a seed's.
func TestSoakKeepsForeignFiles(t *testing.T) {
	dir := t.TempDir()
	foreign := filepath.Join(dir, "7", "file")
	qt.Assert(t, os.Mkdir(filepath.Dir(foreign), 0o700), qt.IsNil)
	qt.Assert(t, os.WriteFile(foreign, nil, 0o600), qt.IsNil)
	code, _, errs := run("soak", "--seed", "7", "--duration", "1ms", "--dir", dir, "--binary", filepath.Join(dir, "none"))
	qt.Assert(t, code, qt.Not(qt.Equals), 0)
	qt.Assert(t, errs, qt.Contains, "exists")
	_, err := os.Stat(foreign)
	qt.Assert(t, err, qt.IsNil)
}

// TestMemoryLimitFromSettings guards against a process that does not start because the deployment's settings have no
// limit of memory, or write it with a fraction.
func TestMemoryLimitFromSettings(t *testing.T) {
	for _, x := range []struct {
		value string
		want  int
		fails bool
	}{
		{"", defaultMemoryLimit, false}, {"184", 184, false}, {"184.0", 184, false},
		{"x", 0, true}, {"-1", 0, true}, {"NaN", 0, true}, {"1e300", 0, true},
	} {
		o := optionalInt{value: defaultMemoryLimit}
		err := o.Set(x.value)
		qt.Check(t, err != nil, qt.Equals, x.fails, qt.Commentf("%q", x.value))
		if !x.fails {
			qt.Check(t, o.value, qt.Equals, x.want)
		}
	}
}

// TestListedTrials guards against operators who wait for a trial of a block that does not come, or overlook one that does.
func TestListedTrials(t *testing.T) {
	tests := []struct {
		block quarantine.Block
		want  string
	}{
		{quarantine.Block{Trial: true, Left: time.Minute}, "now"},
		{quarantine.Block{TrialIn: time.Nanosecond, Left: time.Minute}, "now"},
		{quarantine.Block{TrialIn: 7800 * time.Millisecond, Left: time.Minute}, "in 8s"},
		{quarantine.Block{TrialIn: 2 * time.Minute, Left: time.Minute}, "none"},
		{quarantine.Block{Left: time.Minute}, "none"},
	}
	for _, test := range tests {
		qt.Check(t, nextTrial(test.block), qt.Equals, test.want)
	}
}
