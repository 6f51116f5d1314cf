// Package sweep turns a journal entry of the bench's sweep, which plays one day at several
// sizes of the fleet, into the tables of the capacity page: what was measured, how it grows,
// and where that leads at the size that the product is designed for.
package sweep

import (
	"encoding/json"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"

	"orchidjunction/rpc"
)

// Sample is what one size of the fleet showed: the middle one of the machines, and the
// busiest or longest.
type Sample struct{ Middle, Most float64 }

// Row is one figure over all sizes. The busiest grows as machines to the power.
type Row struct {
	Name    string
	Samples []Sample
	Power   float64
}

// At returns what the busiest would be with a number of machines, carried on from the
// largest size with the row's power. It is no measurement.
func (row *Row) At(machines, largest int) float64 {
	last := row.Samples[len(row.Samples)-1].Most
	return last * math.Pow(float64(machines)/float64(largest), row.Power)
}

// Day is what playing one size came to.
type Day struct {
	Name   string  `json:"name"`
	Worth  float64 `json:"G"`
	Served float64 `json:"served"`
}

// Sweep is one sweep.
type Sweep struct {
	ID    string
	Site  string
	At    string
	Head  string // the commit that was played
	Sizes []int
	Rows  []Row
	Days  []Day
}

// entry is what a journal entry holds of a sweep.
type entry struct {
	ID     string   `json:"id"`
	At     []string `json:"at"`
	Cmd    string   `json:"cmd"`
	Site   string   `json:"site"`
	Head   string   `json:"head"`
	Days   []Day    `json:"days"`
	Digest string   `json:"digest"`
}

var (
	headLine = regexp.MustCompile(`^\s+(\d+(?:\s+\d+)+)\s+power\b`)
	rowLine  = regexp.MustCompile(`^(\S.*?)\s{2,}(\S+ / \S+(?:\s+\S+ / \S+)*)\s+(-?[\d.]+)\s+\S+\s*$`)
	pair     = regexp.MustCompile(`(\S+) / (\S+)`)
)

// Read reads a journal entry of a sweep.
func Read(path string) (*Sweep, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, rpc.Errorf(rpc.BadFlag, "%w", err)
	}
	return Parse(body)
}

// Parse reads the text of a journal entry. It refuses one that is of no sweep or has no table.
func Parse(body []byte) (*Sweep, error) {
	read := entry{}
	if err := json.Unmarshal(body, &read); err != nil {
		return nil, rpc.Errorf(rpc.BadFlag, "journal entry: %w", err)
	}
	if read.Cmd != "sweep" || len(read.At) == 0 {
		return nil, rpc.Errorf(rpc.BadFlag, "journal entry %s is of %q, not of a sweep", read.ID, read.Cmd)
	}
	sweep := &Sweep{ID: read.ID, Site: read.Site, At: read.At[0], Head: read.Head, Days: read.Days}
	for line := range strings.SplitSeq(read.Digest, "\n") {
		sweep.addLine(line)
	}
	if len(sweep.Sizes) == 0 || len(sweep.Rows) == 0 {
		return nil, rpc.Errorf(rpc.BadFlag, "journal entry %s has no table of sizes", read.ID)
	}
	for index := range sweep.Rows {
		if row := &sweep.Rows[index]; len(row.Samples) != len(sweep.Sizes) {
			return nil, rpc.Errorf(
				rpc.BadFlag,
				"journal entry %s: %q has %d of %d sizes",
				read.ID,
				row.Name,
				len(row.Samples),
				len(sweep.Sizes),
			)
		}
	}
	return sweep, nil
}

// addLine takes a line of the table; others are passed over.
func (sweep *Sweep) addLine(line string) {
	if head := headLine.FindStringSubmatch(line); head != nil {
		for size := range strings.FieldsSeq(head[1]) {
			machines, _ := strconv.Atoi(size) // matched as digits
			sweep.Sizes = append(sweep.Sizes, machines)
		}
		return
	}
	matched := rowLine.FindStringSubmatch(line)
	if matched == nil || len(sweep.Sizes) == 0 {
		return
	}
	row := Row{Name: matched[1], Power: number(matched[3])}
	for _, sample := range pair.FindAllStringSubmatch(matched[2], -1) {
		row.Samples = append(row.Samples, Sample{Middle: number(sample[1]), Most: number(sample[2])})
	}
	sweep.Rows = append(sweep.Rows, row)
}

// number is NaN for what is no number.
func number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return math.NaN()
	}
	return value
}
