package rhubarbgate

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/policy/admission"
)

const (
	// roomTimeout bounds the request for the counters of one entry.
	roomTimeout = 5 * time.Second
	// maxCounterBytes bounds the counters of one entry, which take some kilobytes.
	maxCounterBytes = 4 << 20
	// printedWorkspaces is how many workspaces are printed for each service.
	printedWorkspaces = 8
)

func newRoom() *cobra.Command {
	var debug string
	var asJSON bool
	c := &cobra.Command{
		Use:   "room --debug ADDRESS[,ADDRESS...] [ADDRESS...]",
		Short: "Prints what entries admitted to contended slots and refused, by service, rank and workspace",
		RunE: func(c *cobra.Command, args []string) error {
			var v validator
			addresses := v.addresses("debug", strings.Trim(strings.Join(append([]string{debug}, args...), ","), ","))
			if err := v.err(); err != nil {
				return err
			}
			var all []admission.ServiceSnapshot
			failed := 0
			for _, a := range addresses {
				s, err := entryRoom(a)
				if err != nil {
					c.PrintErrf("%v: %v\n", a, err)
					failed++
				}
				all = append(all, s...)
			}
			if failed == len(addresses) {
				return errors.New("no entry answered")
			}
			if asJSON {
				return printJSON(c, all)
			}
			printRoom(c, mergeRoom(all))
			return nil
		},
	}
	c.Flags().StringVar(&debug, "debug", "", "addresses at which entries serve their counters, as in their --debug, separated by commas")
	c.Flags().BoolVar(&asJSON, "json", false, "print the figures of each entry as JSON instead of tables with sums")
	return c
}

// entryRoom reads the counters of the entry at a debug address.
func entryRoom(a netip.AddrPort) ([]admission.ServiceSnapshot, error) {
	ctx, cancel := context.WithTimeout(context.Background(), roomTimeout)
	defer cancel()
	entry := &target.Client{Address: a, CloseDelimited: true}
	r, err := entry.Do(ctx, &target.Request{Method: http.MethodGet, Path: "/debug/vars", Idempotent: true})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer r.Close()
	if r.Status != http.StatusOK {
		return nil, errors.Errorf("status %d", r.Status)
	}
	body, err := r.ReadAll(maxCounterBytes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var vars struct {
		Entry struct{ Room []admission.ServiceSnapshot }
	}
	if err := json.Unmarshal(body, &vars); err != nil {
		return nil, errors.Annotate(err, "counters")
	}
	return vars.Entry.Room, nil
}

// serviceRoom sums the figures of a service over entries.
type serviceRoom struct {
	admission.ServiceSnapshot
	entries, contended int
}

// mergeRoom sums the figures by service, rank and workspace. Margins and usual times are not summed.
func mergeRoom(all []admission.ServiceSnapshot) []*serviceRoom {
	services := map[string]*serviceRoom{}
	var r []*serviceRoom
	for _, x := range all {
		s := services[x.Service]
		if s == nil {
			s = &serviceRoom{ServiceSnapshot: admission.ServiceSnapshot{Service: x.Service}}
			services[x.Service] = s
			r = append(r, s)
		}
		s.add(x)
	}
	slices.SortFunc(r, func(a, b *serviceRoom) int { return cmp.Compare(a.Service, b.Service) })
	for _, s := range r {
		slices.SortFunc(s.Ranks, func(a, b admission.RankSnapshot) int { return cmp.Compare(a.Rank, b.Rank) })
		slices.SortFunc(s.Busiest, func(a, b admission.WorkspaceSnapshot) int {
			return cmp.Or(cmp.Compare(b.Use, a.Use), cmp.Compare(a.Workspace, b.Workspace))
		})
		s.Busiest = s.Busiest[:min(len(s.Busiest), printedWorkspaces)]
	}
	return r
}

// add adds the figures of one entry.
func (s *serviceRoom) add(x admission.ServiceSnapshot) {
	s.entries++
	if x.Contended {
		s.contended++
	}
	s.SentFree += x.SentFree
	s.SentWaiting += x.SentWaiting
	s.SentUnknown += x.SentUnknown
	s.SentGuaranteed += x.SentGuaranteed
	s.RefusedWait += x.RefusedWait
	s.RefusedRank += x.RefusedRank
	s.RefusedShare += x.RefusedShare
	s.RefusedLate += x.RefusedLate
	s.WithoutRetry += x.WithoutRetry
	s.ServedPerSecond += x.ServedPerSecond
	for _, k := range x.Ranks {
		i := slices.IndexFunc(s.Ranks, func(o admission.RankSnapshot) bool { return o.Rank == k.Rank })
		if i < 0 {
			s.Ranks = append(s.Ranks, k)
			continue
		}
		s.Ranks[i].Sent += k.Sent
		s.Ranks[i].Refused += k.Refused
	}
	for _, w := range x.Busiest {
		i := slices.IndexFunc(s.Busiest, func(o admission.WorkspaceSnapshot) bool { return o.Workspace == w.Workspace })
		if i < 0 {
			s.Busiest = append(s.Busiest, w)
			continue
		}
		o := &s.Busiest[i]
		o.Use += w.Use
		o.Share += w.Share
		o.InFlight += w.InFlight
		o.Sent += w.Sent
		o.Refused += w.Refused
		o.Limited = o.Limited || w.Limited
	}
}

func printRoom(c *cobra.Command, services []*serviceRoom) {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "SERVICE\tENTRIES\tCONTENDED\tSERVED/S\tSENT FREE\tWAITING\tNO OFFER\tGUARANTEED\tREFUSED WAIT\tRANK\tSHARE\tLATE\tNO RETRY")
	for _, s := range services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Service, s.entries, s.contended, s.ServedPerSecond,
			s.SentFree, s.SentWaiting, s.SentUnknown, s.SentGuaranteed, s.RefusedWait, s.RefusedRank, s.RefusedShare, s.RefusedLate, s.WithoutRetry)
	}
	fmt.Fprintln(w, "\nSERVICE\tRANK\tSENT\tREFUSED")
	for _, s := range services {
		for _, k := range s.Ranks {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", s.Service, k.Rank, k.Sent, k.Refused)
		}
	}
	fmt.Fprintln(w, "\nSERVICE\tWORKSPACE\tUSE\tSHARE\tIN FLIGHT\tSENT\tREFUSED\tLIMITED")
	for _, s := range services {
		for _, x := range s.Busiest {
			share := "-"
			if x.Share > 0 {
				share = fmt.Sprintf("%.1f", x.Share)
			}
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%d\t%d\t%d\t%t\n", s.Service, x.Workspace, x.Use, share, x.InFlight, x.Sent, x.Refused, x.Limited)
		}
	}
}
