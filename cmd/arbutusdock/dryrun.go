package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/daemon"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/share"
)

type dryRunCommand struct {
	Present  string   `arg:"--present,required" help:"profile document in force" placeholder:"FILE"`
	Proposed string   `arg:"--proposed,required" help:"profile document with the new split" placeholder:"FILE"`
	Admin    []string `arg:"--admin,separate" help:"admin address of an instance whose demand and slots are added up; repeat" placeholder:"IP:PORT"`
	Service  string   `arg:"--service" help:"service whose demand is read; needed with --admin"`
	Demand   []string `arg:"--demand,separate" help:"demand of a partner in slots; repeat; replaces the measured one" placeholder:"PARTNER=SLOTS"`
	Capacity float64  `arg:"--capacity" help:"slots to share; default: the usable slots of the instances"`
	JSON     bool     `arg:"--json" help:"print JSON"`
}

// allocation is the comparison for one partner. Demand, Present, New and Change
// are in slots.
type allocation struct {
	Partner                      ids.Partner
	PresentWeight, NewWeight     uint32
	Demand, Present, New, Change float64
}

func (c *dryRunCommand) run(out io.Writer) error {
	present, err := readProfile(c.Present)
	if err != nil {
		return err
	}
	proposed, err := readProfile(c.Proposed)
	if err != nil {
		return err
	}
	demand, capacity, err := c.demandAndCapacity()
	if err != nil {
		return err
	}
	rows := compareAllocations(present, proposed, demand, capacity)
	if c.JSON {
		return printJSON(out, rows)
	}
	_, _ = fmt.Fprintf(out, "capacity %.1f slots\n\n", capacity)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "PARTNER\tWEIGHT\tNEW WEIGHT\tDEMAND\tPRESENT\tNEW\tCHANGE\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%+.1f\t\n",
			valueOrNone(string(r.Partner)), r.PresentWeight, r.NewWeight, r.Demand, r.Present, r.New, r.Change)
	}
	return w.Flush()
}

func readProfile(file string) (config.Profile, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return config.Profile{}, eris.Wrap(err, "dryrun: read profile")
	}
	p, err := config.ParseProfile(strings.TrimSuffix(filepath.Base(file), ".toml"), data)
	return p, eris.Wrapf(err, "dryrun: %s", file)
}

// demandAndCapacity returns the demand of each partner and the total capacity,
// in slots, from the instances in Admin and the command line.
func (c *dryRunCommand) demandAndCapacity() (map[ids.Partner]float64, float64, error) {
	if len(c.Admin) > 0 && c.Service == "" {
		return nil, 0, eris.New("dryrun: --admin needs --service")
	}
	demand, capacity := map[ids.Partner]float64{}, 0.0
	for _, address := range c.Admin {
		var state daemon.State
		if err := getAdmin(address, "/v1/state", nil, &state); err != nil {
			return nil, 0, err
		}
		for _, d := range state.Details {
			if string(d.Service) != c.Service {
				continue
			}
			for _, p := range d.Partners {
				demand[p.Partner] += p.Demand
			}
			for _, t := range d.Targets {
				capacity += float64(t.Usable)
			}
		}
	}
	for _, argument := range c.Demand {
		name, value, ok := strings.Cut(argument, "=")
		slots, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || !(slots >= 0) {
			return nil, 0, eris.Errorf("dryrun: --demand %q must be PARTNER=SLOTS with at least 0 slots", argument)
		}
		demand[ids.Partner(name)] = slots
	}
	if c.Capacity != 0 {
		capacity = c.Capacity
	}
	if !(capacity > 0) {
		return nil, 0, eris.New("dryrun: capacity unknown, give --capacity or --admin with --service")
	}
	return demand, capacity, nil
}

// compareAllocations divides the capacity by weighted max-min fairness under both
// profiles. A partner that only one profile defines has weight 0 in the other,
// under which its callers count as callers without a partner, which have weight
// 1.
func compareAllocations(present, proposed config.Profile, demand map[ids.Partner]float64, capacity float64) []allocation {
	presentWeights, newWeights := weights(present, demand), weights(proposed, demand)
	presentShares := share.MaxMin(capacity, demand, presentWeights)
	newShares := share.MaxMin(capacity, demand, newWeights)
	partners := maps.Clone(presentWeights)
	maps.Copy(partners, newWeights)
	var rows []allocation
	for _, p := range slices.Sorted(maps.Keys(partners)) {
		rows = append(rows, allocation{
			Partner: p, PresentWeight: presentWeights[p], NewWeight: newWeights[p], Demand: demand[p],
			Present: presentShares[p], New: newShares[p], Change: newShares[p] - presentShares[p],
		})
	}
	return rows
}

func weights(p config.Profile, demand map[ids.Partner]float64) map[ids.Partner]uint32 {
	weightOf := map[ids.Partner]uint32{}
	for name := range demand {
		weightOf[name] = 1
	}
	for _, partner := range p.Partners {
		weightOf[partner.Name] = partner.Weight
	}
	return weightOf
}
