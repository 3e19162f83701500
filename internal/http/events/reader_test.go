package events

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// TestReader guards against an incomplete event that is returned as complete, and against
// lost or changed bytes of an event, also if a line is longer than the read buffer.
func TestReader(t *testing.T) {
	long := strings.Repeat("x", 3*bufferBytes)
	tests := []struct {
		name, in string
		want     []Event
		err      error
	}{
		{"empty", "", nil, ErrNoEvent},
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []Event{{ID: "1", Data: []byte("a")}, {ID: "2", Data: []byte("b")}}, io.EOF},
		{"lines of data and other fields", "x: 3\nid:7\r\ndata: a\r\ndata: b\r\n\r\n", []Event{{ID: "7", Data: []byte("a\nb")}}, io.EOF},
		{"cut in the middle", "id: 1\ndata: a\n\nid: 2\nda", []Event{{ID: "1", Data: []byte("a")}}, ErrPartial},
		{"cut before the empty line", "id: 1\ndata: a\n", nil, ErrPartial},
		{"a field of the target after a comment", ": c\nx-own: 3\nid: 1\n\n", []Event{{ID: "1"}}, io.EOF},
		{"longer than the buffer", "id: 1\ndata: " + long + "\n\n", []Event{{ID: "1", Data: []byte(long)}}, io.EOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := NewReader(iotest.OneByteReader(strings.NewReader(test.in)), nil)
			raw := 0
			for _, want := range test.want {
				e, err := r.Next()
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, e.ID, qt.Equals, want.ID)
				qt.Assert(t, string(e.Data), qt.Equals, string(want.Data))
				qt.Assert(t, string(e.Raw), qt.Equals, test.in[raw:raw+len(e.Raw)])
				raw += len(e.Raw)
			}
			_, err := r.Next()
			qt.Assert(t, err, qt.Equals, test.err)
		})
	}
}

// FuzzReader guards against events whose raw bytes differ from the bytes of the stream.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\nda")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in), nil)
		got := ""
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			got += string(e.Raw)
		}
		if !strings.HasPrefix(in, got) {
			t.Fatalf("the events' raw bytes %q are not a prefix of the stream %q", got, in)
		}
	})
}

// endless returns the same byte for ever and counts the bytes.
type endless struct{ read int }

func (e *endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	e.read += len(b)
	return len(b), nil
}

// TestEndlessLine guards against a line without end that is collected in memory.
func TestEndlessLine(t *testing.T) {
	in := &endless{}
	_, err := NewReader(io.MultiReader(strings.NewReader("data: "), io.LimitReader(in, 64<<20)), nil).Next()
	qt.Assert(t, err, qt.ErrorMatches, "event is longer than .* bytes")
	qt.Assert(t, in.read <= 2*maxEventBytes, qt.IsTrue, qt.Commentf("%d bytes read", in.read))
}
