package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Position is a place in a file. Both start at 1; columns count bytes.
type Position struct{ Line, Column int }

// index holds where the values of a JSON file begin.
type index struct {
	body []byte
	// starts holds the values' offsets by path, such as routes[3].timeout_ms, in lower case, as the JSON decoder
	// does not tell upper from lower case in the names of members.
	starts map[string]int
	// ordered holds the same offsets in ascending order.
	ordered []int
	lines   []int // offset of the first byte of each line
}

// newIndex returns the index of a file. If the file is malformed, its error is that of the JSON decoder, and the
// index holds only lines.
func newIndex(body []byte) (*index, error) {
	x := &index{body: body, starts: map[string]int{}, lines: []int{0}}
	for i, c := range body {
		if c == '\n' {
			x.lines = append(x.lines, i+1)
		}
	}
	// It also bounds the depth, which the scan below does not.
	var raw json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return x, err
	}
	return x, x.scan(json.NewDecoder(bytes.NewReader(body)), "")
}

// scan reads the next value and records it and its parts.
func (x *index) scan(d *json.Decoder, path string) error {
	start := int(d.InputOffset())
	for start < len(x.body) && strings.IndexByte(" \t\r\n,:", x.body[start]) >= 0 {
		start++
	}
	x.starts[path] = start
	x.ordered = append(x.ordered, start)
	token, err := d.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		for d.More() {
			name, err := d.Token()
			if err != nil {
				return err
			}
			part := strings.ToLower(fmt.Sprint(name))
			if path != "" {
				part = path + "." + part
			}
			if err := x.scan(d, part); err != nil {
				return err
			}
		}
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if err := x.scan(d, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	default:
		return nil
	}
	_, err = d.Token()
	return err
}

// at returns the position of an offset.
func (x *index) at(offset int) Position {
	offset = max(0, min(offset, len(x.body)))
	i, found := slices.BinarySearch(x.lines, offset)
	if !found {
		i--
	}
	return Position{Line: i + 1, Column: offset - x.lines[i] + 1}
}

// of returns the position of a value, or of the closest one that contains it if the file does not state it.
func (x *index) of(path string) Position {
	path = strings.ToLower(path)
	for {
		if start, ok := x.starts[path]; ok {
			return x.at(start)
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return x.at(x.starts[""])
		}
		path = path[:i]
	}
}

// before returns the position of the last value that begins before an offset. The JSON decoder states the offset after
// a value of the wrong type.
func (x *index) before(offset int) Position {
	i, _ := slices.BinarySearch(x.ordered, offset)
	if i == 0 {
		return x.at(0)
	}
	return x.at(x.ordered[i-1])
}

// member returns the position of the first member with this name, in any object.
func (x *index) member(name string) Position {
	name = strings.ToLower(name)
	first := -1
	for path, start := range x.starts {
		if (path == name || strings.HasSuffix(path, "."+name)) && (first < 0 || start < first) {
			first = start
		}
	}
	return x.at(max(first, 0))
}
