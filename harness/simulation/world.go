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

// World is a whole fleet in one bubble of virtual time.
type World struct {
	Net        *Net
	Seed       uint64
	Cores      []*Core
	Removed    []*Core
	Seeds      []string
	Daemons    []*Daemon
	Backends   []*Backend
	Platform   *standin.Platform
	Base       int
	random     *rand.Rand
	goroutines *concurrent.Group
	servers    []*http.Server

	mutex   sync.Mutex
	Broken  []string
	Leads   []ObservedLeadership
	applied map[uint64]string
	past    []standin.BackendRecord
	windows []checker.Window
	reports bool
	lives   int
	// laidOut counts the core machines that there ever were.
	laidOut   int
	replacing *rand.Rand
	planned   bool
	Shape     func(machine *Core, config *control.Config)
	Intervals agent.Intervals
	Limits    agent.ForwardLimits

	Members  []*FarDaemon
	Requests func(*FarDaemon) []message.WindowCount
	Metering control.Metering
	Listed   func(page discovery.PageRequest) discovery.Page
	// ListZones returns the zones by which Listed lists, if it does.
	ListZones func() []string
}

// Daemon is one directory node or proxy of the world.
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
	highest         uint64
	Lender          *Daemon
}

// Backend is one backend of the world.
type Backend struct {
	Listed  standin.Listed
	Backend *standin.Backend
	server  *http.Server
}

// The cores of a simulated deployment send heartbeats and stand for election at these
// times, which are shorter than in production so that runs are short.
const (
	HeartbeatInterval = 75 * time.Millisecond
	SuspicionTimeout  = 300 * time.Millisecond
	settle            = 2500 * time.Millisecond
	grace             = 6 * time.Second
)

func (world *World) platformAddress() string { return fmt.Sprintf("10.%d.0.1:80", world.Base+9) }

// NewWorld returns a deployment of so many cores on a network of its own. Its faults are
// drawn by seed.
func NewWorld(seed uint64, cores int) *World { return newWorld(NewNet(seed), 0, seed, cores) }

// Neighbour is a second system on the same net, the other partner's.
func (world *World) Neighbour(cores int) *World {
	return newWorld(world.Net, world.Base+100, world.Seed+1000, cores)
}

func newWorld(net *Net, base int, seed uint64, cores int) *World {
	world := &World{
		Net:        net,
		Base:       base,
		Seed:       seed,
		random:     rand.New(rand.NewPCG(seed, 17)),
		goroutines: concurrent.NewGroup(),
		applied:    map[uint64]string{},
		laidOut:    cores,
		replacing:  rand.New(rand.NewPCG(seed, 41)),
	}
	for index := range cores {
		host := fmt.Sprintf("10.%d.0.%d", base, index+1)
		world.Cores = append(world.Cores, newCore(index+1, host, NewDisk(seed+uint64(index))))
	}
	return world
}

func (world *World) broke(format string, values ...any) {
	world.mutex.Lock()
	world.Broken = append(world.Broken, fmt.Sprintf(format, values...))
	world.mutex.Unlock()
}

func (world *World) serve(goroutines *concurrent.Group, address string, handler http.Handler) *http.Server {
	open, err := world.Net.Listen(address)
	if err != nil {
		world.broke("listen %s: %v", address, err)
		return &http.Server{}
	}
	server := &http.Server{Handler: handler}
	goroutines.Start(func() { _ = server.Serve(open) }) // ends when the server or its host does
	return server
}

// ends is whether something lived until now.
func (world *World) ends(alive *bool) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	lived := *alive
	*alive = false
	return lived
}

// life is the daemon that runs in this place now, nil when none does.
func (daemon *Daemon) life(world *World) *agent.Daemon {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if !daemon.Alive {
		return nil
	}
	return daemon.Daemon
}

// AddDaemon lays out a directory node or a proxy; StartDaemon starts it.
func (world *World) AddDaemon(kind, zone string) *Daemon {
	index := len(world.Daemons)
	host := fmt.Sprintf("10.%d.%d.%d", world.Base+1, index/200, index%200+1)
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

// StartDaemon starts a daemon that is laid out.
func (world *World) StartDaemon(daemon *Daemon) {
	seeds := []string{}
	for _, core := range world.Cores[:min(3, len(world.Cores))] {
		seeds = append(seeds, core.InternalAddress)
	}
	spot := agent.Config{
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
	made := agent.NewDaemon(spot, agent.NewID(), daemon.client, daemon.goroutines, daemon.Counters)
	world.mutex.Lock()
	daemon.Daemon = made
	world.mutex.Unlock()
	var outer http.Handler
	if daemon.Kind == message.ProxyKind {
		daemon.Proxy = serviceproxy.NewProxy(daemon.Daemon, daemon.goroutines, daemon.Counters, world.Net.Dialer(daemon.Host))
		outer = daemon.Proxy
		if daemon.Lender != nil {
			daemon.Proxy.SetLendingLimit(serviceproxy.NewLendingLimit(daemon.Lender.Proxy, 50, 32))
		}
		daemon.Daemon.OnVersion(
			func(version *agent.Version) { world.takes(daemon, version); daemon.Proxy.Apply(version) },
			daemon.Proxy.Probes,
		)
	} else {
		placements := directory.NewDirectory(daemon.Daemon, daemon.Counters)
		outer = placements
		daemon.Daemon.OnVersion(func(version *agent.Version) { world.takes(daemon, version); placements.Apply(version) }, nil)
	}
	server := rpc.NewServer(daemon.Counters)
	daemon.Daemon.Register(server)
	if daemon.Proxy != nil {
		daemon.Proxy.Register(server)
	}
	operate := agent.NewOperatorAPI(daemon.Name, daemon.Daemon.Forwarder, daemon.Counters, func() (uint64, []byte) {
		version := daemon.Daemon.Version()
		return version.Serial, version.Body()
	}, daemon.Daemon.Ready)
	daemon.servers = []*http.Server{
		world.serve(daemon.goroutines, daemon.PublicAddress, outer),
		world.serve(daemon.goroutines, daemon.InternalAddress, server),
		world.serve(daemon.goroutines, daemon.OperatorAddress, operate),
	}
	world.mutex.Lock()
	daemon.Alive, daemon.highest = true, 0
	world.mutex.Unlock()
	daemon.Daemon.Run()
	if daemon.Proxy != nil {
		daemon.Proxy.Run()
	}
}

// takes judges each version as it comes into force.
func (world *World) takes(daemon *Daemon, version *agent.Version) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if version.Serial < daemon.highest {
		world.Broken = append(world.Broken, fmt.Sprintf("%s slid from %d to %d", daemon.Name, daemon.highest, version.Serial))
	}
	daemon.highest = version.Serial
	if body, found := world.applied[version.Serial]; found && body != string(version.Body()) {
		world.Broken = append(world.Broken, fmt.Sprintf("serial %d has two contents", version.Serial))
	}
	world.applied[version.Serial] = string(version.Body())
}

// KillDaemon ends a daemon as a crash does.
func (world *World) KillDaemon(daemon *Daemon) {
	if !world.ends(&daemon.Alive) {
		return
	}
	world.Net.Kill(daemon.Host)
	daemon.goroutines.Stop()
	for _, server := range daemon.servers {
		_ = server.Close() // its listeners are the net's
	}
	daemon.client.Close()
}

// TermDaemon is the platform's warning to a daemon, as its program takes it.
func (world *World) TermDaemon(daemon *Daemon) {
	daemon.Daemon.Retire(settle, grace, func(rest time.Duration) bool {
		ctx, cancel := context.WithTimeout(context.Background(), rest)
		defer cancel()
		return daemon.servers[0].Shutdown(ctx) == nil
	})
	world.KillDaemon(daemon)
}

// AddBackend starts a backend; List makes the platform list all that were added.
func (world *World) AddBackend(service, zone string, place standin.BackendConfig) *Backend {
	index := len(world.Backends)
	address := fmt.Sprintf("10.%d.%d.%d:80", world.Base+2, index/200, index%200+1)
	place.Service, place.Instance = service, fmt.Sprintf("back-%03d", index)
	if place.Incarnation == "" {
		place.Incarnation = "1"
	}
	inner, _ := standin.NewBackend(place)
	backend := &Backend{Backend: inner, Listed: standin.Listed{Name: place.Instance, Service: service, Address: address, Zone: zone}}
	backend.server = world.serve(world.goroutines, address, inner)
	world.Backends = append(world.Backends, backend)
	return backend
}

// ReviveBackend starts a backend anew at its address, cold if need be.
func (world *World) ReviveBackend(backend *Backend, coldMs int) {
	place := backend.Backend.Place()
	world.lives++
	place.Incarnation, place.ColdMs = fmt.Sprint("life-", world.lives), coldMs
	inner, _ := standin.NewBackend(place)
	world.ServeBackend(backend, inner)
}

// StopBackend ends a backend as a crash does.
func (world *World) StopBackend(backend *Backend) {
	world.Net.Kill(host(backend.Listed.Address))
	_ = backend.server.Close() // its listener is the net's
}

// ServeBackend opens an address again, for another stand-in if need be.
func (world *World) ServeBackend(backend *Backend, inner *standin.Backend) {
	world.past = append(world.past, backend.Backend.Seen())
	backend.Backend = inner
	backend.server = world.serve(world.goroutines, backend.Listed.Address, inner)
}

// List makes the backends' present state what the platform lists.
func (world *World) List() {
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

// Client is an operator's, at one daemon's or core's door.
func (world *World) Client(door string) *operator.Client {
	return operator.NewClient([]string{door}, &http.Transport{DialContext: world.Net.Dialer("10.8.0.1"), DisableKeepAlives: true})
}

// OperatorAddresses are the operators' doors of all that live.
func (world *World) OperatorAddresses() []string {
	doors := []string{}
	for _, core := range world.machines() {
		if core.life(world) != nil {
			doors = append(doors, core.OperatorAddress)
		}
	}
	for _, daemon := range world.Daemons {
		if daemon.life(world) != nil {
			doors = append(doors, daemon.OperatorAddress)
		}
	}
	return doors
}

// Leader is the index of the core that leads with all conditions standing, or -1.
func (world *World) Leader() int {
	for index, machine := range world.machines() {
		if core := machine.life(world); core != nil && core.Leads() {
			return index
		}
	}
	return -1
}

// Until waits in virtual time for a condition.
func (world *World) Until(limit time.Duration, holds func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); {
		if holds() {
			return true
		}
		world.goroutines.Sleep(5 * time.Millisecond)
	}
	return holds()
}

// Rest sleeps in virtual time; false once the world ends.
func (world *World) Rest(span time.Duration) bool { return world.goroutines.Sleep(span) }

// Origin plays callers from outside.
func (world *World) Origin(plan standin.LoadPlan) (*standin.LoadGenerator, *http.Client) {
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

// Close ends everything, so that the bubble can end.
func (world *World) Close() {
	for _, daemon := range world.Daemons {
		world.KillDaemon(daemon)
	}
	for _, machine := range world.everyMachine() {
		world.kill(machine, false)
	}
	world.goroutines.Stop()
	for _, backend := range world.Backends {
		_ = backend.server.Close() // its listener is the net's
	}
	for _, server := range world.servers {
		_ = server.Close() // its listeners are the net's
	}
	time.Sleep(10 * time.Second)
	world.Net.Close()
	time.Sleep(10 * time.Second)
}

// Settings is a small tree for worlds.
func Settings(hold int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"format":1,"partner":"sim","ack_ms":400,
	"rule":{"limit_ms":2000,"sends":3,"body_bytes":65536,"receipt_bytes":4194304,"hold_ms":%d,"fronts":3,"pipes":16},
	"retry":{"fraction":0.2,"floor":60,"span_ms":10000},
	"regions":{"east":{"zones":["e1"]},"west":{"zones":["w1"]},"south":{"zones":["s1"]}},
	"tenants":{"alder":{"keys":[%q]},"birch":{"keys":[%q],"forbid_regions":["south"]}},
	"classes":{"money":{"rank":1,"money":true,"floor_rps":60,"borrow_rps":60,"services":{"meters":{"routes":{"credit":{"method":"POST","path":"/credits"}}}}},
	"pages":{"rank":2,"floor_rps":40,"borrow_rps":40,"services":{"meters":{"routes":{"page":{"method":"GET","path":"/pages/*"},"slow":{"method":"GET","path":"/slow/*","rule":{"limit_ms":5500}}}}}}}}`, hold, digestOf("key-of-alder"), digestOf("key-of-birch")))
}
