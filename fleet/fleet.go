package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"orchidjunction/conf"
	"orchidjunction/judge"
	"orchidjunction/operator"
	"orchidjunction/run"
	"orchidjunction/stand"
	"orchidjunction/wire"
)

// Fleet is every process of one run.
type Fleet struct {
	Spec     Spec
	settings *conf.Settings
	body     []byte
	threads  *run.Threads
	client   *http.Client
	zones    []string
	services []string

	Cores       []*Process
	Directories []*Process
	Proxies     []*Process
	Backends    []*Process
	Platform    *Process
	origin      *Process
	listed      []stand.Listed
	port        int
	added       int
	codes       []string
	windows     []judge.Window
	ledger      *judge.Ledger
	called      time.Time
	peer        *Fleet
	guests      map[string]string
	name        string

	mutex  sync.Mutex
	judged bool
}

func NewFleet(spec Spec, threads *run.Threads) (*Fleet, *wire.Mishap) {
	settings, body, mishap := spec.Check()
	if mishap != nil {
		return nil, mishap
	}
	if fault := os.MkdirAll(spec.Folder, 0o700); fault != nil {
		return nil, wire.New(wire.BadFlag, "--folder: %v", fault)
	}
	if entries, _ := os.ReadDir(spec.Folder); len(entries) > 0 {
		return nil, wire.New(wire.BadFlag, "--folder: %s is not empty", spec.Folder)
	}
	fleet := &Fleet{Spec: spec, settings: settings, body: body, threads: threads, port: spec.BasePort, guests: map[string]string{}, name: settings.Partner,
		client: &http.Client{Timeout: 2 * time.Second}}
	names := sortedKeys(settings.Regions)
	for depth := 0; len(fleet.zones) < len(names)*8 && depth < 8; depth++ {
		for _, name := range names {
			if zones := settings.Regions[name].Zones; depth < len(zones) {
				fleet.zones = append(fleet.zones, zones[depth])
			}
		}
	}
	known := map[string]bool{}
	for _, class := range settings.Classes {
		for service := range class.Services {
			if !known[service] {
				known[service] = true
				fleet.services = append(fleet.services, service)
			}
		}
	}
	sort.Strings(fleet.services)
	fleet.lay()
	return fleet, nil
}

// Lend gives the first proxies a second place at the other partner.
func (fleet *Fleet) Lend(peer *Fleet) {
	fleet.peer = peer
	for index, process := range fleet.Proxies[:min(fleet.Spec.Guests, len(fleet.Proxies))] {
		zone, outer := peer.zones[index%len(peer.zones)], fleet.address()
		process.arguments = append(process.arguments, "--guest-name", "guest-"+process.Name, "--guest-zone", zone, "--guest-listen", outer, "--guest-wire", fleet.address(),
			"--guest-operate", fleet.address(), "--lend-rps", "60", "--lend-in-flight", "64")
		for _, core := range peer.Cores[:min(3, len(peer.Cores))] {
			process.arguments = append(process.arguments, "--guest-seed", core.Wire)
		}
		peer.guests[outer] = zone
	}
}

// wait lets nobody end before the other partner has seen all it wants to see.
func (fleet *Fleet) wait() {
	fleet.mutex.Lock()
	fleet.judged = true
	fleet.mutex.Unlock()
	for until := time.Now().Add(2 * time.Minute); fleet.peer != nil && time.Now().Before(until); {
		fleet.peer.mutex.Lock()
		judged := fleet.peer.judged
		fleet.peer.mutex.Unlock()
		if judged || !fleet.threads.Rest(50*time.Millisecond) {
			return
		}
	}
}

func (fleet *Fleet) address() string {
	fleet.port++
	return fmt.Sprintf("127.0.0.1:%d", fleet.port-1)
}

func (fleet *Fleet) process(name, kind string, arguments ...string) *Process {
	return newProcess(fleet.threads, fleet.Spec.Bin, fleet.Spec.Folder, name, kind, arguments...)
}

// lay decides every process's place and command line.
func (fleet *Fleet) lay() {
	platform := fleet.address()
	for index := range fleet.Spec.Backends {
		process := fleet.process(fmt.Sprintf("back-%02d", index), "ojback")
		process.Zone, process.Service, process.Outer = fleet.zones[index/len(fleet.services)%len(fleet.zones)], fleet.services[index%len(fleet.services)], fleet.address()
		process.arguments = fleet.backArguments(process, 0)
		fleet.Backends = append(fleet.Backends, process)
		fleet.listed = append(fleet.listed, stand.Listed{Name: process.Name, Service: process.Service, Address: process.Outer, Zone: process.Zone})
	}
	list := filepath.Join(fleet.Spec.Folder, "backends.json")
	body, _ := json.Marshal(fleet.listed)
	os.WriteFile(list, body, 0o600)
	fleet.Platform = fleet.process("platform", "ojplat", "--listen", platform, "--backends", list, "--lag-ms", fmt.Sprint(fleet.Spec.LagMs))
	fleet.Platform.Outer = platform
	for index := range fleet.Spec.Cores {
		process := fleet.process(fmt.Sprintf("core-%d", index+1), "ojcore")
		process.Zone, process.Wire, process.Operate = fleet.zones[index%len(fleet.zones)], fleet.address(), fleet.address()
		fleet.Cores = append(fleet.Cores, process)
	}
	for index, process := range fleet.Cores {
		process.arguments = []string{"--id", fmt.Sprint(index + 1), "--zone", process.Zone, "--wire", process.Wire, "--operate", process.Operate,
			"--data", filepath.Join(fleet.Spec.Folder, process.Name), "--platform", platform, "--found"}
		for other, peer := range fleet.Cores {
			if other != index {
				process.arguments = append(process.arguments, "--peer", fmt.Sprintf("%d=%s", other+1, peer.Wire))
			}
		}
	}
	for _, side := range []struct {
		kind  string
		count int
		into  *[]*Process
	}{{"dir", fleet.Spec.Directories, &fleet.Directories}, {"proxy", fleet.Spec.Proxies, &fleet.Proxies}} {
		for index := range side.count {
			process := fleet.process(fmt.Sprintf("%s-%02d", side.kind, index), "oj"+side.kind)
			process.Zone, process.Outer, process.Wire, process.Operate = fleet.zones[index%len(fleet.zones)], fleet.address(), fleet.address(), fleet.address()
			process.arguments = []string{"--name", process.Name, "--zone", process.Zone, "--listen", process.Outer, "--wire", process.Wire, "--operate", process.Operate}
			for _, core := range fleet.Cores[:min(3, len(fleet.Cores))] {
				process.arguments = append(process.arguments, "--seed", core.Wire)
			}
			*side.into = append(*side.into, process)
		}
	}
}

func (fleet *Fleet) backArguments(process *Process, coldMs int) []string {
	return []string{"--listen", process.Outer, "--service", process.Service, "--instance", process.Name, "--cold-ms", fmt.Sprint(coldMs),
		"--journal", filepath.Join(fleet.Spec.Folder, process.Name+journalEnd)}
}

func (fleet *Fleet) all() []*Process {
	all := append(append(append([]*Process{fleet.Platform}, fleet.Backends...), fleet.Cores...), fleet.Directories...)
	return append(all, fleet.Proxies...)
}

func (fleet *Fleet) daemons() []*Process {
	return append(append([]*Process{}, fleet.Directories...), fleet.Proxies...)
}

// cores are those that are not replaced, while a scenario may replace some.
func (fleet *Fleet) cores() []*Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return append([]*Process{}, fleet.Cores...)
}

// Operator asks some daemons on the operators' side, this one first.
func (fleet *Fleet) Operator(first int) *operator.Client {
	doors := []string{}
	daemons := append(fleet.daemons(), fleet.cores()...)
	for turn := range len(daemons) {
		doors = append(doors, daemons[(first+turn)%len(daemons)].Operate)
	}
	return operator.NewClient(doors, &http.Transport{DisableKeepAlives: true})
}

// Up starts all and puts the first settings in force.
func (fleet *Fleet) Up() *wire.Mishap {
	for _, process := range fleet.all() {
		if mishap := process.Start(); mishap != nil {
			return mishap
		}
	}
	limit := time.Now().Add(30 * time.Second)
	var last *wire.Mishap
	if fleet.peer != nil {
		fleet.body = fleet.short()
	}
	for time.Now().Before(limit) {
		settings, mishap := fleet.Operator(0).Read(false)
		if mishap == nil && settings.Confirmed && settings.Serial == 0 {
			_, mishap = fleet.Operator(0).Put(operator.Change{Base: 0, Change: "first", Operator: "ojfleet", Settings: fleet.body})
		}
		if mishap == nil && settings.Confirmed {
			return fleet.ready(limit)
		}
		last = mishap
		fleet.threads.Rest(50 * time.Millisecond)
	}
	return wire.New(wire.NotReady, "no settings in force in time: %v", last)
}

// short are the settings of a partner whose fronts carry less than it
// needs, so that room is borrowed all the time.
func (fleet *Fleet) short() []byte {
	whole := map[string]json.RawMessage{}
	if json.Unmarshal(fleet.body, &whole) != nil {
		return fleet.body
	}
	whole["front_rps"] = json.RawMessage(fmt.Sprint(max(fleet.Spec.Rate/len(fleet.Proxies)/2, 1)))
	body, _ := json.Marshal(whole)
	return body
}

// Serials asks every daemon what it has in force; those that are not ready give 0.
func (fleet *Fleet) Serials() []uint64 {
	daemons := fleet.daemons()
	got, _ := run.Gather(fleet.threads, len(daemons), func(index int) (uint64, error) {
		health := struct {
			Serial uint64 `json:"serial"`
			Ready  bool   `json:"ready"`
		}{}
		fault := fleet.get(daemons[index].Operate, "/v1/health", &health)
		if !health.Ready {
			health.Serial = 0
		}
		return health.Serial, fault
	}, func(map[int]uint64, map[int]error) bool { return false })
	serials := make([]uint64, len(daemons))
	for index, serial := range got {
		serials[index] = serial
	}
	return serials
}

func (fleet *Fleet) get(address, path string, into any) error {
	response, fault := fleet.client.Get("http://" + address + path)
	if fault != nil {
		return fault
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

func (fleet *Fleet) ready(limit time.Time) *wire.Mishap {
	for time.Now().Before(limit) {
		ready := true
		for _, serial := range fleet.Serials() {
			ready = ready && serial > 0
		}
		if ready && fleet.placing() && fleet.keeping() {
			return nil
		}
		fleet.threads.Rest(50 * time.Millisecond)
	}
	return wire.New(wire.NotReady, "serials in force: %v", fleet.Serials())
}

// keeping is true once every proxy that lives keeps claims.
func (fleet *Fleet) keeping() bool {
	status, mishap := fleet.Operator(0).Status()
	if mishap != nil {
		return false
	}
	keepers, proxies := 0, 0
	for _, known := range status.Members {
		if known.Member.Keeper {
			keepers++
		}
	}
	for _, process := range fleet.Proxies {
		if process.Alive() {
			proxies++
		}
	}
	return keepers >= proxies
}

// placing is true once every directory sends callers somewhere.
func (fleet *Fleet) placing() bool {
	for _, directory := range fleet.Directories {
		for name := range fleet.settings.Tenants {
			request, fault := http.NewRequest(http.MethodGet, "http://"+directory.Outer+"/v1/place", nil)
			if fault != nil {
				return false
			}
			request.Header.Set("Authorization", "Bearer key-of-"+name)
			response, fault := fleet.client.Do(request)
			if fault != nil {
				return false
			}
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// Leader is the core that leads now, by the cores' own word.
func (fleet *Fleet) Leader() *Process {
	status, mishap := fleet.Operator(0).Status()
	if mishap != nil {
		return nil
	}
	for _, process := range fleet.cores() {
		if process.Wire == status.Leader.Address {
			return process
		}
	}
	return nil
}

// Call starts the callers with the fleet's mix.
func (fleet *Fleet) Call() *wire.Mishap {
	plan := stand.OriginPlan{PerSecond: fleet.Spec.Rate, Seconds: fleet.Spec.Seconds + 3600, Tries: fleet.Spec.Tries, Seed: fleet.Spec.Seed, Patient: true}
	for _, directory := range fleet.Directories {
		plan.Directories = append(plan.Directories, directory.Outer)
	}
	for name, tenant := range fleet.settings.Tenants {
		plan.Callers = append(plan.Callers, stand.Caller{Tenant: name, Key: "key-of-" + name, Weight: tenant.Share})
	}
	sort.Slice(plan.Callers, func(left, right int) bool { return plan.Callers[left].Tenant < plan.Callers[right].Tenant })
	money, other := []stand.Call{}, []stand.Call{}
	for _, route := range fleet.settings.Resolve() {
		call := stand.Call{Class: route.Class, Method: route.Method, Path: "/" + route.Service + strings.Replace(route.Path, "*", "7?bytes=2000", 1), Money: route.Money, LimitMs: route.Whole("limit_ms"), Body: 100}
		if route.Method == http.MethodGet {
			call.Body = 0
		}
		if route.Whole("receipt_bytes") > 1<<20 {
			call.Path = strings.Replace(call.Path, "bytes=2000", "bytes=1500000", 1)
		}
		if route.Money {
			money = append(money, call)
		} else {
			other = append(other, call)
		}
	}
	large := 0
	for _, call := range other {
		if strings.Contains(call.Path, "1500000") {
			large++
		}
	}
	for _, call := range money {
		call.Weight = 100 * fleet.Spec.MoneyPart / len(money)
		plan.Calls = append(plan.Calls, call)
	}
	for _, call := range other {
		call.Weight = (100*(100-fleet.Spec.MoneyPart) - 20*large) / max(len(other)-large, 1)
		if strings.Contains(call.Path, "1500000") {
			call.Weight = 20
		}
		plan.Calls = append(plan.Calls, call)
	}
	path := filepath.Join(fleet.Spec.Folder, "origin.json")
	body, _ := json.Marshal(plan)
	if fault := os.WriteFile(path, body, 0o600); fault != nil {
		return wire.New(wire.DiskFault, "%v", fault)
	}
	fleet.called = time.Now()
	fleet.origin = fleet.process("origin", "ojorigin", "--plan", path)
	return fleet.origin.Start()
}

// Callers lets callers call for at least the run's span, ends them and gives what they saw.
func (fleet *Fleet) Callers() (*stand.OriginReport, *wire.Mishap) {
	fleet.threads.Rest(time.Until(fleet.called.Add(time.Duration(fleet.Spec.Seconds * float64(time.Second)))))
	fleet.origin.Signal(syscall.SIGTERM)
	fleet.origin.Wait(60 * time.Second)
	body, fault := os.ReadFile(fleet.origin.log)
	report := &stand.OriginReport{}
	if fault == nil {
		fault = json.Unmarshal(body, report)
	}
	if fault != nil {
		return nil, wire.New(wire.BadMessage, "callers' report: %v", fault)
	}
	return report, nil
}

const journalEnd = ".journal"

// Seen gathers what every backend wrote down, the dead ones too.
func (fleet *Fleet) Seen() []stand.Witness {
	all := []stand.Witness{}
	journals, _ := filepath.Glob(filepath.Join(fleet.Spec.Folder, "*"+journalEnd))
	for _, path := range journals {
		all = append(all, stand.ReadWitnesses(path)...)
	}
	return all
}

// Zones says where backends, by name, and fronts, by address, stand.
func (fleet *Fleet) Zones() map[string]string {
	zones := map[string]string{}
	for _, process := range fleet.Backends {
		zones[process.Name] = process.Zone
	}
	for _, process := range fleet.Proxies {
		zones[process.Outer] = process.Zone
	}
	for outer, zone := range fleet.guests {
		zones[outer] = zone
	}
	return zones
}

// Doors are the operators' doors of all that live.
func (fleet *Fleet) Doors() []string {
	doors := []string{}
	for _, process := range append(fleet.daemons(), fleet.cores()...) {
		if process.Alive() {
			doors = append(doors, process.Operate)
		}
	}
	return doors
}

func (fleet *Fleet) Client(door string) *operator.Client {
	return operator.NewClient([]string{door}, nil)
}

func (fleet *Fleet) Rest(span time.Duration) bool { return fleet.threads.Rest(span) }
func (fleet *Fleet) Start(duty func())            { fleet.threads.Start(duty) }

// Down stops all in order; exit codes other than 0 are noted.
func (fleet *Fleet) Down() {
	for _, process := range fleet.all() {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGTERM)
	}
	for _, process := range fleet.all() {
		if code := process.Wait(12 * time.Second); code != 0 {
			fleet.codes = append(fleet.codes, fmt.Sprintf("%s exit %d", process.Name, code))
		}
	}
}
