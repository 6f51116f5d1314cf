package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/control"
	"orchidjunction/directory"
	"orchidjunction/discovery"
	"orchidjunction/harness/checker"
	"orchidjunction/harness/standin"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/operator"
	"orchidjunction/rpc"
	"orchidjunction/serviceproxy"
)

// World is a complete simulated deployment, which runs in a testing/synctest bubble.
type World struct {
	Net        *Network
	Seed       uint64
	Cores      []*Core
	Removed    []*Core
	Seeds      []string
	Daemons    []*Daemon
	Backends   []*Backend
	Platform   *standin.Platform
	Subnet     int
	random     *rand.Rand
	goroutines *concurrent.Group
	servers    []*http.Server

	mutex             sync.Mutex
	Violations        []string
	Leaderships       []ObservedLeadership
	contentBySerial   map[uint64]string
	formerBackends    []standin.BackendRecord
	windows           []checker.Window
	checkUsageReports bool
	revivals          int
	// machinesCreated also counts the core machines that were replaced.
	machinesCreated  int
	operatorRandom   *rand.Rand
	plannedOnly      bool
	AdjustCoreConfig func(machine *Core, config *control.Config)
	Intervals        agent.Intervals
	Limits           agent.ForwardLimits

	Members       []*RegionalDaemon
	RequestCounts func(*RegionalDaemon) []message.WindowCount
	Metering      control.Metering
	ListBackends  func(page discovery.PageRequest) discovery.Page
	// ListZones, if set, returns the zones that ListBackends can list separately.
	ListZones func() []string
}

// Daemon is a simulated directory node or proxy.
type Daemon struct {
	Name            string
	Kind            string
	Host            string
	Zone            string
	PublicAddress   string
	InternalAddress string
	OperatorAddress string
	Daemon          *agent.Daemon
	Proxy           *serviceproxy.Proxy
	Counters        *metrics.Counters
	Alive           bool
	goroutines      *concurrent.Group
	servers         []*http.Server
	client          *rpc.Client
	highestSerial   uint64
	Lender          *Daemon
}

// Backend is a simulated backend.
type Backend struct {
	Listed  standin.Listed
	Backend *standin.Backend
	server  *http.Server
}

// The heartbeat interval and the suspicion timeout of the simulated cores are shorter than in
// production so that runs are short.
const (
	HeartbeatInterval = 75 * time.Millisecond
	SuspicionTimeout  = 300 * time.Millisecond
	retireSettle      = 2500 * time.Millisecond
	retireGrace       = 6 * time.Second
)

func (world *World) platformAddress() string { return fmt.Sprintf("10.%d.0.1:80", world.Subnet+9) }

// NewWorld returns a deployment with its own network. Its random faults follow the seed.
func NewWorld(seed uint64, cores int) *World { return newWorld(NewNetwork(seed), 0, seed, cores) }

// NewPartnerWorld returns the deployment of another partner on the same network.
func (world *World) NewPartnerWorld(cores int) *World {
	return newWorld(world.Net, world.Subnet+100, world.Seed+1000, cores)
}

func newWorld(network *Network, subnet int, seed uint64, cores int) *World {
	world := &World{
		Net:             network,
		Subnet:          subnet,
		Seed:            seed,
		random:          rand.New(rand.NewPCG(seed, 17)),
		goroutines:      concurrent.NewGroup(),
		contentBySerial: map[uint64]string{},
		machinesCreated: cores,
		operatorRandom:  rand.New(rand.NewPCG(seed, 41)),
	}
	for index := range cores {
		host := fmt.Sprintf("10.%d.0.%d", subnet, index+1)
		world.Cores = append(world.Cores, newCore(index+1, host, NewDisk(seed+uint64(index))))
	}
	return world
}

func (world *World) reportViolation(format string, values ...any) {
	world.mutex.Lock()
	world.Violations = append(world.Violations, fmt.Sprintf(format, values...))
	world.mutex.Unlock()
}

func (world *World) serve(goroutines *concurrent.Group, address string, handler http.Handler) *http.Server {
	ln, err := world.Net.Listen(address)
	if err != nil {
		world.reportViolation("listen %s: %v", address, err)
		return &http.Server{}
	}
	server := &http.Server{Handler: handler}
	goroutines.Start(func() { _ = server.Serve(ln) }) // returns when the server or its listener is closed
	return server
}

func (world *World) markStopped(alive *bool) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	wasAlive := *alive
	*alive = false
	return wasAlive
}

// running returns the daemon's current process, or nil.
func (daemon *Daemon) running(world *World) *agent.Daemon {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if !daemon.Alive {
		return nil
	}
	return daemon.Daemon
}

// AddDaemon adds a directory node or a proxy; StartDaemon starts it.
func (world *World) AddDaemon(kind, zone string) *Daemon {
	index := len(world.Daemons)
	host := fmt.Sprintf("10.%d.%d.%d", world.Subnet+1, index/200, index%200+1)
	daemon := &Daemon{
		Name:            fmt.Sprintf("%s-%03d", kind, index),
		Kind:            kind,
		Host:            host,
		Zone:            zone,
		PublicAddress:   host + ":80",
		InternalAddress: host + ":41",
		OperatorAddress: host + ":42",
	}
	world.Daemons = append(world.Daemons, daemon)
	return daemon
}

// StartDaemon starts a daemon that AddDaemon returned.
func (world *World) StartDaemon(daemon *Daemon) {
	seeds := []string{}
	for _, core := range world.Cores[:min(3, len(world.Cores))] {
		seeds = append(seeds, core.InternalAddress)
	}
	config := agent.Config{
		Name:            daemon.Name,
		Kind:            daemon.Kind,
		Zone:            daemon.Zone,
		InternalAddress: daemon.InternalAddress,
		PublicAddress:   daemon.PublicAddress,
		OperatorAddress: daemon.OperatorAddress,
		Seeds:           seeds,
		Guest:           daemon.Lender != nil,
	}
	daemon.goroutines, daemon.Counters = concurrent.NewGroup(), metrics.NewCounters()
	daemon.client = rpc.NewClient(world.Net.Transport(daemon.Host))
	started := agent.NewDaemon(config, agent.NewID(), daemon.client, daemon.goroutines, daemon.Counters)
	world.mutex.Lock()
	daemon.Daemon = started
	world.mutex.Unlock()
	var publicHandler http.Handler
	if daemon.Kind == message.ProxyKind {
		daemon.Proxy = serviceproxy.NewProxy(daemon.Daemon, daemon.goroutines, daemon.Counters, world.Net.Dialer(daemon.Host))
		publicHandler = daemon.Proxy
		if daemon.Lender != nil {
			daemon.Proxy.SetLendingLimit(serviceproxy.NewLendingLimit(daemon.Lender.Proxy, 50, 32))
		}
		daemon.Daemon.OnVersion(
			func(version *agent.Version) { world.checkVersion(daemon, version); daemon.Proxy.Apply(version) },
			daemon.Proxy.Probes,
		)
	} else {
		placements := directory.NewDirectory(daemon.Daemon, daemon.Counters)
		publicHandler = placements
		daemon.Daemon.OnVersion(func(version *agent.Version) { world.checkVersion(daemon, version); placements.Apply(version) }, nil)
	}
	server := rpc.NewServer(daemon.Counters)
	daemon.Daemon.Register(server)
	if daemon.Proxy != nil {
		daemon.Proxy.Register(server)
	}
	operatorAPI := agent.NewOperatorAPI(daemon.Name, daemon.Daemon.Forwarder, daemon.Counters, func() (uint64, []byte) {
		version := daemon.Daemon.Version()
		return version.Serial, version.Body()
	}, daemon.Daemon.Ready)
	daemon.servers = []*http.Server{
		world.serve(daemon.goroutines, daemon.PublicAddress, publicHandler),
		world.serve(daemon.goroutines, daemon.InternalAddress, server),
		world.serve(daemon.goroutines, daemon.OperatorAddress, operatorAPI),
	}
	world.mutex.Lock()
	daemon.Alive, daemon.highestSerial = true, 0
	world.mutex.Unlock()
	daemon.Daemon.Run()
	if daemon.Proxy != nil {
		daemon.Proxy.Run()
	}
}

// checkVersion checks that a daemon's applied settings never go back to an older version, and
// that a version has the same content everywhere.
func (world *World) checkVersion(daemon *Daemon, version *agent.Version) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if version.Serial < daemon.highestSerial {
		world.Violations = append(
			world.Violations,
			fmt.Sprintf("%s went back from settings version %d to %d", daemon.Name, daemon.highestSerial, version.Serial),
		)
	}
	daemon.highestSerial = version.Serial
	if body, found := world.contentBySerial[version.Serial]; found && body != string(version.Body()) {
		world.Violations = append(world.Violations, fmt.Sprintf("settings version %d has two different contents", version.Serial))
	}
	world.contentBySerial[version.Serial] = string(version.Body())
}

// KillDaemon simulates a crash of the daemon's process.
func (world *World) KillDaemon(daemon *Daemon) {
	if !world.markStopped(&daemon.Alive) {
		return
	}
	world.Net.Kill(daemon.Host)
	daemon.goroutines.Stop()
	for _, server := range daemon.servers {
		_ = server.Close() // the network has closed its listeners
	}
	daemon.client.Close()
}

// TerminateDaemon simulates SIGTERM: the daemon retires as its program does, then exits.
func (world *World) TerminateDaemon(daemon *Daemon) {
	daemon.Daemon.Retire(retireSettle, retireGrace, func(remaining time.Duration) bool {
		ctx, cancel := context.WithTimeout(context.Background(), remaining)
		defer cancel()
		return daemon.servers[0].Shutdown(ctx) == nil
	})
	world.KillDaemon(daemon)
}

// AddBackend starts a backend; PublishBackends adds it to the platform's list.
func (world *World) AddBackend(service, zone string, config standin.BackendConfig) *Backend {
	index := len(world.Backends)
	address := fmt.Sprintf("10.%d.%d.%d:80", world.Subnet+2, index/200, index%200+1)
	config.Service, config.Instance = service, fmt.Sprintf("back-%03d", index)
	if config.Incarnation == "" {
		config.Incarnation = "1"
	}
	standIn, _ := standin.NewBackend(config)
	backend := &Backend{Backend: standIn, Listed: standin.Listed{Name: config.Instance, Service: service, Address: address, Zone: zone}}
	backend.server = world.serve(world.goroutines, address, standIn)
	world.Backends = append(world.Backends, backend)
	return backend
}

// ReviveBackend restarts a backend at its address with a new incarnation that is cold for
// coldMs.
func (world *World) ReviveBackend(backend *Backend, coldMs int) {
	config := backend.Backend.Place()
	world.revivals++
	config.Incarnation, config.ColdMs = fmt.Sprint("life-", world.revivals), coldMs
	standIn, _ := standin.NewBackend(config)
	world.ServeBackend(backend, standIn)
}

// StopBackend simulates a crash of the backend.
func (world *World) StopBackend(backend *Backend) {
	world.Net.Kill(host(backend.Listed.Address))
	_ = backend.server.Close() // the network has closed its listener
}

// ServeBackend serves a backend's address again, with the given stand-in.
func (world *World) ServeBackend(backend *Backend, standIn *standin.Backend) {
	world.formerBackends = append(world.formerBackends, backend.Backend.Seen())
	backend.Backend = standIn
	backend.server = world.serve(world.goroutines, backend.Listed.Address, standIn)
}

// PublishBackends makes the platform list the present backends.
func (world *World) PublishBackends() {
	items := []standin.Listed{}
	for _, backend := range world.Backends {
		items = append(items, backend.Listed)
	}
	if world.Platform == nil {
		world.Platform = standin.NewPlatform(10, 200*time.Millisecond, 50, items)
		world.servers = append(world.servers, world.serve(world.goroutines, world.platformAddress(), world.Platform))
		return
	}
	world.Platform.Set(items)
}

// Client returns an operator's client for one operator address of a core or daemon.
func (world *World) Client(address string) *operator.Client {
	return operator.NewClient([]string{address}, &http.Transport{DialContext: world.Net.Dialer("10.8.0.1"), DisableKeepAlives: true})
}

// OperatorAddresses returns the operator addresses of all running cores and daemons.
func (world *World) OperatorAddresses() []string {
	addresses := []string{}
	for _, core := range world.machines() {
		if core.running(world) != nil {
			addresses = append(addresses, core.OperatorAddress)
		}
	}
	for _, daemon := range world.Daemons {
		if daemon.running(world) != nil {
			addresses = append(addresses, daemon.OperatorAddress)
		}
	}
	return addresses
}

// Leader returns the index of the core that is an active leader, or -1.
func (world *World) Leader() int {
	for index, machine := range world.machines() {
		if core := machine.running(world); core != nil && core.Leads() {
			return index
		}
	}
	return -1
}

// Until waits in virtual time for a condition and reports whether it came true.
func (world *World) Until(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		world.goroutines.Sleep(5 * time.Millisecond)
	}
	return condition()
}

// Sleep sleeps in virtual time; it returns false once the world is closed.
func (world *World) Sleep(span time.Duration) bool { return world.goroutines.Sleep(span) }

// NewLoadGenerator returns a generator of requests from outside the deployment, and its HTTP
// client.
func (world *World) NewLoadGenerator(plan standin.LoadPlan) (*standin.LoadGenerator, *http.Client) {
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:         world.Net.Dialer("10.7.0.1"),
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     5 * time.Second,
			DisableCompression:  true,
		},
	}
	return standin.NewLoadGenerator(plan, client, world.goroutines.Start), client
}

// Close stops all goroutines, so that the synctest bubble can end.
func (world *World) Close() {
	for _, daemon := range world.Daemons {
		world.KillDaemon(daemon)
	}
	for _, machine := range world.allMachines() {
		world.killMachine(machine, false)
	}
	world.goroutines.Stop()
	for _, backend := range world.Backends {
		_ = backend.server.Close() // the network closes its listener
	}
	for _, server := range world.servers {
		_ = server.Close() // the network closes its listeners
	}
	time.Sleep(10 * time.Second)
	world.Net.Close()
	time.Sleep(10 * time.Second)
}

// Settings returns a small settings document for tests.
func Settings(hold int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"format":1,"partner":"sim","ack_ms":400,
	"rule":{"limit_ms":2000,"sends":3,"body_bytes":65536,"receipt_bytes":4194304,"hold_ms":%d,"fronts":3,"pipes":16},
	"retry":{"fraction":0.2,"floor":60,"span_ms":10000},
	"regions":{"east":{"zones":["e1"]},"west":{"zones":["w1"]},"south":{"zones":["s1"]}},
	"tenants":{"alder":{"keys":[%q]},"birch":{"keys":[%q],"forbid_regions":["south"]}},
	"classes":{"money":{"rank":1,"money":true,"floor_rps":60,"borrow_rps":60,"services":{"meters":{"routes":{"credit":{"method":"POST","path":"/credits"}}}}},
	"pages":{"rank":2,"floor_rps":40,"borrow_rps":40,"services":{"meters":{"routes":{"page":{"method":"GET","path":"/pages/*"},"slow":{"method":"GET","path":"/slow/*","rule":{"limit_ms":5500}}}}}}}}`, hold, digestOf("key-of-alder"), digestOf("key-of-birch")))
}
