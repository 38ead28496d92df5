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

// required is the default value of an integer key that has none.
const required = -1

// Fault is one fault of a settings file.
type Fault struct {
	Line int    // 0 when the fault is a missing key
	Key  string // dotted key, with the index of a repeated table
	Text string
}

func (f Fault) Error() string {
	if f.Line == 0 {
		return fmt.Sprintf("key %s: %s", f.Key, f.Text)
	}
	return fmt.Sprintf("line %d: key %s: %s", f.Line, f.Key, f.Text)
}

// Faults is every fault of one settings file, in order of lines.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return "settings: " + strings.Join(lines, "; ")
}

// reader gives typed access to the values of a TOML document and collects the
// faults. A key that no accessor has asked for is unknown.
type reader struct {
	values map[string]any
	lines  map[string]int
	count  map[string]int // entries of repeated tables
	asked  map[string]bool
	faults Faults
}

func newReader(data []byte) (*reader, error) {
	r := &reader{values: map[string]any{}, lines: map[string]int{}, count: map[string]int{}, asked: map[string]bool{}}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ := at.Position()
			return nil, Faults{{Line: line, Key: strings.Join(at.Key(), "."), Text: "not valid TOML: " + at.Error()}}
		}
		return nil, Faults{{Text: "not valid TOML: " + err.Error()}}
	}
	r.flatten("", tree)
	r.index(data)
	return r, nil
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// flatten records the value of each dotted key.
func (r *reader) flatten(prefix string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, value := range v {
			r.flatten(join(prefix, key), value)
		}
	case []any:
		tables := 0
		for _, e := range v {
			if t, ok := e.(map[string]any); ok {
				r.flatten(fmt.Sprintf("%s[%d]", prefix, tables), t)
				tables++
			}
		}
		r.count[prefix] = tables
		if tables == 0 {
			r.values[prefix] = v
		}
	default:
		r.values[prefix] = v
	}
}

// index records the line of each dotted key.
func (r *reader) index(data []byte) {
	var p unstable.Parser
	p.Reset(data)
	prefix, seen := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		key, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.Table:
			prefix = key
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, seen[key])
			seen[key]++
		case unstable.KeyValue:
			r.indexValue(&p, join(prefix, key), line, e.Value())
			continue
		}
		r.lines[prefix] = line
	}
}

func (r *reader) indexValue(p *unstable.Parser, key string, line int, v *unstable.Node) {
	r.lines[key] = line
	if v.Kind != unstable.InlineTable {
		return
	}
	for it := v.Children(); it.Next(); {
		if n := it.Node(); n.Kind == unstable.KeyValue {
			child, at := keyOf(p, n)
			r.indexValue(p, join(key, child), at, n.Value())
		}
	}
}

func keyOf(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		if n := it.Node(); n.Kind == unstable.Key {
			parts = append(parts, string(n.Data))
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
		}
	}
	return strings.Join(parts, "."), line
}

// fault records a fault at key, or at the innermost table that has a line.
func (r *reader) fault(key, format string, args ...any) {
	line, at := 0, key
	for at != "" && line == 0 {
		line = r.lines[at]
		at = at[:max(strings.LastIndexByte(at, '.'), 0)]
	}
	r.faults = append(r.faults, Fault{Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

func (r *reader) has(key string) bool {
	_, ok := r.values[key]
	return ok
}

// hasTable reports whether the table has a key or a line of its own.
func (r *reader) hasTable(table string) bool {
	_, ok := r.lines[table]
	return ok
}

func (r *reader) missing(key string) { r.fault(key, "missing") }

// need reports key as missing when it is absent, and returns it.
func (r *reader) need(key string) string {
	if !r.has(key) {
		r.missing(key)
	}
	return key
}

// finish reports unknown keys and returns all faults.
func (r *reader) finish() error {
	for key := range r.values {
		if !r.asked[key] {
			r.fault(key, "unknown key")
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

// get returns the value of key when it is present and of type T.
func get[T any](r *reader, key, kind string) (T, bool) {
	r.asked[key] = true
	var zero T
	v, ok := r.values[key]
	if !ok {
		return zero, false
	}
	t, ok := v.(T)
	if !ok {
		r.fault(key, "must be %s", kind)
	}
	return t, ok
}

// tables returns the prefix of each entry of a repeated table.
func (r *reader) tables(key string) []string {
	var at []string
	for i := range r.count[key] {
		at = append(at, fmt.Sprintf("%s[%d]", key, i))
	}
	return at
}

func (r *reader) text(key string) string {
	v, ok := get[string](r, key, "a string")
	if v == "" && (ok || !r.has(key)) {
		r.missing(key)
	}
	return v
}

func (r *reader) name(key string) string {
	v := r.text(key)
	if v != "" && !ids.ValidName(v) {
		r.fault(key, "is %q, must be %s", v, ids.NameRule)
	}
	return v
}

func (r *reader) integer(key string, def, low, high int64) int64 {
	v, ok := get[int64](r, key, fmt.Sprintf("an integer from %d to %d", low, high))
	if !ok {
		if def == required && !r.has(key) {
			r.missing(key)
		}
		return max(def, 0)
	}
	if v < low || v > high {
		r.fault(key, "is %d, must be an integer from %d to %d", v, low, high)
	}
	return v
}

func (r *reader) float(key string, def, low, high float64) float64 {
	if whole, ok := r.values[key].(int64); ok {
		r.values[key] = float64(whole)
	}
	v, ok := get[float64](r, key, fmt.Sprintf("a number from %g to %g", low, high))
	if !ok {
		return def
	}
	if !(v >= low && v <= high) { // also refuses NaN
		r.fault(key, "is %g, must be a number from %g to %g", v, low, high)
	}
	return v
}

func (r *reader) duration(key string, def, low, high time.Duration) time.Duration {
	kind := fmt.Sprintf("a duration from %q to %q", low, high)
	v, ok := get[string](r, key, kind)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		r.fault(key, "is %q, must be %s", v, kind)
	}
	return d
}

func (r *reader) oneOf(key, def string, allowed ...string) string {
	kind := "one of " + strings.Join(allowed, ", ")
	v, ok := get[string](r, key, kind)
	if !ok {
		return def
	}
	if !slices.Contains(allowed, v) {
		r.fault(key, "is %q, must be %s", v, kind)
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
		r.fault(key, "is %q, must be an IP address", v)
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
		r.fault(key, "is %q, must be IP:port with a port from 0 to 65535", v)
	}
	return a
}

// texts reads a table whose keys are names and whose values are strings.
func (r *reader) texts(table string) map[string]string {
	out := map[string]string{}
	for key := range r.values {
		if name, ok := strings.CutPrefix(key, table+"."); ok {
			out[name] = r.text(key)
		}
	}
	return out
}

// addrPorts reads a list of IP:port and joins it by commas.
func (r *reader) addrPorts(key string) string {
	list, _ := get[[]any](r, key, "a list of IP:port")
	var out []string
	for _, v := range list {
		text, _ := v.(string)
		if _, err := netip.ParseAddrPort(text); err != nil {
			r.fault(key, "has %v, must be a list of IP:port with ports from 0 to 65535", v)
			continue
		}
		out = append(out, text)
	}
	return strings.Join(out, ",")
}

func (r *reader) httpURL(key string) string {
	v := r.text(key)
	u, err := url.Parse(v)
	if v != "" && (err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https")) {
		r.fault(key, "is %q, must be http://IP:port or https://IP:port", v)
	}
	return strings.TrimSuffix(v, "/")
}
