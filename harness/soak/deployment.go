package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	coreCount = 3
	// startTimeout limits the time until a deployment is configured and ready.
	startTimeout    = 60 * time.Second
	readyInterval   = 100 * time.Millisecond
	firstPort       = 20000
	portSpan        = 9000
	maxPortAttempts = 50
)

var (
	errStartTimeout = errors.New("deployment not configured and ready in time")
	errNoPorts      = errors.New("no free ports")
)

// zones are assigned to machines and backends in rotation.
var zones = []zoneInfo{{"accra-osu", "accra"}, {"kumasi-adum", "kumasi"}, {"tamale-central", "tamale"}}

// deployment is real processes on loopback addresses and a stand-in of the platform.
type deployment struct {
	program  string
	folder   string
	bounds   Bounds
	wire     *wireFormat
	ports    ports
	provider *provider
	machines []*machine

	settingsMutex sync.Mutex // held while a settings file is written, so that the last one is the newest
}

// newDeployment finds free ports and starts the platform's stand-in.
func newDeployment(program, folder string, bounds Bounds, proxies int) (*deployment, error) {
	wire, err := newWire()
	if err != nil {
		return nil, err
	}
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	provider, err := newProvider(wire)
	if err != nil {
		return nil, err
	}
	deployment := &deployment{program: program, folder: folder, bounds: bounds, wire: wire, ports: ports, provider: provider}
	for index := range coreCount {
		deployment.addMachine(coreRole, index, fmt.Sprintf("127.0.1.%d", index+1))
	}
	for index := range proxies {
		deployment.addMachine(proxyRole, index, fmt.Sprintf("127.0.2.%d", index+1))
	}
	return deployment, nil
}

func freePorts() (ports, error) {
	for range maxPortAttempts {
		base := firstPort + rand.IntN(portSpan)
		if arePortsFree(base, internalPortCount+4) {
			afterInternal := base + internalPortCount
			return ports{
				internal:  base,
				clients:   afterInternal,
				ready:     afterInternal + 1,
				operators: afterInternal + 2,
				lookups:   afterInternal + 3,
			}, nil
		}
	}
	return ports{}, errNoPorts
}

func arePortsFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func (deployment *deployment) addMachine(role string, index int, address string) {
	deployment.machines = append(deployment.machines, &machine{
		name:    fmt.Sprintf("%s-%d", role, index+1),
		role:    role,
		address: address,
		zone:    zones[index%len(zones)],
		ports:   deployment.ports,
	})
}

func (deployment *deployment) withRole(role string) []*machine {
	machines := []*machine{}
	for _, machine := range deployment.machines {
		if machine.role == role {
			machines = append(machines, machine)
		}
	}
	return machines
}

// launch starts a machine's process.
func (deployment *deployment) launch(machine *machine) error {
	if err := deployment.writeSettings(machine); err != nil {
		return err
	}
	return machine.launch(deployment.program, deployment.folder, deployment.wire.names.SettingsVariable)
}

// movePlatform moves the platform's stand-in to a new address, writes that to all settings files
// and sends SIGHUP. The former address is closed after a delay.
func (deployment *deployment) movePlatform(delay time.Duration) error {
	former, err := deployment.provider.listen()
	if err != nil {
		return err
	}
	for _, machine := range deployment.machines {
		if err := deployment.writeSettings(machine); err != nil {
			return err
		}
		machine.signal(syscall.SIGHUP)
	}
	time.AfterFunc(delay, func() { _ = former.Close() }) // its connections are given up
	return nil
}

// writeSettings writes a machine's settings file.
func (deployment *deployment) writeSettings(machine *machine) error {
	deployment.settingsMutex.Lock()
	defer deployment.settingsMutex.Unlock()
	values := &settings{
		Name:      machine.name,
		Role:      machine.role,
		Address:   machine.address,
		Zone:      machine.zone,
		Zones:     zones,
		FirstPort: deployment.ports.internal,
		LastPort:  deployment.ports.internal + internalPortCount - 1,
		First:     machine.isFirstStart(),
		IsCore:    machine.role == coreRole,
		Folder:    filepath.Join(deployment.folder, machine.name),
		Operators: machine.operatorsAddress(),
		Clients:   machine.clientsAddress(),
		Ready:     machine.readyAddress(),
		Lookups:   joinPort(machine.address, deployment.ports.lookups),
		Provider:  deployment.provider.currentAddress(),
		Bounds:    deployment.bounds,
	}
	for _, core := range deployment.withRole(coreRole) {
		values.Seeds = append(values.Seeds, core.operatorsAddress())
	}
	text, err := deployment.wire.render("settings.toml.tmpl", values)
	if err != nil {
		return err
	}
	return os.WriteFile(machine.settingsPath(deployment.folder), text, 0o600)
}

// start starts all machines and returns once the first configuration is accepted and all
// proxies are ready.
func (deployment *deployment) start(ctx context.Context, operator *operator, first configuration) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, machine := range deployment.machines {
		if err := deployment.launch(machine); err != nil {
			return err
		}
	}
	status, err := operator.configure(ctx, first)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%w: first configuration was answered with status %d", errStartTimeout, status)
	}
	for _, proxy := range deployment.withRole(proxyRole) {
		for !deployment.isReady(proxy) {
			if sleep(ctx, readyInterval); ctx.Err() != nil {
				return fmt.Errorf("%w: %s is not ready", errStartTimeout, proxy.name)
			}
		}
	}
	return nil
}

func (deployment *deployment) isReady(proxy *machine) bool {
	response, err := (&http.Client{Timeout: callTimeout}).Get("http://" + proxy.readyAddress() + deployment.wire.names.ReadyPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop kills all processes and stops the stand-ins.
func (deployment *deployment) stop() {
	for _, machine := range deployment.machines {
		machine.waitOrKill(0)
	}
	for _, backend := range deployment.provider.backendsWhere(func(*backend) bool { return true }) {
		backend.close()
	}
	deployment.provider.close()
}

// makeFolder creates the folder for settings, logs and the cores' state.
func makeFolder(folder string) (string, error) {
	if folder == "" {
		return os.MkdirTemp("", "soak")
	}
	return folder, os.MkdirAll(folder, 0o700)
}
