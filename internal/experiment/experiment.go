package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rotisserie/eris"
)

// Goal is an objective of section 1.5 of the design page. It applies to the
// policies of the design.
type Goal struct {
	AtMost bool // values must be at most Limit, otherwise at least
	Limit  float64
}

// met reports whether v meets the goal.
func (g *Goal) met(v float64) bool {
	if g.AtMost {
		return v <= g.Limit
	}
	return v >= g.Limit
}

// measure is a value measured in one run.
type measure struct {
	variant string
	metric  string // name with unit
	value   float64
	goal    *Goal
}

// series is a curve of one run, for the plot.
type series struct {
	name   string
	x, y   []float64
	dashed bool
}

// runOutcome holds the results of one run.
type runOutcome struct {
	measures []measure
	series   []series
}

// Experiment compares the policies in one scenario.
type Experiment struct {
	Name  string
	Title string
	plot  plotSpec
	run   func(p policy, seed uint64) runOutcome
}

// Row holds the values of one metric for one policy over all seeds.
type Row struct {
	Variant, Policy, Metric string
	Values                  []float64 // in the order of the seeds
	Goal                    *Goal     // nil if there is none for this row
}

// Min returns the least value of all seeds.
func (r *Row) Min() float64 { return slices.Min(r.Values) }

// Max returns the greatest value of all seeds.
func (r *Row) Max() float64 { return slices.Max(r.Values) }

// Median returns the median over all seeds.
func (r *Row) Median() float64 {
	v := slices.Sorted(slices.Values(r.Values))
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}

// Verdict describes whether the goal is met with every seed, by the median only,
// or not at all.
func (r *Row) Verdict() string {
	switch {
	case r.Goal == nil:
		return ""
	case r.Goal.met(r.Min()) && r.Goal.met(r.Max()):
		return "met"
	case r.Goal.met(r.Median()):
		return "met by the median"
	}
	return "MISSED"
}

// Result holds the rows of an experiment and the curves of its first seed.
type Result struct {
	Experiment *Experiment
	Seeds      []uint64
	Rows       []*Row
	curves     map[string][]series // by policy
}

// All returns the experiments in the order in which they run.
func All() []*Experiment {
	return []*Experiment{crest(), headOfLine(), imbalance(), shares(), faults(), retries()}
}

// Run runs e with every policy and seed on the workers of pool. The result
// does not depend on the order in which the runs end.
func (e *Experiment) Run(pool pond.Pool, seeds []uint64) (*Result, error) {
	policyList := policies()
	outcomes := make([]runOutcome, len(policyList)*len(seeds))
	group := pool.NewGroup()
	for i, p := range policyList {
		for j, seed := range seeds {
			group.Submit(func() { outcomes[i*len(seeds)+j] = e.run(p, seed) })
		}
	}
	if err := group.Wait(); err != nil {
		return nil, eris.Wrapf(err, "run experiment %s", e.Name)
	}
	result := &Result{Experiment: e, Seeds: seeds, curves: make(map[string][]series)}
	index := make(map[[3]string]*Row)
	for i, p := range policyList {
		result.curves[p.name] = outcomes[i*len(seeds)].series
		for j := range seeds {
			for _, m := range outcomes[i*len(seeds)+j].measures {
				key := [3]string{m.variant, p.name, m.metric}
				row := index[key]
				if row == nil {
					row = &Row{Variant: m.variant, Policy: p.name, Metric: m.metric}
					if p.name == designName || p.name == coreName {
						row.Goal = m.goal
					}
					index[key] = row
					result.Rows = append(result.Rows, row)
				}
				row.Values = append(row.Values, m.value)
			}
		}
	}
	result.sortRows()
	return result, nil
}

// sortRows groups the rows by variant and metric, in the order of their first
// occurrence.
func (r *Result) sortRows() {
	order := make(map[string]int)
	for _, row := range r.Rows {
		for _, k := range []string{row.Variant, row.Variant + "\x00" + row.Metric} {
			if _, ok := order[k]; !ok {
				order[k] = len(order)
			}
		}
	}
	slices.SortStableFunc(r.Rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(order[a.Variant], order[b.Variant]),
			cmp.Compare(order[a.Variant+"\x00"+a.Metric], order[b.Variant+"\x00"+b.Metric]))
	})
}

// percentile returns the q-quantile of d, or 0 if d is empty.
func percentile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
