package versions

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// TestOnlyVersion guards against taking a version for the only one that a stream can have begun at,
// although another served meanwhile or may have.
func TestOnlyVersion(t *testing.T) {
	const window = 10 * time.Second
	tests := []struct {
		name string
		// lists are the versions in the list, one a second; a space stands for none that arrived.
		lists string
		later time.Duration
		want  string
	}{
		{"one for long enough", "aaaaaaaaaaaa", 0, "a"},
		{"one for too short", "aaaaaaaa", 0, ""},
		{"never listed", "", 20 * time.Second, ""},
		{"another just came", "aaaaaaaaaaab", 0, ""},
		{"another was there for a moment", "aaaaaabaaaaa", 0, ""},
		{"another left long ago", "baaaaaaaaaaaaa", 0, "a"},
		{"replaced within the window", "aaaaaabbbbbb", 0, ""},
		{"list not followed for a while", "aaaaaaaa     aaaaa", 0, ""},
		{"one list lost", "aaaaa aaaaaaaa", 0, "a"},
		{"list too old", "aaaaaaaaaaaaa", 4 * time.Second, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			h := &History{Clock: clock}
			for _, v := range test.lists {
				clock.Advance(time.Second)
				if v != ' ' {
					h.Observe([]rhubarbgate.Instance{{Service: "s", Version: string(v)}, {Service: "other", Version: "x"}}, clock.Now())
				}
			}
			clock.Advance(test.later)
			got, ok := h.Only("s", window)
			qt.Assert(t, got, qt.Equals, test.want)
			qt.Assert(t, ok, qt.Equals, test.want != "")
		})
	}
}

// TestHistoryOutlivesARestart guards against refusing streams after all control hosts lost power, and
// against taking a version for the only one although others may have served meanwhile.
func TestHistoryOutlivesARestart(t *testing.T) {
	const window = 10 * time.Second
	tests := []struct {
		name          string
		before, after string
		down          time.Duration
		want          string
	}{
		{"short", "aaaaaaaaaaaa", "a", 3 * time.Second, "a"},
		{"known for too short before", "aa", "a", 3 * time.Second, ""},
		{"several versions before", "aaaaaabaaaaa", "a", 3 * time.Second, ""},
		{"another version afterwards", "aaaaaaaaaaaa", "b", 3 * time.Second, ""},
		{"another version later", "aaaaaaaaaaaa", "aab", 3 * time.Second, ""},
		{"no list yet", "aaaaaaaaaaaa", "", 4 * time.Second, ""},
		{"long", "aaaaaaaaaaaa", "a", maxRestartGap, ""},
		{"time of day set back", "aaaaaaaaaaaa", "a", -time.Minute, ""},
		{"lists with a gap afterwards", "aaaaaaaaaaaa", "a    a", 3 * time.Second, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			observe := func(h *History, lists string) {
				for _, v := range lists {
					clock.Advance(time.Second)
					if v != ' ' {
						h.Observe([]rhubarbgate.Instance{{Service: "s", Version: string(v)}}, clock.Now())
					}
				}
			}
			h := &History{Clock: clock}
			observe(h, test.before)
			saved := h.Save()
			clock.Advance(test.down)
			h = &History{Clock: clock}
			h.Restore(saved)
			observe(h, test.after)
			got, _ := h.Only("s", window)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
