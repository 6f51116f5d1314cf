package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is the short delay after which a process that ended is started again.
	restartDelay = 500 * time.Millisecond
	// memoryLimitMB is what a process may use, as the settings say.
	memoryLimitMB = 284
	// memoryInterval is how often the memory of the processes is looked at.
	memoryInterval = 20 * time.Millisecond
	// settleTime is how long a deployment that has answered is left alone before a case begins.
	settleTime = 6 * time.Second
	// configureTimeout is how long the first configuration is sent.
	configureTimeout = 50 * time.Second
	// cores is how many core machines there are.
	cores = 3
	// internalPorts is how many ports are for messages between daemons.
	internalPorts = 16
)

// errNoConfiguration says that no core took the first configuration.
var errNoConfiguration = errors.New("no configuration was taken")

// ports of a deployment; they are alike on all machines.
type ports struct{ internal, clients, ready, operators, lookups int }

// machine is one machine with one process.
type machine struct {
	name, role, zone, region, address string
	settings                          string
	command                           *exec.Cmd
	kills                             int // for going over the memory limit
	peakKB                            int
}

// deployment is the processes of the deploy file and their stand-ins.
type deployment struct {
	program  string
	folder   string
	record   *record
	wire     *wire
	ports    ports
	provider *provider
	backends []*backend

	mutex    sync.Mutex
	machines []*machine
	stopped  bool
}

// newDeployment picks free ports and a temporary folder; nothing runs yet.
func newDeployment(program string, record *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	wire, err := newWire()
	if err != nil {
		return nil, err
	}
	deployment := &deployment{program: program, folder: folder, record: record, wire: wire}
	for range 50 {
		base := 20000 + rand.IntN(9000)
		if freePorts("127.0.0.1", base, 30) {
			deployment.ports = ports{internal: base, clients: base + 20, ready: base + 21, operators: base + 22, lookups: base + 23}
			return deployment, nil
		}
	}
	return nil, errors.New("no free ports")
}

func freePorts(address string, first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

var zones = []string{"accra-osu", "kumasi-adum", "tamale-central"}

func regionOf(zone string) string { return strings.SplitN(zone, "-", 2)[0] }

// start starts the cores and some proxies, for the first time.
func (deployment *deployment) start(proxies int) error {
	for index := range cores {
		deployment.add("core", zones[index], fmt.Sprintf("127.0.1.%d", index+1))
	}
	for index := range proxies {
		deployment.add("proxy", zones[index%len(zones)], fmt.Sprintf("127.0.2.%d", index+1))
	}
	for _, machine := range deployment.machines {
		if err := deployment.launch(machine); err != nil {
			return err
		}
	}
	return nil
}

// begin starts the platform with the backends, the cores and some proxies, and sends the first configuration.
func (deployment *deployment) begin(proxies int) error {
	provider, err := newProvider(deployment.wire, "127.0.0.1:0")
	if err != nil {
		return err
	}
	provider.backends = deployment.backends
	deployment.provider = provider
	if err := deployment.start(proxies); err != nil {
		return err
	}
	return deployment.configure(deployment.wire.configuration)
}

func (deployment *deployment) add(role, zone, address string) {
	machine := &machine{name: role + "-" + address, role: role, zone: zone, region: regionOf(zone), address: address}
	deployment.machines = append(deployment.machines, machine)
}

// launch starts a machine's process with the command of the deploy file.
func (deployment *deployment) launch(machine *machine) error {
	machine.settings = filepath.Join(deployment.folder, machine.name+".toml")
	text, err := deployment.settingsOf(machine)
	if err != nil {
		return err
	}
	if err := os.WriteFile(machine.settings, text, 0o600); err != nil {
		return err
	}
	command := exec.Command(deployment.program, machine.role)
	command.Env = []string{deployment.wire.names.SettingsVariable + "=" + machine.settings, "PATH=" + os.Getenv("PATH")}
	output, err := os.OpenFile(filepath.Join(deployment.folder, machine.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	machine.command = command
	_ = output.Close()
	return nil
}

// settingsOf is the settings file of a machine, as the pages show it for a small deployment.
func (deployment *deployment) settingsOf(machine *machine) ([]byte, error) {
	ports := deployment.ports
	values := &settingsValues{
		Name:      machine.name,
		Role:      machine.role,
		Address:   machine.address,
		Zone:      machine.zone,
		Region:    machine.region,
		FirstPort: ports.internal,
		LastPort:  ports.internal + internalPorts - 1,
		MemoryMB:  memoryLimitMB,
		First:     machine.command == nil,
		IsCore:    machine.role == "core",
		Folder:    filepath.Join(deployment.folder, machine.name),
		Operators: at(machine.address, ports.operators),
		Clients:   at(machine.address, ports.clients),
		Ready:     at(machine.address, ports.ready),
		Lookups:   at(machine.address, ports.lookups),
		Provider:  deployment.provider.address,
	}
	for _, other := range deployment.machines {
		if other.role == "core" {
			values.Seeds = append(values.Seeds, at(other.address, ports.operators))
		}
	}
	for _, zone := range zones {
		values.Zones = append(values.Zones, zoneValues{Name: zone, Region: regionOf(zone)})
	}
	return deployment.wire.settings(values)
}

func at(address string, port int) string { return net.JoinHostPort(address, strconv.Itoa(port)) }

// proxies returns the machines that serve clients.
func (deployment *deployment) proxies() []*machine {
	proxies := []*machine{}
	for _, machine := range deployment.machines {
		if machine.role == "proxy" {
			proxies = append(proxies, machine)
		}
	}
	return proxies
}

// clientsAddress is where a proxy takes clients' requests.
func (deployment *deployment) clientsAddress(machine *machine) string {
	return at(machine.address, deployment.ports.clients)
}

// configure sends the first configuration until it is taken, and waits until all proxies are ready.
func (deployment *deployment) configure(body string) error {
	until := time.Now().Add(configureTimeout)
	for index := 0; ; index++ {
		status, text := deployment.put(deployment.machines[index%cores], body)
		if status == http.StatusOK {
			break
		}
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout {
			return fmt.Errorf("configuration: status %d: %s", status, text)
		}
		if time.Now().After(until) {
			return errNoConfiguration
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, machine := range deployment.proxies() {
		for !deployment.isReady(machine) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", machine.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	deployment.record.printf("configuration taken, all proxies ready")
	time.Sleep(settleTime)
	return nil
}

// put sends a configuration to a core once and returns the status, 0 without an answer within a second.
func (deployment *deployment) put(core *machine, body string) (int, string) {
	url := "http://" + at(core.address, deployment.ports.operators) + "/config"
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, string(text)
}

func (deployment *deployment) isReady(machine *machine) bool {
	url := "http://" + at(machine.address, deployment.ports.ready) + deployment.wire.names.ReadyPath
	response, err := (&http.Client{Timeout: time.Second}).Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// limitMemory is the machines' part: a process that goes over its memory is killed, and started
// again after a short delay. It returns once the channel is closed.
func (deployment *deployment) limitMemory(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryInterval):
		}
		for _, machine := range deployment.proxies() {
			residentKB := residentOf(machine.command.Process.Pid)
			machine.peakKB = max(machine.peakKB, residentKB)
			if residentKB <= memoryLimitMB*1024 {
				continue
			}
			machine.kills++
			deployment.record.printf("%s uses %d MB of %d and is killed (%d times so far)",
				machine.name, residentKB/1024, memoryLimitMB, machine.kills)
			_ = machine.command.Process.Kill()
			_ = machine.command.Wait()
			time.Sleep(restartDelay)
			if err := deployment.launch(machine); err != nil {
				deployment.record.printf("%s: %v", machine.name, err)
				return
			}
		}
	}
}

// residentOf is the memory of a process in kilobytes, 0 if it cannot be read.
func residentOf(pid int) int {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(body))
	if len(fields) < 3 {
		return 0
	}
	resident, _ := strconv.Atoi(fields[1])
	shared, _ := strconv.Atoi(fields[2])
	return (resident - shared) * os.Getpagesize() / 1024
}

// stop ends all processes and stand-ins.
func (deployment *deployment) stop() {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	if deployment.stopped {
		return
	}
	deployment.stopped = true
	for _, machine := range deployment.machines {
		if machine.command != nil {
			_ = machine.command.Process.Signal(syscall.SIGCONT)
			_ = machine.command.Process.Kill()
			_ = machine.command.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	}
}
