package cluster

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"

	"orchidjunction/harness/standin"
	"orchidjunction/rpc"
)

// StartLoad starts the load generator, with tenants weighted by their shares.
func (fleet *Fleet) StartLoad() error {
	plan := standin.LoadPlan{
		PerSecond: fleet.Spec.Rate,
		Seconds:   fleet.Spec.Seconds + 3600,
		Tries:     fleet.Spec.Tries,
		Seed:      fleet.Spec.Seed,
		Patient:   true,
	}
	for _, directory := range fleet.Directories {
		plan.Directories = append(plan.Directories, directory.PublicAddress)
	}
	for name, tenant := range fleet.settings.Tenants {
		plan.Callers = append(plan.Callers, standin.Caller{Tenant: name, Key: "key-of-" + name, Weight: tenant.Share})
	}
	sort.Slice(plan.Callers, func(left, right int) bool { return plan.Callers[left].Tenant < plan.Callers[right].Tenant })
	keyed, unkeyed := []standin.Call{}, []standin.Call{}
	for _, route := range fleet.settings.Resolve() {
		call := standin.Call{
			Class:   route.Class,
			Method:  route.Method,
			Path:    "/" + route.Service + strings.Replace(route.Path, "*", "7?bytes=2000", 1),
			Money:   route.KeyRequired,
			LimitMs: route.Integer("limit_ms"),
			Body:    100,
		}
		if route.Method == http.MethodGet {
			call.Body = 0
		}
		if route.Integer("receipt_bytes") > 1<<20 {
			call.Path = strings.Replace(call.Path, "bytes=2000", "bytes=1500000", 1)
		}
		if route.KeyRequired {
			keyed = append(keyed, call)
		} else {
			unkeyed = append(unkeyed, call)
		}
	}
	large := 0
	for _, call := range unkeyed {
		if strings.Contains(call.Path, "1500000") {
			large++
		}
	}
	for _, call := range keyed {
		call.Weight = 100 * fleet.Spec.MoneyPart / len(keyed)
		plan.Calls = append(plan.Calls, call)
	}
	for _, call := range unkeyed {
		call.Weight = (100*(100-fleet.Spec.MoneyPart) - 20*large) / max(len(unkeyed)-large, 1)
		if strings.Contains(call.Path, "1500000") {
			call.Weight = 20
		}
		plan.Calls = append(plan.Calls, call)
	}
	path := filepath.Join(fleet.Spec.Folder, "origin.json")
	body, _ := json.Marshal(plan)
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%v", err)
	}
	fleet.loadStart = time.Now()
	fleet.loadGenerator = fleet.newProcess("origin", "ojload", "--plan", path)
	return fleet.loadGenerator.Start()
}

// FinishLoad waits until the load has lasted Spec.Seconds, stops the load generator and
// returns its report.
func (fleet *Fleet) FinishLoad() (*standin.LoadReport, error) {
	fleet.goroutines.Sleep(time.Until(fleet.loadStart.Add(time.Duration(fleet.Spec.Seconds * float64(time.Second)))))
	fleet.loadGenerator.Signal(syscall.SIGTERM)
	fleet.loadGenerator.Wait(60 * time.Second)
	body, err := os.ReadFile(fleet.loadGenerator.logPath)
	report := &standin.LoadReport{}
	if err == nil {
		err = json.Unmarshal(body, report)
	}
	if err != nil {
		return nil, rpc.Errorf(rpc.BadMessage, "report of the load generator: %v", err)
	}
	return report, nil
}
