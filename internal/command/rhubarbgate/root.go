// Package rhubarbgate is the command line: one subcommand per role, and tools for operators and measurements.
package rhubarbgate

import (
	"context"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// exitUsage is the exit status if flags, variables or arguments are invalid.
const exitUsage = 2

// environmentPrefix is the prefix of the environment variables that set flags.
const environmentPrefix = "RHUBARBGATE_"

// usageError reports invalid flags, variables or arguments, one line for each.
type usageError struct{ lines []string }

func (e *usageError) Error() string { return strings.Join(e.lines, "\n") }

// statusError ends a command with an exit status of its own. A nil err prints nothing.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Main runs the command line with args, without the program's name, and returns
// the exit status: 0 after success, 1 after a failure, 2 if settings are invalid, or that of a statusError.
// SIGINT and SIGTERM end the context of the command.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// Files that may change, such as certificates, are checked for changes when they
	// are used, so a reload signal has nothing to do. SIGHUP, which often asks for a
	// reload, is ignored so that it does not end the process.
	signal.Ignore(syscall.SIGHUP)
	defer stop()
	c := newRoot()
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	err := c.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	var s *statusError
	own := errors.As(err, &s)
	if own && s.err == nil {
		return s.status
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		c.PrintErrln("rhubarbgate: " + line)
	}
	if own {
		return s.status
	}
	var u *usageError
	if errors.As(err, &u) {
		return exitUsage
	}
	return 1
}

func newRoot() *cobra.Command {
	c := &cobra.Command{
		Use:               "rhubarbgate",
		Short:             "Serves online and batch inference on one fleet",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error { return setFromEnvironment(c.Flags()) },
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{[]string{err.Error()}} })
	c.AddCommand(
		newControl(), newStore(), newEntry(), newSide(), newDev(), newStandin(), newLoad(), newSoak(),
		newBundle(), newJob(), newStatus(), newMember(), newQuarantine(), newZone(), newRoom(), newReport(), newCertificate(), newKey(),
	)
	return c
}

// setFromEnvironment sets each flag that is not on the command line from its
// environment variable, if that is set: --max-age from RHUBARBGATE_MAX_AGE.
func setFromEnvironment(flags *pflag.FlagSet) error {
	var lines []string
	flags.VisitAll(func(f *pflag.Flag) {
		name := environmentPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		v, ok := os.LookupEnv(name)
		if !ok || f.Changed {
			return
		}
		if err := flags.Set(f.Name, v); err != nil {
			lines = append(lines, name+": "+err.Error())
		}
	})
	if len(lines) > 0 {
		return &usageError{lines}
	}
	return nil
}

// newLogger returns a logger that writes one JSON object per line, with the role
// as a field.
func newLogger(w io.Writer, role string) log.Interface {
	l := &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
	return l.WithField("role", role)
}
