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

// Fleet holds the processes of one run and the records of them.
type Fleet struct {
	Spec         Spec
	settings     *config.Settings
	settingsBody []byte
	goroutines   *concurrent.Group
	client       *http.Client
	zones        []string
	services     []string

	Cores         []*Process
	Directories   []*Process
	Proxies       []*Process
	Backends      []*Process
	Platform      *Process
	loadGenerator *Process
	backendList   []standin.Listed
	nextPort      int
	addedCores    int
	failures      []string
	windows       []checker.Window
	ledger        *checker.ChangeRecorder
	loadStart     time.Time
	peer          *Fleet
	guests        map[string]string
	partnerName   string

	mutex    sync.Mutex
	finished bool
}

// NewFleet assigns names, addresses and command lines to all processes without starting them.
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
		Spec:         spec,
		settings:     settings,
		settingsBody: body,
		goroutines:   goroutines,
		nextPort:     spec.BasePort,
		guests:       map[string]string{},
		partnerName:  settings.Partner,
		client:       &http.Client{Timeout: 2 * time.Second},
	}
	names := sortedKeys(settings.Regions)
	for index := 0; len(fleet.zones) < len(names)*8 && index < 8; index++ {
		for _, name := range names {
			if zones := settings.Regions[name].Zones; index < len(zones) {
				fleet.zones = append(fleet.zones, zones[index])
			}
		}
	}
	seen := map[string]bool{}
	for _, class := range settings.Classes {
		for service := range class.Services {
			if !seen[service] {
				seen[service] = true
				fleet.services = append(fleet.services, service)
			}
		}
	}
	sort.Strings(fleet.services)
	return fleet, fleet.planProcesses()
}

// waitForPeer keeps the fleet running until the peer has finished too, for at most 2 minutes.
func (fleet *Fleet) waitForPeer() {
	fleet.mutex.Lock()
	fleet.finished = true
	fleet.mutex.Unlock()
	for deadline := time.Now().Add(2 * time.Minute); fleet.peer != nil && time.Now().Before(deadline); {
		fleet.peer.mutex.Lock()
		finished := fleet.peer.finished
		fleet.peer.mutex.Unlock()
		if finished || !fleet.goroutines.Sleep(50*time.Millisecond) {
			return
		}
	}
}

func (fleet *Fleet) allProcesses() []*Process {
	all := append(append(append([]*Process{fleet.Platform}, fleet.Backends...), fleet.Cores...), fleet.Directories...)
	return append(all, fleet.Proxies...)
}

// daemons returns the directories and proxies.
func (fleet *Fleet) daemons() []*Process {
	return append(append([]*Process{}, fleet.Directories...), fleet.Proxies...)
}

// currentCores returns a copy of Cores, which a scenario that replaces cores may change meanwhile.
func (fleet *Fleet) currentCores() []*Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return append([]*Process{}, fleet.Cores...)
}

// OperatorClient returns a client that tries all daemons and cores in turn, starting at index first.
func (fleet *Fleet) OperatorClient(first int) *operator.Client {
	addresses := []string{}
	daemons := append(fleet.daemons(), fleet.currentCores()...)
	for offset := range daemons {
		addresses = append(addresses, daemons[(first+offset)%len(daemons)].OperatorAddress)
	}
	return operator.NewClient(addresses, &http.Transport{DisableKeepAlives: true})
}

// Leader returns the leader, or nil if none is known.
func (fleet *Fleet) Leader() *Process {
	status, err := fleet.OperatorClient(0).Status()
	if err != nil {
		return nil
	}
	for _, process := range fleet.currentCores() {
		if process.InternalAddress == status.Leader.Address {
			return process
		}
	}
	return nil
}

const journalSuffix = ".journal"

// BackendRecords returns the records of all backends, including those that were killed.
func (fleet *Fleet) BackendRecords() []standin.BackendRecord {
	all := []standin.BackendRecord{}
	journals, _ := filepath.Glob(filepath.Join(fleet.Spec.Folder, "*"+journalSuffix))
	for _, path := range journals {
		all = append(all, standin.ReadBackendRecords(path)...)
	}
	return all
}

// Zones maps names of backends and addresses of proxies to zones.
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

// OperatorAddresses returns the operator addresses of all running daemons and cores.
func (fleet *Fleet) OperatorAddresses() []string {
	addresses := []string{}
	for _, process := range append(fleet.daemons(), fleet.currentCores()...) {
		if process.Alive() {
			addresses = append(addresses, process.OperatorAddress)
		}
	}
	return addresses
}

// Client returns a client of the process with this operator address.
func (fleet *Fleet) Client(address string) *operator.Client {
	return operator.NewClient([]string{address}, nil)
}

// Sleep sleeps and returns false once the run is stopped.
func (fleet *Fleet) Sleep(duration time.Duration) bool { return fleet.goroutines.Sleep(duration) }

// Start runs function in one of the run's goroutines.
func (fleet *Fleet) Start(function func()) { fleet.goroutines.Start(function) }

// Shutdown sends SIGTERM to all processes, resuming frozen ones, and records exit codes other than 0.
func (fleet *Fleet) Shutdown() {
	for _, process := range fleet.allProcesses() {
		process.Signal(syscall.SIGCONT)
		process.Signal(syscall.SIGTERM)
	}
	for _, process := range fleet.allProcesses() {
		if code := process.Wait(12 * time.Second); code != 0 {
			fleet.failures = append(fleet.failures, fmt.Sprintf("%s ended with exit code %d", process.Name, code))
		}
	}
}
