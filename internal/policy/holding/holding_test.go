package holding

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestGivesWay guards against refusing requests that make progress before those that stall, and
// against refusing older ones before newer ones.
func TestGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(since, progress time.Duration) Body {
		return Body{Since: now.Add(-since), Progress: now.Add(-progress)}
	}
	for _, x := range []struct {
		name   string
		first  Body // gives way
		second Body
	}{
		{"stalled before progressing", ago(5*time.Second, time.Second), ago(time.Second, 0)},
		{"longest stall first", ago(5*time.Second, 4*time.Second), ago(6*time.Second, time.Second)},
		{"newest first", ago(time.Second, 0), ago(2*time.Second, 0)},
	} {
		qt.Check(t, x.first.GivesWayTo(x.second, now), qt.IsTrue, qt.Commentf(x.name))
		qt.Check(t, x.second.GivesWayTo(x.first, now), qt.IsFalse, qt.Commentf(x.name))
	}
}

// TestTooSlow guards against cutting callers on slow links, and bodies that have just begun.
func TestTooSlow(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, x := range []struct {
		elapsed time.Duration
		bytes   int64
		want    bool
	}{
		{2 * time.Second, 1, false}, {4 * time.Second, 1, true}, {4 * time.Second, 64 << 10, false}, {20 * time.Second, 4 << 20, false},
	} {
		qt.Check(t, Body{Since: now.Add(-x.elapsed), Bytes: x.bytes}.TooSlow(now), qt.Equals, x.want, qt.Commentf("%+v", x))
	}
}
