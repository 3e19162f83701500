package rhubarbgate

import (
	"fmt"
	"text/tabwriter"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/report/burn"
	"rhubarbgate.example/rhubarbgate/internal/report/plot"
)

func newReport() *cobra.Command {
	c := &cobra.Command{Use: "report", Short: "Prints reports on the objectives"}
	c.AddCommand(newReportBurn())
	return c
}

func newReportBurn() *cobra.Command {
	var o operatorFlags
	var asJSON bool
	var file string
	c := &cobra.Command{
		Use:   "burn",
		Short: "Prints the burn rates of the objectives' error budgets; rate 1 spends a budget exactly",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			counts, err := o.client().Burn()
			if err != nil {
				return err
			}
			x, err := o.client().Configuration()
			if err != nil {
				return err
			}
			r := burn.New(clockwork.NewRealClock().Now().UTC(), counts, x.Section.Objectives)
			if file != "" {
				if err := plot.Burn(file, r); err != nil {
					return err
				}
			}
			if asJSON {
				return printJSON(c, r)
			}
			printBurn(c, r)
			return nil
		},
	}
	o.add(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of a table")
	c.Flags().StringVar(&file, "plot", "", "also plot the burn rates to this file (.svg or .png); empty means no plot")
	return c
}

func printBurn(c *cobra.Command, r *burn.Report) {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprint(w, "WORKSPACE\tOBJECTIVE\tPART\tGOAL")
	for _, d := range burn.Windows {
		fmt.Fprintf(w, "\tBURN %v\tBAD/TOTAL", d)
	}
	fmt.Fprintln(w, "\tALERT")
	for _, l := range r.Lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%g", l.Workspace, l.Objective, l.Part, l.Goal)
		for _, x := range l.Windows {
			fmt.Fprintf(w, "\t%.2f\t%d/%d", x.Rate, x.Bad, x.Total)
		}
		fmt.Fprintf(w, "\t%s\n", l.Alert)
	}
}
