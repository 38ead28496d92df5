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

// maxDocumentBytes is the maximum size of a value that the platform stores.
const maxDocumentBytes = 1 << 20

// table reads the keys of one TOML table and records every fault. Unknown keys
// are faults too, since a misspelt key would otherwise silently leave its
// setting at the default. The strict mode of the TOML decoder is not used
// because it stops at the first value of a wrong type.
type table struct {
	faults   *faults
	path     string
	values   map[string]any
	readKeys []string
}

// parseTable decodes a document. It returns nil, with a fault recorded, when the
// document is not valid TOML.
func parseTable(f *faults, data []byte) *table {
	if len(data) > maxDocumentBytes {
		f.add("", "%d bytes, allowed: at most %d", len(data), maxDocumentBytes)
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
	f.lines = keyLines(data)
	return &table{faults: f, values: m}
}

// keyLines maps every key path to the line on which it is set.
func keyLines(data []byte) map[string]int {
	lineOf := map[string]int{}
	arrayLengths := map[string]int{}
	prefix := ""
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		expr := p.Expression()
		path, line := "", 0
		if expr.Kind != unstable.KeyValue {
			prefix = ""
		}
		for it := expr.Key(); it.Next(); {
			n := it.Node()
			path = join(path, string(n.Data))
			line = p.Shape(n.Raw).Start.Line
			if arrayLengths[path] > 0 && !it.IsLast() {
				path = fmt.Sprintf("%s[%d]", path, arrayLengths[path]-1)
			}
		}
		if expr.Kind == unstable.ArrayTable {
			arrayLengths[path]++
			path = fmt.Sprintf("%s[%d]", path, arrayLengths[path]-1)
		}
		path = join(prefix, path)
		if expr.Kind != unstable.KeyValue {
			prefix = path
		}
		lineOf[path] = line
	}
	return lineOf
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// value returns the value of key and records the key as known.
func (t *table) value(key string) (any, bool) {
	t.readKeys = append(t.readKeys, key)
	x, ok := t.values[key]
	return x, ok
}

// fault records a fault of key.
func (t *table) fault(key, format string, a ...any) { t.faults.add(join(t.path, key), format, a...) }

// reportUnknownKeys records a fault for every key that was not read.
func (t *table) reportUnknownKeys() {
	for key := range t.values {
		if !slices.Contains(t.readKeys, key) {
			t.fault(key, "unknown key, allowed: %s", strings.Join(t.readKeys, ", "))
		}
	}
}

// integer returns the integer at key, or defaultValue when the key is missing or
// its value is not an integer from lo to hi.
func (t *table) integer(key string, defaultValue, lo, hi int64) int64 {
	x, ok := t.value(key)
	if !ok {
		return defaultValue
	}
	n, ok := x.(int64)
	if !ok {
		t.fault(key, "%s, allowed: an integer from %d to %d", typeName(x), lo, hi)
		return defaultValue
	}
	if n < lo || n > hi {
		t.fault(key, "%d, allowed: %d to %d", n, lo, hi)
		return defaultValue
	}
	return n
}

// milliseconds returns the integer at key as a number of milliseconds.
func (t *table) milliseconds(key string, defaultValue, lo, hi time.Duration) time.Duration {
	return time.Duration(t.integer(key, defaultValue.Milliseconds(), lo.Milliseconds(), hi.Milliseconds())) * time.Millisecond
}

// float returns the number at key, or defaultValue when the key is missing or its
// value is not a number from lo to hi.
func (t *table) float(key string, defaultValue, lo, hi float64) float64 {
	x, ok := t.value(key)
	if !ok {
		return defaultValue
	}
	n, ok := x.(float64)
	if i, isInt := x.(int64); isInt {
		n, ok = float64(i), true
	}
	if !ok {
		t.fault(key, "%s, allowed: a number from %g to %g", typeName(x), lo, hi)
		return defaultValue
	}
	// The negated form also rejects NaN.
	if !(n >= lo && n <= hi) {
		t.fault(key, "%g, allowed: %g to %g", n, lo, hi)
		return defaultValue
	}
	return n
}

// boolean returns the boolean at key, or false when the key is missing.
func (t *table) boolean(key string) bool {
	x, ok := t.value(key)
	b, isBool := x.(bool)
	if ok && !isBool {
		t.fault(key, "%s, allowed: true or false", typeName(x))
	}
	return b
}

// stringValue returns the string at key. A missing key is a fault when required
// is set.
func (t *table) stringValue(key, allowed string, required bool) (string, bool) {
	x, ok := t.value(key)
	if !ok {
		if required {
			t.fault(key, "missing, allowed: %s", allowed)
		}
		return "", false
	}
	s, ok := x.(string)
	if !ok {
		t.fault(key, "%s, allowed: %s", typeName(x), allowed)
	}
	return s, ok
}

// stringList returns the list of strings at key.
func (t *table) stringList(key, allowed string) []string {
	x, ok := t.value(key)
	if !ok {
		return nil
	}
	list, ok := x.([]any)
	if !ok {
		t.fault(key, "%s, allowed: a list of %s", typeName(x), allowed)
		return nil
	}
	var out []string
	for i, e := range list {
		s, ok := e.(string)
		if !ok {
			t.fault(fmt.Sprintf("%s[%d]", key, i), "%s, allowed: %s", typeName(e), allowed)
			continue
		}
		out = append(out, s)
	}
	return out
}

// table returns the sub-table at key, or an empty table when the key is missing.
func (t *table) table(key string) *table {
	sub := &table{faults: t.faults, path: join(t.path, key)}
	if x, ok := t.value(key); ok {
		if sub.values, ok = x.(map[string]any); !ok {
			t.fault(key, "%s, allowed: a table", typeName(x))
		}
	}
	return sub
}

// tables returns the array of tables at key. More than limit entries are a
// fault.
func (t *table) tables(key string, limit int) []*table {
	x, ok := t.value(key)
	if !ok {
		return nil
	}
	list, ok := x.([]any)
	if !ok {
		t.fault(key, "%s, allowed: [[%s]] tables", typeName(x), key)
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
			t.fault(path, "%s, allowed: a table", typeName(e))
			continue
		}
		out = append(out, &table{faults: t.faults, path: join(t.path, path), values: m})
	}
	return out
}

// typeName returns the TOML type of a decoded value for error messages.
func typeName(x any) string {
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
