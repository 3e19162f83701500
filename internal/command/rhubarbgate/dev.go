package rhubarbgate

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"rhubarbgate.example/rhubarbgate/internal/role/dev"
)

// devReadyTimeout bounds the time until the development fleet serves requests.
const devReadyTimeout = 30 * time.Second

func newDev() *cobra.Command {
	var listenOn, operatorOn, data, key string
	var memory memoryFlags
	c := &cobra.Command{
		Use:   "dev",
		Short: "Runs a control host, an entry and two stand-in engines with their sides in one process, for development",
		Args:  cobra.NoArgs,
	}
	f := c.Flags()
	memory.add(f)
	f.StringVar(&listenOn, "listen", "127.0.0.1:8080", "IP:PORT to listen on for callers")
	f.StringVar(&operatorOn, "operator", "127.0.0.1:8081", "IP:PORT to listen on for operators")
	f.StringVar(&data, "data", "", "folder of the fleet's stored state; empty means a temporary one, which is removed at the end")
	f.StringVar(&key, "caller-key", "", "the caller's key; empty means a new one, which is printed once")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var v validator
		d := &dev.Fleet{
			Listen: v.address("listen", listenOn), Operator: v.address("operator", operatorOn),
			Data: data, CallerKey: key, Logger: newLogger(os.Stderr, "dev"), Random: newRandom(0),
		}
		memory.check(&v)
		if err := v.err(); err != nil {
			return err
		}
		d.Account = memory.account(d.Logger, newMetrics("Dev"))
		if key == "" {
			d.CallerKey = newCallerKey()
			c.Printf("caller key (printed once): %s\n", d.CallerKey)
		}
		d.Credential = os.Getenv(environmentPrefix + "CREDENTIAL")
		if d.Credential == "" {
			d.Credential = newCallerKey()
			c.Printf("operator credential (printed once): %s\n", d.Credential)
		}
		d.Ready = func() {
			c.Println("ready")
			c.Printf("curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"small\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", d.Listen, d.CallerKey)
		}
		return d.Run(c.Context(), devReadyTimeout)
	}
	return c
}
