package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/daemon"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

type showCommand struct {
	Admin []string `arg:"positional" help:"admin addresses of the instances (default 127.0.0.1:7201)" placeholder:"IP:PORT"`
	Flows bool     `arg:"--flows" help:"the addresses are metrics addresses of pass-through instances"`
	JSON  bool     `arg:"--json" help:"print JSON"`
}

func (c *showCommand) run(out io.Writer) error {
	if len(c.Admin) == 0 {
		c.Admin = []string{"127.0.0.1:7201"}
	}
	if c.Flows {
		return c.showFlows(out)
	}
	states := make([]daemon.State, len(c.Admin))
	for i, address := range c.Admin {
		if err := getAdmin(address, "/v1/state", nil, &states[i]); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(out, states)
	}
	for i := range states {
		if i > 0 {
			_, _ = fmt.Fprintln(out)
		}
		if err := showState(out, &states[i]); err != nil {
			return err
		}
	}
	return nil
}

// printTable prints a title, a header and the rows as an aligned table.
func printTable(out io.Writer, title, header string, rows func(row func(format string, args ...any))) error {
	_, _ = fmt.Fprintf(out, "\n%s\n", title)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	rows(func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) })
	return w.Flush()
}

func showState(out io.Writer, s *daemon.State) error {
	_, _ = fmt.Fprintf(out, "instance %s  data centre %s  %s  configuration revision %d  watches the platform: %v\n",
		s.Instance, s.DataCentre, s.Lifecycle, s.Revision, s.Watcher)
	_, _ = fmt.Fprintf(out, "requests %d  feeds %d  admissions %d\n", s.Requests, s.Feeds, s.Admissions)
	if err := showMembers(out, s.Members); err != nil {
		return err
	}
	if err := showServices(out, s.Services); err != nil {
		return err
	}
	if err := showTargets(out, s.Details); err != nil {
		return err
	}
	return showPartners(out, s.Details)
}

func showMembers(out io.Writer, members []peerwire.Member) error {
	return printTable(out, "INSTANCES", "ID\tDATA CENTRE\tLIFECYCLE\tSUSPECTED\tPEER ADDRESS\tSTARTED", func(row func(string, ...any)) {
		for _, m := range members {
			row("%s\t%s\t%s\t%v\t%s\t%s", m.ID, m.DataCentre, lifecycleName(m.Lifecycle), m.Suspected, m.PeerAddr, startTime(m.Incarnation))
		}
	})
}

func lifecycleName(l peerwire.Lifecycle) string {
	names := [...]string{peerwire.Joining: "joining", peerwire.Serving: "serving", peerwire.Draining: "draining", peerwire.Gone: "gone"}
	if int(l) < len(names) {
		return names[l]
	}
	return fmt.Sprint("unknown ", uint8(l))
}

// startTime formats the start time of an instance. Its incarnation number is the
// start time as a Unix time in nanoseconds.
func startTime(i ids.Incarnation) string { return time.Unix(0, int64(i)).UTC().Format(time.RFC3339) }

func showServices(out io.Writer, services []core.ServiceState) error {
	return printTable(out, "SLOTS OF THIS INSTANCE", "SERVICE\tOWNED\tFREE\tQUEUED SHORT\tQUEUED LONG\tRUN TIME", func(row func(string, ...any)) {
		for _, s := range services {
			row("%s\t%d\t%d\t%d\t%d\t%s", s.Service, s.Owned, s.Free, s.QueuedShort, s.QueuedLong, time.Duration(s.RunTimeMicros)*time.Microsecond)
		}
	})
}

func showTargets(out io.Writer, details []core.ServiceDetail) error {
	return printTable(out, "BACKEND SERVERS", "SERVICE\tTARGET\tLIFECYCLE\tHEALTH\tOWNED SLOTS\tUSABLE\tIN USE\tFEEDS", func(row func(string, ...any)) {
		for _, d := range details {
			for _, t := range d.Targets {
				row("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d", d.Service, t.Target, t.Lifecycle, t.Suspicion, t.Owned, t.Usable, t.InUse, t.Feeds)
			}
		}
	})
}

func showPartners(out io.Writer, details []core.ServiceDetail) error {
	return printTable(out, "SHARES", "SERVICE\tPROFILE\tREVISION\tPARTNER\tWEIGHT\tSHARE\tREQUESTS", func(row func(string, ...any)) {
		for _, d := range details {
			for _, p := range d.Partners {
				row("%s\t%s\t%d\t%s\t%d\t%.1f%%\t%.0f", d.Service, d.Profile, d.Revision, p.Partner, p.Weight, 100*p.Share, p.Demand)
			}
		}
	})
}
