package wire

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// TestMessagesThatAreTooLarge guards against a request or reply that its receiver cannot read and closes the connection for,
// so that the call is tried again unchanged, and nothing says why it fails. The connection serves further calls.
func TestMessagesThatAreTooLarge(t *testing.T) {
	const limit = maxSentBytes
	tests := []struct {
		name           string
		request, reply int // bytes of the text
		code           rhubarbgate.Code
		verdict        rhubarbgate.Verdict
	}{
		{"both fit", limit - 200, limit - 200, 0, 0},
		{"request", limit, 0, rhubarbgate.CodeTooLarge, rhubarbgate.NotRun},
		{"reply", 0, limit, rhubarbgate.CodeTooLarge, rhubarbgate.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := NewMux()
			logged := 0
			m.OnTooLarge = func(method string, err *SizeError) {
				qt.Check(t, method, qt.Equals, "/test/Echo")
				qt.Check(t, err, qt.ErrorMatches, "a message of type .* has [0-9]+ bytes, more than 8384512")
				logged++
			}
			Unary(m, "/test/Echo", nil, func(_ context.Context, in *sample) (*sample, error) {
				if in.Name == "small" {
					return in, nil
				}
				return &sample{Name: strings.Repeat("x", test.reply)}, nil
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			go func() { _ = m.Serve(t.Context(), l) }()
			c := NewClient(nil)
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			address := l.Addr().(*net.TCPAddr).AddrPort()
			_, err = Call[sample](ctx, c, address, "/test/Echo", &sample{Name: strings.Repeat("x", test.request)})
			if test.code == 0 {
				qt.Assert(t, err, qt.IsNil)
			} else {
				e := rhubarbgate.AsError(err)
				qt.Assert(t, []any{e.Code, e.Verdict}, qt.DeepEquals, []any{test.code, test.verdict}, qt.Commentf("%v", err))
			}
			qt.Assert(t, logged == 1, qt.Equals, test.name == "reply")
			_, err = Call[sample](ctx, c, address, "/test/Echo", &sample{Name: "small"})
			qt.Assert(t, err, qt.IsNil)
		})
	}
}
