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

// DataPlane is the part of a daemon that serves callers.
type DataPlane interface {
	http.Handler
	Apply(*agent.Version)
	Register(*rpc.Server)
	Run()
}

// Constructor creates the data plane of a daemon. It also returns the function that reports the
// plane's probes of backends.
type Constructor func(*agent.Daemon, *concurrent.Group, *metrics.Counters) (DataPlane, func() []message.Probe)

// Instance is a daemon with its listeners. A process has one, or two if it is also a guest in
// the other partner's deployment.
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
	operatorAPI := agent.NewOperatorAPI(config.Name, instance.Daemon.Forwarder, instance.counters, func() (uint64, []byte) {
		version := instance.Daemon.Version()
		return version.Serial, version.Body()
	}, instance.Daemon.Ready)
	external, internal := ListenOptions{Limits: limits, Counters: instance.counters}, ListenOptions{Counters: instance.counters}
	for _, side := range []struct {
		address string
		handler http.Handler
		options ListenOptions
	}{{config.PublicAddress, plane, external}, {config.InternalAddress, server, internal}, {config.OperatorAddress, operatorAPI, external}} {
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

// Guest configures an optional second instance in the other partner's deployment, and the limits
// of the capacity lent to it.
type Guest struct {
	Config    agent.Config
	PerSecond float64
	InFlight  int
	Link      func(owner, guest DataPlane)
}

func (guest *Guest) add(flags *Flags) {
	flags.Parser.String(
		&guest.Config.Name,
		"",
		"guest-name",
		"name of this daemon in the other partner's deployment; enables lending capacity to it",
	)
	flags.Parser.String(&guest.Config.Zone, "", "guest-zone", "zone of the other partner's deployment that this daemon belongs to")
	flags.Parser.String(&guest.Config.PublicAddress, "", "guest-listen", "IP:port to listen on for the other partner's callers")
	flags.Parser.String(&guest.Config.InternalAddress, "", "guest-wire", "IP:port to listen on for the other partner's processes")
	flags.Parser.String(&guest.Config.OperatorAddress, "", "guest-operate", "IP:port to listen on for the other partner's operators")
	flags.Parser.StringSlice(
		&guest.Config.Seeds,
		"",
		"guest-seed",
		"internal IP:port of one of the other partner's cores; may be repeated, up to three",
	)
	flags.Parser.Float64(&guest.PerSecond, "", "lend-rps", "maximum rate of tasks per second lent to the other partner")
	flags.Parser.Int(&guest.InFlight, "", "lend-in-flight", "maximum number of concurrent tasks lent to the other partner")
}

func (guest *Guest) enabled() bool { return guest.Config.Name != "" || len(guest.Config.Seeds) > 0 }

// RunDaemon parses the command line and runs a directory node or a proxy until it is stopped.
func RunDaemon(flags *Flags, kind string, guest *Guest, construct Constructor) {
	config := agent.Config{Kind: kind}
	grace, settle := 6000, 2500
	flags.Parser.String(&config.Name, "", "name", "unique name of this daemon")
	flags.Parser.String(&config.Zone, "", "zone", "zone of this daemon")
	flags.Parser.String(&config.PublicAddress, "", "listen", "IP:port to listen on for callers")
	flags.Parser.String(&config.InternalAddress, "", "wire", "IP:port to listen on for calls of other processes of the system")
	flags.Parser.String(&config.OperatorAddress, "", "operate", "IP:port to listen on for operators")
	flags.Parser.StringSlice(&config.Seeds, "", "seed", "internal IP:port (--wire) of a core; may be repeated, up to three")
	flags.Parser.Int(&grace, "", "grace-ms", "time after SIGTERM to finish requests in flight, in milliseconds")
	flags.Parser.Int(
		&settle,
		"",
		"settle-ms",
		"part of --grace-ms to wait for callers to move to other daemons, in milliseconds",
	)
	limitFlags := NewLimitFlags(flags)
	if guest != nil {
		guest.add(flags)
	}
	flags.Parse()
	limits, err := limitFlags.Limits()
	flags.Exit(err)
	flags.Exit(config.Check())
	if grace < 0 || settle < 0 || settle > grace {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--settle-ms: %d is not between 0 and --grace-ms (%d)", settle, grace))
	}
	goroutines := concurrent.NewGroup()
	instances := []*Instance{newInstance(flags, config, limits, goroutines, construct)}
	if guest != nil && guest.enabled() {
		guest.Config.Kind, guest.Config.Guest = kind, true
		if err := guest.Config.Check(); err != nil {
			flags.Exit(rpc.WithPrefix("guest", err))
		}
		if guest.PerSecond <= 0 || guest.InFlight < 1 {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "--lend-rps and --lend-in-flight must be positive for a guest"))
		}
		instances = append(instances, newInstance(flags, guest.Config, limits, goroutines, construct))
		guest.Link(instances[0].Plane, instances[1].Plane)
	}
	for _, instance := range instances {
		instance.run(goroutines)
	}
	OnTerminate(goroutines, func() {
		settleTime, graceTime := Milliseconds(settle), Milliseconds(grace)
		ended, _ := concurrent.Gather(goroutines, len(instances), func(index int) (bool, error) {
			instance := instances[index]
			return instance.Daemon.Retire(settleTime, graceTime, instance.listeners[0].Drain), nil
		}, func(map[int]bool, map[int]error) bool { return false })
		allFinished := true
		for _, finished := range ended {
			allFinished = allFinished && finished
		}
		klog.Infof("%s: stopping, all requests in flight finished: %v", config.Name, allFinished)
		goroutines.Stop()
	})
	klog.Infof("%s: started in zone %s", config.Name, config.Zone)
	goroutines.Wait()
	for _, instance := range instances {
		instance.client.Close()
	}
}
