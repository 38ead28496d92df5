package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// noDefault, given as the default of an integer key, makes the key required.
const noDefault = -1

// Fault is one error in a settings file.
type Fault struct {
	Line    int    // 0 when neither the key nor its table is in the file
	Key     string // dotted key; tables in an array have an index, as in seed[0].id
	Message string
}

func (f Fault) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("key %s: %s", f.Key, f.Message)
	}
	return fmt.Sprintf("line %d: key %s: %s", f.Line, f.Key, f.Message)
}

// Faults holds all errors in one settings file, ordered by line.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return "settings: " + strings.Join(lines, "; ")
}

// reader gives typed access to the values of a TOML document and collects the
// faults. A key that no accessor has read is reported as unknown.
type reader struct {
	values     map[string]any
	lines      map[string]int
	tableCount map[string]int // number of tables in each array of tables
	accessed   map[string]bool
	faults     Faults
}

func newReader(data []byte) (*reader, error) {
	r := &reader{values: map[string]any{}, lines: map[string]int{}, tableCount: map[string]int{}, accessed: map[string]bool{}}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, _ := decodeErr.Position()
			return nil, Faults{{Line: line, Key: strings.Join(decodeErr.Key(), "."), Message: "not valid TOML: " + decodeErr.Error()}}
		}
		return nil, Faults{{Message: "not valid TOML: " + err.Error()}}
	}
	r.flatten("", tree)
	r.indexLines(data)
	return r, nil
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// flatten stores the values below prefix under their dotted keys.
func (r *reader) flatten(prefix string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, value := range v {
			r.flatten(joinKey(prefix, key), value)
		}
	case []any:
		count := 0
		for _, element := range v {
			if table, ok := element.(map[string]any); ok {
				r.flatten(fmt.Sprintf("%s[%d]", prefix, count), table)
				count++
			}
		}
		r.tableCount[prefix] = count
		if count == 0 {
			r.values[prefix] = v
		}
	default:
		r.values[prefix] = v
	}
}

// indexLines records the line number of each dotted key.
func (r *reader) indexLines(data []byte) {
	var p unstable.Parser
	p.Reset(data)
	prefix, arrayLengths := "", map[string]int{}
	for p.NextExpression() {
		expression := p.Expression()
		key, line := keyAndLine(&p, expression)
		switch expression.Kind {
		case unstable.Table:
			prefix = key
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, arrayLengths[key])
			arrayLengths[key]++
		case unstable.KeyValue:
			r.indexValue(&p, joinKey(prefix, key), line, expression.Value())
			continue
		}
		r.lines[prefix] = line
	}
}

func (r *reader) indexValue(p *unstable.Parser, key string, line int, value *unstable.Node) {
	r.lines[key] = line
	if value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		if n := it.Node(); n.Kind == unstable.KeyValue {
			child, childLine := keyAndLine(p, n)
			r.indexValue(p, joinKey(key, child), childLine, n.Value())
		}
	}
}

func keyAndLine(p *unstable.Parser, expression *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := expression.Key(); it.Next(); {
		if n := it.Node(); n.Kind == unstable.Key {
			parts = append(parts, string(n.Data))
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
		}
	}
	return strings.Join(parts, "."), line
}

// addFault records a fault of key. The line is that of the key or, when the key
// is absent, of the innermost enclosing table that is present.
func (r *reader) addFault(key, format string, args ...any) {
	line, prefix := 0, key
	for prefix != "" && line == 0 {
		line = r.lines[prefix]
		prefix = prefix[:max(strings.LastIndexByte(prefix, '.'), 0)]
	}
	r.faults = append(r.faults, Fault{Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (r *reader) has(key string) bool {
	_, ok := r.values[key]
	return ok
}

// hasTable reports whether the file contains the table.
func (r *reader) hasTable(table string) bool {
	_, ok := r.lines[table]
	return ok
}

func (r *reader) reportMissing(key string) { r.addFault(key, "missing") }

// requireKey returns key and records a fault when the file does not contain it.
func (r *reader) requireKey(key string) string {
	if !r.has(key) {
		r.reportMissing(key)
	}
	return key
}

// finish adds a fault for each unknown key and returns all faults, or nil.
func (r *reader) finish() error {
	for key := range r.values {
		if !r.accessed[key] {
			r.addFault(key, "unknown key")
		}
	}
	if len(r.faults) == 0 {
		return nil
	}
	sort.SliceStable(r.faults, func(i, j int) bool {
		if r.faults[i].Line != r.faults[j].Line {
			return r.faults[i].Line < r.faults[j].Line
		}
		return r.faults[i].Key < r.faults[j].Key
	})
	return r.faults
}

// get returns the value of key if it is present and of type T. expected
// describes the type in the fault message.
func get[T any](r *reader, key, expected string) (T, bool) {
	r.accessed[key] = true
	var zero T
	v, ok := r.values[key]
	if !ok {
		return zero, false
	}
	t, ok := v.(T)
	if !ok {
		r.addFault(key, "must be %s", expected)
	}
	return t, ok
}

// tablePrefixes returns the key prefix of each table in an array of tables,
// such as seed[0].
func (r *reader) tablePrefixes(key string) []string {
	var prefixes []string
	for i := range r.tableCount[key] {
		prefixes = append(prefixes, fmt.Sprintf("%s[%d]", key, i))
	}
	return prefixes
}

func (r *reader) requiredString(key string) string {
	v, ok := get[string](r, key, "a string")
	if v == "" && (ok || !r.has(key)) {
		r.reportMissing(key)
	}
	return v
}

func (r *reader) requiredName(key string) string {
	v := r.requiredString(key)
	if v != "" && !ids.ValidName(v) {
		r.addFault(key, "is %q, must be %s", v, ids.NameRule)
	}
	return v
}

func (r *reader) integer(key string, def, low, high int64) int64 {
	v, ok := get[int64](r, key, fmt.Sprintf("an integer from %d to %d", low, high))
	if !ok {
		if def == noDefault && !r.has(key) {
			r.reportMissing(key)
		}
		return max(def, 0)
	}
	if v < low || v > high {
		r.addFault(key, "is %d, must be an integer from %d to %d", v, low, high)
	}
	return v
}

func (r *reader) float(key string, def, low, high float64) float64 {
	if integer, ok := r.values[key].(int64); ok {
		r.values[key] = float64(integer)
	}
	v, ok := get[float64](r, key, fmt.Sprintf("a number from %g to %g", low, high))
	if !ok {
		return def
	}
	if !(v >= low && v <= high) { // also rejects NaN
		r.addFault(key, "is %g, must be a number from %g to %g", v, low, high)
	}
	return v
}

func (r *reader) duration(key string, def, low, high time.Duration) time.Duration {
	expected := fmt.Sprintf("a duration from %q to %q", low, high)
	v, ok := get[string](r, key, expected)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		r.addFault(key, "is %q, must be %s", v, expected)
	}
	return d
}

func (r *reader) oneOf(key, def string, allowed ...string) string {
	expected := "one of " + strings.Join(allowed, ", ")
	v, ok := get[string](r, key, expected)
	if !ok {
		return def
	}
	if !slices.Contains(allowed, v) {
		r.addFault(key, "is %q, must be %s", v, expected)
		return def
	}
	return v
}

func (r *reader) addr(key string, def netip.Addr) netip.Addr {
	v, ok := get[string](r, key, "an IP address")
	if !ok {
		return def
	}
	a, err := netip.ParseAddr(v)
	if err != nil {
		r.addFault(key, "is %q, must be an IP address", v)
	}
	return a
}

func (r *reader) addrPort(key string, def netip.AddrPort) netip.AddrPort {
	v, ok := get[string](r, key, "IP:port")
	if !ok {
		return def
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.addFault(key, "is %q, must be IP:port with a port from 0 to 65535", v)
	}
	return a
}

// stringTable returns all keys of a table, whose values must be strings.
func (r *reader) stringTable(table string) map[string]string {
	out := map[string]string{}
	for key := range r.values {
		if name, ok := strings.CutPrefix(key, table+"."); ok {
			out[name] = r.requiredString(key)
		}
	}
	return out
}

// addrPorts reads a list of IP:port strings and joins them with commas.
func (r *reader) addrPorts(key string) string {
	list, _ := get[[]any](r, key, "a list of IP:port")
	var out []string
	for _, v := range list {
		text, _ := v.(string)
		if _, err := netip.ParseAddrPort(text); err != nil {
			r.addFault(key, "has %v, must be a list of IP:port with ports from 0 to 65535", v)
			continue
		}
		out = append(out, text)
	}
	return strings.Join(out, ",")
}

func (r *reader) httpURL(key string) string {
	v := r.requiredString(key)
	u, err := url.Parse(v)
	if v != "" && (err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https")) {
		r.addFault(key, "is %q, must be http://IP:port or https://IP:port", v)
	}
	return strings.TrimSuffix(v, "/")
}
