package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one validation error in a document.
type Fault struct {
	Line    int    // 1 for the first line; 0 when the fault has no line
	Key     string // for example target[2].slots
	Problem string // description with the allowed values
}

// DocumentError is the error of a document that failed validation. It lists
// every fault.
type DocumentError struct {
	Document string // key of the document in the platform
	Faults   []Fault
}

// Error returns one line per fault, in the order of the document.
func (e *DocumentError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: refused, %d fault(s)", e.Document, len(e.Faults))
	for _, f := range e.Faults {
		b.WriteString("\n  ")
		if f.Line > 0 {
			fmt.Fprintf(&b, "line %d: ", f.Line)
		}
		if f.Key != "" {
			fmt.Fprintf(&b, "%s: ", f.Key)
		}
		b.WriteString(f.Problem)
	}
	return b.String()
}

// faults collects the faults of one document.
type faults struct {
	document string
	lines    map[string]int // line number by key path
	list     []Fault
}

func (f *faults) add(key, format string, a ...any) {
	f.list = append(f.list, Fault{f.line(key), key, fmt.Sprintf(format, a...)})
}

// line returns the line of key or, when the key is absent, of the innermost
// table that should contain it.
func (f *faults) line(key string) int {
	for {
		if n := f.lines[key]; n > 0 {
			return n
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
}

func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	slices.SortStableFunc(f.list, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return &DocumentError{Document: f.document, Faults: f.list}
}
