package limit

import (
	"fmt"
	"testing"

	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// BenchmarkMessage measures encoding the messages of an exchange, by the number of
// token requests in it, and reports their size.
func BenchmarkMessage(b *testing.B) {
	for _, n := range []int{1, 10, 50} {
		b.Run(fmt.Sprintf("asks=%d", n), func(b *testing.B) {
			var requests []TokenRequest
			var grants []Grant
			for i := range n {
				w := fmt.Sprintf("workspace-%d", i)
				requests = append(requests, TokenRequest{Workspace: w, Want: 2, Reports: []Report{{Grant: 1 << 60, Spent: 1, Final: true}}})
				grants = append(grants, Grant{Workspace: w, ID: 1 << 60, Tokens: 2, TTL: ttl, PerSecond: 10})
			}
			size := 0
			for b.Loop() {
				x, err := wire.Marshal(requests)
				if err != nil {
					b.Fatal(err)
				}
				y, err := wire.Marshal(grants)
				if err != nil {
					b.Fatal(err)
				}
				size = len(x) + len(y)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/ask")
		})
	}
}
