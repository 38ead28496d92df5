package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

func (g *Goal) String() string {
	if g == nil {
		return ""
	}
	op := "≥"
	if g.AtMost {
		op = "≤"
	}
	return op + " " + strconv.FormatFloat(g.Limit, 'g', -1, 64)
}

// WriteText writes the rows as an aligned table.
func (r *Result) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s\nseeds %v; median, least and greatest value over the seeds\n\n", r.Experiment.Title, r.Seeds)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	variant, metric := "", ""
	for _, row := range r.Rows {
		if row.Variant != variant || row.Metric != metric {
			variant, metric = row.Variant, row.Metric
			title := metric
			if variant != "" {
				title = variant + ": " + metric
			}
			fmt.Fprintf(tw, "%s\t\t\t\t\n", title)
		}
		fmt.Fprintf(tw, "  %s\t%.4g\t%.4g .. %.4g\t%s\t%s\n", row.Policy, row.Median(), row.Min(), row.Max(), row.Goal, row.Verdict())
	}
	return tw.Flush()
}

// WriteCSV writes one line per row, with the value of each seed.
func (r *Result) WriteCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	head := []string{"experiment", "variant", "policy", "metric", "goal", "verdict", "median"}
	for _, s := range r.Seeds {
		head = append(head, fmt.Sprint("seed ", s))
	}
	_ = cw.Write(head) // the error is kept and returned below
	for _, row := range r.Rows {
		line := []string{r.Experiment.Name, row.Variant, row.Policy, row.Metric,
			strings.ReplaceAll(row.Goal.String(), " ", ""), row.Verdict(), formatValue(row.Median())}
		for _, v := range row.Values {
			line = append(line, formatValue(v))
		}
		_ = cw.Write(line)
	}
	cw.Flush()
	return cw.Error()
}

func formatValue(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
