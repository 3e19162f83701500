package rhubarbgate

import (
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/soak/fleet"
)

func newSoak() *cobra.Command {
	var seed uint64
	var seeds int
	var duration time.Duration
	var size, injectors int
	var crashingItem bool
	var dir, binary string
	c := &cobra.Command{
		Use:   "soak",
		Short: "Runs a fleet of processes on loopback, injects random faults and checks what callers and targets receive",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "first seed")
	f.IntVar(&seeds, "seeds", 1, "number of consecutive seeds to run, one after another")
	f.DurationVar(&duration, "duration", 20*time.Second, "how long faults are injected, per seed")
	f.IntVar(&size, "size", 1, "multiplies the numbers of entries, targets with their sides, and callers")
	f.BoolVar(&crashingItem, "crashing-item", false, "a batch item crashes targets, in place of requests with one part in their prompts")
	f.IntVar(&injectors, "injectors", 0, "series of faults injected at the same time; 0 means 2")
	f.StringVar(&dir, "dir", "", "folder for data and logs, with a new subfolder for each seed; empty means a temporary one; a seed's subfolder is removed if its checks pass, and a temporary folder if all do")
	f.StringVar(&binary, "binary", "", "program whose processes the fleet runs, such as an earlier build; empty means this one")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var v validator
		v.require(seeds > 0, "seeds", "is not positive")
		v.require(duration > 0, "duration", "is not positive")
		v.require(size > 0, "size", "is not positive")
		v.require(injectors >= 0, "injectors", "is negative")
		err := v.err()
		if err != nil {
			return err
		}
		if binary == "" {
			if binary, err = os.Executable(); err != nil {
				return errors.Trace(err)
			}
		}
		temporary := dir == ""
		if temporary {
			if dir, err = os.MkdirTemp("", "rhubarbgate-soak"); err != nil {
				return errors.Trace(err)
			}
		}
		failedSeeds := 0
		for i := range uint64(seeds) {
			sub := filepath.Join(dir, strconv.FormatUint(seed+i, 10))
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return errors.Trace(err)
			}
			// Mkdir fails for a folder that is there already, whose content would be removed.
			if err := os.Mkdir(sub, 0o700); err != nil {
				return errors.Trace(err)
			}
			s := &fleet.Soak{Binary: binary, Dir: sub, Seed: seed + i, Duration: duration, Size: size, Injectors: injectors, CrashingItem: crashingItem, Clock: clockwork.NewRealClock(), Logger: newLogger(os.Stderr, "soak")}
			r, err := s.Run(c.Context())
			if err != nil {
				return errors.Annotatef(err, "logs in %s", sub)
			}
			if err := printJSON(c, r); err != nil {
				return err
			}
			if len(r.Broken) > 0 {
				failedSeeds++
				continue
			}
			if err := os.RemoveAll(sub); err != nil {
				return errors.Trace(err)
			}
		}
		if failedSeeds > 0 {
			return errors.Errorf("%d of %d seeds failed a check; logs in %s", failedSeeds, seeds, dir)
		}
		if temporary {
			return errors.Trace(os.RemoveAll(dir))
		}
		return nil
	}
	return c
}
