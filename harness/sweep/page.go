package sweep

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"orchidjunction/rpc"
)

// targetMachines is the fleet size expected in two years, for which the capacity page plans.
const targetMachines = 16_000

// Markers around the generated part of the page.
const (
	beginMarker = "<!-- written by: ojcluster capacity -->"
	endMarker   = "<!-- end of what ojcluster capacity writes -->"
)

// bounds holds the limits for the highest values at the target size, by row name.
var bounds = map[string]string{
	"core: processor %":   "19 machines in total",
	"proxy: processor %":  "3.1 for control",
	"proxy: memory MB":    "256",
	"proxy: kB a second":  "4 for control; this row includes requests",
	"config in force, ms": "11,000",
}

// Tables returns the sweep's tables in Markdown.
func (sweep *Sweep) Tables() string {
	text := &strings.Builder{}
	largest := sweep.Sizes[len(sweep.Sizes)-1]
	fmt.Fprintf(text, "Sweep %s on %s, started %s, commit %.8s. Median / busiest or slowest machine; columns: number of own machines.\n\n",
		sweep.ID, sweep.Site, sweep.At, sweep.Commit)
	text.WriteString("| |")
	for _, size := range sweep.Sizes {
		fmt.Fprintf(text, " %d |", size)
	}
	fmt.Fprintf(text, " power | busiest at %d (extrapolated) | bound |\n|", targetMachines)
	text.WriteString(strings.Repeat(" --- |", len(sweep.Sizes)+4) + "\n")
	for index := range sweep.Rows {
		row := &sweep.Rows[index]
		fmt.Fprintf(text, "| %s |", row.Name)
		for _, sample := range row.Samples {
			fmt.Fprintf(text, " %s / %s |", formatNumber(sample.Median), formatNumber(sample.Highest))
		}
		fmt.Fprintf(
			text,
			" %s | %s | %s |\n",
			formatNumber(row.Exponent),
			formatNumber(row.Extrapolate(targetMachines, largest)),
			bounds[row.Name],
		)
	}
	text.WriteString("\n| day | worth less prices | served in time |\n| --- | --- | --- |\n")
	for _, day := range sweep.Days {
		fmt.Fprintf(text, "| %s | %.3f | %.3f |\n", day.Name, day.Worth, day.Served)
	}
	return text.String()
}

// formatNumber formats a number with three significant digits, or as an integer from 1000 on.
func formatNumber(value float64) string {
	if value == 0 { // also negative zero
		return "0"
	}
	if value >= 1000 {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

// WritePage replaces the generated part of a page with the tables of sweeps.
func WritePage(path string, sweeps []*Sweep) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return rpc.Errorf(rpc.BadFlag, "%w", err)
	}
	before, rest, hasBegin := strings.Cut(string(page), beginMarker+"\n")
	_, after, hasEnd := strings.Cut(rest, endMarker)
	if !hasBegin || !hasEnd {
		return rpc.Errorf(rpc.BadFlag, "%s lacks the line %q or %q", path, beginMarker, endMarker)
	}
	tables := make([]string, 0, len(sweeps))
	for _, sweep := range sweeps {
		tables = append(tables, sweep.Tables())
	}
	text := before + beginMarker + "\n\n" + strings.Join(tables, "\n") + "\n" + endMarker + after
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return rpc.Errorf(rpc.BadFlag, "%w", err)
	}
	return nil
}
