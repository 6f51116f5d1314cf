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
	farBeat    = 150 * time.Millisecond
	farSuspect = 750 * time.Millisecond
	farWay     = 55 * time.Millisecond
	farReplace = time.Second

	// drawsApart keeps the random draws of cores different, as the program's are.
	drawsApart = 7919
	farSession = 500 * time.Millisecond
)

// FarDaemon is a daemon without a data plane.
type FarDaemon struct {
	Name     string
	Host     string
	Region   int
	Daemon   *agent.Daemon
	Counters *metrics.Counters
	Alive    bool
	Jump     int64
	Seeds    []string
	// inForce is the version of the routing that the data plane serves by.
	inForce atomic.Uint64
	// OnVersion, if it is set, is called with each version that is put in force, and
	// Rollouts returns what is counted for roll-outs.
	OnVersion func(version *agent.Version)
	Rollouts  func() []message.RolloutCounts

	goroutines *concurrent.Group
	server     *http.Server
	client     *rpc.Client
}

// NewFarWorld is a system in three regions far from each other, whose cores
// find each other by seeds and whose daemons hear news from the cores themselves.
func NewFarWorld(seed uint64, cores int) *World {
	world := NewWorld(seed, cores)
	world.Intervals = agent.Intervals{
		Session:    farSession,
		Watch:      2500 * time.Millisecond,
		FindLeader: 100 * time.Millisecond,
		Pulse:      500 * time.Millisecond,
		UsageCount: 250 * time.Millisecond,
	}
	world.Limits = agent.ForwardLimits{Attempt: 700 * time.Millisecond}
	for index, machine := range world.Cores {
		machine.Host = fmt.Sprintf("10.%d.0.%d", 10*(index%3), index+1)
		machine.InternalAddress, machine.OperatorAddress = machine.Host+":41", machine.Host+":42"
	}
	world.Seeds = wires(world.Cores[:seedCount])
	region := func(host string) string {
		first, _, _ := strings.Cut(strings.TrimPrefix(host, "10."), ".")
		return first
	}
	world.Net.Lag(func(from, to string) time.Duration {
		if region(from) == region(to) {
			return 0
		}
		return farWay
	})
	world.Shape = world.farPlace
	return world
}

func (world *World) farPlace(machine *Core, config *control.Config) {
	config.ID, config.Peers, config.PlatformAddress = 0, nil, ""
	config.Seed += uint64(machine.ID) * drawsApart
	config.Name, config.Bootstrap, config.MinFounders = machine.Host, !machine.wiped, 3
	config.Seeds = world.seedsFor(&machine.Seeds)
	config.HeartbeatInterval, config.SuspicionTimeout, config.TableInterval = farBeat, farSuspect, 250*time.Millisecond
	config.ReplaceAfter = farReplace
	config.DirectSessions, config.SessionTTL = true, 2500*time.Millisecond
	config.ListBackends, config.ListsUntilGone = world.lists, 2
	config.ListZones = world.ListZones
	config.Metering = world.Metering
}

// seedsFor gives a process the seeds that its settings name; those that it is told
// at its first start stay the same until TurnSeeds.
func (world *World) seedsFor(response *[]string) []string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if *response == nil {
		*response = world.Seeds
	}
	return append([]string{}, *response...)
}

// lists is an empty list of backends unless the world has its own.
func (world *World) lists(_ context.Context, page discovery.PageRequest) discovery.Page {
	if world.Listed == nil {
		return discovery.Page{}
	}
	return world.Listed(page)
}

// AddMember lays out a daemon of a region; StartMember starts it.
func (world *World) AddMember(region int) *FarDaemon {
	index := len(world.Members)
	one := &FarDaemon{Name: fmt.Sprintf("member-%d", index), Host: fmt.Sprintf("10.%d.1.%d", 10*region, index+1), Region: region}
	world.Members = append(world.Members, one)
	return one
}

// StartMember starts a daemon that AddMember laid out.
func (world *World) StartMember(one *FarDaemon) {
	spot := agent.Config{
		Name:            one.Name,
		Kind:            message.ProxyKind,
		Zone:            fmt.Sprint("z", one.Region),
		InternalAddress: one.Host + ":41",
		PublicAddress:   one.Host + ":80",
		OperatorAddress: one.Host + ":42",
		Intervals:       world.Intervals,
		ForwardLimits:   world.Limits,
		DirectSessions:  true,
		ServesAlone:     true,
		Routed:          true,
		Wall:            func() int64 { return time.Now().UnixMilli() + one.Jump },
	}
	spot.Seeds = world.seedsFor(&one.Seeds)
	one.goroutines, one.Counters = concurrent.NewGroup(), metrics.NewCounters()
	one.client = rpc.NewClient(world.Net.Transport(one.Host))
	one.Daemon = agent.NewDaemon(spot, agent.NewID(), one.client, one.goroutines, one.Counters)
	last := uint64(0)
	one.inForce.Store(0)
	one.Daemon.OnVersion(func(version *agent.Version) {
		if version.Servable() {
			one.inForce.Store(version.Routing.Config.Version)
		}
		if version.RoutingSerial < last {
			world.broke("%s slid from routing %d to %d", one.Name, last, version.RoutingSerial)
		}
		last = version.RoutingSerial
		if one.OnVersion != nil {
			one.OnVersion(version)
		}
	}, nil)
	if one.Rollouts != nil {
		one.Daemon.SetRollouts(one.Rollouts)
	}
	if world.Requests != nil {
		one.Daemon.SetWindows(func() []message.WindowCount { return world.Requests(one) })
	}
	world.Net.Vanish(one.Host, false)
	server := rpc.NewServer(one.Counters)
	one.Daemon.Register(server)
	one.server = world.serve(one.goroutines, spot.InternalAddress, server)
	one.Alive = true
	one.Daemon.Run()
}

// KillMember ends a daemon as a crash does.
func (world *World) KillMember(one *FarDaemon) {
	if !world.ends(&one.Alive) {
		return
	}
	world.Net.Kill(one.Host)
	one.goroutines.Stop()
	_ = one.server.Close() // its listener is the net's
	one.client.Close()
}

// PowerOffMember ends a daemon as a loss of power does: nobody hears of it, and whoever
// connects to its machine waits until StartMember.
func (world *World) PowerOffMember(one *FarDaemon) {
	if !world.ends(&one.Alive) {
		return
	}
	world.Net.Vanish(one.Host, true)
	one.goroutines.Stop()
	_ = one.server.Close() // its listener is the net's
	one.client.Close()
}

// CloseFar ends the members, then all else.
func (world *World) CloseFar() {
	for _, one := range world.Members {
		world.KillMember(one)
	}
	world.Close()
}

// Routing is a small one for worlds.
func Routing(version uint64) *routing.Config {
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

// NewState is a small routing as the register holds it.
func NewState(version uint64) *routing.State { return &routing.State{Config: *Routing(version)} }

// WholeChange is an operator's order of a whole routing on top of a version.
func WholeChange(version, base uint64) *message.RoutingChangeRequest {
	body, _ := rpc.Marshal(
		&routing.Change{Version: version, Base: base, Digest: fmt.Sprintf("%d on %d", version, base), Whole: Routing(version)},
	)
	return &message.RoutingChangeRequest{Body: body}
}

// order sends an order by some holds in turn until it has an answer that ends it.
func order[Request, Response any](
	world *World,
	holds []*agent.Forwarder,
	method rpc.Method[Request, Response],
	request *Request,
) (*Response, error) {
	return again(world, holds, func(forwarder *agent.Forwarder) (*Response, error) {
		return agent.Forward(forwarder, method, request)
	})
}

// again sends by some holds in turn until there is an answer that ends it.
func again[Told any](world *World, holds []*agent.Forwarder, send func(*agent.Forwarder) (*Told, error)) (*Told, error) {
	for try := 0; ; try++ {
		response, err := send(holds[try%len(holds)])
		if err == nil || rpc.AsError(err).RetryAfterMs == 0 || try > 20 {
			return response, err
		}
		world.Rest(200 * time.Millisecond)
	}
}

func (world *World) holds() []*agent.Forwarder {
	holds := []*agent.Forwarder{}
	for _, machine := range world.machines() {
		if forwarder := machine.hold(world); forwarder != nil {
			holds = append(holds, forwarder)
		}
	}
	return holds
}

// Put sends a routing until it is taken or refused.
func (world *World) Put(version, base uint64) error {
	_, err := order(world, world.holds(), message.MethodRoutingChange, WholeChange(version, base))
	return err
}

// Evacuate sends an order on a zone until it is acknowledged or refused.
func (world *World) Evacuate(zone string, begin bool) error {
	_, err := world.evacuateBy(world.holds(), zone, begin)
	return err
}

func (world *World) evacuateBy(holds []*agent.Forwarder, zone string, begin bool) (*message.EvacuateResponse, error) {
	return again(world, holds, func(forwarder *agent.Forwarder) (*message.EvacuateResponse, error) {
		return agent.Evacuate(context.Background(), forwarder, zone, begin)
	})
}

// OrderRollout sends an order for a roll-out until it is acknowledged or refused.
func (world *World) OrderRollout(order message.RolloutOrder) (*message.RolloutOrderResponse, error) {
	return again(world, world.holds(), func(forwarder *agent.Forwarder) (*message.RolloutOrderResponse, error) {
		return agent.OrderRollout(context.Background(), forwarder, order)
	})
}

// ReadRollout reads the confirmed newest roll-out of a service.
func (world *World) ReadRollout(service string) (*message.RolloutReadResponse, error) {
	return order(world, world.holds(), message.MethodRolloutRead, &message.RolloutReadRequest{Service: service})
}

// Book reads the confirmed routing back.
func (world *World) Book() (*routing.State, error) {
	response, err := order(world, world.holds(), message.MethodRoutingRead, &message.RoutingReadRequest{})
	if err != nil {
		return nil, err
	}
	return routing.DecodeState(response.Body)
}
