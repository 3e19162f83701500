package listing

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestParse guards against entries that are lost, or members that are missed or made up, because of
// what a neighbouring entry holds.
func TestParse(t *testing.T) {
	tests := []struct {
		name, body, array string
		entries           string // joined by spaces; "fails" if the page cannot be read
		next              string
		damaged           int
	}{
		{"members around", `{"a":{"b":[]},"list":[{"c":1},2],"next":"x"}`, "list", `{"c":1} 2`, `"x"`, 0},
		{"array alone", ` [ {"c":1} , [2] ] `, "", `{"c":1} [2]`, "", 0},
		{"numbers and literals of any kind", `{"list":[{"c":1e999},nan,{"d":0x1}],"next":"x"}`, "list", `{"c":1e999} nan {"d":0x1}`, `"x"`, 0},
		{"nested deeply", `{"list":[` + strings.Repeat("[", 99) + strings.Repeat("]", 99) + `]}`, "list", strings.Repeat("[", 99) + strings.Repeat("]", 99), "", 0},
		{"brackets in a string", `{"list":[{"c":"]},{\"\\"},{"d":2}]}`, "list", `{"c":"]},{\"\\"} {"d":2}`, "", 0},
		{"missing bracket", `{"list":[{"c":1,{"d":2}],"next":"x"}`, "list", `{"d":2}`, `"x"`, 1},
		{"missing bracket of an array", `{"list":[[1,{"c":1},{"d":2}],"next":"x"}`, "list", `{"c":1} {"d":2}`, `"x"`, 1},
		{"missing brackets of the last", `{"list":[{"c":1},{"d":[0],"next":"x"}`, "list", `{"c":1}`, `"x"`, 1},
		{"missing quote", `{"list":[{"c":"1},{"d":2},{"e":3}],"next":"x"}`, "list", `{"d":2} {"e":3}`, `"x"`, 1},
		{"one bracket more", `{"list":[{"c":1}],{"d":2}],"next":"x"}`, "list", `{"d":2}`, `"x"`, 1},
		{"object in a damaged entry", `{"list":[[{"c":1},{"d":2}],"next":"x"}`, "list", `{"d":2}`, `"x"`, 1},
		{"nothing between commas", `{"list":[{"c":1},,{"d":2},],"next":"x"}`, "list", `{"c":1} {"d":2}`, `"x"`, 1},
		{"array that ends twice", `{"list":[{"c":1}],"next":"y","z":[0,{"d":2}],"next":"x"}`, "list", `{"d":2}`, `"x"`, 1},
		{"brackets after a damaged array", `{"list":[{],"next":"x","z":[0]}`, "list", "", "", 1},
		{"array twice", `{"list":[],"list":[0]}`, "list", "", "", 1},
		{"member twice", `{"next":0,"list":[],"next":0}`, "list", "fails", "", 0},
		{"other array", `{"other":[]}`, "list", "fails", "", 0},
		{"array without an end", `{"list":[{"c":1}`, "list", "fails", "", 0},
		{"object without an end", `{"list":[{"c":1}]`, "list", "fails", "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, err := Parse([]byte(test.body), test.array)
			qt.Assert(t, err != nil, qt.Equals, test.entries == "fails", qt.Commentf("%v", err))
			if err != nil {
				return
			}
			var entries []string
			for _, x := range p.Entries {
				entries = append(entries, string(x))
			}
			qt.Check(t, strings.Join(entries, " "), qt.Equals, test.entries)
			qt.Check(t, string(p.Members["next"]), qt.Equals, test.next)
			qt.Check(t, p.Damaged, qt.Equals, test.damaged)
		})
	}
}

// TestParseTakesLinearTime guards against a list that keeps a process busy: with time that grows
// with the square of the length, some of these would take far longer.
func TestParseTakesLinearTime(t *testing.T) {
	for _, part := range []string{
		"[", "]", "{", "}", ",", `"`, `\`, `\"`, `{"a":`, `,{"a":`, `,{"a":[0`, `,{"a":[{},{}`, `,{"`, `,{"a":"`, `,{"a":"\"`, `],`, `],"a":1`, `],"a":"`, `],"a":[1]`,
		`,{"a":1}],"b":1`, `,{},{"a":[0`, `,{"a":{"b":0},"c":"`,
	} {
		for _, prefix := range []string{"", `{"x":"`} {
			body := `{"list":[` + prefix + strings.Repeat(part, 512<<10/len(part)) + `],"next":null}`
			start := time.Now()
			_, _ = Parse([]byte(body), "list")
			qt.Check(t, time.Since(start) < 5*time.Second, qt.IsTrue, qt.Commentf("%s%s took %v", prefix, part, time.Since(start)))
		}
	}
}

// FuzzParse checks that Parse finds the entries and members that encoding/json finds, and that an
// entry without brackets and quotes hides no others.
func FuzzParse(f *testing.F) {
	for _, s := range []string{`{"list":[{"a":1},"b",[{}]],"next":"x"}`, `{"next":null,"list":[]}`, `[{},{`, `5`, `,`, `nan`, `\`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := Parse(b, "list")
		var want map[string]json.RawMessage
		var entries []json.RawMessage
		if !bytes.Contains(b, []byte(`\`)) && json.Unmarshal(b, &want) == nil && want["list"] != nil && json.Unmarshal(want["list"], &entries) == nil && entries != nil {
			if err == nil && p.Damaged == 0 {
				compare(t, p.Entries, entries)
				for n, v := range want {
					if n != "list" && !bytes.Equal(p.Members[n], v) {
						t.Fatalf("member %q is %s, want %s", n, p.Members[n], v)
					}
				}
			} else if bytes.Count(b, []byte(`"`)) == 2*len(want) {
				// No text but the names of members, so none is repeated.
				t.Fatalf("%v for JSON", err)
			}
		}
		if bytes.ContainsAny(b, `"[]{}`) {
			return
		}
		sound := []json.RawMessage{json.RawMessage(`{"id":"a"}`), json.RawMessage(`{"id":"b","c":[{}]}`)}
		p, err = Parse(fmt.Appendf(nil, `{"list":[%s,%s,%s],"next":5}`, sound[0], b, sound[1]), "list")
		if err != nil || string(p.Members["next"]) != "5" {
			t.Fatal(err, p)
		}
		p.Entries = append(p.Entries[:1], p.Entries[len(p.Entries)-1])
		compare(t, p.Entries, sound)
	})
}

func compare(t *testing.T, got, want []json.RawMessage) {
	if len(got) != len(want) {
		t.Fatalf("%d entries, want %d", len(got), len(want))
	}
	for i := range got {
		if !bytes.Equal(got[i], want[i]) {
			t.Fatalf("entry %s, want %s", got[i], want[i])
		}
	}
}
