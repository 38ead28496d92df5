package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"arbutusdock.example/arbutusdock/internal/core"
)

type explainCommand struct {
	Admin   string `arg:"--admin" default:"127.0.0.1:7201" help:"admin address of the instance that receives the request" placeholder:"IP:PORT"`
	Service string `arg:"--service" help:"service name"`
	To      string `arg:"--to" help:"address to which the caller opened a pass-through flow; --admin is then a metrics address" placeholder:"IP:PORT"`
	Cookie  uint32 `arg:"--cookie" help:"routing cookie of an open pass-through flow, as the log shows it; 0 for a new flow"`
	Caller  string `arg:"--caller" default:"127.0.0.1:5683" help:"endpoint of the caller" placeholder:"IP:PORT"`
	Method  string `arg:"--method" default:"GET" help:"CoAP method"`
	Path    string `arg:"--path" help:"Uri-Path"`
	Host    string `arg:"--host" help:"Uri-Host"`
	JSON    bool   `arg:"--json" help:"print JSON"`
}

func (c *explainCommand) run(out io.Writer) error {
	if (c.Service == "") == (c.To == "") {
		return errors.New("either --service or --to is needed")
	}
	if c.To != "" {
		return c.explainFlow(out)
	}
	values := url.Values{"service": {c.Service}, "caller": {c.Caller}, "method": {c.Method}, "path": {c.Path}, "host": {c.Host}}
	var explanation core.Explanation
	if err := getAdmin(c.Admin, "/v1/explain", values, &explanation); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, explanation)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(w, "%s\t%v\n", name, value) }
	if !explanation.Known {
		row("reason", explanation.Reason)
		return w.Flush()
	}
	row("action", explanation.Action)
	row("instance", explanation.Instance)
	row("reason", explanation.Reason)
	row("home of the caller", explanation.Home)
	row("partner", valueOrNone(string(explanation.Partner)))
	row("class", explanation.Class)
	row("idempotent", explanation.Idempotent)
	return w.Flush()
}

func valueOrNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
