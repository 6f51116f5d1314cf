package sweep

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"orchidjunction/rpc"
)

// targetMachines is the size of two years out, of which the capacity page speaks.
const targetMachines = 16_000

// The written part of the page stands between these lines.
const (
	beginMark = "<!-- written by: ojcluster capacity -->"
	endMark   = "<!-- end of what ojcluster capacity writes -->"
)

// bounds are what the target size allows the busiest, by the names of rows.
var bounds = map[string]string{
	"core: processor %":   "19 machines in all",
	"proxy: processor %":  "3.1 for control",
	"proxy: memory MB":    "256",
	"proxy: kB a second":  "4 for control; this row holds requests too",
	"config in force, ms": "11,000",
}

// Tables returns the tables of a sweep in Markdown.
func (sweep *Sweep) Tables() string {
	text := &strings.Builder{}
	largest := sweep.Sizes[len(sweep.Sizes)-1]
	fmt.Fprintf(text, "Sweep %s on %s, begun %s, commit %.8s. Middle / busiest or longest machine, by machines of ours.\n\n",
		sweep.ID, sweep.Site, sweep.At, sweep.Head)
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
			fmt.Fprintf(text, " %s / %s |", figure(sample.Middle), figure(sample.Most))
		}
		fmt.Fprintf(text, " %s | %s | %s |\n", figure(row.Power), figure(row.At(targetMachines, largest)), bounds[row.Name])
	}
	text.WriteString("\n| day | worth less prices | served in time |\n| --- | --- | --- |\n")
	for _, day := range sweep.Days {
		fmt.Fprintf(text, "| %s | %.3f | %.3f |\n", day.Name, day.Worth, day.Served)
	}
	return text.String()
}

// figure writes a number with three digits, and larger ones whole.
func figure(value float64) string {
	if value == 0 { // also a zero with a sign
		return "0"
	}
	if value >= 1000 {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

// WritePage puts the tables of sweeps into their place on a page and leaves the rest alone.
func WritePage(path string, sweeps []*Sweep) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return rpc.Errorf(rpc.BadFlag, "%w", err)
	}
	before, rest, hasBegin := strings.Cut(string(page), beginMark+"\n")
	_, after, hasEnd := strings.Cut(rest, endMark)
	if !hasBegin || !hasEnd {
		return rpc.Errorf(rpc.BadFlag, "%s has no lines %q and %q", path, beginMark, endMark)
	}
	tables := make([]string, 0, len(sweeps))
	for _, sweep := range sweeps {
		tables = append(tables, sweep.Tables())
	}
	text := before + beginMark + "\n\n" + strings.Join(tables, "\n") + "\n" + endMark + after
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return rpc.Errorf(rpc.BadFlag, "%w", err)
	}
	return nil
}
