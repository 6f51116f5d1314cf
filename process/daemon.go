package process

import (
	"net/http"

	"k8s.io/klog/v2"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// DataPlane is what a daemon does besides being a member.
type DataPlane interface {
	http.Handler
	Apply(*agent.Version)
	Register(*rpc.Server)
	Run()
}

// Constructor makes the plane of one daemon.
type Constructor func(*agent.Daemon, *concurrent.Group, *metrics.Counters) (DataPlane, func() []message.Probe)

// Instance is one daemon with its open sides; a process has one, or two when it
// is a guest at the other partner as well.
type Instance struct {
	Daemon    *agent.Daemon
	Plane     DataPlane
	client    *rpc.Client
	counters  *metrics.Counters
	listeners []*Listener
}

func newInstance(
	flags *Flags, config agent.Config, limits ConnLimits, goroutines *concurrent.Group, construct Constructor,
) *Instance {
	instance := &Instance{client: rpc.NewClient(Transport()), counters: metrics.NewCounters()}
	instance.Daemon = agent.NewDaemon(config, agent.NewID(), instance.client, goroutines, instance.counters)
	plane, probes := construct(instance.Daemon, goroutines, instance.counters)
	instance.Plane = plane
	instance.Daemon.OnVersion(plane.Apply, probes)
	server := rpc.NewServer(instance.counters)
	instance.Daemon.Register(server)
	plane.Register(server)
	operate := agent.NewOperatorAPI(config.Name, instance.Daemon.Forwarder, instance.counters, func() (uint64, []byte) {
		version := instance.Daemon.Version()
		return version.Serial, version.Body()
	}, instance.Daemon.Ready)
	outside, inside := ListenOptions{Limits: limits, Counters: instance.counters}, ListenOptions{Counters: instance.counters}
	for _, side := range []struct {
		address string
		handler http.Handler
		options ListenOptions
	}{{config.PublicAddress, plane, outside}, {config.InternalAddress, server, inside}, {config.OperatorAddress, operate, outside}} {
		listener, err := Listen(side.address, side.handler, side.options)
		flags.Exit(err)
		instance.listeners = append(instance.listeners, listener)
	}
	return instance
}

func (instance *Instance) run(goroutines *concurrent.Group) {
	for _, listener := range instance.listeners {
		listener.Serve(goroutines)
	}
	instance.Daemon.Run()
	instance.Plane.Run()
	LogCounts(goroutines, instance.counters, instance.Daemon.Name())
	goroutines.OnStop(func() {
		for _, listener := range instance.listeners {
			listener.Close()
		}
	})
}

// Guest is a second place at the other partner, if it is given, and what is lent there.
type Guest struct {
	Config    agent.Config
	PerSecond float64
	InFlight  int
	Join      func(owner, guest DataPlane)
}

func (guest *Guest) add(flags *Flags) {
	flags.Parser.String(&guest.Config.Name, "", "guest-name", "this machine's name at the other partner, when it lends room there")
	flags.Parser.String(&guest.Config.Zone, "", "guest-zone", "zone of the other partner's that this machine counts as")
	flags.Parser.String(&guest.Config.PublicAddress, "", "guest-listen", "IP:port for the other partner's callers")
	flags.Parser.String(&guest.Config.InternalAddress, "", "guest-wire", "IP:port for the other partner's processes")
	flags.Parser.String(&guest.Config.OperatorAddress, "", "guest-operate", "IP:port for the other partner's operators")
	flags.Parser.StringSlice(&guest.Config.Seeds, "", "guest-seed", "IP:port of a core of the other partner's; up to three")
	flags.Parser.Float64(&guest.PerSecond, "", "lend-rps", "tasks a second lent to the other partner at most")
	flags.Parser.Int(&guest.InFlight, "", "lend-in-flight", "tasks at once lent to the other partner at most")
}

func (guest *Guest) given() bool { return guest.Config.Name != "" || len(guest.Config.Seeds) > 0 }

// RunDaemon is the life of a directory node or a proxy.
func RunDaemon(flags *Flags, kind string, guest *Guest, construct Constructor) {
	config := agent.Config{Kind: kind}
	grace, settle := 6000, 2500
	flags.Parser.String(&config.Name, "", "name", "this daemon's name, unlike any other's")
	flags.Parser.String(&config.Zone, "", "zone", "zone this daemon stands in")
	flags.Parser.String(&config.PublicAddress, "", "listen", "IP:port for callers")
	flags.Parser.String(&config.InternalAddress, "", "wire", "IP:port for the system's own processes")
	flags.Parser.String(&config.OperatorAddress, "", "operate", "IP:port for operators")
	flags.Parser.StringSlice(&config.Seeds, "", "seed", "IP:port of a core's wire side; up to three")
	flags.Parser.Int(&grace, "", "grace-ms", "grace after SIGTERM for what is in flight")
	flags.Parser.Int(&settle, "", "settle-ms", "part of the grace in which callers learn to go elsewhere")
	limitFlags := NewLimitFlags(flags)
	if guest != nil {
		guest.add(flags)
	}
	flags.Parse()
	limits, err := limitFlags.Limits()
	flags.Exit(err)
	flags.Exit(config.Check())
	if grace < 0 || settle < 0 || settle > grace {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--settle-ms: %d is not in 0 to the grace of %d", settle, grace))
	}
	goroutines := concurrent.NewGroup()
	instances := []*Instance{newInstance(flags, config, limits, goroutines, construct)}
	if guest != nil && guest.given() {
		guest.Config.Kind, guest.Config.Guest = kind, true
		if err := guest.Config.Check(); err != nil {
			flags.Exit(rpc.WithPrefix("as a guest", err))
		}
		if guest.PerSecond <= 0 || guest.InFlight < 1 {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "--lend-rps and --lend-in-flight: a guest lends something of both"))
		}
		instances = append(instances, newInstance(flags, guest.Config, limits, goroutines, construct))
		guest.Join(instances[0].Plane, instances[1].Plane)
	}
	for _, instance := range instances {
		instance.run(goroutines)
	}
	OnTerm(goroutines, func() {
		settleTime, graceTime := Milliseconds(settle), Milliseconds(grace)
		ended, _ := concurrent.Gather(goroutines, len(instances), func(index int) (bool, error) {
			instance := instances[index]
			return instance.Daemon.Retire(settleTime, graceTime, instance.listeners[0].Drain), nil
		}, func(map[int]bool, map[int]error) bool { return false })
		whole := true
		for _, one := range ended {
			whole = whole && one
		}
		klog.Infof("%s: stopping, all requests in flight finished: %v", config.Name, whole)
		goroutines.Stop()
	})
	klog.Infof("%s: started in zone %s", config.Name, config.Zone)
	goroutines.Wait()
	for _, instance := range instances {
		instance.client.Close()
	}
}
