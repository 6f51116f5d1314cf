package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"syscall"
	"time"

	"orchidjunction/conf"
	"orchidjunction/judge"
	"orchidjunction/operator"
	"orchidjunction/place"
	"orchidjunction/plan"
	"orchidjunction/wire"
)

// stop ends a process by a signal, waits, rests and starts it again.
func (fleet *Fleet) stop(process *Process, signal syscall.Signal, away time.Duration) {
	process.Signal(signal)
	if code := process.Wait(9 * time.Second); signal == syscall.SIGTERM && code != 0 {
		fleet.codes = append(fleet.codes, fmt.Sprintf("%s exit %d", process.Name, code))
	}
	fleet.threads.Rest(away)
	fleet.start(process)
}

// start starts a process again; one that doesn't start counts as a wrong exit.
func (fleet *Fleet) start(process *Process) {
	if mishap := process.Start(); mishap != nil {
		fleet.codes = append(fleet.codes, mishap.Error())
	}
}

func (fleet *Fleet) random() *rand.Rand { return rand.New(rand.NewPCG(fleet.Spec.Seed, 41)) }

func (fleet *Fleet) fault(process *Process, mode string, count int) {
	response, fault := fleet.client.Get(fmt.Sprintf("http://%s/stand/fault?mode=%s&count=%d", process.Outer, mode, count))
	if fault == nil {
		response.Body.Close()
	}
}

func backendsMisbehave(fleet *Fleet) {
	random := fleet.random()
	for range 30 {
		kinds := []string{"lose", "garbage", "truncate", "foreign", "overlong", "vanish", "busy"}
		fleet.fault(fleet.Backends[random.IntN(len(fleet.Backends))], kinds[random.IntN(len(kinds))], 1+random.IntN(3))
		fleet.rest(0.03)
	}
}

func backendsCrash(fleet *Fleet) {
	random := fleet.random()
	for range 4 {
		fleet.rest(0.1)
		process := fleet.Backends[random.IntN(len(fleet.Backends))]
		fleet.stop(process, syscall.SIGKILL, time.Second)
	}
}

func backendsVanish(fleet *Fleet) {
	fleet.rest(0.1)
	for _, process := range fleet.Backends[:2] {
		process.Signal(syscall.SIGSTOP)
	}
	fleet.rest(0.4)
	for _, process := range fleet.Backends[:2] {
		process.Signal(syscall.SIGCONT)
	}
}

// backendsReplaced stops them one by one with the platform's warning; each comes back cold.
func backendsReplaced(fleet *Fleet) {
	for _, process := range fleet.Backends[:min(4, len(fleet.Backends))] {
		process.arguments = fleet.backArguments(process, 6000)
		fleet.stop(process, syscall.SIGTERM, 300*time.Millisecond)
		fleet.rest(0.05)
	}
}

// addressReused gives a dead backend's address to another service's backend.
func addressReused(fleet *Fleet) {
	fleet.rest(0.2)
	process := fleet.Backends[0]
	process.Signal(syscall.SIGKILL)
	process.Wait(time.Second)
	other := fleet.services[len(fleet.services)-1]
	process.arguments = []string{"--listen", process.Outer, "--service", other, "--instance", "stranger", "--journal", filepath.Join(fleet.Spec.Folder, "stranger"+journalEnd)}
	fleet.start(process)
}

func backendDrained(fleet *Fleet) {
	fleet.rest(0.2)
	fleet.drain("backends", fleet.Backends[0].Name)
	fleet.rest(0.5)
	fleet.drain("backends", "")
}

func zoneEmptied(fleet *Fleet) {
	fleet.rest(0.2)
	forecast := fleet.forecast(fleet.zones[0])
	fleet.drain("zones", fleet.zones[0])
	fleet.threads.Rest(2 * time.Second)
	fleet.compareForecast(forecast)
	fleet.rest(0.4)
	fleet.drain("zones", "")
}

// drain empties what is named, or refills all, and notes the window for the verdict.
func (fleet *Fleet) drain(kind, name string) {
	names := []string{}
	if name != "" {
		names = append(names, name)
	}
	body, _ := json.Marshal(map[string]any{"drained": map[string][]string{kind: names}})
	if !fleet.patch(body) {
		fleet.codes = append(fleet.codes, "drain not acknowledged")
		return
	}
	now := time.Now().UnixMilli()
	for index := range fleet.windows {
		if fleet.windows[index].Until == 0 {
			fleet.windows[index].Until = now
		}
	}
	for _, process := range append(append([]*Process{}, fleet.Backends...), fleet.Proxies...) {
		if name == "" || process.Name != name && process.Zone != name {
			continue
		}
		window := judge.Window{Kind: "backend", Subject: process.Name, From: now + 4500}
		if process.Kind == "ojproxy" {
			window.Kind, window.Subject = "front", process.Outer
		}
		fleet.windows = append(fleet.windows, window)
	}
}

// patch makes a partial change, again after lost races.
func (fleet *Fleet) patch(body []byte) bool {
	for try := range 20 {
		settings, mishap := fleet.Operator(try).Read(false)
		if mishap == nil && settings.Confirmed {
			if _, mishap = fleet.Operator(try).Patch(operator.Change{Base: settings.Serial, Change: fmt.Sprintf("fleet-%d-%d", time.Now().UnixNano(), try), Operator: "ojfleet", Settings: body}); mishap == nil {
				return true
			}
		}
		fleet.threads.Rest(30 * time.Millisecond)
	}
	return false
}

func keysWithdrawn(fleet *Fleet) {
	fleet.rest(0.3)
	names := sortedKeys(fleet.settings.Tenants)
	name := names[0]
	if fleet.patch([]byte(fmt.Sprintf(`{"tenants":{%q:{"keys":[]}}}`, name))) {
		fleet.windows = append(fleet.windows, judge.Window{Kind: "tenant", Subject: name, From: time.Now().UnixMilli() + 4500})
	}
}

func settingsLarge(fleet *Fleet) {
	fleet.rest(0.2)
	fleet.grow(20_000)
}

// grow adds so many routes to the last class.
func (fleet *Fleet) grow(count int) {
	routes := map[string]any{}
	for index := range count {
		routes[fmt.Sprintf("bulk-%d", index)] = map[string]any{"method": "GET", "path": fmt.Sprintf("/bulk/%d/%s", index, strings.Repeat("x", 60))}
	}
	class := sortedKeys(fleet.settings.Classes)[len(fleet.settings.Classes)-1]
	body, _ := json.Marshal(map[string]any{"classes": map[string]any{class: map[string]any{"services": map[string]any{fleet.services[0]: map[string]any{"routes": routes}}}}})
	begin := time.Now()
	taken := fleet.patch(body)
	fmt.Printf("%s: large settings: %d bytes, acknowledged %v after %v\n", fleet.name, len(body), taken, time.Since(begin).Round(time.Millisecond))
	if !taken {
		fleet.codes = append(fleet.codes, "large settings not acknowledged")
	}
}

// storm lets dozens of operators change a large tree while the leader changes;
// bodies above the limit are refused meanwhile.
func storm(fleet *Fleet) {
	fleet.grow(5_000)
	fleet.ledger.Operate(24, 2*time.Second)
	for range 2 {
		huge := operator.Change{Base: 1, Settings: []byte(`{"fill":"` + strings.Repeat("x", 17<<20) + `"}`)}
		if _, mishap := fleet.Operator(0).Put(huge); mishap == nil || mishap.Kind != wire.TooLarge {
			fleet.codes = append(fleet.codes, fmt.Sprintf("17 MB taken: %v", mishap))
		}
		leaderChanges(fleet)
	}
}

// lendingHarmed presses and ends what is lent between the partners.
func lendingHarmed(fleet *Fleet) {
	lender := fleet.Proxies[0]
	fleet.rest(0.2)
	fleet.stop(lender, syscall.SIGKILL, 500*time.Millisecond)
	fleet.rest(0.1)
	for index, argument := range lender.arguments {
		if argument == "--lend-rps" {
			lender.arguments[index+1] = "5"
		}
	}
	fleet.stop(lender, syscall.SIGTERM, 100*time.Millisecond)
	fleet.rest(0.1)
	if fleet.peer != nil && fleet.name < fleet.peer.name {
		allDown(fleet)
	}
	fleet.rest(0.2)
}

// warnedThenKilled gives less time than a planned end needs.
func warnedThenKilled(fleet *Fleet) {
	for _, process := range []*Process{fleet.Proxies[0], fleet.Proxies[1], fleet.Leader()} {
		if process == nil {
			continue
		}
		fleet.rest(0.1)
		process.Signal(syscall.SIGTERM)
		fleet.threads.Rest(700 * time.Millisecond)
		fleet.stop(process, syscall.SIGKILL, 300*time.Millisecond)
	}
}

func platformMisbehaves(fleet *Fleet) {
	for _, mode := range []string{"shift", "refuse", "usage-slow", "gone", "usage-late", "usage-refuse"} {
		response, fault := fleet.client.Get(fmt.Sprintf("http://%s/stand/misbehave?mode=%s&span=2s", fleet.Platform.Outer, mode))
		if fault == nil {
			response.Body.Close()
		}
		fleet.threads.Rest(2500 * time.Millisecond)
	}
}

func coldHerd(fleet *Fleet) {
	fleet.rest(0.2)
	herd := fleet.Backends[:len(fleet.Backends)/2]
	for _, process := range herd {
		process.arguments = fleet.backArguments(process, 5000)
		process.Signal(syscall.SIGKILL)
	}
	fleet.threads.Rest(500 * time.Millisecond)
	for _, process := range herd {
		process.Wait(time.Second)
		fleet.start(process)
	}
	fleet.stop(fleet.Proxies[1], syscall.SIGKILL, 300*time.Millisecond)
	fleet.stop(fleet.Proxies[2], syscall.SIGTERM, 300*time.Millisecond)
}

func proxiesKilled(fleet *Fleet) {
	random := fleet.random()
	for range 4 {
		fleet.rest(0.1)
		fleet.stop(fleet.Proxies[random.IntN(len(fleet.Proxies))], syscall.SIGKILL, 500*time.Millisecond)
	}
}

func herdKilled(fleet *Fleet) {
	fleet.rest(0.2)
	herd := append(append([]*Process{}, fleet.Proxies[:len(fleet.Proxies)/2]...), fleet.Directories[0], fleet.Cores[0])
	for _, process := range herd {
		process.Signal(syscall.SIGKILL)
	}
	fleet.rest(0.1)
	for _, process := range herd {
		process.Wait(time.Second)
		fleet.start(process)
	}
}

func restartedInTurn(fleet *Fleet) {
	for _, process := range append(append(append([]*Process{}, fleet.Cores...), fleet.Directories...), fleet.Proxies...) {
		fleet.stop(process, syscall.SIGTERM, 100*time.Millisecond)
		fleet.threads.Rest(700 * time.Millisecond)
	}
}

func frozen(fleet *Fleet) {
	for _, process := range []*Process{fleet.Leader(), fleet.Proxies[0], fleet.Directories[0]} {
		if process == nil {
			continue
		}
		fleet.rest(0.05)
		process.Signal(syscall.SIGSTOP)
		fleet.rest(0.15)
		process.Signal(syscall.SIGCONT)
	}
}

func coreDiskLost(fleet *Fleet) {
	fleet.rest(0.2)
	for _, process := range fleet.Cores {
		process.Signal(syscall.SIGKILL)
		process.Wait(time.Second)
		if fault := os.RemoveAll(filepath.Join(fleet.Spec.Folder, process.Name)); fault != nil {
			fleet.codes = append(fleet.codes, fault.Error())
		}
		fleet.start(process)
		fleet.rest(0.2)
	}
}

func coreGone(fleet *Fleet) {
	fleet.rest(0.2)
	for _, process := range fleet.Cores {
		process.Signal(syscall.SIGKILL)
	}
	fleet.rest(0.4)
	for _, process := range fleet.Cores {
		process.Wait(time.Second)
		fleet.start(process)
	}
}

func zoneLost(fleet *Fleet) { fleet.placesLost([]string{fleet.zones[0]}) }

func regionLost(fleet *Fleet) {
	for _, name := range sortedKeys(fleet.settings.Regions) {
		fleet.placesLost(fleet.settings.Regions[name].Zones)
		return
	}
}

func (fleet *Fleet) placesLost(zones []string) {
	fleet.rest(0.2)
	lost := []*Process{}
	for _, process := range fleet.all() {
		for _, zone := range zones {
			if process.Zone == zone {
				lost = append(lost, process)
			}
		}
	}
	for _, process := range lost {
		process.Signal(syscall.SIGKILL)
	}
	fleet.rest(0.3)
	for _, process := range lost {
		process.Wait(time.Second)
		fleet.start(process)
	}
}

// allDown kills every process of ours at once and measures until callers are served again.
func allDown(fleet *Fleet) {
	fleet.rest(0.25)
	ours := append(append(append([]*Process{}, fleet.Cores...), fleet.Directories...), fleet.Proxies...)
	for _, process := range ours {
		process.Signal(syscall.SIGKILL)
	}
	for _, process := range ours {
		process.Wait(time.Second)
	}
	begin := time.Now()
	for _, process := range ours {
		fleet.start(process)
	}
	if mishap := fleet.ready(begin.Add(15 * time.Second)); mishap != nil {
		fleet.codes = append(fleet.codes, "not back in 15 s: "+mishap.Error())
	}
	fmt.Printf("%s: all down: ready again after %v\n", fleet.name, time.Since(begin).Round(time.Millisecond))
}

func sortedKeys[T any](named map[string]T) []string { return slices.Sorted(maps.Keys(named)) }

// compare asks a backend directly and through a proxy, in turns.
func compare(fleet *Fleet) {
	fleet.rest(0.2)
	backend, proxy := fleet.Backends[0], fleet.Proxies[0]
	var path string
	for _, route := range fleet.settings.Resolve() {
		if route.Service == backend.Service && route.Method == http.MethodGet && route.Whole("receipt_bytes") <= 1<<20 {
			path = strings.Replace(route.Path, "*", "7?bytes=2000", 1)
		}
	}
	tenant := sortedKeys(fleet.settings.Tenants)[0]
	times := map[string][]float64{}
	for number := range 400 {
		for name, address := range map[string]string{"direct": backend.Outer + path, "through": proxy.Outer + "/" + backend.Service + path} {
			request, _ := http.NewRequest(http.MethodGet, "http://"+address, nil)
			request.Header.Set("Authorization", "Bearer key-of-"+tenant)
			request.Header.Set("Oj-Service", backend.Service)
			request.Header.Set("Oj-Task", fmt.Sprintf("compare-%d", number))
			begin := time.Now()
			response, fault := fleet.client.Do(request)
			if fault != nil {
				continue
			}
			buffer := make([]byte, 4096)
			for fault == nil {
				_, fault = response.Body.Read(buffer)
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				times[name] = append(times[name], float64(time.Since(begin).Microseconds())/1000)
			}
		}
	}
	fmt.Printf("compare: direct p50 %.2f ms p99 %.2f ms, through p50 %.2f ms p99 %.2f ms, ratio of p50 %.2f, of %d and %d\n", judge.Part(times["direct"], 0.5), judge.Part(times["direct"], 0.99),
		judge.Part(times["through"], 0.5), judge.Part(times["through"], 0.99), judge.Part(times["through"], 0.5)/judge.Part(times["direct"], 0.5), len(times["direct"]), len(times["through"]))
}

// forecast is what the planner says of emptying a zone.
func (fleet *Fleet) forecast(zone string) *plan.Forecast {
	held, mishap := fleet.Operator(0).Read(false)
	status, silent := fleet.Operator(0).Status()
	if mishap != nil || silent != nil {
		return nil
	}
	before, mishap := conf.Read(held.Settings)
	if mishap != nil {
		return nil
	}
	after := *before
	after.Drained.Zones = []string{zone}
	look := plan.Fleet{Serial: held.Serial, Settings: before, Backends: status.Backends, Capacity: 30}
	for _, known := range status.Members {
		look.Members = append(look.Members, known.Member)
	}
	return plan.Look(look, &after)
}

// compareForecast asks a directory where tenants go now and sets it against the forecast.
func (fleet *Fleet) compareForecast(forecast *plan.Forecast) {
	if forecast == nil {
		fleet.codes = append(fleet.codes, "no forecast")
		return
	}
	right := 0
	for _, move := range forecast.Moves {
		request, _ := http.NewRequest(http.MethodGet, "http://"+fleet.Directories[0].Outer+"/v1/place", nil)
		request.Header.Set("Authorization", "Bearer key-of-"+move.Tenant)
		response, fault := fleet.client.Do(request)
		if fault != nil {
			continue
		}
		placement := place.Placement{}
		fault = json.NewDecoder(response.Body).Decode(&placement)
		response.Body.Close()
		if fault != nil {
			fleet.codes = append(fleet.codes, fmt.Sprintf("placement of %s: %v", move.Tenant, fault))
			continue
		}
		got := []string{}
		for _, front := range placement.Fronts {
			got = append(got, front.Name)
		}
		sort.Strings(got)
		if strings.Join(got, " ") == strings.Join(move.To, " ") {
			right++
		} else {
			fleet.codes = append(fleet.codes, fmt.Sprintf("%s forecast at %v, found at %v", move.Tenant, move.To, got))
		}
	}
	fmt.Printf("%s: forecast: %d of %d tenants would move, %d moved as said\n", fleet.name, len(forecast.Moves), forecast.Tenants, right)
}
