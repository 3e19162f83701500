package rhubarbgate

import "github.com/spf13/cobra"

func newReport() *cobra.Command {
	return &cobra.Command{Use: "report", Short: "Prints reports"}
}
