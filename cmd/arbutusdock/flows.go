package main

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"arbutusdock.example/arbutusdock/internal/forwarder"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// showFlows prints the state of the pass-through instances in Admin.
func (c *showCommand) showFlows(out io.Writer) error {
	states := make([]forwarder.State, len(c.Admin))
	for i, address := range c.Admin {
		if err := getAdmin(address, "/v1/state", nil, &states[i]); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(out, states)
	}
	for i := range states {
		s := &states[i]
		_, _ = fmt.Fprintf(out, "instance %s  data centre %s  in rotation: %v\n", s.Instance, s.DataCentre, s.Serving)
		_, _ = fmt.Fprintf(out, "configuration version %d with %d routes  news from %s, %s old, era %d, revision %d  flows remembered %d\n",
			s.Version, s.Routes, s.Source, s.NewsAge.Round(time.Millisecond), s.Era, s.Revision, s.Flows)
		for _, e := range s.Evacuations {
			_, _ = fmt.Fprintf(out, "data centre %s evacuated for %s, era %d, revision %d\n", e.DataCentre, e.Age.Round(time.Second), e.Era, e.Revision)
		}
		for _, o := range s.Overload {
			if o.RejectedShare > 0 {
				_, _ = fmt.Fprintf(out, "service %s rejects %.0f%% of the new flows of priority %d\n", o.Service, 100*o.RejectedShare, o.Priority)
			}
		}
		if err := showFlowTargets(out, "BACKEND SERVERS", s.Targets); err != nil {
			return err
		}
	}
	return nil
}

func showFlowTargets(out io.Writer, title string, targets []passthrough.TargetState) error {
	const header = "SERVICE\tTARGET\tDATA CENTRE\tADDRESS\tCOOKIE\tLIFECYCLE\tWITHHELD\tREQUESTS\tFLOWS\tLOAD"
	return printTable(out, title, header, func(row func(string, ...any)) {
		for _, t := range targets {
			withheld := "no"
			switch {
			case t.Suspected:
				withheld = "suspected, retry in " + t.RetryIn.Round(time.Millisecond).String()
			case t.Withheld != "":
				withheld = t.Withheld
			}
			row("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%.2f", t.Service, t.Name, t.DataCentre, t.Address, t.Cookie, t.Lifecycle, withheld, t.Busy, t.Flows, t.Load)
		}
	})
}

// explainFlow prints to which target a packet of a pass-through flow would be
// forwarded, and why.
func (c *explainCommand) explainFlow(out io.Writer) error {
	values := url.Values{"caller": {c.Caller}, "to": {c.To}, "cookie": {strconv.FormatUint(uint64(c.Cookie), 10)}}
	var explanation passthrough.Explanation
	if err := getAdmin(c.Admin, "/v1/explain", values, &explanation); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, explanation)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(w, "%s\t%v\n", name, value) }
	row("verdict", explanation.Verdict)
	row("reason", explanation.Reason)
	row("route", valueOrNone(explanation.Route))
	row("service", valueOrNone(string(explanation.Service)))
	row("configuration version", explanation.Version)
	row("pressure on the data centre", fmt.Sprintf("%.2f requests a slot", explanation.Pressure))
	row("target", valueOrNone(explanation.Target))
	if err := w.Flush(); err != nil || len(explanation.Candidates) == 0 {
		return err
	}
	return showFlowTargets(out, "CANDIDATES", explanation.Candidates)
}
