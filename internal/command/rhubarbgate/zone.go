package rhubarbgate

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/http/operator"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// zoneTimeout bounds a call of the zone commands to control hosts.
const zoneTimeout = 10 * time.Second

// zoneCaller calls the operators' listener of a control host or, with --control, the control hosts
// themselves, as those of a fleet with --seeds have no such listener.
type zoneCaller struct {
	operator operatorFlags
	control  string
	tlsFiles tlsFlags
}

func newZone() *cobra.Command {
	var z zoneCaller
	c := &cobra.Command{Use: "zone", Short: "Evacuates availability zones, whose targets then get no requests, and restores them"}
	c.PersistentFlags().StringVar(&z.operator.baseURL, "operator", "http://127.0.0.1:8081", "URL of a control host's listener for operators; not used with --control")
	c.PersistentFlags().StringVar(&z.operator.credential, "credential", "", "operator credential; set it as RHUBARBGATE_CREDENTIAL, as process lists show flags; not used with --control")
	c.PersistentFlags().StringVar(&z.control, "control", "", "addresses of control hosts for other processes of the fleet, separated by commas, to call instead of --operator")
	z.tlsFiles.add(c.PersistentFlags())
	run := func(call func() (evacuation.Set, error)) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, _ []string) error {
			set, err := call()
			if err != nil {
				return err
			}
			for _, zone := range set.Zones {
				c.Printf("%s\n", zone)
			}
			c.Printf("%d zones are evacuated, version %d\n", len(set.Zones), set.Version)
			return nil
		}
	}
	order := func(restore bool) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) error {
			o := evacuation.Order{Zone: args[0], Restore: restore}
			return run(func() (evacuation.Set, error) { return z.order(o) })(c, args)
		}
	}
	c.AddCommand(&cobra.Command{
		Use: "evacuate ZONE", Short: "Sends nothing more to the targets of a zone; it is safe to repeat", Args: cobra.ExactArgs(1), RunE: order(false),
	}, &cobra.Command{
		Use: "restore ZONE", Short: "Withdraws the evacuation of a zone; it is safe to repeat", Args: cobra.ExactArgs(1), RunE: order(true),
	}, &cobra.Command{
		Use: "list", Short: "Lists the evacuated zones", Args: cobra.NoArgs, RunE: run(z.list),
	})
	return c
}

// order commits an order and returns the evacuated zones.
func (z *zoneCaller) order(o evacuation.Order) (evacuation.Set, error) {
	if z.control == "" {
		return z.operatorClient().OrderZone(o)
	}
	ctx, cancel := context.WithTimeout(context.Background(), zoneTimeout)
	defer cancel()
	client, err := z.controlClient()
	if err != nil {
		return evacuation.Set{}, err
	}
	r, err := client.Evacuate(ctx, o)
	if err != nil {
		return evacuation.Set{}, err
	}
	return r.Set, nil
}

// list returns the evacuated zones.
func (z *zoneCaller) list() (evacuation.Set, error) {
	if z.control == "" {
		return z.operatorClient().Zones()
	}
	ctx, cancel := context.WithTimeout(context.Background(), zoneTimeout)
	defer cancel()
	client, err := z.controlClient()
	if err != nil {
		return evacuation.Set{}, err
	}
	r, err := client.Evacuation(ctx)
	if err != nil {
		return evacuation.Set{}, err
	}
	return r.Set, nil
}

// operatorClient returns a client of the listener for operators. Both kinds of calls trust the same
// certificate of the fleet authority.
func (z *zoneCaller) operatorClient() *operator.Client {
	z.operator.authority = z.tlsFiles.authority
	return z.operator.client()
}

// controlClient returns a client of the control hosts.
func (z *zoneCaller) controlClient() (*control.Client, error) {
	var v validator
	addresses, tlsConfig := v.addresses("control", z.control), z.tlsFiles.config(&v)
	if err := v.err(); err != nil {
		return nil, err
	}
	return &control.Client{Wire: wire.NewClient(tlsConfig), Hosts: addresses, Clock: clockwork.NewRealClock()}, nil
}
