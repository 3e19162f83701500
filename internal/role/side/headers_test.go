package side

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/platform"
)

// TestNamesOfItemHeaders guards against items whose header names forge a header that only the system sets,
// as a name with a colon did.
func TestNamesOfItemHeaders(t *testing.T) {
	own := []rhubarbgate.Header{{Name: "X-Own", Value: "1"}}
	for _, x := range []struct {
		name string
		kept bool
	}{
		{"X-Plain", true}, {"X-CAPITALS", true}, {"x_lower.case", true},
		{"X-Tenant", false}, {"x-tenant", false}, {"X-Tenant:other", false}, {"X-Tenant ", false}, {"X-OWN", false}, {"X-Own:2", false},
		{"", false}, {":", false}, {"X-A\r\nX-Tenant", false}, {"X-é", false}, {"TRANSFER-ENCODING", false}, {"Transfer-Encoding ", false},
	} {
		kept := forwardedHeaders(platform.Dialect{}, []rhubarbgate.Header{{Name: x.name, Value: "v"}}, own)
		qt.Check(t, len(kept) == 1, qt.Equals, x.kept, qt.Commentf("%q", x.name))
	}
}
