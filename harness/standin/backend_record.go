package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
)

// BackendRecord holds the requests that one incarnation of a backend received.
type BackendRecord struct {
	Instance string    `json:"instance"`
	Service  string    `json:"service"`
	Gentle   float64   `json:"gentle"`
	Arrivals []Arrival `json:"arrivals,omitempty"`
}

// Arrival is one request as a backend saw it. Times are in milliseconds since the Unix epoch,
// 0 for what did not happen.
type Arrival struct {
	AtMs      int64  `json:"at"`
	Try       string `json:"try,omitempty"`
	Task      string `json:"task"`
	Tenant    string `json:"tenant"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Serial    uint64 `json:"serial"`
	Key       string `json:"key,omitempty"`
	LeavingMs int64  `json:"leaving_ms,omitempty"`
	Cold      bool   `json:"cold,omitempty"`
	RanMs     int64  `json:"ran_ms,omitempty"`
	ChargedMs int64  `json:"charged_ms,omitempty"`
}

// journalLine is the start of an incarnation, or the state of the arrival with this number.
type journalLine struct {
	Begin   *BackendRecord `json:"begin,omitempty"`
	Arrival *Arrival       `json:"arrival,omitempty"`
	Number  int            `json:"number,omitempty"`
}

// ReadBackendRecords reads the records of all incarnations from a journal. It skips lines that
// can't be decoded, as the last one may be incomplete. A missing file has no records.
func ReadBackendRecords(path string) []BackendRecord {
	body, _ := os.ReadFile(path)
	all := []BackendRecord{}
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := journalLine{}
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			continue
		}
		if line.Begin != nil {
			all = append(all, *line.Begin)
		}
		if line.Arrival == nil || len(all) == 0 {
			continue
		}
		last := &all[len(all)-1]
		if line.Number < len(last.Arrivals) {
			last.Arrivals[line.Number] = *line.Arrival
		} else {
			last.Arrivals = append(last.Arrivals, *line.Arrival)
		}
	}
	return all
}
