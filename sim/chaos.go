package sim

import (
	"math/rand/v2"
	"time"
)

// Chaos harms cores for a while, one draw after another, and heals each harm.
type Chaos struct {
	world  *World
	random *rand.Rand
	Done   map[string]int
}

func (world *World) Chaos() *Chaos {
	return &Chaos{world: world, random: rand.New(rand.NewPCG(world.Seed, 23)), Done: map[string]int{}}
}

// Kinds are the harms there are.
var Kinds = []string{"kill", "power", "term", "freeze", "cut", "one-way", "stall", "wipe", "all", "faults", "kill-leader", "alone", "stale-leader-lost", "stale-disk-lost", "refuse", "full", "refuse-restart"}

func (chaos *Chaos) span(least, most time.Duration) time.Duration {
	return least + time.Duration(chaos.random.Int64N(int64(most-least)))
}

// Run draws harms for the span; every one is healed before the next but one.
func (chaos *Chaos) Run(span time.Duration) {
	world := chaos.world
	for until := time.Now().Add(span); time.Now().Before(until); {
		chaos.Harm(Kinds[chaos.random.IntN(len(Kinds))], chaos.random.IntN(len(world.Cores)))
		world.Rest(chaos.span(100*time.Millisecond, 1500*time.Millisecond))
	}
}

func (chaos *Chaos) Harm(kind string, index int) {
	world := chaos.world
	machine := world.Cores[index]
	other := world.Cores[(index+1+chaos.random.IntN(len(world.Cores)-1))%len(world.Cores)]
	chaos.Done[kind]++
	switch kind {
	case "kill", "power":
		world.KillCore(index, kind == "power")
		world.Rest(chaos.span(10*time.Millisecond, 1200*time.Millisecond))
		world.StartCore(index)
	case "kill-leader":
		if leader := world.Leader(); leader >= 0 {
			world.KillCore(leader, true)
			world.Rest(chaos.span(10*time.Millisecond, 900*time.Millisecond))
			world.StartCore(leader)
		}
	case "term":
		world.TermCore(index)
		world.Rest(chaos.span(10*time.Millisecond, 500*time.Millisecond))
		world.StartCore(index)
	case "freeze":
		world.Net.Freeze(machine.Host, true)
		world.Rest(chaos.span(50*time.Millisecond, 1500*time.Millisecond))
		world.Net.Freeze(machine.Host, false)
	case "cut":
		world.Net.Cut(machine.Host, other.Host, true)
		world.Rest(chaos.span(50*time.Millisecond, 1500*time.Millisecond))
		world.Net.Cut(machine.Host, other.Host, false)
	case "one-way":
		world.Net.CutOneWay(machine.Host, other.Host, true)
		world.Rest(chaos.span(50*time.Millisecond, 1500*time.Millisecond))
		world.Net.CutOneWay(machine.Host, other.Host, false)
	case "stall":
		machine.Disk.Stall(true)
		world.Rest(chaos.span(50*time.Millisecond, 1200*time.Millisecond))
		machine.Disk.Stall(false)
	case "refuse", "full", "refuse-restart":
		chaos.refuse(kind, index)
	case "wipe":
		world.WipeCore(index)
		world.Rest(chaos.span(10*time.Millisecond, 800*time.Millisecond))
		world.StartCore(index)
		world.Until(10*time.Second, func() bool { return machine.Core.Sound() })
	case "all":
		for each := range world.Cores {
			world.KillCore(each, true)
		}
		world.Rest(chaos.span(10*time.Millisecond, 500*time.Millisecond))
		for each := range world.Cores {
			world.StartCore(each)
		}
	case "alone":
		if leader := world.Leader(); leader >= 0 {
			index = leader
		}
		world.isolate(index, true)
		world.Rest(chaos.span(50*time.Millisecond, 1500*time.Millisecond))
		world.isolate(index, false)
	case "stale-leader-lost", "stale-disk-lost":
		leader := world.Leader()
		if leader < 0 {
			return
		}
		stale := (leader + 1) % len(world.Cores)
		world.isolate(stale, true)
		world.Rest(chaos.span(400*time.Millisecond, 1200*time.Millisecond))
		lost := (leader + 2) % len(world.Cores)
		world.KillCore(leader, true)
		if kind == "stale-disk-lost" {
			world.WipeCore(lost)
			world.StartCore(lost)
		}
		world.isolate(stale, false)
		world.Until(4*time.Second, func() bool { return world.Leader() >= 0 })
		world.Rest(chaos.span(10*time.Millisecond, 500*time.Millisecond))
		world.StartCore(leader)
		world.Until(10*time.Second, func() bool { return world.Cores[lost].Core.Sound() })
	case "faults":
		world.Net.Faults(Faults{LoseAsked: 60, LoseTold: 60, Twice: 100, SlowMs: 30})
		world.Rest(chaos.span(500*time.Millisecond, 2*time.Second))
		world.Net.Faults(Faults{})
	}
}

// refuse makes a core's disk refuse what it is asked to keep for a while, at times
// over a restart; the core goes on by itself.
func (chaos *Chaos) refuse(kind string, index int) {
	world := chaos.world
	if leader := world.Leader(); leader >= 0 && chaos.random.IntN(2) == 0 {
		index = leader
	}
	machine := world.Cores[index]
	trouble := func() {
		if kind == "full" {
			machine.Disk.Room(max(1, machine.Disk.Used()))
		} else {
			machine.Disk.Refuse([]Refusal{{Writes: true}, {Syncs: true}, {Names: true}, {Writes: true, Syncs: true, Names: true}}[chaos.random.IntN(4)])
		}
	}
	trouble()
	world.Rest(chaos.span(50*time.Millisecond, 2*time.Second))
	if kind == "refuse-restart" {
		world.KillCore(index, chaos.random.IntN(2) == 0)
		trouble()
		world.StartCore(index)
		world.Rest(chaos.span(50*time.Millisecond, 2*time.Second))
	}
	machine.Disk.Refuse(Refusal{})
	machine.Disk.Room(0)
	if !world.Until(10*time.Second, func() bool { return machine.Core.Sound() }) {
		world.broke("core %d does not vote again, its disk takes writes", machine.ID)
	}
}

// isolate cuts a core off from the other cores, not from the daemons.
func (world *World) isolate(index int, cut bool) {
	for other := range world.Cores {
		if other != index {
			world.Net.Cut(world.Cores[index].Host, world.Cores[other].Host, cut)
		}
	}
}
