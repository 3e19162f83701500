package check

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

var checker = &Checker{EntryBodyBytes: 4 << 20, StoreBytes: 7 << 20, MaxFileBytes: 16 << 20}

// checkText decodes a bundle and returns its findings, one on a line.
func checkText(text string, base *config.Config) (*Report, string) {
	var b rhubarbgate.Bundle
	f := File{Bundle: &b, Err: json.Unmarshal([]byte(text), &b)}
	r := checker.Check([]byte(text), f, base)
	var lines []string
	for _, x := range r.Findings {
		lines = append(lines, fmt.Sprintf("%d:%d %v %s", x.Line, x.Column, x.Severity, x.Text))
	}
	return r, strings.Join(lines, "\n")
}

// TestFindings guards against faults that are missed, or reported without the place where they are.
func TestFindings(t *testing.T) {
	keyed := `"Keys":[{"Digest":"k","Workspace":"w"}]`
	route := func(members string) string {
		return `{"Version":1,"Whole":true,"Put":{"Services":[{"Name":"s"}],"Routes":[
{"Name":"r","Timeout":9,"Split":[{"Service":"s","Weight":1}],` + members + `}]}}`
	}
	at := `"Path":{"Host":"h","Prefix":"/a/"}`
	tests := []struct{ name, text, want string }{
		{"clean", route(at), ``},
		{"cut short", "{\"Version\":1,\n\"Put\":", `2:7 Error unexpected end of JSON input`},
		{"invalid byte", "{\"Version\":1,\n \"Put\":x}", `2:8 Error invalid character 'x' looking for beginning of value`},
		{"wrong type", "{\"Put\":{},\n \"Version\":\"1\"}", `2:12 Error json: cannot unmarshal string into Go struct field Bundle.Version of type uint64`},
		{"all errors", `{"Whole":true,"Put":{"Routes":[{"Name":"r","Path":{"Host":"h","Prefix":"/a/"},"Timeout":9,"Split":[{"Service":"s","Weight":1}]}]}}`,
			"1:1 Error Version: is missing\n" + `1:32 Error Put.Routes[0]: "r" names the unknown service "s"`},
		{"no host", route(`"Path":{"Prefix":"/a/"}`), `2:69 Warning Put.Routes[0].Path.Host: route "r" never matches: it has no host`},
		{"upper case", route(`"Path":{"Host":"H","Prefix":"/a/"}`), `2:77 Warning Put.Routes[0].Path.Host: route "r" never matches: host names are compared in lower case, and "H" is not`},
		{"shadowed", route(at + `},{"Name":"q","Timeout":9,"Split":[{"Service":"s","Weight":1}],"Path":{"Host":"H","Prefix":"/a/"}`),
			`2:174 Warning Put.Routes[1].Path.Host: route "q" never matches: host names are compared in lower case, and route "r" has the host "h" and the prefix`},
		{"query in the prefix", route(`"Path":{"Host":"h","Prefix":"/a?b/"}`), `2:90 Warning Put.Routes[0].Path.Prefix: route "r" never matches: no path has a question mark, blank or control character`},
		{"timeout below objective", route(at + `,"Objective":10`), `2:23 Warning Put.Routes[0].Timeout: route "r" has a timeout of 9ns, below its objective of 10ns`},
		{"retention below due time", route(at + `,"Kind":4,"Window":5,"Retention":4`), `2:129 Warning Put.Routes[0].Retention: route "r" gives items up after 4ns, before the results are due after 5ns`},
		{"weight 0", `{"Version":1,"Whole":true,"Put":{"Services":[{"Name":"s"},{"Name":"u"}],"Routes":[{"Name":"r","Timeout":9,` + at + `,"Split":[{"Service":"s","Weight":1},
{"Service":"u","Weight":0}]}]}}`, `2:25 Warning Put.Routes[0].Split[1].Weight: route "r" gives service "u" the weight 0, so it gets no request`},
		{"attempts above targets", `{"Version":1,"Put":{"Targets":[{"Name":"t","Address":"127.0.0.1:1","Slots":1,"Routes":["r"]}],
"Routes":[{"Name":"r","Attempts":2}]}}`, `2:34 Warning Put.Routes[0].Attempts: route "r" allows 2 attempts, each on another target, and has 1 targets`},
		{"no target lists it", `{"Version":1,"Put":{"Models":[{"Name":"m"}],
"Routes":[{"Name":"r"}]}}`, "1:31 Warning Put.Models[0]: model \"m\" is listed by no target\n" + `2:11 Warning Put.Routes[0]: "r" is the route of a service that no target lists`},
		{"unused service", `{"Version":1,"Whole":true,"Put":{"Services":[{"Name":"s"}]}}`, `1:46 Warning Put.Services[0]: service "s" is named by no route`},
		{"workspace without keys", `{"Version":1,"Whole":true,"Put":{"Workspaces":[{"Name":"w","Burst":1}]}}`, `1:48 Warning Put.Workspaces[0]: workspace "w" has no keys`},
		{"burst", `{"Version":1,"Whole":true,"Put":{"Workspaces":[{"Name":"w","Rate":1,"Burst":0.5,"ItemRate":1}],` + keyed + `}}`,
			"1:48 Warning Put.Workspaces[0].ItemBurst: workspace \"w\" has a burst of 0 batch items, below one\n" +
				`1:77 Warning Put.Workspaces[0].Burst: workspace "w" has a burst of 0.5, below one request, so none ever runs`},
		{"unlimited", `{"Version":1,"Whole":true,"Put":{"Workspaces":[{"Name":"w","Unlimited":true}],` + keyed + `}}`, ``},
		{"same name", `{"Version":1,"Whole":true,"Put":{"Workspaces":[{"Name":"w","Burst":1},{"Name":"w","Burst":1}],` + keyed + `}}`,
			`1:48 Warning Put.Workspaces[0]: "w" is never used: Put.Workspaces[1] has the same name and replaces it`},
		{"keys", `{"Version":1,"Whole":true,"Put":{"Keys":[{"Digest":"k","Workspace":"w"},{"Digest":"k","Workspace":"w"}],"Workspaces":[{"Name":"w","Burst":1}]}}`,
			`1:73 Warning Put.Keys[1]: the key of workspace "w" is the same as Put.Keys[0]`},
		{"key of nobody", `{"Version":1,"Whole":true,"Put":{` + keyed + `}}`, `1:42 Warning Put.Keys[0]: the key is of the unknown workspace "w"`},
		{"body limit", `{"Version":1,"Whole":true,"Put":{"Limits":{"BodyBytes":5000000}}}`, `1:56 Warning Put.Limits.BodyBytes: 5000000 bytes are more than the 4194304 that entries accept`},
		{"body limit of stores", `{"Version":1,"Whole":true,"Put":{"Limits":{"BodyBytes":8000000}}}`,
			"1:56 Warning Put.Limits.BodyBytes: 8000000 bytes are more than the 4194304 that entries accept\n" +
				`1:56 Warning Put.Limits.BodyBytes: 8000000 bytes are more than the 7340032 that store hosts accept`},
		{"removal of nothing", `{"Version":1,"Remove":{"Routes":["r"]}}`, `1:34 Warning Remove.Routes[0]: "r" is not in version 0`},
		{"another base", `{"Version":3,"Base":2}`, `1:12 Error Version: bundle 3 is based on version 2, but version 0 is in force`},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			_, got := checkText(x.text, config.New())
			qt.Assert(t, got, qt.Equals, x.want)
		})
	}
}

// TestUnknownBase guards against findings on a bundle of changes that are due only to objects that the
// check does not know.
func TestUnknownBase(t *testing.T) {
	r, got := checkText(`{"Version":9,"Base":8,"Put":{"Workspaces":[{"Name":"v","Burst":2}],"Objectives":[{"Name":"o","Goal":0.5,"Workspace":"w"}],"Targets":[
{"Name":"t","Address":"127.0.0.1:1","Slots":1,"Models":["m"],"Routes":["r"]}]},"Remove":{"Models":["m"],"Workspaces":["w"]}}`, nil)
	qt.Assert(t, got, qt.Equals, "")
	qt.Assert(t, r.Notes, qt.HasLen, 1)
}

// TestOvertaken guards against a full configuration that is reported clean although control hosts ignore it.
func TestOvertaken(t *testing.T) {
	_, got := checkText(`{"Version":2,"Whole":true}`, config.FromSection(2, nil, rhubarbgate.Section{}))
	qt.Assert(t, got, qt.Equals, `1:12 Warning Version: 2 is not above version 2: a control host acknowledges the configuration and changes nothing`)
}

// TestDifferences guards against differences that are missed, in an order that varies, or that show digests of keys.
func TestDifferences(t *testing.T) {
	before := config.FromSection(1, nil, rhubarbgate.Section{
		Routes:     []rhubarbgate.Route{{Name: "a", Timeout: 1}, {Name: "b"}},
		Workspaces: []rhubarbgate.Workspace{{Name: "v"}, {Name: "w"}, {Name: "x"}},
		Keys:       []rhubarbgate.Key{{Digest: "secret1", Workspace: "v"}, {Digest: "secret2", Workspace: "w"}},
	})
	after := config.FromSection(2, nil, rhubarbgate.Section{
		Routes:     []rhubarbgate.Route{{Name: "a", Timeout: 2, Open: true}, {Name: "c"}},
		Services:   []rhubarbgate.Service{{Name: "s"}},
		Workspaces: []rhubarbgate.Workspace{{Name: "v"}, {Name: "w", Rate: 2}, {Name: "x"}},
		Keys:       []rhubarbgate.Key{{Digest: "secret2", Workspace: "v"}, {Digest: "secret3", Workspace: "w"}},
		Limits:     &rhubarbgate.CallerLimits{BodyBytes: 1},
	})
	want := []string{
		`route "a" changed: Open: false, now true; Timeout: 1ns, now 2ns`, `route "b" removed`, `route "c" added`, `service "s" added`,
		`workspace "v" changed: Keys: 1 added, 1 removed`, `workspace "w" changed: Rate: 0, now 2; Keys: 1 added, 1 removed`, `limits added`,
	}
	for range 20 {
		var got []string
		for _, d := range differences(before, after) {
			got = append(got, d.String())
		}
		qt.Assert(t, got, qt.DeepEquals, want)
	}
	qt.Assert(t, differences(after, after), qt.HasLen, 0)
}

// BenchmarkCheck checks a full configuration of 5,000 routes against an earlier one.
func BenchmarkCheck(b *testing.B) {
	x := rhubarbgate.Bundle{Version: 2, Whole: true}
	x.Put.Services = []rhubarbgate.Service{{Name: "s"}}
	for i := range 5000 {
		name := fmt.Sprintf("route-%d", i)
		x.Put.Routes = append(x.Put.Routes, rhubarbgate.Route{
			Name: name, Timeout: 5, Objective: 6, Path: rhubarbgate.Path{Host: "h", Prefix: "/" + name + "/"}, Split: []rhubarbgate.Share{{Service: "s", Weight: 1}},
		})
	}
	body, err := json.Marshal(&x)
	qt.Assert(b, err, qt.IsNil)
	base := config.FromSection(1, nil, x.Put)
	for b.Loop() {
		var d rhubarbgate.Bundle
		r := checker.Check(body, File{Bundle: &d, Err: json.Unmarshal(body, &d)}, base)
		qt.Assert(b, r.Findings, qt.HasLen, 5000)
	}
}
