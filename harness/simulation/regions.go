package simulation

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/control"
	"orchidjunction/discovery"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

const (
	regionalHeartbeatInterval = 150 * time.Millisecond
	regionalSuspicionTimeout  = 750 * time.Millisecond
	interRegionDelay          = 55 * time.Millisecond
	regionalReplaceAfter      = time.Second

	// seedStride gives each core a different random sequence, as in production.
	seedStride              = 7919
	regionalSessionInterval = 500 * time.Millisecond
)

// RegionalDaemon is a daemon without a data plane.
type RegionalDaemon struct {
	Name          string
	Host          string
	Region        int
	Daemon        *agent.Daemon
	Counters      *metrics.Counters
	Alive         bool
	ClockOffsetMs int64
	Seeds         []string
	// inForce is the routing version that a data plane would serve.
	inForce atomic.Uint64
	// OnVersion, if set, is called with each applied version; Rollouts returns the roll-out
	// counts.
	OnVersion func(version *agent.Version)
	Rollouts  func() []message.RolloutCounts

	goroutines *concurrent.Group
	server     *http.Server
	client     *rpc.Client
}

// NewRegionalWorld returns a deployment in three distant regions. Its cores find each other
// through seeds, and its daemons keep sessions with the cores directly.
func NewRegionalWorld(seed uint64, cores int) *World {
	world := NewWorld(seed, cores)
	world.Intervals = agent.Intervals{
		Session:    regionalSessionInterval,
		Watch:      2500 * time.Millisecond,
		FindLeader: 100 * time.Millisecond,
		PauseCheck: 500 * time.Millisecond,
		UsageCount: 250 * time.Millisecond,
	}
	world.Limits = agent.ForwardLimits{Attempt: 700 * time.Millisecond}
	for index, machine := range world.Cores {
		machine.Host = fmt.Sprintf("10.%d.0.%d", 10*(index%3), index+1)
		machine.InternalAddress, machine.OperatorAddress = machine.Host+":41", machine.Host+":42"
	}
	world.Seeds = internalAddresses(world.Cores[:seedCount])
	region := func(host string) string {
		first, _, _ := strings.Cut(strings.TrimPrefix(host, "10."), ".")
		return first
	}
	world.Net.SetLag(func(from, to string) time.Duration {
		if region(from) == region(to) {
			return 0
		}
		return interRegionDelay
	})
	world.AdjustCoreConfig = world.regionalCoreConfig
	return world
}

func (world *World) regionalCoreConfig(machine *Core, config *control.Config) {
	config.ID, config.Peers, config.PlatformAddress = 0, nil, ""
	config.Seed += uint64(machine.ID) * seedStride
	config.Name, config.Bootstrap, config.MinFounders = machine.Host, !machine.emptyDisk, 3
	config.Seeds = world.seedsOf(&machine.Seeds)
	config.HeartbeatInterval, config.SuspicionTimeout, config.TableInterval = regionalHeartbeatInterval, regionalSuspicionTimeout, 250*time.Millisecond
	config.ReplaceAfter = regionalReplaceAfter
	config.DirectSessions, config.SessionTTL = true, 2500*time.Millisecond
	config.ListBackends, config.MissingListsUntilRemoved = world.listBackends, 2
	config.ListZones = world.ListZones
	config.Metering = world.Metering
}

// seedsOf returns the seeds in a process's settings. They are set at its first start and
// then stay the same until SetSeeds.
func (world *World) seedsOf(stored *[]string) []string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if *stored == nil {
		*stored = world.Seeds
	}
	return append([]string{}, *stored...)
}

// listBackends returns no backends unless ListBackends is set.
func (world *World) listBackends(_ context.Context, page discovery.PageRequest) discovery.Page {
	if world.ListBackends == nil {
		return discovery.Page{}
	}
	return world.ListBackends(page)
}

// AddMember adds a daemon in a region; StartMember starts it.
func (world *World) AddMember(region int) *RegionalDaemon {
	index := len(world.Members)
	member := &RegionalDaemon{Name: fmt.Sprintf("member-%d", index), Host: fmt.Sprintf("10.%d.1.%d", 10*region, index+1), Region: region}
	world.Members = append(world.Members, member)
	return member
}

// StartMember starts a daemon that AddMember returned.
func (world *World) StartMember(member *RegionalDaemon) {
	config := agent.Config{
		Name:            member.Name,
		Kind:            message.ProxyKind,
		Zone:            fmt.Sprint("z", member.Region),
		InternalAddress: member.Host + ":41",
		PublicAddress:   member.Host + ":80",
		OperatorAddress: member.Host + ":42",
		Intervals:       world.Intervals,
		ForwardLimits:   world.Limits,
		DirectSessions:  true,
		ServesAlone:     true,
		Routed:          true,
		Wall:            func() int64 { return time.Now().UnixMilli() + member.ClockOffsetMs },
	}
	config.Seeds = world.seedsOf(&member.Seeds)
	member.goroutines, member.Counters = concurrent.NewGroup(), metrics.NewCounters()
	member.client = rpc.NewClient(world.Net.Transport(member.Host))
	member.Daemon = agent.NewDaemon(config, agent.NewID(), member.client, member.goroutines, member.Counters)
	last := uint64(0)
	member.inForce.Store(0)
	member.Daemon.OnVersion(func(version *agent.Version) {
		if version.Servable() {
			member.inForce.Store(version.Routing.Config.Version)
		}
		if version.RoutingSerial < last {
			world.reportViolation("%s went back from routing version %d to %d", member.Name, last, version.RoutingSerial)
		}
		last = version.RoutingSerial
		if member.OnVersion != nil {
			member.OnVersion(version)
		}
	}, nil)
	if member.Rollouts != nil {
		member.Daemon.SetRollouts(member.Rollouts)
	}
	if world.RequestCounts != nil {
		member.Daemon.SetWindows(func() []message.WindowCount { return world.RequestCounts(member) })
	}
	world.Net.Blackhole(member.Host, false)
	server := rpc.NewServer(member.Counters)
	member.Daemon.Register(server)
	member.server = world.serve(member.goroutines, config.InternalAddress, server)
	member.Alive = true
	member.Daemon.Run()
}

// KillMember simulates a crash of the daemon's process.
func (world *World) KillMember(member *RegionalDaemon) {
	if !world.markStopped(&member.Alive) {
		return
	}
	world.Net.Kill(member.Host)
	member.goroutines.Stop()
	_ = member.server.Close() // the network has closed its listener
	member.client.Close()
}

// PowerOffMember simulates a power loss of the daemon's machine: its connections hang, and
// so do attempts to connect until StartMember.
func (world *World) PowerOffMember(member *RegionalDaemon) {
	if !world.markStopped(&member.Alive) {
		return
	}
	world.Net.Blackhole(member.Host, true)
	member.goroutines.Stop()
	_ = member.server.Close() // the network has closed its listener
	member.client.Close()
}

// CloseRegional stops the members, then closes the world.
func (world *World) CloseRegional() {
	for _, member := range world.Members {
		world.KillMember(member)
	}
	world.Close()
}

// NewRoutingConfig returns a small routing configuration for tests.
func NewRoutingConfig(version uint64) *routing.Config {
	return &routing.Config{
		Version:  version,
		Services: []routing.Service{{Name: "desk"}},
		Routes: []routing.Route{
			{
				Name:      fmt.Sprint("route-", version),
				Host:      "a.example",
				Prefix:    "/a/",
				Service:   "desk",
				Attempts:  1,
				TimeoutMs: 2000,
				TargetMs:  500,
				Kind:      routing.Idempotent,
			},
		},
	}
}

// NewRoutingState returns the state that the routing register holds for that configuration.
func NewRoutingState(version uint64) *routing.State {
	return &routing.State{Config: *NewRoutingConfig(version)}
}

// NewRoutingChange returns an operator's request to replace the routing of version base.
func NewRoutingChange(version, base uint64) *message.RoutingChangeRequest {
	body, _ := rpc.Marshal(
		&routing.Change{Version: version, Base: base, Digest: fmt.Sprintf("%d on %d", version, base), Whole: NewRoutingConfig(version)},
	)
	return &message.RoutingChangeRequest{Body: body}
}

// forward sends a request through the forwarders in turn until it gets a final response.
func forward[Request, Response any](
	world *World,
	forwarders []*agent.Forwarder,
	method rpc.Method[Request, Response],
	request *Request,
) (*Response, error) {
	return retry(world, forwarders, func(forwarder *agent.Forwarder) (*Response, error) {
		return agent.Forward(forwarder, method, request)
	})
}

// retry calls send with the forwarders in turn until there is a final response: success, an
// error without a retry time, or the 22nd error.
func retry[Response any](world *World, forwarders []*agent.Forwarder, send func(*agent.Forwarder) (*Response, error)) (*Response, error) {
	for try := 0; ; try++ {
		response, err := send(forwarders[try%len(forwarders)])
		if err == nil || rpc.AsError(err).RetryAfterMs == 0 || try > 20 {
			return response, err
		}
		world.Sleep(200 * time.Millisecond)
	}
}

func (world *World) forwarders() []*agent.Forwarder {
	forwarders := []*agent.Forwarder{}
	for _, machine := range world.machines() {
		if forwarder := machine.runningForwarder(world); forwarder != nil {
			forwarders = append(forwarders, forwarder)
		}
	}
	return forwarders
}

// PutRouting sends a routing until it is accepted or rejected.
func (world *World) PutRouting(version, base uint64) error {
	_, err := forward(world, world.forwarders(), message.MethodRoutingChange, NewRoutingChange(version, base))
	return err
}

// Evacuate begins or ends the evacuation of a zone; it retries until the request is
// acknowledged or rejected.
func (world *World) Evacuate(zone string, begin bool) error {
	_, err := world.evacuateThrough(world.forwarders(), zone, begin)
	return err
}

func (world *World) evacuateThrough(forwarders []*agent.Forwarder, zone string, begin bool) (*message.EvacuateResponse, error) {
	return retry(world, forwarders, func(forwarder *agent.Forwarder) (*message.EvacuateResponse, error) {
		return agent.Evacuate(context.Background(), forwarder, zone, begin)
	})
}

// OrderRollout sends a roll-out order until it is acknowledged or rejected.
func (world *World) OrderRollout(order message.RolloutOrder) (*message.RolloutOrderResponse, error) {
	return retry(world, world.forwarders(), func(forwarder *agent.Forwarder) (*message.RolloutOrderResponse, error) {
		return agent.OrderRollout(context.Background(), forwarder, order)
	})
}

// ReadRollout reads the confirmed state of the newest roll-out of a service.
func (world *World) ReadRollout(service string) (*message.RolloutReadResponse, error) {
	return forward(world, world.forwarders(), message.MethodRolloutRead, &message.RolloutReadRequest{Service: service})
}

// ReadRouting reads the confirmed routing.
func (world *World) ReadRouting() (*routing.State, error) {
	response, err := forward(world, world.forwarders(), message.MethodRoutingRead, &message.RoutingReadRequest{})
	if err != nil {
		return nil, err
	}
	return routing.DecodeState(response.Body)
}
