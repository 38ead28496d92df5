package ids

import "strings"

// MaxName is the maximum length in bytes of the name of an instance or data centre.
// It is the maximum length of a DNS label, because instance names appear in
// certificates.
const MaxName = 63

// NameRule describes the names that ValidName accepts, for error messages.
const NameRule = "1 to 63 of a-z, 0-9, '.', '_', '-', starting and ending with a letter or digit"

// ValidName reports whether s is a valid name of an instance or data centre.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxName || strings.Contains(s, "..") {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || i == len(s)-1 || !strings.ContainsRune("._-", rune(c))) {
			return false
		}
	}
	return true
}
