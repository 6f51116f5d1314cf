package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"orchidjunction/agent"
	"orchidjunction/control"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

const (
	contactSpan = 5 * time.Second
	inForceSpan = 4 * time.Second
	stretchSpan = 10 * time.Second
	ackSpan     = 5 * time.Second
	leaseSpan   = 3 * time.Second
)

// faultSpan is a span of trouble for some cores or members; no end means it goes on.
type faultSpan struct {
	cores      []int
	members    []*RegionalDaemon
	begin, end time.Time
}

// answered is an operator's order and what became of it.
type answered struct {
	what          string
	version, base uint64
	emptied       bool
	serial        uint64
	begin, end    time.Time
	err           error
}

// acted is one call to the platform that was not refused for its fence.
type acted struct {
	holder string
	at     time.Time
}

// Control is the whole control side under faults, and what is judged of it.
type Control struct {
	world  *World
	meters *meters

	mutex    sync.Mutex
	faults   []*faultSpan
	orders   []*answered
	acts     []acted
	versions map[uint64]uint64
	tables   map[message.TableVersion]string
	stopped  bool
	running  int

	// losesAnswers is whether some answers to operators are lost on their way.
	losesAnswers bool
}

func (world *World) Control() *Control {
	side := &Control{world: world, versions: map[uint64]uint64{}, tables: map[message.TableVersion]string{}}
	side.meters = newMeters(world)
	world.Metering.Report = side.report
	return side
}

// under notes who is in trouble while something is done.
func (side *Control) under(cores []int, members []*RegionalDaemon, do func()) {
	one := &faultSpan{cores: cores, members: members, begin: time.Now()}
	side.mutex.Lock()
	side.faults = append(side.faults, one)
	side.mutex.Unlock()
	do()
	side.mutex.Lock()
	one.end = time.Now()
	side.mutex.Unlock()
}

// spared is how many cores had no trouble in a span, and whether a member had none.
func (side *Control) spared(from, until time.Time, one *RegionalDaemon) (int, bool) {
	side.mutex.Lock()
	defer side.mutex.Unlock()
	touched, calm := map[int]bool{}, true
	for _, err := range side.faults {
		if err.begin.After(until) || !err.end.IsZero() && err.end.Before(from) {
			continue
		}
		for _, index := range err.cores {
			touched[index] = true
		}
		calm = calm && !slices.Contains(err.members, one)
	}
	return len(side.world.Cores) - len(touched), calm
}

func (side *Control) most() int { return len(side.world.Cores)/2 + 1 }

func (side *Control) duty(duty func() bool) {
	side.mutex.Lock()
	side.running++
	side.mutex.Unlock()
	side.world.goroutines.Start(func() {
		for duty() {
			side.mutex.Lock()
			ends := side.stopped
			side.mutex.Unlock()
			if ends {
				break
			}
		}
		side.mutex.Lock()
		side.running--
		side.mutex.Unlock()
	})
}

func (side *Control) stop(limit time.Duration) bool {
	side.mutex.Lock()
	side.stopped = true
	side.mutex.Unlock()
	return side.world.Until(limit, func() bool { side.mutex.Lock(); defer side.mutex.Unlock(); return side.running == 0 })
}

// newest is what was acknowledged by then.
func (side *Control) newest(by time.Time) (version, serial uint64) {
	side.mutex.Lock()
	defer side.mutex.Unlock()
	for _, order := range side.orders {
		if order.err == nil && !order.end.IsZero() && !order.end.After(by) {
			version, serial = max(version, order.version), max(serial, order.serial)
		}
	}
	return version, serial
}

func (side *Control) note(order *answered, serial uint64, err error) {
	side.mutex.Lock()
	defer side.mutex.Unlock()
	order.serial, order.err, order.end = serial, err, time.Now()
}

func (side *Control) begun(order *answered) *answered {
	side.mutex.Lock()
	defer side.mutex.Unlock()
	order.begin = time.Now()
	side.orders = append(side.orders, order)
	return order
}

// put reads the routing back and orders another on top of it.
func (side *Control) put(holds []*agent.Forwarder, random *rand.Rand, number uint64) {
	if len(holds) == 0 {
		return
	}
	begin := time.Now()
	response, err := forward(side.world, holds, message.MethodRoutingRead, &message.RoutingReadRequest{})
	if err != nil {
		return
	}
	state, err := routing.DecodeState(response.Body)
	if err != nil {
		side.world.reportViolation("read back: %v", err)
		return
	}
	base := state.Config.Version
	if acknowledged, _ := side.newest(begin); base < acknowledged {
		side.world.reportViolation("%d was acknowledged, then %d read back", acknowledged, base)
	}
	one := side.begun(&answered{what: "routing", base: base, version: base + 1 + uint64(random.IntN(3))*8 + number})
	taken, err := forward(side.world, holds, message.MethodRoutingChange, NewRoutingChange(one.version, base))
	if err != nil {
		side.note(one, 0, err)
		return
	}
	side.note(one, taken.Serial, nil)
	if side.losesAnswers && random.IntN(4) == 0 {
		side.repeat(holds, one)
	}
}

// repeat sends an order again, by other doors, as an operator does whom no answer
// reached.
func (side *Control) repeat(holds []*agent.Forwarder, acknowledged *answered) {
	again := side.begun(&answered{what: acknowledged.what, base: acknowledged.base, version: acknowledged.version})
	response, err := forward(
		side.world,
		append(holds[1:], holds[0]),
		message.MethodRoutingChange,
		NewRoutingChange(again.version, again.base),
	)
	if err != nil {
		side.note(again, 0, err)
		return
	}
	side.note(again, response.Serial, nil)
}

// operate is one of several operators, by any door.
func (side *Control) operate(number uint64) func() bool {
	random := rand.New(rand.NewPCG(side.world.Seed, 100+number))
	zone, begin := fmt.Sprint("z", number), false
	return func() bool {
		side.world.Sleep(time.Duration(100+random.IntN(1400)) * time.Millisecond)
		holds := side.world.forwarders()
		for _, one := range side.world.Members {
			holds = append(holds, one.Daemon.Forwarder)
		}
		random.Shuffle(len(holds), func(left, right int) { holds[left], holds[right] = holds[right], holds[left] })
		if random.IntN(3) > 0 {
			side.put(holds, random, number)
			return true
		}
		begin = !begin
		one := side.begun(&answered{what: zone, emptied: begin})
		response, err := side.world.evacuateThrough(holds, zone, begin)
		if err != nil {
			side.note(one, 0, err)
			return true
		}
		side.note(one, response.Serial, nil)
		return true
	}
}

// held is how many disks would keep a serial through a loss of power now, and how
// many are blank.
func (side *Control) held(serial uint64) (held, blank int) {
	for _, disk := range side.world.voterDisks() {
		store, err := replica.OpenStore(disk.Copy())
		if err != nil || !store.State().Initialized {
			blank++
		} else if store.State().Accepted[message.RoutingRegister].Value.Serial >= serial {
			held++
		}
	}
	return held, blank
}

// watch judges what members have in force.
func (side *Control) watch() bool {
	now := time.Now()
	side.world.sameTables(side.tables)
	for _, one := range side.world.Members {
		version := one.Daemon.Version()
		if version.Routing == nil {
			continue
		}
		side.mutex.Lock()
		if known, found := side.versions[version.RoutingSerial]; found && known != version.Routing.Config.Version {
			side.world.reportViolation(
				"serial %d holds %d, and %d at %s",
				version.RoutingSerial,
				known,
				version.Routing.Config.Version,
				one.Name,
			)
		}
		_, seen := side.versions[version.RoutingSerial]
		side.versions[version.RoutingSerial] = version.Routing.Config.Version
		side.mutex.Unlock()
		if seen {
			continue
		}
		if held, blank := side.held(version.RoutingSerial); held+blank < side.most() {
			side.world.reportViolation("%s has serial %d in force, which lasts at %d cores", one.Name, version.RoutingSerial, held)
		}
	}
	for _, one := range side.world.Members {
		cores, calm := side.spared(now.Add(-contactSpan), now, one)
		if !calm || !one.Alive {
			continue
		}
		limit := inForceSpan
		if cores < len(side.world.Cores) {
			limit += stretchSpan
			if cores, _ = side.spared(now.Add(-limit-contactSpan), now, one); cores < side.most() {
				continue
			}
		}
		if _, serial := side.newest(now.Add(-limit)); one.Daemon.Version().RoutingSerial < serial {
			side.world.reportViolation(
				"%s holds serial %d, %d was acknowledged %v ago",
				one.Name,
				one.Daemon.Version().RoutingSerial,
				serial,
				limit,
			)
		}
	}
	side.world.Sleep(100 * time.Millisecond)
	return true
}

// report judges the holders' order and hands on.
func (side *Control) report(report control.WindowReport) control.ReportResult {
	result := side.meters.report(report)
	if result == control.ReportFenced {
		return result
	}
	side.mutex.Lock()
	defer side.mutex.Unlock()
	side.acts = append(side.acts, acted{report.Holder, time.Now()})
	other := false
	for index := len(side.acts) - 1; index >= 0 && time.Since(side.acts[index].at) < leaseSpan; index-- {
		if side.acts[index].holder != report.Holder {
			other = true
		} else if other {
			side.world.reportViolation(
				"%s acted, another, and %s again within %v",
				report.Holder,
				report.Holder,
				time.Since(side.acts[index].at),
			)
		}
	}
	return result
}

// judge looks at the end at all that operators were told.
func (side *Control) judge(test *testing.T) {
	world := side.world
	state, err := world.ReadRouting()
	if err != nil {
		test.Fatal(err)
	}
	applied, orders, bases, zones := map[uint64]bool{1: true}, map[routing.ShortDigest]bool{}, map[uint64]uint64{}, map[string]*answered{}
	for _, one := range state.History.Entries() {
		applied[one.Version], orders[one.Digest] = true, true
	}
	side.mutex.Lock()
	defer side.mutex.Unlock()
	acknowledged, late, longest := 0, 0, time.Duration(0)
	for _, order := range side.orders {
		took := order.end.Sub(order.begin)
		proper := order.err == nil || rpc.AsError(order.err).RetryAfterMs > 0
		if took > ackSpan && proper {
			late++
			side.mutex.Unlock()
			if cores, _ := side.spared(order.begin.Add(-contactSpan), order.begin.Add(ackSpan), nil); cores >= side.most() {
				world.reportViolation(
					"%s %d on %d at %v took %v while %d cores were settled: %v",
					order.what,
					order.version,
					order.base,
					order.begin,
					took,
					cores,
					order.err,
				)
			}
			side.mutex.Lock()
		}
		if order.what != "routing" {
			zones[order.what] = order
			continue
		}
		taken := orders[routing.DigestOf(fmt.Sprintf("%d on %d", order.version, order.base))]
		if order.err != nil {
			if taken && rpc.AsError(order.err).RetryAfterMs == 0 {
				world.reportViolation("%d on %d was refused and is in the trail: %v", order.version, order.base, order.err)
			}
			continue
		}
		acknowledged, longest = acknowledged+1, max(longest, took)
		if !taken {
			world.reportViolation("%d on %d was acknowledged and is not in the trail", order.version, order.base)
		}
		if other, found := bases[order.base]; found && other != order.version {
			world.reportViolation("%d and %d were both acknowledged on %d", other, order.version, order.base)
		}
		bases[order.base] = order.version
	}
	for zone, order := range zones {
		if held := slices.Contains(state.Evacuated, zone); order.err == nil && held != order.emptied {
			world.reportViolation("%s emptied %v, read back %v", zone, order.emptied, state.Evacuated)
		}
	}
	for serial, version := range side.versions {
		if !applied[version] {
			world.reportViolation("%d was in force as serial %d and is not in the trail", version, serial)
		}
	}
	if state.History.Forgotten > 0 || acknowledged < 15 {
		world.reportViolation("%d routings acknowledged, %d in the trail", acknowledged, state.History.Count)
	}
	if held := world.rosters(); len(held) != 1 {
		world.reportViolation("%v", held)
	}
	test.Logf(
		"%d orders, %d acknowledged routings, %d late, longest %v, %d leaderships, %d windows told",
		len(side.orders),
		acknowledged,
		late,
		longest,
		len(world.Leaderships),
		side.meters.windowsTold(),
	)
}

// begin starts operators, requests, and the watch over what members hold.
func (side *Control) begin() {
	for number := range uint64(3) {
		side.duty(side.operate(number))
	}
	side.duty(side.watch)
	side.duty(func() bool {
		for _, one := range side.world.Members {
			side.meters.begin(one)
		}
		return side.world.Sleep(100 * time.Millisecond)
	})
}

// The whole control side under every fault, with far links: what operators were
// told lasts and is in force in time, nothing goes back, duties have one holder.
func TestControlSideUnderEverything(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3+2*int(seed%2))
		side := world.Control()
		defer world.CloseRegional()
		world.farUp(test, 6)
		world.Sleep(contactSpan)
		side.begin()
		hard, links := side.injector(0, SideFaults, CoreFaults), side.injector(1, SideLinkFaults, CoreLinkFaults)
		ended := false
		world.goroutines.Start(func() {
			links.Run(2 * chaosSpan())
			side.mutex.Lock()
			ended = true
			side.mutex.Unlock()
		})
		hard.Run(2 * chaosSpan())
		world.Until(time.Minute, func() bool { side.mutex.Lock(); defer side.mutex.Unlock(); return ended })
		world.Sleep(contactSpan + inForceSpan)
		if !side.stop(60 * time.Second) {
			test.Fatal("operators have no answer")
		}
		side.judge(test)
		test.Logf("faults %v, beside them %v", hard.chaos.Injected, links.chaos.Injected)
		world.report(test)
	})
}
