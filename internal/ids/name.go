package ids

import "strings"

// MaxName is the greatest length of an instance or data centre name, in bytes:
// that of a DNS label, since instance names appear in certificates.
const MaxName = 63

// NameRule states what ValidName accepts, for error messages.
const NameRule = "1 to 63 of a-z, 0-9, '.', '_', '-', starting and ending with a letter or digit"

// ValidName reports whether s may name an instance or a data centre.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxName || strings.Contains(s, "..") {
		return false
	}
	for i := range len(s) {
		c := s[i]
		plain := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !plain && (i == 0 || i == len(s)-1 || !strings.ContainsRune("._-", rune(c))) {
			return false
		}
	}
	return true
}
