// Package sweep converts a journal entry of a benchmark sweep, which runs one day's load at
// several sizes of the fleet, into the tables of the capacity page: the measured values, their
// growth, and the extrapolation to the size that the product is designed for.
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

// Sample holds the values at one size of the fleet: of the median machine and of the busiest or
// slowest one.
type Sample struct{ Median, Highest float64 }

// Row holds one metric at all sizes. Highest grows as the number of machines to the power Exponent.
type Row struct {
	Name     string
	Samples  []Sample
	Exponent float64
}

// Extrapolate returns the estimated highest value for a number of machines, extrapolated from
// the largest size with the row's exponent.
func (row *Row) Extrapolate(machines, largest int) float64 {
	last := row.Samples[len(row.Samples)-1].Highest
	return last * math.Pow(float64(machines)/float64(largest), row.Exponent)
}

// Day holds the result of the day at one size.
type Day struct {
	Name   string  `json:"name"`
	Worth  float64 `json:"G"`
	Served float64 `json:"served"`
}

// Sweep holds the results of one sweep.
type Sweep struct {
	ID     string
	Site   string
	At     string
	Commit string // the commit under test
	Sizes  []int
	Rows   []Row
	Days   []Day
}

// journalEntry holds the fields of a journal entry that describe a sweep.
type journalEntry struct {
	ID     string   `json:"id"`
	At     []string `json:"at"`
	Cmd    string   `json:"cmd"`
	Site   string   `json:"site"`
	Head   string   `json:"head"`
	Days   []Day    `json:"days"`
	Digest string   `json:"digest"`
}

var (
	headerPattern = regexp.MustCompile(`^\s+(\d+(?:\s+\d+)+)\s+power\b`)
	rowPattern    = regexp.MustCompile(`^(\S.*?)\s{2,}(\S+ / \S+(?:\s+\S+ / \S+)*)\s+(-?[\d.]+)\s+\S+\s*$`)
	samplePattern = regexp.MustCompile(`(\S+) / (\S+)`)
)

// Read reads the journal entry of a sweep from a file.
func Read(path string) (*Sweep, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, rpc.Errorf(rpc.BadFlag, "%w", err)
	}
	return Parse(body)
}

// Parse parses a journal entry. It rejects entries of other commands and those without a table.
func Parse(body []byte) (*Sweep, error) {
	entry := journalEntry{}
	if err := json.Unmarshal(body, &entry); err != nil {
		return nil, rpc.Errorf(rpc.BadFlag, "journal entry: %w", err)
	}
	if entry.Cmd != "sweep" || len(entry.At) == 0 {
		return nil, rpc.Errorf(rpc.BadFlag, "journal entry %s: command %q, want a sweep with its start time", entry.ID, entry.Cmd)
	}
	sweep := &Sweep{ID: entry.ID, Site: entry.Site, At: entry.At[0], Commit: entry.Head, Days: entry.Days}
	for line := range strings.SplitSeq(entry.Digest, "\n") {
		sweep.addLine(line)
	}
	if len(sweep.Sizes) == 0 || len(sweep.Rows) == 0 {
		return nil, rpc.Errorf(rpc.BadFlag, "journal entry %s has no table with the sizes of the fleet", entry.ID)
	}
	for index := range sweep.Rows {
		if row := &sweep.Rows[index]; len(row.Samples) != len(sweep.Sizes) {
			return nil, rpc.Errorf(
				rpc.BadFlag,
				"journal entry %s: row %q has values for %d of %d sizes",
				entry.ID,
				row.Name,
				len(row.Samples),
				len(sweep.Sizes),
			)
		}
	}
	return sweep, nil
}

// addLine parses a line of the table and ignores other lines.
func (sweep *Sweep) addLine(line string) {
	if header := headerPattern.FindStringSubmatch(line); header != nil {
		for size := range strings.FieldsSeq(header[1]) {
			machines, _ := strconv.Atoi(size) // the pattern matches only digits
			sweep.Sizes = append(sweep.Sizes, machines)
		}
		return
	}
	match := rowPattern.FindStringSubmatch(line)
	if match == nil || len(sweep.Sizes) == 0 {
		return
	}
	row := Row{Name: match[1], Exponent: parseNumber(match[3])}
	for _, sample := range samplePattern.FindAllStringSubmatch(match[2], -1) {
		row.Samples = append(row.Samples, Sample{Median: parseNumber(sample[1]), Highest: parseNumber(sample[2])})
	}
	sweep.Rows = append(sweep.Rows, row)
}

// parseNumber returns NaN for text that is not a number.
func parseNumber(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return math.NaN()
	}
	return value
}
