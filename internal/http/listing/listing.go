// Package listing reads lists in JSON whose entries have several writers, so that one malformed entry hides no others.
package listing

import (
	"encoding/json"
	"maps"

	"github.com/juju/errors"
)

// maxEntryDepth bounds the nesting of an entry in a list that is not JSON as a whole. It
// also bounds how often a byte of such a list is looked at.
const maxEntryDepth = 16

// Page is a list, or one page of it.
type Page struct {
	// Entries are the elements of the array of entries. Each still has to be decoded and
	// may fail to: only their brackets, commas and colons are those of JSON. They share
	// the memory of the body.
	Entries []json.RawMessage
	// Members are the other members of the object with the array.
	Members map[string]json.RawMessage
	// Damaged is the number of places in the array that hold no entry, at least one if
	// the body is not JSON.
	Damaged int
}

// Parse splits a page: an object whose member with the given name is the array of entries, or
// such an array alone if the name is empty. It takes time in proportion to the length of the body.
//
// If the brackets of the array do not match, each object that follows a comma or the start of the
// array, precedes a comma or the end, and is complete counts as an entry, and the rest as damaged.
// The array then ends with the first bracket that only members without brackets follow. Parse
// fails if there is none.
func Parse(body []byte, name string) (*Page, error) {
	p := &Page{Members: map[string]json.RawMessage{}}
	start := p.parseHead(body, name)
	if start < 0 {
		return nil, errors.Errorf("the list has no array %q", name)
	}
	if p.parseArray(body, start, name) || p.recoverArray(body, start, name) {
		return p, nil
	}
	return nil, errors.Errorf("the array %q does not end", name)
}

// parseHead reads the members before the array and returns the position after its first
// bracket, or -1.
func (p *Page) parseHead(b []byte, name string) int {
	i := skipSpace(b, 0)
	if name == "" {
		return after(b, i, '[')
	}
	for i = after(b, i, '{'); i >= 0; i = after(b, i, ',') {
		start := skipSpace(b, i)
		if i = skipKey(b, start); i < 0 {
			return -1
		}
		if key(b, start) == name {
			return after(b, i, '[')
		}
		if i = p.parseMember(b, start, i, len(b)); i < 0 {
			return -1
		}
	}
	return -1
}

// parseMember reads the member whose key begins at start and whose value begins at i, and returns
// the position after it, or -1 if it is no member or repeats one.
func (p *Page) parseMember(b []byte, start, i, maxDepth int) int {
	end := skipValue(b, i, maxDepth)
	name := key(b, start)
	if _, repeated := p.Members[name]; repeated || end < 0 {
		return -1
	}
	p.Members[name] = json.RawMessage(b[i:end])
	return skipSpace(b, end)
}

// parseTail reads the members after the array, from i to the end of the body. It returns nil
// if anything else is there, or a member again.
func (p *Page) parseTail(b []byte, i int, name string, maxDepth int) map[string]json.RawMessage {
	i = skipSpace(b, i)
	if name != "" && after(b, i, ',') < 0 && after(b, i, '}') < 0 {
		return nil
	}
	tail := Page{Members: map[string]json.RawMessage{}}
	if name != "" {
		for i >= 0 && i < len(b) && b[i] == ',' {
			start := skipSpace(b, i+1)
			if i = skipKey(b, start); i < 0 || key(b, start) == name {
				return nil
			}
			i = tail.parseMember(b, start, i, maxDepth)
		}
		if i = after(b, i, '}'); i < 0 {
			return nil
		}
	}
	if skipSpace(b, i) < len(b) {
		return nil
	}
	for n := range tail.Members {
		if _, repeated := p.Members[n]; repeated {
			return nil
		}
	}
	return tail.Members
}

// parseArray reads the entries from i on and what follows them, and reports whether their
// brackets match.
func (p *Page) parseArray(b []byte, i int, name string) bool {
	i = skipSpace(b, i)
	empty := i < len(b) && b[i] == ']'
	for ; !empty; i++ {
		start := skipSpace(b, i)
		end := skipValue(b, start, len(b))
		if end < 0 {
			return false
		}
		p.Entries = append(p.Entries, json.RawMessage(b[start:end]))
		if i = skipSpace(b, end); i == len(b) || b[i] != ',' {
			break
		}
	}
	if i = after(b, i, ']'); i < 0 {
		return false
	}
	tail := p.parseTail(b, i, name, len(b))
	maps.Copy(p.Members, tail)
	return tail != nil
}

// recoverArray is parseArray for a body that is not JSON as a whole.
func (p *Page) recoverArray(b []byte, i int, name string) bool {
	p.Entries = nil
	separated, damaged := true, false // since the last comma, since the last entry
	for i < len(b) {
		if separated && b[i] == '{' {
			if end := skipValue(b, i, maxEntryDepth); p.endsEntry(b, end, name) {
				if damaged {
					p.Damaged++
				}
				p.Entries = append(p.Entries, json.RawMessage(b[i:end]))
				i, separated, damaged = end, false, false
				continue
			}
		}
		switch b[i] {
		case ']':
			if tail := p.parseTail(b, i+1, name, 0); tail != nil {
				if damaged || p.Damaged == 0 {
					p.Damaged++
				}
				maps.Copy(p.Members, tail)
				return true
			}
			separated, damaged = false, true
		case ',':
			separated = true
		case ' ', '\t', '\r', '\n':
		default:
			separated, damaged = false, true
		}
		i++
	}
	return false
}

// endsEntry reports whether a comma or the end of the array follows an entry that ends at i,
// which is negative if there is none.
func (p *Page) endsEntry(b []byte, i int, name string) bool {
	if i < 0 {
		return false
	}
	i = skipSpace(b, i)
	return after(b, i, ',') > 0 || after(b, i, ']') > 0 && p.parseTail(b, i+1, name, 0) != nil
}

// key returns the name of the member whose key begins at i.
func key(b []byte, i int) string { return string(b[i+1 : skipString(b, i)-1]) }

// after returns the position after the byte c at b[i], or -1 if there is another byte.
func after(b []byte, i int, c byte) int {
	if i < 0 || i >= len(b) || b[i] != c {
		return -1
	}
	return i + 1
}

// skipSpace returns the position of the first byte from i on that is not white space.
func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\t' || b[i] == '\r' || b[i] == '\n') {
		i++
	}
	return i
}

// skipString returns the position after the string at i, or -1.
func skipString(b []byte, i int) int {
	if i >= len(b) || b[i] != '"' {
		return -1
	}
	for i++; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}

// skipKey returns the position of the value whose key is at i, or -1.
func skipKey(b []byte, i int) int {
	if i = skipString(b, i); i < 0 {
		return -1
	}
	if i = after(b, skipSpace(b, i), ':'); i < 0 {
		return -1
	}
	return skipSpace(b, i)
}

// skipScalar returns the position after the number or literal at i, or -1. Any other text
// without spaces, quotes, brackets and separators passes as one.
func skipScalar(b []byte, i int) int {
	start := i
	for ; i < len(b); i++ {
		switch b[i] {
		case ' ', '\t', '\r', '\n', ',', ':', '"', '\\', '{', '}', '[', ']':
			if i == start || b[i] == '\\' {
				return -1
			}
			return i
		}
	}
	return -1
}

// skipValue returns the position after the value at i, or -1 if there is none, it does not end, or
// it is nested deeper than maxDepth.
func skipValue(b []byte, i, maxDepth int) int {
	open := make([]byte, 0, maxEntryDepth) // the brackets that are to be closed
	for i >= 0 && i < len(b) {
		switch c := b[i]; c {
		case '{', '[':
			if len(open) == maxDepth {
				return -1
			}
			closing := c + 2 // in ASCII
			i = skipSpace(b, i+1)
			if i < len(b) && b[i] == closing {
				i++
				break
			}
			open = append(open, closing)
			if c == '{' {
				i = skipKey(b, i)
			}
			continue
		case '"':
			i = skipString(b, i)
		default:
			i = skipScalar(b, i)
		}
		if i < 0 {
			return -1
		}
		// A value ends at i, and so may those that contain it.
		for len(open) > 0 {
			i = skipSpace(b, i)
			if i == len(b) || b[i] != open[len(open)-1] {
				break
			}
			open = open[:len(open)-1]
			i++
		}
		if len(open) == 0 {
			return i
		}
		if i = after(b, i, ','); i < 0 {
			return -1
		}
		if i = skipSpace(b, i); open[len(open)-1] == '}' {
			i = skipKey(b, i)
		}
	}
	return -1
}
