package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Injector injects faults one after the other; two injectors may run at once.
type Injector struct {
	*ControlChecker
	randomFaults *RandomFaults
	random       *rand.Rand
	kinds        []string
	coreFaults   []string
	losses       *LossBudget
}

func (checker *ControlChecker) newInjector(number uint64, kinds, cores []string) *Injector {
	injector := &Injector{
		ControlChecker: checker,
		randomFaults:   checker.world.NewRandomFaults(),
		random:         rand.New(rand.NewPCG(checker.world.Seed, 83+number)),
		kinds:          kinds,
		coreFaults:     cores,
	}
	injector.randomFaults.random = rand.New(rand.NewPCG(checker.world.Seed, 183+number))
	return injector
}

// ControlFaults are the faults of the whole control plane; "core" stands for a fault of one core.
var ControlFaults = []string{
	"core",
	"core",
	"core",
	"disk-fails",
	"all-wiped",
	"all-down",
	"power-after-ack",
	"wipe-after-ack",
	"region-lost",
	"cores-apart",
	"most-wiped",
	"member-killed",
	"members-killed",
	"member-frozen",
	"member-cut",
	"calm",
}

// ControlLinkFaults run concurrently with those and stop no process.
var (
	ControlLinkFaults = []string{"core", "member-frozen", "member-cut", "calm"}
	CoreLinkFaults    = []string{"freeze", "cut", "one-way", "alone", "faults"}
)

func (injector *Injector) randomDuration(least, most int) time.Duration {
	return time.Duration(least+injector.random.IntN(most-least)) * time.Millisecond
}

// reserveLimit is how long a fault waits until its machines may be lost.
const reserveLimit = 15 * time.Second

// reserve counts machines as lost, as only some may be lost at one time. The fault is skipped
// if it gets no reservation.
func (injector *Injector) reserve(cores []int) (release func(), reserved bool) {
	if injector.losses == nil {
		return func() {}, true
	}
	machines := []*Core{}
	for _, index := range cores {
		machines = append(machines, injector.world.machine(index))
	}
	if !injector.losses.Acquire(machines, reserveLimit) {
		injector.randomFaults.Injected["skipped"]++
		return nil, false
	}
	return func() { injector.losses.Release(machines) }, true
}

// duringLoss is duringFault for a fault that takes the cores down for a while.
func (injector *Injector) duringLoss(cores []int, members []*RegionalDaemon, do func()) {
	release, reserved := injector.reserve(cores)
	if !reserved {
		return
	}
	defer release()
	injector.duringFault(cores, members, do)
}

func (checker *ControlChecker) allCores() []int {
	all := []int{}
	for index := range checker.world.Cores {
		all = append(all, index)
	}
	return all
}

// Inject injects one fault and heals it.
func (injector *Injector) Inject(kind string) {
	world, random := injector.world, injector.random
	index, member := random.IntN(len(world.Cores)), world.Members[random.IntN(len(world.Members))]
	leader := max(world.Leader(), 0)
	tolerated := (len(world.Cores) - 1) / 2
	switch kind {
	case "core":
		kind = injector.coreFaults[random.IntN(len(injector.coreFaults))]
		affected := []int{index}
		switch kind {
		case "kill-leader":
			affected = []int{leader}
		case "alone", "refuse", "full", "refuse-restart":
			affected = []int{leader, index}
		case "reset":
			injector.duringFault(affected, nil, func() { injector.randomFaults.Inject(kind, index) })
			return
		case "all", "stale-leader-lost", "stale-disk-lost":
			affected = injector.allCores()
		case "wipe":
			if injector.losses == nil {
				affected = injector.allCores()
			}
		case "faults":
			injector.duringFault(injector.allCores(), world.Members, func() { injector.randomFaults.Inject(kind, index) })
			return
		}
		injector.duringLoss(affected, nil, func() { injector.randomFaults.Inject(kind, index) })
	case "disk-fails":
		injector.duringLoss([]int{index}, nil, func() {
			world.machine(index).Disk.Fail(true)
			world.Sleep(injector.randomDuration(300, 1500))
			world.KillCore(index, true)
			world.StartCore(index)
		})
	case "all-wiped", "all-down", "power-after-ack":
		release, reserved := injector.reserve(injector.allCores())
		if !reserved {
			return
		}
		defer release()
		if kind == "power-after-ack" {
			injector.changeRouting(world.forwarders(), random, 7)
		}
		members := []*RegionalDaemon{}
		if kind != "power-after-ack" || random.IntN(2) == 0 {
			members = world.Members
		}
		injector.duringFault(injector.allCores(), members, func() {
			world.killAll(kind != "all-down", len(members) > 0)
			for offset := range tolerated {
				if kind == "all-wiped" {
					world.WipeCore((index + offset) % len(world.Cores))
				}
			}
			world.Sleep(injector.randomDuration(10, 1000))
			world.startAll()
			world.Until(20*time.Second, world.allVote)
		})
	case "wipe-after-ack", "most-wiped":
		wiped := []int{leader}
		for offset := 1; offset < tolerated && kind == "most-wiped"; offset++ {
			wiped = append(wiped, (leader+offset)%len(world.Cores))
		}
		release, reserved := injector.reserve(wiped)
		if !reserved {
			return
		}
		defer release()
		injector.changeRouting(world.forwarders(), random, 7)
		injector.duringFault(wiped, nil, func() {
			for _, index := range wiped {
				world.WipeCore(index)
			}
			world.Sleep(injector.randomDuration(10, 3000))
			world.startAll()
			if !world.Until(30*time.Second, world.allVote) {
				world.reportViolation("%s: cores %v do not vote again within 30 s", kind, wiped)
			}
		})
	case "region-lost":
		region := random.IntN(3)
		cores, members := []int{}, []*RegionalDaemon{}
		for index := range world.machines() {
			if index%3 == region {
				cores = append(cores, index)
			}
		}
		for _, member := range world.Members {
			if member.Region == region {
				members = append(members, member)
			}
		}
		injector.duringLoss(cores, members, func() {
			for _, index := range cores {
				world.KillCore(index, true)
			}
			for _, member := range members {
				world.KillMember(member)
			}
			world.Sleep(injector.randomDuration(500, 7000))
			world.startAll()
		})
	case "cores-apart":
		minority := random.Perm(len(world.Cores))[:tolerated]
		cut := func(isCut bool) {
			for index, machine := range world.machines() {
				for _, other := range minority {
					if !slices.Contains(minority, index) {
						world.Net.Cut(machine.Host, world.machine(other).Host, isCut)
					}
				}
			}
		}
		injector.duringLoss(minority, nil, func() {
			cut(true)
			world.Sleep(injector.randomDuration(500, 8000))
			cut(false)
		})
	case "member-killed", "members-killed":
		members := []*RegionalDaemon{member}
		if kind == "members-killed" {
			members = world.Members[:len(world.Members)/2]
		}
		injector.duringFault(nil, members, func() {
			for _, member := range members {
				world.KillMember(member)
			}
			world.Sleep(injector.randomDuration(50, 2500))
			world.startAll()
		})
	case "member-frozen":
		injector.duringFault(nil, []*RegionalDaemon{member}, func() {
			world.Net.Freeze(member.Host, true)
			world.Sleep(injector.randomDuration(200, 6000))
			world.Net.Freeze(member.Host, false)
		})
	case "member-cut":
		direction := random.IntN(3)
		cut := func(isCut bool) {
			for _, machine := range world.machines() {
				if direction != 1 {
					world.Net.CutOneWay(machine.Host, member.Host, isCut)
				}
				if direction != 2 {
					world.Net.CutOneWay(member.Host, machine.Host, isCut)
				}
			}
		}
		injector.duringFault(nil, []*RegionalDaemon{member}, func() {
			cut(true)
			world.Sleep(injector.randomDuration(500, 7000))
			cut(false)
		})
	case "calm":
		world.Sleep(injector.randomDuration(5000, 9000))
	}
}

// Run injects random faults until the span is over, some without a pause between them.
func (injector *Injector) Run(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		kind := injector.kinds[injector.random.IntN(len(injector.kinds))]
		injector.randomFaults.Injected[kind]++
		injector.Inject(kind)
		if injector.random.IntN(3) > 0 {
			injector.world.Sleep(injector.randomDuration(200, 9000))
		}
	}
}
