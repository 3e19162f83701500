package events

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

func TestReader(t *testing.T) {
	long := strings.Repeat("x", 3*bufferBytes)
	tests := []struct {
		name, in string
		want     []Event
		err      error
	}{
		{"empty", "", nil, io.EOF},
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []Event{{ID: "1", Data: []byte("a")}, {ID: "2", Data: []byte("b")}}, io.EOF},
		{"lines of data and other fields", "x: 3\nid:7\r\ndata: a\r\ndata: b\r\n\r\n", []Event{{ID: "7", Data: []byte("a\nb")}}, io.EOF},
		{"cut in the middle", "id: 1\ndata: a\n\nid: 2\nda", []Event{{ID: "1", Data: []byte("a")}}, ErrPartial},
		{"cut before the empty line", "id: 1\ndata: a\n", nil, ErrPartial},
		{"longer than the buffer", "id: 1\ndata: " + long + "\n\n", []Event{{ID: "1", Data: []byte(long)}}, io.EOF},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			r := NewReader(iotest.OneByteReader(strings.NewReader(x.in)))
			raw := 0
			for _, w := range x.want {
				e, err := r.Next()
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, e.ID, qt.Equals, w.ID)
				qt.Assert(t, string(e.Data), qt.Equals, string(w.Data))
				qt.Assert(t, string(e.Raw), qt.Equals, x.in[raw:raw+len(e.Raw)])
				raw += len(e.Raw)
			}
			_, err := r.Next()
			qt.Assert(t, err, qt.Equals, x.err)
		})
	}
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\nda")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		got := ""
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			got += string(e.Raw)
		}
		if !strings.HasPrefix(in, got) {
			t.Fatalf("%q is no prefix of %q", got, in)
		}
	})
}
