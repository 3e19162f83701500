package rhubarbgate

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// quarantineTimeout bounds a call of the quarantine commands.
const quarantineTimeout = 10 * time.Second

func newQuarantine() *cobra.Command {
	var hosts string
	var tlsFiles tlsFlags
	c := &cobra.Command{Use: "quarantine", Short: "Lists and lifts blocks of requests and of parts of prompts at which targets end"}
	c.PersistentFlags().StringVar(&hosts, "control", "127.0.0.1:7000", "addresses of control hosts for other processes of the fleet, separated by commas")
	tlsFiles.add(c.PersistentFlags())
	call := func(c *cobra.Command, parts []string) error {
		var v validator
		addresses, tlsConfig := v.addresses("control", hosts), tlsFiles.config(&v)
		if err := v.err(); err != nil {
			return err
		}
		client := &control.Client{Wire: wire.NewClient(tlsConfig), Hosts: addresses, Clock: clockwork.NewRealClock()}
		ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
		defer cancel()
		r, err := client.Lift(ctx, parts)
		if err != nil {
			return err
		}
		printQuarantine(c, r)
		return nil
	}
	c.AddCommand(&cobra.Command{
		Use: "list", Short: "Lists the blocks in force", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return call(c, nil) },
	}, &cobra.Command{
		Use: "lift PART...", Short: "Lifts the blocks of parts, until targets end with them again", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return call(c, args) },
	})
	return c
}

// printQuarantine prints what was lifted and the blocks in force.
func printQuarantine(c *cobra.Command, r *control.LiftReply) {
	for _, p := range r.Lifted {
		c.Printf("lifted %s of service %s\n", p.ID, p.Service)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "PART\tSERVICE\tSTATE\tLEFT\tNEXT TRIAL")
	for _, b := range r.Quarantine.Blocks {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\n", b.Part.ID, b.Part.Service, blockState(b), b.Left.Round(time.Second), nextTrial(b))
	}
}

// nextTrial says when the next request with the part is sent, to find out whether targets still end with it.
func nextTrial(b quarantine.Block) string {
	switch {
	case b.Trial || b.TrialIn > 0 && b.TrialIn < time.Second:
		return "now"
	case b.TrialIn == 0 || b.TrialIn >= b.Left:
		return "none"
	}
	return "in " + b.TrialIn.Round(time.Second).String()
}

// blockState names the state of a block.
func blockState(b quarantine.Block) string {
	if b.Trial {
		return "trial"
	}
	return "blocked"
}
