package rhubarbgate

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/operator"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// operatorFlags are the settings of commands that call a control host's listener
// for operators.
type operatorFlags struct{ baseURL, credential, authority string }

func (o *operatorFlags) add(c *cobra.Command) {
	c.PersistentFlags().StringVar(&o.baseURL, "operator", "http://127.0.0.1:8081", "URL of a control host's listener for operators")
	c.PersistentFlags().StringVar(&o.authority, "authority", "", "file of the fleet authority's certificate (PEM), for an https URL; empty means the system's certificate authorities")
	c.PersistentFlags().StringVar(&o.credential, "credential", "", "operator credential; set it as RHUBARBGATE_CREDENTIAL, as process lists show flags")
}

func (o *operatorFlags) client() *operator.Client {
	return &operator.Client{Base: o.baseURL, Credential: o.credential, Authority: o.authority}
}

func newBundle() *cobra.Command {
	var o operatorFlags
	c := &cobra.Command{Use: "bundle", Short: "Drafts, checks, signs and commits changes to the configuration"}
	o.add(c)
	c.AddCommand(newBundleNew(&o), newBundleSign(), newBundleCommit(&o), newBundleStatus(&o), newBundleCheck(&o))
	return c
}

func newBundleNew(o *operatorFlags) *cobra.Command {
	var note string
	c := &cobra.Command{
		Use:   "new FILE",
		Short: "Drafts an empty bundle that is based on the version in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			x, err := o.client().Configuration()
			if err != nil {
				return err
			}
			b := &rhubarbgate.Bundle{Base: x.Version, Version: x.Version + 1, Note: note}
			if _, err := os.Stat(args[0]); err == nil {
				return errors.AlreadyExistsf("file %s", args[0])
			}
			return writeBundle(args[0], b)
		},
	}
	c.Flags().StringVar(&note, "note", "", "description of the change, stored in the bundle")
	return c
}

func newBundleSign() *cobra.Command {
	var name, key string
	c := &cobra.Command{
		Use:   "sign FILE",
		Short: "Signs a bundle with an operator's private key",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := readBundle(args[0])
			if err != nil {
				return err
			}
			privateKey, err := readPrivateKey(key)
			if err != nil {
				return err
			}
			config.Sign(b, name, privateKey)
			return writeBundle(args[0], b)
		},
	}
	c.Flags().StringVar(&name, "name", "", "name of the operator, as in the control hosts' --operators file")
	c.Flags().StringVar(&key, "key", "", "file of the operator's private key, as written by \"key operator\"")
	return c
}

func newBundleCommit(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "commit FILE",
		Short: "Commits a signed bundle; it is safe to send the same bundle again",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			b, err := readBundle(args[0])
			if err != nil {
				return err
			}
			r, err := o.client().Commit(b)
			if err != nil {
				return err
			}
			if r.Repeated {
				c.Printf("bundle %d was committed before; version %d is in force\n", b.Version, r.Version)
				return nil
			}
			c.Printf("bundle %d is committed\n", b.Version)
			return nil
		},
	}
}

func newBundleStatus(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Prints the configuration in force",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			x, err := o.client().Configuration()
			if err != nil {
				return err
			}
			return printJSON(c, x)
		},
	}
}

func readBundle(path string) (*rhubarbgate.Bundle, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var x rhubarbgate.Bundle
	return &x, errors.Annotate(json.Unmarshal(b, &x), path)
}

func writeBundle(path string, b *rhubarbgate.Bundle) error {
	j, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(path, append(j, '\n'), 0o600))
}

func printJSON(c *cobra.Command, v any) error {
	j, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	c.Println(string(j))
	return nil
}

func newJob() *cobra.Command {
	var o operatorFlags
	var workspace string
	c := &cobra.Command{Use: "job", Short: "Lists, shows and cancels batch jobs"}
	o.add(c)
	list := &cobra.Command{
		Use: "list", Short: "Lists jobs, newest first", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := o.client().Jobs(workspace)
			if err != nil {
				return err
			}
			printJobs(c, l)
			return nil
		},
	}
	list.Flags().StringVar(&workspace, "workspace", "", "list only the jobs of this workspace; empty means all workspaces")
	show := &cobra.Command{
		Use: "show ID", Short: "Prints one job", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			j, err := o.client().Job(args[0])
			if err != nil {
				return err
			}
			return printJSON(c, j)
		},
	}
	cancel := &cobra.Command{
		Use: "cancel ID", Short: "Cancels a job", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			j, err := o.client().CancelJob(args[0])
			if err != nil {
				return err
			}
			printJobs(c, []jobs.Job{*j})
			return nil
		},
	}
	c.AddCommand(list, show, cancel)
	return c
}

func printJobs(c *cobra.Command, l []jobs.Job) {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "ID\tWORKSPACE\tSTATE\tTOTAL\tDONE\tFAILED\tCANCELLED\tDUE")
	for _, j := range l {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%d\t%d\t%s\n", j.ID, j.Workspace, j.State,
			j.Counts.Total, j.Counts.Done, j.Counts.Failed, j.Counts.Cancelled, j.Due.Format(time.RFC3339))
	}
}

func newStatus() *cobra.Command {
	var o operatorFlags
	c := &cobra.Command{
		Use: "status", Short: "Prints the replication state of the control hosts, by group", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := o.client().Status()
			if err != nil {
				return err
			}
			printStatus(c, l)
			return nil
		},
	}
	o.add(c)
	return c
}

func printStatus(c *cobra.Command, l []operator.HostStatus) {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "HOST\tGROUP\tPHASE\tTERM\tLEADER\tCOMMIT\tAPPLIED\tVERSION\tAGE\tMEMBERS")
	for _, h := range l {
		if h.Status == nil {
			fmt.Fprintf(w, "%v\tunreachable: %s\n", h.Address, h.Error)
			continue
		}
		for _, g := range h.Status.Groups {
			fmt.Fprintf(w, "%d\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t%v\t", h.Status.ID, g.Group, g.Phase, g.Term, g.Leader, g.Commit, g.Applied, h.Status.Version, h.Status.Age)
			for _, m := range g.Members {
				kind := ""
				if m.Learner {
					kind = "(learner)"
				}
				fmt.Fprintf(w, "%d%s ", m.ID, kind)
			}
			fmt.Fprintln(w)
		}
	}
}

func newMember() *cobra.Command {
	var o operatorFlags
	c := &cobra.Command{Use: "member", Short: "Adds and removes control hosts"}
	o.add(c)
	add := &cobra.Command{
		Use: "add IP:PORT", Short: "Adds a host that runs with --join; it votes once it has the complete state", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var v validator
			a := v.address("add", args[0])
			if err := v.err(); err != nil {
				return err
			}
			return o.client().ChangeMembership(&operator.MemberRequest{Add: a})
		},
	}
	remove := &cobra.Command{
		Use: "remove ID", Short: "Removes a host from all groups", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var id uint64
			if _, err := fmt.Sscan(args[0], &id); err != nil || id == 0 {
				return &usageError{[]string{fmt.Sprintf("%q is not an ID", args[0])}}
			}
			return o.client().ChangeMembership(&operator.MemberRequest{Remove: id})
		},
	}
	c.AddCommand(add, remove)
	return c
}
