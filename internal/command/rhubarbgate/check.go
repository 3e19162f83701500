package rhubarbgate

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/ingress"
	"rhubarbgate.example/rhubarbgate/internal/http/operator"
	"rhubarbgate.example/rhubarbgate/internal/report/check"
	"rhubarbgate.example/rhubarbgate/internal/role/replica"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/platform"
)

// Exit statuses of "bundle check". A check that could not be made ends like one that found errors.
const (
	exitWarnings = 1
	exitErrors   = 2
)

// againstFleet is the value of --against for the configuration in force.
const againstFleet = "FLEET"

func newBundleCheck(o *operatorFlags) *cobra.Command {
	var against, operators string
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Checks a bundle or a full configuration and sends nothing; exit status 0 clean, 1 warnings, 2 errors",
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(c, args); err != nil {
				return &usageError{[]string{err.Error()}}
			}
			return nil
		},
		RunE: func(c *cobra.Command, args []string) error {
			var v validator
			var trusted config.Operators
			if operators != "" {
				trusted = v.operators("operators", operators)
			}
			if err := v.err(); err != nil {
				return err
			}
			r, err := checkFile(o, args[0], against, trusted)
			if err != nil {
				return &statusError{exitErrors, err}
			}
			if asJSON {
				err = printJSON(c, r)
			} else {
				printCheck(c, args[0], r)
			}
			switch {
			case err != nil:
				return &statusError{exitErrors, err}
			case r.Count(check.Error) > 0:
				return &statusError{status: exitErrors}
			case r.Count(check.Warning) > 0:
				return &statusError{status: exitWarnings}
			}
			return nil
		},
	}
	c.Flags().StringVar(&against, "against", "", "compare with a file, with the configuration in force (FLEET), or with that only if it has this version (a number); empty means no comparison")
	c.Flags().StringVar(&operators, "operators", "", "file of the operators' public keys, to check a bundle's signatures; empty means that they are not checked")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of text")
	return c
}

// checkFile checks the file at path against another configuration, if that is not empty.
func checkFile(o *operatorFlags, path, against string, trusted config.Operators) (*check.Report, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	base, err := baseConfiguration(o, against)
	if err != nil {
		return nil, err
	}
	k := &check.Checker{
		EntryBodyBytes: ingress.MaxBodyBytes, StoreBytes: replica.MaxCommandBytes,
		Refusals: []func(*rhubarbgate.Bundle) error{replica.CheckBundleSize},
	}
	if !isBundle(body) {
		k.MaxFileBytes = platform.MaxDocumentBytes
		return k.Check(body, decodeDocument(body), base), nil
	}
	k.MaxFileBytes = operator.MaxBodyBytes
	if trusted.Threshold > 0 {
		k.Refusals = append(k.Refusals, trusted.Verify)
	}
	return k.Check(body, decodeBundle(body), base), nil
}

// members returns the names of a JSON object's members in lower case; there are none if the text is not an object.
func members(body []byte) map[string]bool {
	var m map[string]json.RawMessage
	if json.Unmarshal(body, &m) != nil {
		return nil
	}
	names := map[string]bool{}
	for name := range m {
		names[strings.ToLower(name)] = true
	}
	return names
}

// isBundle reports whether a file is a bundle, and not a configuration document of the platform: whether it has
// members that only bundles have.
func isBundle(body []byte) bool {
	m := members(body)
	return m["put"] || m["remove"] || m["base"] || m["whole"] || m["signatures"]
}

// decodeBundle decodes a bundle as control hosts do.
func decodeBundle(body []byte) check.File {
	b, err := operator.DecodeBundle(body)
	if err != nil {
		// The decoder's own error has the position of a value of the wrong type.
		if own := json.Unmarshal(body, &rhubarbgate.Bundle{}); own != nil {
			err = own
		}
		return check.File{Err: err}
	}
	return check.File{Bundle: b}
}

// decodeDocument decodes a configuration document of the platform as control hosts do.
func decodeDocument(body []byte) check.File {
	b, faults, err := platform.DecodeFaulty(body)
	if err != nil {
		return check.File{Err: err}
	}
	place, err := platform.Places(body)
	return check.File{Bundle: b, Faults: faults, Err: err, Place: place}
}

// baseConfiguration returns the configuration that --against states, or nil if it is empty.
func baseConfiguration(o *operatorFlags, against string) (*config.Config, error) {
	if against == "" {
		return nil, nil
	}
	version, err := strconv.ParseUint(against, 10, 64)
	if err != nil && against != againstFleet {
		return readConfiguration(against)
	}
	x, fetchErr := o.client().Configuration()
	if fetchErr != nil {
		return nil, errors.Annotate(fetchErr, "--against "+against)
	}
	if err == nil && x.Version != version {
		return nil, errors.Errorf("--against %d: version %d is in force, and control hosts return no other", version, x.Version)
	}
	return config.FromSection(x.Version, nil, x.Section), nil
}

// readConfiguration reads a full configuration: a document of the platform, a bundle that needs no base, or the output
// of "bundle status".
func readConfiguration(path string) (*config.Config, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "--against")
	}
	if members(body)["section"] {
		var x operator.Configuration
		if err := json.Unmarshal(body, &x); err != nil {
			return nil, errors.Annotatef(err, "--against %s", path)
		}
		return config.FromSection(x.Version, nil, x.Section), nil
	}
	var b *rhubarbgate.Bundle
	if isBundle(body) {
		b, err = operator.DecodeBundle(body)
	} else {
		b, err = platform.DecodeConfiguration(body)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "--against %s", path)
	}
	if !b.Whole && b.Base != 0 {
		return nil, errors.Errorf("--against %s: the bundle holds changes of version %d, not a full configuration", path, b.Base)
	}
	return config.FromSection(b.Version, nil, b.Put), nil
}

// printCheck prints a line for each finding, note and difference, and a summary.
func printCheck(c *cobra.Command, path string, r *check.Report) {
	w := c.OutOrStdout()
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s:%d:%d: %s: %s\n", path, f.Line, f.Column, strings.ToLower(f.Severity.String()), f.Text)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(w, "%s: note: %s\n", path, n)
	}
	if r.Compared != nil {
		fmt.Fprintf(w, "differences from version %d: %d\n", *r.Compared, len(r.Differences))
		for _, d := range r.Differences {
			fmt.Fprintf(w, "  %v\n", d)
		}
	}
	fmt.Fprintf(w, "%s: version %d, %d errors, %d warnings\n", path, r.Version, r.Count(check.Error), r.Count(check.Warning))
}
