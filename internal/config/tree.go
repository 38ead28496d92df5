package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxDocument is the greatest value that the platform holds.
const maxDocument = 1 << 20

// table reads the keys of one TOML table and records every fault. Keys that
// are not read are faults as well: a misspelt key must not become a default.
// The decoder's own strict mode would stop at the first wrong type.
type table struct {
	f    *faults
	path string
	m    map[string]any
	read []string
}

// parse decodes a document. It returns nil, with a fault recorded, when the
// document is not valid TOML.
func parse(f *faults, data []byte) *table {
	if len(data) > maxDocument {
		f.add("", "%d bytes, allowed: at most %d", len(data), maxDocument)
		return nil
	}
	m := map[string]any{}
	if err := toml.Unmarshal(data, &m); err != nil {
		fault := Fault{Problem: err.Error()}
		var d *toml.DecodeError
		if errors.As(err, &d) {
			fault.Line, _ = d.Position()
			fault.Key = strings.Join(d.Key(), ".")
		}
		f.list = append(f.list, fault)
		return nil
	}
	f.lines = lines(data)
	return &table{f: f, m: m}
}

// lines maps every key path to the line on which it is set.
func lines(data []byte) map[string]int {
	found := map[string]int{}
	count := map[string]int{}
	prefix := ""
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		path, line := "", 0
		if e.Kind != unstable.KeyValue {
			prefix = ""
		}
		for it := e.Key(); it.Next(); {
			n := it.Node()
			path = join(path, string(n.Data))
			line = p.Shape(n.Raw).Start.Line
			if count[path] > 0 && !it.IsLast() {
				path = fmt.Sprintf("%s[%d]", path, count[path]-1)
			}
		}
		if e.Kind == unstable.ArrayTable {
			count[path]++
			path = fmt.Sprintf("%s[%d]", path, count[path]-1)
		}
		path = join(prefix, path)
		if e.Kind != unstable.KeyValue {
			prefix = path
		}
		found[path] = line
	}
	return found
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// value returns a key and notes that it is known.
func (t *table) value(key string) (any, bool) {
	t.read = append(t.read, key)
	x, ok := t.m[key]
	return x, ok
}

func (t *table) fault(key, format string, a ...any) { t.f.add(join(t.path, key), format, a...) }

// done records the keys that were not read.
func (t *table) done() {
	for key := range t.m {
		if !slices.Contains(t.read, key) {
			t.fault(key, "unknown key, allowed: %s", strings.Join(t.read, ", "))
		}
	}
}

func (t *table) integer(key string, byDefault, lo, hi int64) int64 {
	x, ok := t.value(key)
	if !ok {
		return byDefault
	}
	n, ok := x.(int64)
	if !ok {
		t.fault(key, "%s, allowed: an integer from %d to %d", kind(x), lo, hi)
		return byDefault
	}
	if n < lo || n > hi {
		t.fault(key, "%d, allowed: %d to %d", n, lo, hi)
		return byDefault
	}
	return n
}

func (t *table) milliseconds(key string, byDefault, lo, hi time.Duration) time.Duration {
	return time.Duration(t.integer(key, byDefault.Milliseconds(), lo.Milliseconds(), hi.Milliseconds())) * time.Millisecond
}

func (t *table) float(key string, byDefault, lo, hi float64) float64 {
	x, ok := t.value(key)
	if !ok {
		return byDefault
	}
	n, ok := x.(float64)
	if i, isInt := x.(int64); isInt {
		n, ok = float64(i), true
	}
	if !ok {
		t.fault(key, "%s, allowed: a number from %g to %g", kind(x), lo, hi)
		return byDefault
	}
	// The negated form also refuses NaN.
	if !(n >= lo && n <= hi) {
		t.fault(key, "%g, allowed: %g to %g", n, lo, hi)
		return byDefault
	}
	return n
}

func (t *table) boolean(key string) bool {
	x, ok := t.value(key)
	b, isBool := x.(bool)
	if ok && !isBool {
		t.fault(key, "%s, allowed: true or false", kind(x))
	}
	return b
}

// text returns a string; an absent one is a fault when required.
func (t *table) text(key, allowed string, required bool) (string, bool) {
	x, ok := t.value(key)
	if !ok {
		if required {
			t.fault(key, "missing, allowed: %s", allowed)
		}
		return "", false
	}
	s, ok := x.(string)
	if !ok {
		t.fault(key, "%s, allowed: %s", kind(x), allowed)
	}
	return s, ok
}

func (t *table) texts(key, allowed string) []string {
	x, ok := t.value(key)
	if !ok {
		return nil
	}
	list, ok := x.([]any)
	if !ok {
		t.fault(key, "%s, allowed: a list of %s", kind(x), allowed)
		return nil
	}
	var out []string
	for i, e := range list {
		s, ok := e.(string)
		if !ok {
			t.fault(fmt.Sprintf("%s[%d]", key, i), "%s, allowed: %s", kind(e), allowed)
			continue
		}
		out = append(out, s)
	}
	return out
}

// table returns a sub-table, empty when absent.
func (t *table) table(key string) *table {
	sub := &table{f: t.f, path: join(t.path, key)}
	if x, ok := t.value(key); ok {
		if sub.m, ok = x.(map[string]any); !ok {
			t.fault(key, "%s, allowed: a table", kind(x))
		}
	}
	return sub
}

// tables returns an array of tables, at most limit of them.
func (t *table) tables(key string, limit int) []*table {
	x, ok := t.value(key)
	if !ok {
		return nil
	}
	list, ok := x.([]any)
	if !ok {
		t.fault(key, "%s, allowed: [[%s]] tables", kind(x), key)
		return nil
	}
	if len(list) > limit {
		t.fault(key, "%d entries, allowed: at most %d", len(list), limit)
		return nil
	}
	var out []*table
	for i, e := range list {
		path := fmt.Sprintf("%s[%d]", key, i)
		m, ok := e.(map[string]any)
		if !ok {
			t.fault(path, "%s, allowed: a table", kind(e))
			continue
		}
		out = append(out, &table{f: t.f, path: join(t.path, path), m: m})
	}
	return out
}

// kind names the TOML type of a decoded value.
func kind(x any) string {
	switch x.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
