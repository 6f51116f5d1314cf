package cluster

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/config"
	"orchidjunction/harness/checker"
	"orchidjunction/harness/standin"
	"orchidjunction/operator"
	"orchidjunction/rpc"
)

// Fleet is the processes of one run and what is recorded about them.
type Fleet struct {
	Spec       Spec
	settings   *config.Settings
	body       []byte
	goroutines *concurrent.Group
	client     *http.Client
	zones      []string
	services   []string

	Cores       []*Process
	Directories []*Process
	Proxies     []*Process
	Backends    []*Process
	Platform    *Process
	origin      *Process
	listed      []standin.Listed
	port        int
	added       int
	codes       []string
	windows     []checker.Window
	ledger      *checker.ChangeRecorder
	called      time.Time
	peer        *Fleet
	guests      map[string]string
	name        string

	mutex  sync.Mutex
	judged bool
}

// NewFleet decides names, addresses and command lines of all processes; it starts
// none.
func NewFleet(spec Spec, goroutines *concurrent.Group) (*Fleet, error) {
	settings, body, err := spec.Check()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(spec.Folder, 0o700); err != nil {
		return nil, rpc.Errorf(rpc.BadFlag, "--folder: %v", err)
	}
	if entries, _ := os.ReadDir(spec.Folder); len(entries) > 0 {
		return nil, rpc.Errorf(rpc.BadFlag, "--folder: %s is not empty", spec.Folder)
	}
	fleet := &Fleet{
		Spec:       spec,
		settings:   settings,
		body:       body,
		goroutines: goroutines,
		port:       spec.BasePort,
		guests:     map[string]string{},
		name:       settings.Partner,
		client:     &http.Client{Timeout: 2 * time.Second},
	}
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
	return fleet, fleet.lay()
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
		if judged || !fleet.goroutines.Sleep(50*time.Millisecond) {
			return
		}
	}
}

func (fleet *Fleet) all() []*Process {
	all := append(append(append([]*Process{fleet.Platform}, fleet.Backends...), fleet.Cores...), fleet.Directories...)
	return append(all, fleet.Proxies...)
}

func (fleet *Fleet) daemons() []*Process {
	return append(append([]*Process{}, fleet.Directories...), fleet.Proxies...)
}

// cores returns the cores that are not replaced, while a scenario may replace some.
func (fleet *Fleet) cores() []*Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return append([]*Process{}, fleet.Cores...)
}

// Operator returns a client that calls all daemons in turn, beginning with the one
// of this index.
func (fleet *Fleet) Operator(first int) *operator.Client {
	doors := []string{}
	daemons := append(fleet.daemons(), fleet.cores()...)
	for turn := range daemons {
		doors = append(doors, daemons[(first+turn)%len(daemons)].OperatorAddress)
	}
	return operator.NewClient(doors, &http.Transport{DisableKeepAlives: true})
}

// Leader returns the core that leads, nil if none is known.
func (fleet *Fleet) Leader() *Process {
	status, err := fleet.Operator(0).Status()
	if err != nil {
		return nil
	}
	for _, process := range fleet.cores() {
		if process.InternalAddress == status.Leader.Address {
			return process
		}
	}
	return nil
}

const journalEnd = ".journal"

// Seen returns the records of all backends, of those that were killed too.
func (fleet *Fleet) Seen() []standin.BackendRecord {
	all := []standin.BackendRecord{}
	journals, _ := filepath.Glob(filepath.Join(fleet.Spec.Folder, "*"+journalEnd))
	for _, path := range journals {
		all = append(all, standin.ReadBackendRecords(path)...)
	}
	return all
}

// Zones returns the zones of backends by name and of proxies by address.
func (fleet *Fleet) Zones() map[string]string {
	zones := map[string]string{}
	for _, process := range fleet.Backends {
		zones[process.Name] = process.Zone
	}
	for _, process := range fleet.Proxies {
		zones[process.PublicAddress] = process.Zone
	}
	maps.Copy(zones, fleet.guests)
	return zones
}

// OperatorAddresses returns the operators' addresses of all processes that run.
func (fleet *Fleet) OperatorAddresses() []string {
	doors := []string{}
	for _, process := range append(fleet.daemons(), fleet.cores()...) {
		if process.Alive() {
			doors = append(doors, process.OperatorAddress)
		}
	}
	return doors
}

// Client returns a client of the process with this operators' address.
func (fleet *Fleet) Client(door string) *operator.Client {
	return operator.NewClient([]string{door}, nil)
}

// Sleep sleeps; it returns false once the run is stopped.
func (fleet *Fleet) Sleep(span time.Duration) bool { return fleet.goroutines.Sleep(span) }

// Start runs duty in a goroutine of the run.
func (fleet *Fleet) Start(duty func()) { fleet.goroutines.Start(duty) }

// Down stops all processes in order and records exit codes other than 0.
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
