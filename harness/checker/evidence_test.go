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

// cleanEvidence returns the evidence of a small run without violations.
func cleanEvidence(test *testing.T) *Evidence {
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
		Ledger: NewChangeRecorder(nil, 1), Reports: map[string][]string{}, ReportAt: map[string]int64{},
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

// Each violation, made one at a time, fails its own verdict and no other.
func TestEachVerdictFailsForItsViolation(test *testing.T) {
	for _, verdict := range cleanEvidence(test).Judge() {
		if !verdict.Holds {
			test.Errorf("evidence without violations: verdict %q fails: %s", verdict.Name, verdict.Detail)
		}
	}
	arrival := func(number int) func(*Evidence) *standin.Arrival {
		return func(evidence *Evidence) *standin.Arrival { return &evidence.Backends[0].Arrivals[number] }
	}
	try := func(evidence *Evidence, number int) *standin.Try { return &evidence.Callers[0].Tries[number] }
	for _, violation := range []struct {
		verdict string
		inject  func(*Evidence)
	}{
		{"no key charged twice", func(evidence *Evidence) {
			again := *arrival(8)(evidence)
			evidence.Backends = append(evidence.Backends, standin.BackendRecord{Instance: "back", Service: "meters", Arrivals: []standin.Arrival{again}})
		}},
		{"no busy response for an executed task", func(evidence *Evidence) { try(evidence, 5).Status = 503 }},
		{"no busy response for an executed task", func(evidence *Evidence) {
			late := *try(evidence, 5)
			late.ID, late.Status, late.AtMs = "k5.1", 503, late.AtMs+60
			evidence.Callers[0].Tries = append(evidence.Callers[0].Tries, late)
		}},
		{"every success with a key was charged", func(evidence *Evidence) { arrival(5)(evidence).ChargedMs = 0 }},
		{"responses complete and for the right request", func(evidence *Evidence) { try(evidence, 3).Mangled = true }},
		{"responses complete and for the right request", func(evidence *Evidence) { try(evidence, 3).Foreign = true }},
		{"no task sent to another service's backend", func(evidence *Evidence) { evidence.Backends[0].Service = "gifts" }},
		{"no task attributed to the wrong tenant", func(evidence *Evidence) {
			try(evidence, 3).Tenant, try(evidence, 3).Key = "birch", ""
		}},
		{"no task served in a forbidden region", func(evidence *Evidence) { evidence.Zones["back"] = "w1" }},
		{"no task served in a forbidden region", func(evidence *Evidence) { try(evidence, 3).Front = "other" }},
		{"no task at a backend 4 s after it began to leave", func(evidence *Evidence) { arrival(4)(evidence).LeavingMs = 5000 }},
		{"no traffic 4 s after a drain or key revocation", func(evidence *Evidence) {
			evidence.Windows = []Window{{Kind: "backend", Subject: "back", From: 9000}}
		}},
		{"no traffic 4 s after a drain or key revocation", func(evidence *Evidence) {
			evidence.Windows = []Window{{Kind: "front", Subject: "front", From: 9000, Until: 9500}}
		}},
		{"no traffic 4 s after a drain or key revocation", func(evidence *Evidence) {
			evidence.Windows = []Window{{Kind: "tenant", Subject: "alder", From: 9000}}
		}},
		{"no older settings at a backend 4 s after newer", func(evidence *Evidence) {
			arrival(1)(evidence).Serial, evidence.Ledger.Acked = 8, map[string]Ack{}
		}},
		{"acknowledged settings in force within 4 s", func(evidence *Evidence) {
			evidence.Ledger.Acked["more"] = Ack{Serial: 8, Base: 7, AtMs: 1000}
			evidence.History = append(evidence.History, message.HistoryEntry{Serial: 8, Change: "more"})
			evidence.Callers[0].Placed = nil
		}},
		{"acknowledged settings in force within 4 s", func(evidence *Evidence) { evidence.Callers[0].Placed[0].Serial = 6 }},
		{"acknowledged settings in force within 4 s", func(evidence *Evidence) { evidence.Ledger.NotInForce = []string{"serial 7"} }},
		{"refused changes never applied", func(evidence *Evidence) {
			evidence.History = append(evidence.History, message.HistoryEntry{Serial: 8, Change: "two"})
		}},
		{"no acknowledged change lost", func(evidence *Evidence) { evidence.History = nil }},
		{"no acknowledged change lost", func(evidence *Evidence) { evidence.Ledger.Acked["one"] = Ack{Serial: 7, Base: 5} }},
		{"resends in 10 s at most 20% of first sends + 60", func(evidence *Evidence) {
			for number := range 90 {
				again := *arrival(number)(evidence)
				again.ChargedMs = 0
				evidence.Backends[0].Arrivals = append(evidence.Backends[0].Arrivals, again)
			}
		}},
		{"cold backends within their gentle_rate", func(evidence *Evidence) {
			for number := range 20 {
				arrival(number)(evidence).Cold, arrival(number)(evidence).AtMs = true, 1000
			}
		}},
		{"operator calls answered within 1 s", func(evidence *Evidence) { evidence.Ledger.SlowCalls = []string{"read"} }},
		{"no task in flight lost by planned work", func(evidence *Evidence) { evidence.Callers[0].Unknown = 1 }},
		{"no task in flight lost by planned work", func(evidence *Evidence) { evidence.Callers[0].Unserved = 1 }},
		{"classes served within their floor_rps", func(evidence *Evidence) {
			for number := range 40 {
				try(evidence, number).Code, try(evidence, number).Status = "busy", 502
			}
		}},
		{"usage reported within 5% and 10 s, none missing", func(evidence *Evidence) { delete(evidence.Reports, "small-alder-2") }},
		{"usage reported within 5% and 10 s, none missing", func(evidence *Evidence) { evidence.ReportAt["small-alder-3"] += 9000 }},
		{"usage reported within 5% and 10 s, none missing", func(evidence *Evidence) { evidence.Settings.Tenants["quiet"] = config.Tenant{} }},
		{"usage reports resent unchanged", func(evidence *Evidence) {
			evidence.Reports["small-alder-3"] = append(evidence.Reports["small-alder-3"], "{}")
		}},
		{"no failed step, no exit code other than 0", func(evidence *Evidence) { evidence.Failures = []string{"proxy exit 2"} }},
	} {
		evidence := cleanEvidence(test)
		violation.inject(evidence)
		for _, verdict := range evidence.Judge() {
			if verdict.Holds == (verdict.Name == violation.verdict) {
				test.Errorf("violation of %q: verdict %q holds: %v: %s", violation.verdict, verdict.Name, verdict.Holds, verdict.Detail)
			}
		}
	}
}
