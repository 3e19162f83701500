package side

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// TestItemsContinueOnlyTheirOwnOutput guards against an item whose output goes on, after its stream
// broke off, with an error's text, with events that it had, or without the next one, and against one
// that ends there as done. An attempt that fails leaves only what the next one may continue.
func TestItemsContinueOnlyTheirOwnOutput(t *testing.T) {
	for _, fault := range []platformtest.Fault{
		platformtest.ResumeError, platformtest.ResumePlainText, platformtest.ResumeRepeat, platformtest.ResumeSkip, platformtest.ResumeEmpty,
		platformtest.Shed, platformtest.Fail, platformtest.Unprocessable, platformtest.NoEvents, platformtest.CutStream,
	} {
		for _, isUnframed := range []bool{false, true} {
			faults := []platformtest.Fault{platformtest.CutStream, fault, platformtest.None}
			x := &platformtest.Target{Unframed: isUnframed, Fault: func(_ string, n int) platformtest.Fault { return faults[min(n, len(faults))-1] }}
			w, task := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
			whole := platformtest.Output("item", 10)
			for n := range faults {
				err := w.streamItem(context.Background(), task)
				qt.Check(t, err == nil, qt.Equals, n == len(faults)-1, qt.Commentf("fault %d, attempt %d: %v", fault, n, err))
				qt.Check(t, strings.HasPrefix(whole, string(task.output.Text)), qt.IsTrue, qt.Commentf("fault %d: %q", fault, task.output.Text))
				if err != nil {
					task.output = decodeOutput(task.output.encode())
				}
			}
			qt.Check(t, string(task.output.Text), qt.Equals, whole, qt.Commentf("fault %d", fault))
		}
	}
}

// TestItemsThatEndAtOnceStartOver guards against an item that is continued for ever after its last
// event, because the stream broke off between that and its end.
func TestItemsThatEndAtOnceStartOver(t *testing.T) {
	o := output{LastID: "2", Text: []byte("a\nb")}
	err := o.readEvents(strings.NewReader(""), func() {})
	qt.Assert(t, err != nil, qt.IsTrue)
	qt.Assert(t, err.Verdict, qt.Equals, rhubarbgate.MayHaveRun)
	// The output that is returned with the lease replaces the one that the lease came with.
	qt.Assert(t, len(o.encode()) > 0, qt.IsTrue)
	o = decodeOutput(o.encode())
	qt.Assert(t, o.LastID, qt.Equals, "")
	qt.Assert(t, o.Text, qt.HasLen, 0)
}

// TestOutputWithoutNumbers guards against output that a next attempt repeats, because the event that
// brought it has no number to continue after.
func TestOutputWithoutNumbers(t *testing.T) {
	tests := []struct {
		name, stream string
		done         bool
		want         output
	}{
		{"a last event without a number", "id: 1\ndata: a\n\ndata: b\n\n", true, output{LastID: "1", Text: []byte("a\nb")}},
		{"broken off after it", "id: 1\ndata: a\n\ndata: b\n\nid", false, output{LastID: "1", Text: []byte("a")}},
		{"broken off before any number", "data: a\n\nid", false, output{}},
		{"other IDs", "id: x\ndata: a\n\nid", false, output{}},
		{"a first event without a number", "data: a\n\nid: 1\ndata: b\n\nid", false, output{LastID: "1", Text: []byte("a\nb")}},
	}
	for _, test := range tests {
		var o output
		err := o.readEvents(strings.NewReader(test.stream), func() {})
		qt.Check(t, err == nil, qt.Equals, test.done, qt.Commentf("%s: %v", test.name, err))
		qt.Check(t, o.LastID, qt.Equals, test.want.LastID, qt.Commentf(test.name))
		qt.Check(t, string(o.Text), qt.Equals, string(test.want.Text), qt.Commentf(test.name))
	}
}

// TestItemsStayAtTheirVersion guards against items whose output is joined from two software versions
// of a service, when the lease moves on or the target is replaced.
func TestItemsStayAtTheirVersion(t *testing.T) {
	tests := []struct {
		name      string
		next      string // version that runs the second attempt; empty for one that the list lacks yet
		lastEvent string // that the second attempt continues after
	}{
		{"same version", "v1", "5"},
		{"another version", "v2", ""},
		{"version not known yet", "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := &platformtest.Target{Version: "v1", Fault: func(_ string, n int) platformtest.Fault {
				if n == 1 {
					return platformtest.CutStream
				}
				return platformtest.None
			}}
			w, task := newBatchOnlyWorker(t, x, clockwork.NewRealClock())
			qt.Assert(t, w.streamItem(context.Background(), task) == nil, qt.IsFalse)
			task.output = decodeOutput(task.output.encode())
			earlier, _ := w.host.Targets.Find(x.Address())
			qt.Assert(t, x.Upgrade(test.next), qt.IsNil)
			if test.next != "" {
				w.host.Targets.Refresh(context.Background())
			} else {
				w.host.Targets.Continuity = func(context.Context, netip.AddrPort) (time.Time, bool) { return time.Time{}, true }
				w.host.Targets.Adopt(context.Background(), w.host.Targets.Target(earlier), "i-1-", time.Now())
			}
			qt.Assert(t, w.streamItem(context.Background(), task) == nil, qt.IsTrue)
			qt.Assert(t, string(task.output.Text), qt.Equals, platformtest.Output("item", 10))
			runs := x.Runs()
			qt.Assert(t, runs, qt.HasLen, 2)
			qt.Assert(t, runs[1].LastEvent, qt.Equals, test.lastEvent)
		})
	}
}
