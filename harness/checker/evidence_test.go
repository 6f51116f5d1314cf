package checker

import (
	"fmt"
	"os"
	"testing"

	"orchidjunction/config"
	"orchidjunction/harness/standin"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// clean is evidence of a small run in which nothing went wrong.
func clean(test *testing.T) *Evidence {
	test.Helper()
	body, err := os.ReadFile("../../examples/small.json")
	if err != nil {
		test.Fatal(err)
	}
	settings, err := config.Read(body)
	if err != nil {
		test.Fatal(err)
	}
	settings.Tenants = map[string]config.Tenant{"alder": {ForbidRegions: []string{"west"}}}
	evidence := &Evidence{
		Settings: settings, Zones: map[string]string{"back": "e1", "front": "e1", "other": "w1"}, Planned: true,
		Ledger: NewLedger(nil, 1), Reports: map[string][]string{}, ReportAt: map[string]int64{},
	}
	callers := standin.LoadReport{Asked: 200, Served: 200}
	record := standin.BackendRecord{Instance: "back", Service: "meters", Gentle: 10}
	for number := range int64(200) {
		id, at := fmt.Sprintf("k%d", number), 1000+number*100
		callers.Tries = append(
			callers.Tries,
			standin.Try{
				ID:     id + ".0",
				Task:   id,
				Tenant: "alder",
				Class:  "money",
				Key:    id,
				Method: "POST",
				Path:   "/meters/credits",
				Front:  "front",
				AtMs:   at,
				ToldMs: at + 9,
				Status: 200,
			},
		)
		record.Arrivals = append(
			record.Arrivals,
			standin.Arrival{
				AtMs:      at + 2,
				Try:       id + ".0",
				Task:      "t" + id,
				Tenant:    "alder",
				Service:   "meters",
				Method:    "POST",
				Path:      "/credits",
				Serial:    7,
				Key:       id,
				RanMs:     at + 5,
				ChargedMs: at + 5,
			},
		)
	}
	callers.Placed = []standin.Placed{{AtMs: 20_000, Directory: "dir", Serial: 7}}
	evidence.Callers, evidence.Backends = []standin.LoadReport{callers}, []standin.BackendRecord{record}
	evidence.Ledger.Acked["one"], evidence.Ledger.Refused["two"] = Ack{Serial: 7, Base: 6, AtMs: 900}, rpc.StaleBase
	evidence.History = []message.HistoryEntry{{Serial: 7, Change: "one"}}
	for period := range int64(6) {
		id := fmt.Sprintf("small-alder-%d", period+1)
		evidence.Reports[id] = []string{
			fmt.Sprintf(
				`{"id":%q,"tenant":"alder","period":%d,"from_ms":%d,"to_ms":%d,"tasks":40}`,
				id,
				period+1,
				1000+period*4000,
				1000+(period+1)*4000,
			),
		}
		evidence.ReportAt[id] = 1100 + (period+1)*4000
	}
	delete(evidence.Reports, "small-alder-6")
	return evidence
}

// Each line fails for its own break, made one at a time, and for no other.
func TestEachLineCanFail(test *testing.T) {
	for _, verdict := range clean(test).Judge() {
		if !verdict.Holds {
			test.Errorf("clean: %s: %s", verdict.Name, verdict.Detail)
		}
	}
	arrival := func(number int) func(*Evidence) *standin.Arrival {
		return func(evidence *Evidence) *standin.Arrival { return &evidence.Backends[0].Arrivals[number] }
	}
	try := func(evidence *Evidence, number int) *standin.Try { return &evidence.Callers[0].Tries[number] }
	for _, broken := range []struct {
		line string
		make func(*Evidence)
	}{
		{"no key charged twice", func(evidence *Evidence) {
			again := *arrival(8)(evidence)
			evidence.Backends = append(evidence.Backends, standin.BackendRecord{Instance: "back", Service: "meters", Arrivals: []standin.Arrival{again}})
		}},
		{"no busy answer for a task that ran", func(evidence *Evidence) { try(evidence, 5).Status = 503 }},
		{"no busy answer for a task that ran", func(evidence *Evidence) {
			late := *try(evidence, 5)
			late.ID, late.Status, late.AtMs = "k5.1", 503, late.AtMs+60
			evidence.Callers[0].Tries = append(evidence.Callers[0].Tries, late)
		}},
		{"every paid answer has its charge", func(evidence *Evidence) { arrival(5)(evidence).ChargedMs = 0 }},
		{"receipts whole and one's own", func(evidence *Evidence) { try(evidence, 3).Mangled = true }},
		{"receipts whole and one's own", func(evidence *Evidence) { try(evidence, 3).Foreign = true }},
		{"no task at another service's backend", func(evidence *Evidence) { evidence.Backends[0].Service = "gifts" }},
		{"no task with a wrong tenant", func(evidence *Evidence) {
			try(evidence, 3).Tenant, try(evidence, 3).Key = "birch", ""
		}},
		{"nothing in a region its owner forbade", func(evidence *Evidence) { evidence.Zones["back"] = "w1" }},
		{"nothing in a region its owner forbade", func(evidence *Evidence) { try(evidence, 3).Front = "other" }},
		{"nothing at a leaving backend after 4 s", func(evidence *Evidence) { arrival(4)(evidence).LeavingMs = 5000 }},
		{"nothing where emptied or withdrawn after 4 s", func(evidence *Evidence) {
			evidence.Windows = []Window{{Kind: "backend", Subject: "back", From: 9000}}
		}},
		{"nothing where emptied or withdrawn after 4 s", func(evidence *Evidence) {
			evidence.Windows = []Window{{Kind: "front", Subject: "front", From: 9000, Until: 9500}}
		}},
		{"nothing where emptied or withdrawn after 4 s", func(evidence *Evidence) {
			evidence.Windows = []Window{{Kind: "tenant", Subject: "alder", From: 9000}}
		}},
		{"no slide back once a backend saw newer", func(evidence *Evidence) {
			arrival(1)(evidence).Serial, evidence.Ledger.Acked = 8, map[string]Ack{}
		}},
		{"acknowledged settings in force in 4 s", func(evidence *Evidence) {
			evidence.Ledger.Acked["more"] = Ack{Serial: 8, Base: 7, AtMs: 1000}
			evidence.History = append(evidence.History, message.HistoryEntry{Serial: 8, Change: "more"})
			evidence.Callers[0].Placed = nil
		}},
		{"acknowledged settings in force in 4 s", func(evidence *Evidence) { evidence.Callers[0].Placed[0].Serial = 6 }},
		{"acknowledged settings in force in 4 s", func(evidence *Evidence) { evidence.Ledger.Behind = []string{"serial 7"} }},
		{"refused and lost changes never in force", func(evidence *Evidence) {
			evidence.History = append(evidence.History, message.HistoryEntry{Serial: 8, Change: "two"})
		}},
		{"no acknowledged change lost", func(evidence *Evidence) { evidence.History = nil }},
		{"no acknowledged change lost", func(evidence *Evidence) { evidence.Ledger.Acked["one"] = Ack{Serial: 7, Base: 5} }},
		{"resends within a fifth and sixty in ten seconds", func(evidence *Evidence) {
			for number := range 90 {
				again := *arrival(number)(evidence)
				again.ChargedMs = 0
				evidence.Backends[0].Arrivals = append(evidence.Backends[0].Arrivals, again)
			}
		}},
		{"cold backends within their gentle rate", func(evidence *Evidence) {
			for number := range 20 {
				arrival(number)(evidence).Cold, arrival(number)(evidence).AtMs = true, 1000
			}
		}},
		{"operators answered within a second", func(evidence *Evidence) { evidence.Ledger.Late = []string{"read"} }},
		{"planned stops cut nothing in flight", func(evidence *Evidence) { evidence.Callers[0].Unknown = 1 }},
		{"planned stops cut nothing in flight", func(evidence *Evidence) { evidence.Callers[0].Unserved = 1 }},
		{"classes served within their floors", func(evidence *Evidence) {
			for number := range 40 {
				try(evidence, number).Code, try(evidence, number).Status = "busy", 502
			}
		}},
		{"usage reported within 5% and 10 s, none missing", func(evidence *Evidence) { delete(evidence.Reports, "small-alder-2") }},
		{"usage reported within 5% and 10 s, none missing", func(evidence *Evidence) { evidence.ReportAt["small-alder-3"] += 9000 }},
		{"usage reported within 5% and 10 s, none missing", func(evidence *Evidence) { evidence.Settings.Tenants["quiet"] = config.Tenant{} }},
		{"no report sent twice with different counts", func(evidence *Evidence) {
			evidence.Reports["small-alder-3"] = append(evidence.Reports["small-alder-3"], "{}")
		}},
		{"stops end with 0", func(evidence *Evidence) { evidence.Codes = []string{"proxy exit 2"} }},
	} {
		evidence := clean(test)
		broken.make(evidence)
		for _, verdict := range evidence.Judge() {
			if verdict.Holds == (verdict.Name == broken.line) {
				test.Errorf("break of %q: %s holds %v: %s", broken.line, verdict.Name, verdict.Holds, verdict.Detail)
			}
		}
	}
}
