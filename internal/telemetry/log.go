// Package telemetry sets up logging, metrics and traces. Logs are key=value
// lines on an io.Writer; metrics are expvar variables whose names end in their
// unit; traces are OpenTelemetry spans, one for each hop of a sampled request.
package telemetry

import (
	"io"
	"log/slog"
	"strconv"
	"strings"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// NewLogger returns a logger that writes one key=value line for each event.
func NewLogger(w io.Writer, level slog.Leveler, instance ids.Instance) *slog.Logger {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: errorText}
	return slog.New(slog.NewTextHandler(w, options)).With("instance", string(instance))
}

// errorText logs the message of an error only. The text handler formats values
// with %+v, for which eris prints the stack trace.
func errorText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// ParseDetail splits the key=value words of a log detail into arguments for slog.
// A value in double quotes is unquoted as in Go; a word without "=" joins the
// value before it.
func ParseDetail(detail string) []any {
	var args []any
	for detail = strings.TrimSpace(detail); detail != ""; detail = strings.TrimSpace(detail) {
		key, rest, ok := strings.Cut(detail, "=")
		if quoted, err := strconv.QuotedPrefix(rest); ok && err == nil && !strings.Contains(key, " ") {
			value, _ := strconv.Unquote(quoted) // QuotedPrefix has checked it
			args = append(args, key, value)
			detail = rest[len(quoted):]
			continue
		}
		word, more, _ := strings.Cut(detail, " ")
		detail = more
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
