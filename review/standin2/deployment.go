package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Zone, host and key are those of the files in the wire folder.
const (
	zone            = "accra-osu"
	host            = "ficu95.example"
	apiKey          = "xd9dnn2ctnfzs989anu6"
	platformAddress = "127.30.0.1"
	coreCount       = 3
	proxyCount      = 2
	startLimit      = 30 * time.Second
)

// Offsets of a machine's ports from the base port, which is the same on all machines.
const (
	portInternal = iota
	portInternalEnd
	portClients
	portReady
	portControl
	portLookup
	portPlatform
	portNextPlatform
	portBackend
	portCount
)

// errNotRun means that the case could not be played.
var errNotRun = errors.New("the case could not run")

var errUnacknowledged = errors.New("no acknowledgement")

// machine is one process of the system, with the settings that the platform would give it.
type machine struct {
	name    string
	address string
	role    string
	folder  string
	command *exec.Cmd
	ended   chan struct{}
}

// deployment is a small system on loopback addresses: three cores, two proxies, a platform and
// one service.
type deployment struct {
	folder   string
	base     int
	record   *recorder
	cores    []*machine
	proxies  []*machine
	platform *platform
	backends []*backend

	platformPort int // offset of the platform's port in the settings
}

func newDeployment(record *recorder, backends int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	system := &deployment{folder: folder, record: record, platformPort: portPlatform}
	for index := range coreCount {
		system.cores = append(system.cores, system.newMachine("core", index))
	}
	for index := range proxyCount {
		system.proxies = append(system.proxies, system.newMachine("proxy", index))
	}
	addresses := []string{platformAddress}
	for _, one := range append(append([]*machine{}, system.cores...), system.proxies...) {
		addresses = append(addresses, one.address)
	}
	for index := range backends {
		addresses = append(addresses, fmt.Sprintf("127.30.4.%d", index+1))
	}
	if system.base, err = freePorts(addresses); err != nil {
		return nil, err
	}
	system.platform = &platform{}
	if err := system.platform.start(system.port(platformAddress, portPlatform)); err != nil {
		return nil, err
	}
	for index := range backends {
		server := &backend{
			id:      fmt.Sprintf("i-%08x", rand.Uint32()),
			address: system.port(fmt.Sprintf("127.30.4.%d", index+1), portBackend),
			record:  record,
		}
		if err := server.start(); err != nil {
			return nil, err
		}
		system.backends = append(system.backends, server)
		system.platform.add(server)
	}
	return system, nil
}

func (system *deployment) newMachine(role string, index int) *machine {
	third := map[string]int{"core": 1, "proxy": 2}[role]
	name := fmt.Sprintf("%s-%s-%d", role, zone, index+1)
	return &machine{
		name:    name,
		role:    role,
		address: fmt.Sprintf("127.30.%d.%d", third, index+1),
		folder:  filepath.Join(system.folder, name),
	}
}

// freePorts returns the first of portCount ports that are free on all addresses.
func freePorts(addresses []string) (int, error) {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		if allFree(addresses, base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports", errNotRun)
}

func allFree(addresses []string, base int) bool {
	for _, address := range addresses {
		for offset := range portCount {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, base+offset))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (system *deployment) port(address string, offset int) string {
	return fmt.Sprintf("%s:%d", address, system.base+offset)
}

// settingsValues fill in the settings file of a machine.
type settingsValues struct {
	Name, Role, Address, DataFolder           string
	Control, Clients, Ready, Lookup, Platform string
	FirstPort, LastPort                       int
	Core, Bootstrap                           bool
	Seeds                                     []string
}

// settings returns the settings file of a machine, with the bounds of a small deployment.
func (system *deployment) settings(one *machine, bootstrap bool) string {
	values := settingsValues{
		Name: one.name, Role: one.role, Address: one.address, DataFolder: filepath.Join(one.folder, "data"),
		Control: system.port(one.address, portControl), Clients: system.port(one.address, portClients),
		Ready: system.port(one.address, portReady), Lookup: system.port(one.address, portLookup),
		Platform:  system.port(platformAddress, system.platformPort),
		FirstPort: system.base + portInternal, LastPort: system.base + portInternalEnd,
		Core: one.role == "core", Bootstrap: bootstrap,
	}
	for _, core := range system.cores {
		values.Seeds = append(values.Seeds, system.port(core.address, portControl))
	}
	return render("settings.toml.tmpl", values)
}

func (one *machine) settingsPath() string { return filepath.Join(one.folder, "local.toml") }

// writeSettings replaces the settings file of a machine.
func (system *deployment) writeSettings(one *machine, bootstrap bool) error {
	next := one.settingsPath() + ".next"
	if err := os.WriteFile(next, []byte(system.settings(one, bootstrap)), 0o600); err != nil {
		return err
	}
	return os.Rename(next, one.settingsPath())
}

// start writes the settings of a machine and starts its process by the command of the deploy file.
func (system *deployment) start(one *machine, bootstrap bool) error {
	if err := os.MkdirAll(one.folder, 0o700); err != nil {
		return err
	}
	path := one.settingsPath()
	if err := system.writeSettings(one, bootstrap); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(one.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	one.command = exec.CommandContext(context.Background(), "target/orchidjunction", one.role)
	one.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + one.folder, names.SettingsVariable + "=" + path}
	one.command.Stdout, one.command.Stderr = output, output
	one.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := one.command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	_ = output.Close() // the process has its own
	one.ended = make(chan struct{})
	command, ended := one.command, one.ended
	go func() {
		_ = command.Wait() // the end matters, not its status
		close(ended)
	}()
	return nil
}

// startProcesses starts all machines for the first time.
func (system *deployment) startProcesses() error {
	for _, one := range append(append([]*machine{}, system.cores...), system.proxies...) {
		if err := system.start(one, true); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts the system, gives it the configuration and waits until the proxies are ready.
func (system *deployment) startAll(config string) error {
	if err := system.startProcesses(); err != nil {
		return err
	}
	if err := system.order(http.MethodPut, "/config", config, startLimit); err != nil {
		return err
	}
	deadline := time.Now().Add(startLimit)
	for _, proxy := range system.proxies {
		for !system.ready(proxy) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s did not become ready", errNotRun, proxy.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (system *deployment) ready(proxy *machine) bool {
	status, _, err := call(http.MethodGet, "http://"+system.port(proxy.address, portReady)+names.ReadyPath, "")
	return err == nil && status == http.StatusOK
}

// order sends an operator's order to the cores in turn until it is acknowledged.
func (system *deployment) order(method, path, body string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		core := system.cores[attempt%len(system.cores)]
		status, answer, err := call(method, "http://"+system.port(core.address, portControl)+path, body)
		switch {
		case err == nil && status == http.StatusOK:
			system.record.note("operator: %s %s acknowledged by %s", method, path, core.name)
			return nil
		case err == nil && status >= 400 && status < 500 && status != http.StatusRequestTimeout:
			return fmt.Errorf("%w: %s %s: %d %s", errNotRun, method, path, status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s %s", errUnacknowledged, method, path)
}

// call makes one HTTP call with a limit of a second.
func call(method, url, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

// loseDisk kills a machine's process, empties its data folder and starts it again with bootstrap
// false, as the platform does when a machine loses its disk.
func (system *deployment) loseDisk(one *machine, down time.Duration) error {
	if err := one.command.Process.Kill(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	<-one.ended
	if err := os.RemoveAll(filepath.Join(one.folder, "data")); err != nil {
		return err
	}
	system.record.note("platform: %s is killed and has lost its disk", one.name)
	time.Sleep(down)
	system.record.note("platform: %s starts again", one.name)
	return system.start(one, false)
}

// stop ends all processes that were started and removes their files.
func (system *deployment) stop() {
	for _, one := range append(append([]*machine{}, system.cores...), system.proxies...) {
		if one.command == nil {
			continue
		}
		_ = one.command.Process.Kill() // it may have ended already
		<-one.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(system.folder) // a leftover does no harm
	}
}
