package target

import "strings"

// tokenMarks are the characters of a header's name besides letters and digits (RFC 9110, 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

// IsToken reports whether a header may have the name.
func IsToken(name string) bool {
	return name != "" && strings.IndexFunc(name, func(r rune) bool {
		letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		return !letter && !strings.ContainsRune(tokenMarks, r)
	}) < 0
}
