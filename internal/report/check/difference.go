package check

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Change -output=change_string.go

// Change is how an object differs between two configurations.
type Change uint8

const (
	// Changed objects are in both.
	Changed Change = iota
	// Added objects are only in the new configuration.
	Added
	// Removed objects are only in the earlier one.
	Removed
)

// MarshalText implements encoding.TextMarshaler.
func (c Change) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Difference is one object that differs between two configurations.
type Difference struct {
	// Kind is route, service, workspace, model, target, objective or limits.
	Kind   string
	Name   string `json:",omitempty"`
	Change Change
	// Fields are the changed fields, such as "Timeout: 5s, now 6s". The keys of a workspace are counted, not named.
	Fields []string `json:",omitempty"`
}

// differences returns how configuration b differs from a, by kind and name.
func differences(a, b *config.Config) []Difference {
	r := objects("route", a.Routes, b.Routes)
	r = append(r, objects("service", a.Services, b.Services)...)
	r = append(r, workspaces(a, b)...)
	r = append(r, objects("model", a.Models, b.Models)...)
	r = append(r, objects("target", a.Targets, b.Targets)...)
	r = append(r, objects("objective", a.Objectives, b.Objectives)...)
	return append(r, objects("limits", limitsOf(a), limitsOf(b))...)
}

func limitsOf(c *config.Config) map[string]rhubarbgate.CallerLimits {
	if c.Limits == nil {
		return nil
	}
	return map[string]rhubarbgate.CallerLimits{"": *c.Limits}
}

// objects returns the differences of the objects of one type, which has no secret in it.
func objects[T any](kind string, a, b map[string]T) []Difference {
	var r []Difference
	for _, name := range slices.Sorted(maps.Keys(union(a, b))) {
		x, before := a[name]
		y, after := b[name]
		switch {
		case !before:
			r = append(r, Difference{Kind: kind, Name: name, Change: Added})
		case !after:
			r = append(r, Difference{Kind: kind, Name: name, Change: Removed})
		default:
			// Most objects are the same in both, and printing them takes far longer than comparing them.
			if reflect.DeepEqual(x, y) {
				continue
			}
			if f := fields(reflect.ValueOf(x), reflect.ValueOf(y)); len(f) > 0 {
				r = append(r, Difference{Kind: kind, Name: name, Change: Changed, Fields: f})
			}
		}
	}
	return r
}

func union[T any](a, b map[string]T) map[string]T {
	u := maps.Clone(a)
	if u == nil {
		u = map[string]T{}
	}
	maps.Copy(u, b)
	return u
}

// fields returns the fields of two structures that differ.
func fields(a, b reflect.Value) []string {
	var r []string
	for i := range a.NumField() {
		x, y := fmt.Sprintf("%+v", a.Field(i)), fmt.Sprintf("%+v", b.Field(i))
		if x != y {
			r = append(r, fmt.Sprintf("%s: %s, now %s", a.Type().Field(i).Name, x, y))
		}
	}
	return r
}

// workspaces returns the differences of workspaces, with the number of their keys that were added and removed.
func workspaces(a, b *config.Config) []Difference {
	r := objects("workspace", a.Workspaces, b.Workspaces)
	positions := map[string]int{}
	for i, d := range r {
		positions[d.Name] = i
	}
	added, removed := newKeys(a, b), newKeys(b, a)
	for name := range union(added, removed) {
		text := fmt.Sprintf("Keys: %d added, %d removed", added[name], removed[name])
		if i, ok := positions[name]; ok {
			r[i].Fields = append(r[i].Fields, text)
			continue
		}
		r = append(r, Difference{Kind: "workspace", Name: name, Change: Changed, Fields: []string{text}})
	}
	slices.SortFunc(r, func(x, y Difference) int { return cmp.Compare(x.Name, y.Name) })
	return r
}

// newKeys counts by workspace the keys that b has and a has not.
func newKeys(a, b *config.Config) map[string]int {
	n := map[string]int{}
	for digest, k := range b.Keys {
		if a.Keys[digest].Workspace != k.Workspace {
			n[k.Workspace]++
		}
	}
	return n
}

// String returns the difference as one line.
func (d Difference) String() string {
	s := d.Kind
	if d.Name != "" {
		s += fmt.Sprintf(" %q", d.Name)
	}
	s += " " + strings.ToLower(d.Change.String())
	if len(d.Fields) > 0 {
		s += ": " + strings.Join(d.Fields, "; ")
	}
	return s
}
