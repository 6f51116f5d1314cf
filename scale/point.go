package scale

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"orchidjunction/member"
	"orchidjunction/program"
	"orchidjunction/route"
	"orchidjunction/run"
	"orchidjunction/wire"
)

// Point is one size at which a deployment is measured. Seconds is the length of
// each phase; Active the tenants that a daemon counts in a window; SlowUs processor
// time, in microseconds, that a core wastes on each session, so that a run can be
// seen to notice it.
type Point struct {
	Cores    int
	Daemons  int
	Backends int
	Routes   int
	Services int
	Tenants  int
	Active   int
	Apply    string
	Seconds  float64
	Changes  int
	SlowUs   int
}

// Rates are what one process of a role used in a second: Processor in cores,
// messages and bytes. Those of a daemon are its part of the process that it shares.
type Rates struct {
	Processor   float64
	Messages    float64
	BytesIn     float64
	BytesOut    float64
	ResidentMB  float64
	Descriptors float64
}

// Spread is the milliseconds until a change was in force at half, at 99 in 100 and
// at all of the daemons.
type Spread struct {
	Half float64
	Most float64
	All  float64
}

// Result is what was measured at a point.
type Result struct {
	Point      Point
	AtMs       int64
	LoadBefore float64
	StartMs    float64
	ConfigKB   float64
	Steady     map[string]Rates
	Changing   map[string]Rates
	Changes    []Spread
	ReadyMs    float64
	Restarted  int
	Restarting map[string]Rates
	KilledMs   float64
	Killed     Spread
	Failed     []string
}

const (
	leaderRole   = "leader"
	followerRole = "follower"
	daemonRole   = "daemon"
	hollowMost   = 768
	portStep     = 10
	seedMost     = 3
	pageItems    = 1000

	settleQuiet = 4 * time.Second
	settleMost  = 30 * time.Second
)

type bench struct {
	point   Point
	port    int
	folder  string
	threads *run.Threads
	cores   []*child
	hollows []*child
	hold    *member.Hold
	result  *Result
	version uint64
}

type child struct {
	command *exec.Cmd
	report  string
	wire    string
	dead    bool
}

// Measure runs a deployment of a size on ports from port on, through all phases.
// Result.Failed says what went wrong.
func Measure(point Point, port int, threads *run.Threads) *Result {
	bench := &bench{point: point, port: port, threads: run.NewThreads(), result: &Result{Point: point, AtMs: time.Now().UnixMilli(), LoadBefore: load(),
		Steady: map[string]Rates{}, Changing: map[string]Rates{}, Restarting: map[string]Rates{}}}
	defer bench.down()
	threads.OnStop(bench.threads.Stop)
	for _, phase := range []func() *wire.Mishap{bench.up, bench.steady, bench.change, bench.restart, bench.kill} {
		if mishap := phase(); mishap != nil {
			bench.result.Failed = append(bench.result.Failed, mishap.Error())
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

func (bench *bench) begin(kind string, spec any, report, address string, processors int) *wire.Mishap {
	body, fault := json.Marshal(spec)
	if fault != nil {
		return wire.New(wire.BadFlag, "%v", fault)
	}
	log, fault := os.Create(filepath.Join(bench.folder, kind+"-"+strings.ReplaceAll(address, ":", "-")+".log"))
	if fault != nil {
		return wire.New(wire.DiskFault, "%v", fault)
	}
	defer func() { _ = log.Close() }() // the process writes through a descriptor of its own
	command := exec.Command("/proc/self/exe", kind, "--spec", string(body))
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(processors))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if fault := command.Start(); fault != nil {
		return wire.New(wire.BadFlag, "%v", fault)
	}
	begun := &child{command: command, report: report, wire: address}
	if kind == "scale-core" {
		bench.cores = append(bench.cores, begun)
	} else {
		bench.hollows = append(bench.hollows, begun)
	}
	return nil
}

func (bench *bench) down() {
	for _, one := range append(append([]*child{}, bench.cores...), bench.hollows...) {
		one.end(syscall.SIGKILL)
	}
	bench.threads.Stop()
	if fault := os.RemoveAll(bench.folder); fault != nil {
		bench.result.Failed = append(bench.result.Failed, fault.Error())
	}
}

func (child *child) end(signal syscall.Signal) {
	if !child.dead {
		child.dead = true
		_ = child.command.Process.Signal(signal) // one that just ended needs none
		_ = child.command.Wait()                 // it ends by the signal, which is an error here
	}
}

// until asks again and again, at most so long.
func (bench *bench) until(limit time.Duration, what string, done func() bool) *wire.Mishap {
	for end := time.Now().Add(limit); !done(); {
		if time.Now().After(end) || !bench.threads.Rest(50*time.Millisecond) {
			return wire.New(wire.NotReady, "%s not within %v", what, limit)
		}
	}
	return nil
}

func (bench *bench) up() *wire.Mishap {
	begin, point := time.Now(), bench.point
	folder, fault := os.MkdirTemp("", "ojfleet-scale-")
	if fault != nil {
		return wire.New(wire.DiskFault, "%v", fault)
	}
	bench.folder = folder
	list := fmt.Sprintf("127.0.0.1:%d", bench.port)
	if mishap := newTap().serve(list, listOf(backends(point.Backends, point.Services)), bench.threads); mishap != nil {
		return mishap
	}
	seeds := []string{}
	for number := range min(point.Cores, seedMost) {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", bench.port+(number+1)*portStep))
	}
	for number := range point.Cores {
		address, report := fmt.Sprintf("127.0.0.1:%d", bench.port+(number+1)*portStep), fmt.Sprintf("127.0.0.1:%d", bench.port+(number+1)*portStep+1)
		data := filepath.Join(folder, fmt.Sprintf("core-%d", number))
		if fault := os.MkdirAll(data, 0o700); fault != nil {
			return wire.New(wire.DiskFault, "%v", fault)
		}
		spec := CoreSpec{Name: fmt.Sprintf("core-%02d", number), Zone: zoneName(number), Wire: address, Report: report, Seeds: seeds, Folder: data, Cores: point.Cores,
			Platform: list, Metered: true, SlowUs: point.SlowUs}
		if mishap := bench.begin("scale-core", spec, report, address, 2); mishap != nil {
			return mishap
		}
	}
	if mishap := bench.until(30*time.Second, "a leader", func() bool { return bench.leader() != nil }); mishap != nil {
		return mishap
	}
	line := wire.NewLine(program.FarTransport(userTimeout))
	finder := member.NewFinder(line, bench.threads, seeds).Paced(member.Paces{Seek: seekPace})
	finder.Run()
	bench.hold = member.NewHold(finder, line, run.NewCounts()).Within(member.HoldLimits{Answer: 20 * time.Second, Send: 15 * time.Second})
	whole := config(1, point.Routes, point.Services, point.Tenants)
	if body, fault := wire.Pack(whole); fault == nil {
		bench.result.ConfigKB = float64(len(body)) / 1024
	}
	if _, mishap := bench.order(&route.Change{Version: 1, Digest: "1", Whole: whole}); mishap != nil {
		return mishap
	}
	for first := 0; first < point.Daemons; first += hollowMost {
		port := bench.port + 1000 + len(bench.hollows)*portStep
		spec := HollowSpec{First: first, Daemons: min(hollowMost, point.Daemons-first), Wire: fmt.Sprintf("127.0.0.1:%d", port), Report: fmt.Sprintf("127.0.0.1:%d", port+1),
			Seeds: seeds, Apply: point.Apply, Active: point.Active, Tenants: point.Tenants}
		if mishap := bench.begin("scale-hollow", spec, spec.Report, spec.Wire, 4); mishap != nil {
			return mishap
		}
	}
	mishap := bench.until(90*time.Second, "readiness of all daemons", bench.ready)
	bench.result.StartMs = float64(time.Since(begin).Milliseconds())
	return mishap
}

func (bench *bench) order(change *route.Change) (uint64, *wire.Mishap) {
	body, fault := wire.Pack(change)
	if fault != nil {
		return 0, wire.AsMishap(fault)
	}
	told, mishap := member.Send[wire.RouteChange, wire.RouteChangeTold](bench.hold, "routechange", &wire.RouteChange{Body: body})
	if mishap != nil {
		return 0, mishap
	}
	bench.version = change.Version
	return told.Serial, nil
}

func (bench *bench) ready() bool {
	count := 0
	for _, one := range bench.hollows {
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

// listOf serves the backends as the product's own platform does.
func listOf(all []wire.Backend) http.Handler {
	pages := [][]byte{}
	for first := 0; first < len(all); first += pageItems {
		next := ""
		if first+pageItems < len(all) {
			next = strconv.Itoa(len(pages) + 1)
		}
		body, _ := json.Marshal(map[string]any{"items": all[first:min(first+pageItems, len(all))], "next": next})
		pages = append(pages, body)
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		number, _ := strconv.Atoi(request.URL.Query().Get("page"))
		if number < len(pages) {
			writer.Write(pages[number])
		}
	})
}

// readings are those of all processes, by their report address.
func (bench *bench) readings() (map[string]Reading, *wire.Mishap) {
	all := map[string]Reading{}
	for _, one := range append(append([]*child{}, bench.cores...), bench.hollows...) {
		if one.dead {
			continue
		}
		reading := Reading{}
		if mishap := getJSON(one.report, "/reading", &reading); mishap != nil {
			return nil, mishap
		}
		all[one.report] = reading
	}
	return all, nil
}

// rates are what each role used between two readings.
func (bench *bench) rates(before, after map[string]Reading) map[string]Rates {
	roles := map[string]Rates{}
	followers := 0.0
	for _, one := range bench.cores {
		if one.dead {
			continue
		}
		role, part := followerRole, 1.0
		if after[one.report].Leads {
			role = leaderRole
		} else {
			followers++
		}
		roles[role] = roles[role].plus(between(before[one.report], after[one.report]), part)
	}
	if followers > 0 {
		sum := roles[followerRole]
		roles[followerRole] = Rates{}.plus(sum, 1/followers)
	}
	for _, one := range bench.hollows {
		roles[daemonRole] = roles[daemonRole].plus(between(before[one.report], after[one.report]), 1/float64(bench.point.Daemons))
	}
	return roles
}

func (rates Rates) plus(more Rates, part float64) Rates {
	return Rates{Processor: rates.Processor + part*more.Processor, Messages: rates.Messages + part*more.Messages, BytesIn: rates.BytesIn + part*more.BytesIn,
		BytesOut: rates.BytesOut + part*more.BytesOut, ResidentMB: rates.ResidentMB + part*more.ResidentMB, Descriptors: rates.Descriptors + part*more.Descriptors}
}

// between are the rates of one process; its messages are those that it took or,
// taking none, sent.
func between(before, after Reading) Rates {
	seconds := float64(after.AtUs-before.AtUs) / 1e6
	messages := 0.0
	for name, count := range after.Messages {
		if strings.HasPrefix(name, "/") {
			continue
		}
		messages += float64(count - before.Messages[name])
	}
	return Rates{Processor: float64(after.ProcessorUs-before.ProcessorUs) / 1e6 / seconds, Messages: messages / seconds,
		BytesIn: float64(after.BytesIn-before.BytesIn) / seconds, BytesOut: float64(after.BytesOut-before.BytesOut) / seconds,
		ResidentMB: float64(after.ResidentKB) / 1024, Descriptors: float64(after.Descriptors)}
}

// over measures what goes on during a duty.
func (bench *bench) over(duty func() *wire.Mishap) (map[string]Rates, *wire.Mishap) {
	before, mishap := bench.readings()
	if mishap != nil {
		return nil, mishap
	}
	if mishap := duty(); mishap != nil {
		return nil, mishap
	}
	after, mishap := bench.readings()
	if mishap != nil {
		return nil, mishap
	}
	return bench.rates(before, after), nil
}

func (bench *bench) span() time.Duration {
	return time.Duration(bench.point.Seconds * float64(time.Second))
}

// settle waits until no table was made for a while, or at most so long that a
// storm is measured as one.
func (bench *bench) settle() {
	tables, since := uint64(0), time.Now()
	for end := since.Add(settleMost); time.Since(since) < settleQuiet && time.Now().Before(end); {
		made := uint64(0)
		for _, one := range bench.cores {
			reading := Reading{}
			if getJSON(one.report, "/reading", &reading) == nil {
				made += reading.Counts["tables"]
			}
		}
		if made != tables {
			tables, since = made, time.Now()
		}
		if !bench.threads.Rest(200 * time.Millisecond) {
			return
		}
	}
}

func (bench *bench) steady() (mishap *wire.Mishap) {
	bench.settle()
	bench.result.Steady, mishap = bench.over(func() *wire.Mishap {
		bench.threads.Rest(bench.span())
		return nil
	})
	return mishap
}

// change sends small patches, one a second, and waits until each is in force.
func (bench *bench) change() (mishap *wire.Mishap) {
	bench.result.Changing, mishap = bench.over(func() *wire.Mishap {
		for range bench.point.Changes {
			begin := time.Now()
			spread, mishap := bench.patch()
			if mishap != nil {
				return mishap
			}
			bench.result.Changes = append(bench.result.Changes, spread)
			bench.threads.Rest(time.Second - time.Since(begin))
		}
		return nil
	})
	return mishap
}

func (bench *bench) patch() (Spread, *wire.Mishap) {
	changed := routeOf(int(bench.version)%bench.point.Routes, bench.point.Services)
	changed.TimeoutMs += int(bench.version)
	begin := time.Now()
	serial, mishap := bench.order(&route.Change{Version: bench.version + 1, Base: bench.version, Digest: strconv.FormatUint(bench.version+1, 10), Patch: &route.Patch{Routes: []route.Route{changed}}})
	if mishap != nil {
		return Spread{}, mishap
	}
	times := []int64{}
	mishap = bench.until(30*time.Second, fmt.Sprintf("serial %d in force everywhere", serial), func() bool {
		times = bench.applied(serial)
		return len(times) >= bench.point.Daemons
	})
	if mishap != nil {
		mishap.Cause += fmt.Sprintf(", at %d of %d", len(times), bench.point.Daemons)
		return Spread{}, mishap
	}
	return spreadOf(times, begin), nil
}

func spreadOf(times []int64, begin time.Time) Spread {
	at := func(part float64) float64 {
		return float64(times[min(len(times)-1, int(part*float64(len(times))))]-begin.UnixMicro()) / 1000
	}
	return Spread{Half: at(0.5), Most: at(0.99), All: at(1)}
}

func (bench *bench) applied(serial uint64) []int64 {
	all := []int64{}
	for _, one := range bench.hollows {
		times := []int64{}
		if getJSON(one.report, "/applied?serial="+strconv.FormatUint(serial, 10), &times) != nil {
			return nil
		}
		all = append(all, times...)
	}
	sort.Slice(all, func(left, right int) bool { return all[left] < all[right] })
	return all
}

// restart ends a tenth of the daemons at once and starts them anew.
func (bench *bench) restart() (mishap *wire.Mishap) {
	bench.result.Restarting, mishap = bench.over(func() *wire.Mishap {
		begin := time.Now()
		for _, one := range bench.hollows {
			count := max(1, bench.point.Daemons/len(bench.hollows)/10)
			bench.result.Restarted += count
			done := false
			if mishap := getJSON(one.report, "/restart?count="+strconv.Itoa(count), &done); mishap != nil {
				return mishap
			}
		}
		if mishap := bench.until(60*time.Second, "readiness after restarts", bench.ready); mishap != nil {
			return mishap
		}
		bench.result.ReadyMs = float64(time.Since(begin).Microseconds()) / 1000
		bench.threads.Rest(3*time.Second - time.Since(begin))
		return nil
	})
	return mishap
}

// kill ends the leader, and sends a change as soon as another one takes it.
func (bench *bench) kill() *wire.Mishap {
	leader := bench.leader()
	if leader == nil {
		return wire.New(wire.NoLeader, "nobody to kill")
	}
	begin := time.Now()
	leader.end(syscall.SIGKILL)
	spread, mishap := bench.patch()
	bench.result.Killed = spread
	bench.result.KilledMs = float64(time.Since(begin).Milliseconds())
	return mishap
}

// Processors returns the number of cores of this machine; a run uses about four of
// them.
func Processors() int { return runtime.NumCPU() }
