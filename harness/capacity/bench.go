package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/process"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

type bench struct {
	point      Point
	port       int
	folder     string
	goroutines *concurrent.Group
	cores      []*child
	simulated  []*child
	forwarder  *agent.Forwarder
	result     *Result
	version    uint64
}

// Measure runs a deployment of a size on ports from port on, through all phases.
// Result.Failed says what went wrong.
func Measure(point Point, port int, goroutines *concurrent.Group) *Result {
	bench := &bench{point: point, port: port, goroutines: concurrent.NewGroup(), result: &Result{
		Point: point, AtMs: time.Now().UnixMilli(), LoadBefore: load(),
		Steady: map[string]Rates{}, Changing: map[string]Rates{}, Restarting: map[string]Rates{},
	}}
	defer bench.down()
	goroutines.OnStop(bench.goroutines.Stop)
	for _, phase := range []func() error{bench.up, bench.steady, bench.change, bench.restart, bench.kill} {
		if err := phase(); err != nil {
			bench.result.Failed = append(bench.result.Failed, err.Error())
			break
		}
	}
	return bench.result
}

func load() float64 {
	body, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(body), " ")
	value, _ := strconv.ParseFloat(first, 64)
	return value
}

func (bench *bench) down() {
	for _, one := range append(append([]*child{}, bench.cores...), bench.simulated...) {
		one.end(syscall.SIGKILL)
	}
	bench.goroutines.Stop()
	if err := os.RemoveAll(bench.folder); err != nil {
		bench.result.Failed = append(bench.result.Failed, err.Error())
	}
}

// until asks again and again, at most so long.
func (bench *bench) until(limit time.Duration, what string, done func() bool) error {
	for end := time.Now().Add(limit); !done(); {
		if time.Now().After(end) || !bench.goroutines.Sleep(50*time.Millisecond) {
			return rpc.Errorf(rpc.NotReady, "%s not within %v", what, limit)
		}
	}
	return nil
}

func (bench *bench) up() error {
	begin, point := time.Now(), bench.point
	folder, err := os.MkdirTemp("", "ojcluster-scale-")
	if err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%v", err)
	}
	bench.folder = folder
	list := fmt.Sprintf("127.0.0.1:%d", bench.port)
	if err := newByteCounter().serve(list, listOf(backends(point.Backends, point.Services)), bench.goroutines); err != nil {
		return err
	}
	seeds := []string{}
	for number := range min(point.Cores, seedMost) {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", bench.port+(number+1)*portStep))
	}
	for number := range point.Cores {
		port := bench.port + (number+1)*portStep
		address, report := fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
		data := filepath.Join(folder, fmt.Sprintf("core-%d", number))
		if err := os.MkdirAll(data, 0o700); err != nil {
			return rpc.Errorf(rpc.DiskFailure, "%v", err)
		}
		spec := CoreSpec{
			Name: fmt.Sprintf(
				"core-%02d",
				number,
			),
			Zone:     zoneName(number),
			Wire:     address,
			Report:   report,
			Seeds:    seeds,
			Folder:   data,
			Cores:    point.Cores,
			Platform: list,
			Metered:  true,
			SlowUs:   point.SlowUs,
		}
		if err := bench.begin("scale-core", spec, report, address, 2); err != nil {
			return err
		}
	}
	if err := bench.until(30*time.Second, "a leader", func() bool { return bench.leader() != nil }); err != nil {
		return err
	}
	client := rpc.NewClient(process.WANTransport(userTimeout))
	finder := agent.NewLeaderFinder(client, bench.goroutines, seeds).WithIntervals(agent.Intervals{FindLeader: seekPace})
	finder.Run()
	bench.forwarder = agent.NewForwarder(finder, client, metrics.NewCounters()).
		WithLimits(agent.ForwardLimits{Response: 20 * time.Second, Attempt: 15 * time.Second})
	whole := config(1, point.Routes, point.Services, point.Tenants)
	if body, err := rpc.Marshal(whole); err == nil {
		bench.result.ConfigKB = float64(len(body)) / 1024
	}
	if _, err := bench.order(&routing.Change{Version: 1, Digest: "1", Whole: whole}); err != nil {
		return err
	}
	for first := 0; first < point.Daemons; first += maxDaemonsPerProcess {
		port := bench.port + 1000 + len(bench.simulated)*portStep
		spec := SimulatedSpec{
			First:   first,
			Daemons: min(maxDaemonsPerProcess, point.Daemons-first),
			Wire:    fmt.Sprintf("127.0.0.1:%d", port),
			Report:  fmt.Sprintf("127.0.0.1:%d", port+1),
			Seeds:   seeds,
			Apply:   point.Apply,
			Active:  point.Active,
			Tenants: point.Tenants,
		}
		if err := bench.begin("scale-hollow", spec, spec.Report, spec.Wire, 4); err != nil {
			return err
		}
	}
	err = bench.until(90*time.Second, "readiness of all daemons", bench.ready)
	bench.result.StartMs = float64(time.Since(begin).Milliseconds())
	return err
}

func (bench *bench) order(change *routing.Change) (uint64, error) {
	body, err := rpc.Marshal(change)
	if err != nil {
		return 0, rpc.AsError(err)
	}
	response, err := agent.Forward(bench.forwarder, message.MethodRoutingChange, &message.RoutingChangeRequest{Body: body})
	if err != nil {
		return 0, err
	}
	bench.version = change.Version
	return response.Serial, nil
}

func (bench *bench) ready() bool {
	count := 0
	for _, one := range bench.simulated {
		reading := Reading{}
		if getJSON(one.report, "/reading", &reading) != nil {
			return false
		}
		count += reading.Ready
	}
	return count == bench.point.Daemons
}

func (bench *bench) leader() *child {
	for _, one := range bench.cores {
		reading := Reading{}
		if !one.dead && getJSON(one.report, "/reading", &reading) == nil && reading.Leads {
			return one
		}
	}
	return nil
}

// over measures what goes on during a duty.
func (bench *bench) over(duty func() error) (map[string]Rates, error) {
	before, err := bench.readings()
	if err != nil {
		return nil, err
	}
	if err := duty(); err != nil {
		return nil, err
	}
	after, err := bench.readings()
	if err != nil {
		return nil, err
	}
	return bench.rates(before, after), nil
}

func (bench *bench) span() time.Duration {
	return time.Duration(bench.point.Seconds * float64(time.Second))
}
