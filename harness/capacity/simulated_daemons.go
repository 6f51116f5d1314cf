package capacity

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/hostproxy"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/process"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// What a simulated daemon does with a version that it takes.
const (
	ApplyNothing = "nothing"
	ApplyIndex   = "index"
	ApplyLay     = "lay"
)

const (
	zoneCount   = 100
	regionCount = 30
	heldWindows = 7

	startsAtOnce = 100
)

func zoneName(number int) string { return fmt.Sprintf("zone-%02d", number%zoneCount) }

func regions() map[string]string {
	all := map[string]string{}
	for number := range zoneCount {
		all[zoneName(number)] = fmt.Sprintf("region-%02d", number%regionCount)
	}
	return all
}

// SimulatedSpec is the configuration of a process of simulated daemons, passed as JSON on
// its command line. Active is the number of tenants that each of them counts in a
// window.
type SimulatedSpec struct {
	First   int
	Daemons int
	Wire    string
	Report  string
	Seeds   []string
	Apply   string
	Active  int
	Tenants int
}

type simulatedDaemons struct {
	spec    SimulatedSpec
	tap     *ByteCounter
	daemons []*simulatedDaemon

	mutex   sync.Mutex
	applied map[uint64][]int64
}

// simulatedDaemon is one daemon whose data plane carries no requests.
type simulatedDaemon struct {
	number     int
	all        *simulatedDaemons
	goroutines *concurrent.Group
	client     *rpc.Client
	daemon     *agent.Daemon
	held       atomic.Pointer[routing.Index]
	routing    uint64
}

func (all *simulatedDaemons) start(number int) *simulatedDaemon {
	spec := all.spec
	goroutines, counters := concurrent.NewGroup(), metrics.NewCounters()
	client := rpc.NewClient(all.tap.transport())
	name := fmt.Sprintf("proxy-%05d", spec.First+number)
	config := agent.Config{
		Name:            name,
		Kind:            message.ProxyKind,
		Zone:            zoneName(number),
		InternalAddress: spec.Wire,
		PublicAddress:   spec.Wire,
		OperatorAddress: spec.Wire,
		Seeds:           spec.Seeds,
		Intervals: agent.Intervals{
			Session:    sessionPace,
			Watch:      watchPace,
			FindLeader: seekPace,
			Pulse:      feelPace,
			CheckReach: lookPace,
			UsageCount: -1,
		},
		ForwardLimits:  agent.ForwardLimits{Attempt: sendLimit},
		DirectSessions: true,
		ServesAlone:    true,
		Routed:         true,
	}
	var random [8]byte
	rand.Read(random[:])
	one := &simulatedDaemon{number: number, all: all, goroutines: goroutines, client: client}
	one.daemon = agent.NewDaemon(config, hex.EncodeToString(random[:]), client, goroutines, counters)
	apply := func(*agent.Version) {}
	switch spec.Apply {
	case ApplyIndex:
		apply = func(version *agent.Version) { one.held.Store(routing.NewIndex(version.Routing)) }
	case ApplyLay:
		plane := hostproxy.NewProxy(
			hostproxy.Config{
				Name:         name,
				Zone:         config.Zone,
				Regions:      regions(),
				RetryRatio:   0.1,
				RetryExtra:   10,
				WarmupExcess: 1,
				UsageWindow:  meterWindow,
			},
			(&net.Dialer{}).DialContext,
			one.daemon.Now,
			goroutines,
			counters,
		)
		plane.Run()
		apply = func(version *agent.Version) { plane.Apply(version.Routing, version.Table) }
	}
	one.daemon.OnVersion(func(version *agent.Version) {
		if version.Routing == nil || version.RoutingSerial == 0 || !version.Table.Complete {
			return
		}
		apply(version)
		one.inForce(version.RoutingSerial)
	}, nil)
	one.daemon.SetWindows(one.windows)
	one.daemon.Run()
	return one
}

// inForce notes when this daemon first had a routing in force.
func (one *simulatedDaemon) inForce(routing uint64) {
	at := time.Now().UnixMicro()
	one.all.mutex.Lock()
	for serial := max(one.routing+1, routing-min(routing, 64)); serial <= routing; serial++ {
		one.all.applied[serial] = append(one.all.applied[serial], at)
	}
	one.routing = max(one.routing, routing)
	one.all.mutex.Unlock()
}

// windows are counts as a proxy tells them: those of its last windows, each
// with as many tenants.
func (one *simulatedDaemon) windows() []message.WindowCount {
	if one.all.spec.Active == 0 {
		return nil
	}
	now := one.daemon.Now() / meterWindow.Milliseconds()
	all := make([]message.WindowCount, 0, heldWindows)
	for window := now - heldWindows + 1; window <= now; window++ {
		counts := make(map[string]uint64, one.all.spec.Active)
		for number := range one.all.spec.Active {
			counts[tenantName((one.number*7919+int(window)*31+number*104729)%max(one.all.spec.Tenants, 1))] = uint64(now%100) + 1
		}
		all = append(all, message.WindowCount{Window: window, Tenants: counts})
	}
	return all
}

func (one *simulatedDaemon) stop() {
	one.goroutines.Stop()
	one.client.Close()
}

// RunSimulatedDaemons is the main function of a process of simulated daemons; it returns when
// the process is stopped.
func RunSimulatedDaemons(spec SimulatedSpec) error {
	goroutines, tap := concurrent.NewGroup(), newByteCounter()
	all := &simulatedDaemons{spec: spec, tap: tap, applied: map[uint64][]int64{}}
	for number := range spec.Daemons {
		all.daemons = append(all.daemons, all.start(number))
		goroutines.Sleep(startPace(number))
	}
	server := rpc.NewServer(metrics.NewCounters())
	all.daemons[0].daemon.Register(server)
	if err := tap.serve(spec.Wire, server, goroutines); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/reading", func(writer http.ResponseWriter, _ *http.Request) {
		reading := tap.read()
		all.mutex.Lock()
		daemons := append([]*simulatedDaemon{}, all.daemons...)
		all.mutex.Unlock()
		for _, one := range daemons {
			if one.daemon.Ready() {
				reading.Ready++
			}
		}
		writeJSON(writer, reading)
	})
	mux.HandleFunc("/applied", func(writer http.ResponseWriter, request *http.Request) {
		serial, _ := strconv.ParseUint(request.URL.Query().Get("serial"), 10, 64)
		all.mutex.Lock()
		times := append([]int64{}, all.applied[serial]...)
		all.mutex.Unlock()
		slices.Sort(times)
		writeJSON(writer, times)
	})
	mux.HandleFunc("/restart", func(writer http.ResponseWriter, request *http.Request) {
		count, _ := strconv.Atoi(request.URL.Query().Get("count"))
		all.restart(min(count, spec.Daemons), goroutines)
		writeJSON(writer, true)
	})
	if err := newByteCounter().serve(spec.Report, mux, goroutines); err != nil {
		return err
	}
	process.OnTerm(goroutines, goroutines.Stop)
	goroutines.Wait()
	return nil
}

// startPace keeps a large fleet's start from being a storm of whole tables,
// which is measured by restarts instead.
func startPace(number int) time.Duration {
	if number < startsAtOnce {
		return time.Millisecond
	}
	return 25 * time.Millisecond
}

// restart ends some daemons without a word and starts others in their place.
func (all *simulatedDaemons) restart(count int, goroutines *concurrent.Group) {
	all.mutex.Lock()
	ended := append([]*simulatedDaemon{}, all.daemons[len(all.daemons)-count:]...)
	all.mutex.Unlock()
	for _, one := range ended {
		one.stop()
	}
	goroutines.Sleep(200 * time.Millisecond)
	for _, one := range ended {
		next := all.start(one.number)
		all.mutex.Lock()
		all.daemons[one.number] = next
		all.mutex.Unlock()
	}
}
