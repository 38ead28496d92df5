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
	operator := "≥"
	if g.AtMost {
		operator = "≤"
	}
	return operator + " " + strconv.FormatFloat(g.Limit, 'g', -1, 64)
}

// WriteText writes the rows as a text table with aligned columns.
func (r *Result) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s\nseeds %v; median, least and greatest value over the seeds\n\n", r.Experiment.Title, r.Seeds)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	variant, metric := "", ""
	for _, row := range r.Rows {
		if row.Variant != variant || row.Metric != metric {
			variant, metric = row.Variant, row.Metric
			title := metric
			if variant != "" {
				title = variant + ": " + metric
			}
			fmt.Fprintf(table, "%s\t\t\t\t\n", title)
		}
		fmt.Fprintf(table, "  %s\t%.4g\t%.4g .. %.4g\t%s\t%s\n", row.Policy, row.Median(), row.Min(), row.Max(), row.Goal, row.Verdict())
	}
	return table.Flush()
}

// WriteCSV writes one CSV record for each row, with the value of each seed.
func (r *Result) WriteCSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	header := []string{"experiment", "variant", "policy", "metric", "goal", "verdict", "median"}
	for _, s := range r.Seeds {
		header = append(header, fmt.Sprint("seed ", s))
	}
	_ = writer.Write(header) // an error is returned by Error below
	for _, row := range r.Rows {
		record := []string{r.Experiment.Name, row.Variant, row.Policy, row.Metric,
			strings.ReplaceAll(row.Goal.String(), " ", ""), row.Verdict(), formatValue(row.Median())}
		for _, v := range row.Values {
			record = append(record, formatValue(v))
		}
		_ = writer.Write(record)
	}
	writer.Flush()
	return writer.Error()
}

func formatValue(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
