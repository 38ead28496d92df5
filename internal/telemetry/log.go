// Package telemetry sets up logging, metrics and traces. Logs are key=value
// lines written to an io.Writer, metrics are expvar variables whose names end
// in their unit, and traces are OpenTelemetry spans, one for each hop of a
// sampled request.
package telemetry

import (
	"io"
	"log/slog"
	"strconv"
	"strings"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// NewLogger returns a logger that writes each event as one line of key=value
// pairs, including the name of the instance.
func NewLogger(w io.Writer, level slog.Leveler, instance ids.Instance) *slog.Logger {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: errorMessageOnly}
	return slog.New(slog.NewTextHandler(w, options)).With("instance", string(instance))
}

// errorMessageOnly replaces an error attribute by the error's message. The text
// handler would format the error with %+v, for which eris prints a stack trace.
func errorMessageOnly(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// ParseDetail splits a string of key=value pairs, separated by spaces, into
// arguments for slog. A value in double quotes is unquoted as in Go. A word
// without "=" is appended to the value before it.
func ParseDetail(detail string) []any {
	var args []any
	for detail = strings.TrimSpace(detail); detail != ""; detail = strings.TrimSpace(detail) {
		key, rest, ok := strings.Cut(detail, "=")
		if quoted, err := strconv.QuotedPrefix(rest); ok && err == nil && !strings.Contains(key, " ") {
			value, _ := strconv.Unquote(quoted) // QuotedPrefix returned a valid quoted string
			args = append(args, key, value)
			detail = rest[len(quoted):]
			continue
		}
		word, remainder, _ := strings.Cut(detail, " ")
		detail = remainder
		key, value, ok := strings.Cut(word, "=")
		switch {
		case ok && key != "":
			args = append(args, key, value)
		case len(args) > 0:
			args[len(args)-1] = args[len(args)-1].(string) + " " + word
		default:
			args = append(args, "detail", word)
		}
	}
	return args
}
