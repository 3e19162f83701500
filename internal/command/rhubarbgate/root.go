// Package rhubarbgate is the command line: one subcommand a role, and the operators' tools.
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

// exitUsage is the exit status after bad settings.
const exitUsage = 2

// environmentPrefix starts the name of every environment variable.
const environmentPrefix = "RHUBARBGATE_"

// errUsage marks bad settings; its message has one line for each.
type errUsage struct{ lines []string }

func (e *errUsage) Error() string { return strings.Join(e.lines, "\n") }

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// Settings that may change are read when they are used, so the signal that
	// asks for a reload has nothing else to do than not to end the process.
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
	for _, line := range strings.Split(err.Error(), "\n") {
		c.PrintErrln("rhubarbgate: " + line)
	}
	var u *errUsage
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
		PersistentPreRunE: func(c *cobra.Command, _ []string) error { return fromEnvironment(c.Flags()) },
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &errUsage{[]string{err.Error()}} })
	c.AddCommand(
		newControl(), newStore(), newEntry(), newSide(), newDev(), newStandin(), newLoad(), newSoak(),
		newBundle(), newJob(), newStatus(), newMember(), newReport(), newCertificate(), newKey(),
	)
	return c
}

// fromEnvironment sets the flags that the command line leaves out.
func fromEnvironment(flags *pflag.FlagSet) error {
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
		return &errUsage{lines}
	}
	return nil
}

// newLogger writes structured logs, one JSON object a line.
func newLogger(w io.Writer, role string) log.Interface {
	l := &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
	return l.WithField("role", role)
}
