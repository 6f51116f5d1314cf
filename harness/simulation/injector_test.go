package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Injector injects faults, one after the other; two may be at it at once.
type Injector struct {
	*Control
	chaos  *RandomFaults
	random *rand.Rand
	kinds  []string
	cores  []string
	losses *LossBudget
}

func (side *Control) injector(number uint64, kinds, cores []string) *Injector {
	one := &Injector{
		Control: side,
		chaos:   side.world.NewRandomFaults(),
		random:  rand.New(rand.NewPCG(side.world.Seed, 83+number)),
		kinds:   kinds,
		cores:   cores,
	}
	one.chaos.random = rand.New(rand.NewPCG(side.world.Seed, 183+number))
	return one
}

// SideFaults are those of the control side beside the cores' own.
var SideFaults = []string{
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

// SideLinkFaults go on beside those: no process ends by them.
var (
	SideLinkFaults = []string{"core", "member-frozen", "member-cut", "calm"}
	CoreLinkFaults = []string{"freeze", "cut", "one-way", "alone", "faults"}
)

func (side *Injector) span(least, most int) time.Duration {
	return time.Duration(least+side.random.IntN(most-least)) * time.Millisecond
}

// reserveLimit is how long a fault waits until as many machines may be lost.
const reserveLimit = 15 * time.Second

// reserve counts machines as lost; not all may be lost at any time.
func (side *Injector) reserve(cores []int) (release func(), reserved bool) {
	if side.losses == nil {
		return func() {}, true
	}
	machines := []*Core{}
	for _, index := range cores {
		machines = append(machines, side.world.machine(index))
	}
	if !side.losses.Acquire(machines, reserveLimit) {
		side.chaos.Injected["skipped"]++
		return nil, false
	}
	return func() { side.losses.Release(machines) }, true
}

// lose is under for a fault by which the cores are lost for a while.
func (side *Injector) lose(cores []int, members []*RegionalDaemon, do func()) {
	release, reserved := side.reserve(cores)
	if !reserved {
		return
	}
	defer release()
	side.under(cores, members, do)
}

func (side *Control) every() []int {
	all := []int{}
	for index := range side.world.Cores {
		all = append(all, index)
	}
	return all
}

// Inject brings one fault about and heals it.
func (side *Injector) Inject(kind string) {
	world, random := side.world, side.random
	index, one := random.IntN(len(world.Cores)), world.Members[random.IntN(len(world.Members))]
	leader := max(world.Leader(), 0)
	lost := (len(world.Cores) - 1) / 2
	switch kind {
	case "core":
		kind = side.cores[random.IntN(len(side.cores))]
		touched := []int{index}
		switch kind {
		case "kill-leader":
			touched = []int{leader}
		case "alone", "refuse", "full", "refuse-restart":
			touched = []int{leader, index}
		case "reset":
			side.under(touched, nil, func() { side.chaos.Inject(kind, index) })
			return
		case "all", "stale-leader-lost", "stale-disk-lost":
			touched = side.every()
		case "wipe":
			if side.losses == nil {
				touched = side.every()
			}
		case "faults":
			side.under(side.every(), world.Members, func() { side.chaos.Inject(kind, index) })
			return
		}
		side.lose(touched, nil, func() { side.chaos.Inject(kind, index) })
	case "disk-fails":
		side.lose([]int{index}, nil, func() {
			world.machine(index).Disk.Fail(true)
			world.Sleep(side.span(300, 1500))
			world.KillCore(index, true)
			world.StartCore(index)
		})
	case "all-wiped", "all-down", "power-after-ack":
		release, reserved := side.reserve(side.every())
		if !reserved {
			return
		}
		defer release()
		if kind == "power-after-ack" {
			side.put(world.forwarders(), random, 7)
		}
		members := []*RegionalDaemon{}
		if kind != "power-after-ack" || random.IntN(2) == 0 {
			members = world.Members
		}
		side.under(side.every(), members, func() {
			world.killAll(kind != "all-down", len(members) > 0)
			for offset := range lost {
				if kind == "all-wiped" {
					world.WipeCore((index + offset) % len(world.Cores))
				}
			}
			world.Sleep(side.span(10, 1000))
			world.startAll()
			world.Until(20*time.Second, world.sound)
		})
	case "wipe-after-ack", "most-wiped":
		gone := []int{leader}
		for offset := 1; offset < lost && kind == "most-wiped"; offset++ {
			gone = append(gone, (leader+offset)%len(world.Cores))
		}
		release, reserved := side.reserve(gone)
		if !reserved {
			return
		}
		defer release()
		side.put(world.forwarders(), random, 7)
		side.under(gone, nil, func() {
			for _, index := range gone {
				world.WipeCore(index)
			}
			world.Sleep(side.span(10, 3000))
			world.startAll()
			if !world.Until(30*time.Second, world.sound) {
				world.reportViolation("%s: cores %v do not vote again", kind, gone)
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
		for _, one := range world.Members {
			if one.Region == region {
				members = append(members, one)
			}
		}
		side.lose(cores, members, func() {
			for _, index := range cores {
				world.KillCore(index, true)
			}
			for _, one := range members {
				world.KillMember(one)
			}
			world.Sleep(side.span(500, 7000))
			world.startAll()
		})
	case "cores-apart":
		few := random.Perm(len(world.Cores))[:lost]
		cut := func(shut bool) {
			for index, machine := range world.machines() {
				for _, other := range few {
					if !slices.Contains(few, index) {
						world.Net.Cut(machine.Host, world.machine(other).Host, shut)
					}
				}
			}
		}
		side.lose(few, nil, func() {
			cut(true)
			world.Sleep(side.span(500, 8000))
			cut(false)
		})
	case "member-killed", "members-killed":
		members := []*RegionalDaemon{one}
		if kind == "members-killed" {
			members = world.Members[:len(world.Members)/2]
		}
		side.under(nil, members, func() {
			for _, one := range members {
				world.KillMember(one)
			}
			world.Sleep(side.span(50, 2500))
			world.startAll()
		})
	case "member-frozen":
		side.under(nil, []*RegionalDaemon{one}, func() {
			world.Net.Freeze(one.Host, true)
			world.Sleep(side.span(200, 6000))
			world.Net.Freeze(one.Host, false)
		})
	case "member-cut":
		way := random.IntN(3)
		cut := func(shut bool) {
			for _, machine := range world.machines() {
				if way != 1 {
					world.Net.CutOneWay(machine.Host, one.Host, shut)
				}
				if way != 2 {
					world.Net.CutOneWay(one.Host, machine.Host, shut)
				}
			}
		}
		side.under(nil, []*RegionalDaemon{one}, func() {
			cut(true)
			world.Sleep(side.span(500, 7000))
			cut(false)
		})
	case "calm":
		world.Sleep(side.span(5000, 9000))
	}
}

// Run draws faults until the span is over; some follow each other at once.
func (side *Injector) Run(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		kind := side.kinds[side.random.IntN(len(side.kinds))]
		side.chaos.Injected[kind]++
		side.Inject(kind)
		if side.random.IntN(3) > 0 {
			side.world.Sleep(side.span(200, 9000))
		}
	}
}
