package replica_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"orchidjunction/consensus"
	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// fill makes steps on a voter and returns what it answered for last.
func fill(test *testing.T, disk *simulation.Disk, random *rand.Rand, steps int) *consensus.State {
	test.Helper()
	return take(founded(test, disk), random, steps)
}

// founded is a voter on the disk.
func founded(test *testing.T, disk *simulation.Disk) *replica.Replica {
	test.Helper()
	store, err := replica.OpenStore(disk)
	if err != nil {
		test.Fatal(err)
	}
	voter := replica.New(store, failing(test))
	if err := voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err != nil {
		test.Fatal(err)
	}
	return voter
}

// take makes steps and returns what was answered for last.
func take(voter *replica.Replica, random *rand.Rand, steps int) *consensus.State {
	for range steps {
		term := voter.State().Promised
		term.Number++
		term.Core = 1
		if random.IntN(2) == 0 {
			_, _ = voter.Prepare(&message.PrepareRequest{Term: term}) // the state tells what was answered for
			continue
		}
		_, _ = voter.Accept(
			&message.AcceptRequest{
				Term:     term,
				Register: message.Register(random.IntN(2)),
				Value:    message.Value{Serial: term.Number, Body: make([]byte, random.IntN(300_000))},
			},
		)
	}
	return voter.State()
}

// newestSegment is the file that steps are appended to.
func newestSegment(disk *simulation.Disk) string {
	names, _ := disk.List()
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, "segment") {
			newest = name
		}
	}
	return newest
}

func same(left, right *consensus.State) bool {
	return left.Initialized == right.Initialized && left.Promised == right.Promised && left.Versions() == right.Versions()
}

// Whatever was answered lasts through a power loss, over many segments.
func TestAnsweredLasts(test *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		disk := simulation.NewDisk(seed)
		for round := range 4 {
			answered := fill(test, disk, random, 15)
			disk = disk.Sever(true)
			store, err := replica.OpenStore(disk)
			if err != nil {
				test.Fatalf("seed %d round %d: %v", seed, round, err)
			}
			if !same(answered, store.State()) {
				test.Fatalf(
					"seed %d round %d: answered %v %v, kept %v %v",
					seed,
					round,
					answered.Promised,
					answered.Versions(),
					store.State().Promised,
					store.State().Versions(),
				)
			}
			store.Close()
		}
		names, _ := disk.List()
		if len(names) > 2 {
			test.Fatalf("old files stay: %v", names)
		}
	}
}

// A torn tail is cut; a flipped bit anywhere before it stops the daemon.
func TestTornTailIsCutAndWornBitsStop(test *testing.T) {
	stopped, cut := 0, 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		disk := simulation.NewDisk(seed)
		voter := founded(test, disk)
		before := take(voter, random, 1+random.IntN(6))
		name := newestSegment(disk)
		length := disk.Size(name)
		whole := disk.Fork()
		take(voter, random, 1)
		grown := disk.Size(name)
		if grown <= length || name != newestSegment(disk) {
			continue
		}
		torn := disk.Fork()
		torn.Cut(name, length+random.IntN(grown-length))
		store, err := replica.OpenStore(torn)
		if err != nil || !same(before, store.State()) {
			test.Fatalf("seed %d: torn tail gave %v", seed, err)
		}
		cut++
		if length == 0 {
			continue
		}
		disk.Harm(name, random.IntN(length))
		if _, err := replica.OpenStore(disk); err == nil || rpc.CodeOf(err) != rpc.CorruptStore {
			test.Fatalf("seed %d: worn bit gave %v", seed, err)
		}
		stopped++
		if store, err := replica.OpenStore(whole); err != nil || !same(before, store.State()) {
			test.Fatalf("seed %d: %v", seed, err)
		}
	}
	if stopped < 20 || cut < 20 {
		test.Fatal(fmt.Sprint("too few tried: ", stopped, cut))
	}
}

// A segment that a process made and did not live to see named on the disk is
// named before the next process appends to it.
func TestFoundSegmentLastsOnceAppended(test *testing.T) {
	disk := simulation.NewDisk(1)
	if _, err := disk.Create("segment-0000000000000000"); err != nil {
		test.Fatal(err)
	}
	answered := fill(test, disk, rand.New(rand.NewPCG(1, 1)), 8)
	store, err := replica.OpenStore(disk.Sever(true))
	if err != nil || !same(answered, store.State()) {
		test.Fatalf("answered %v %v, kept %+v: %v", answered.Promised, answered.Versions(), store, err)
	}
}

// What a blank disk takes over is torn in its first bytes only, or in any others:
// the disk is blank again, and works.
func TestTornTakeoverLeavesABlankDisk(test *testing.T) {
	accepted := [message.Registers]message.AcceptedValue{}
	for register := range accepted {
		accepted[register] = message.AcceptedValue{
			Term:  message.Term{Number: 2, Core: 1},
			Value: message.Value{Serial: 3, Body: make([]byte, 300)},
		}
	}
	open := func(disk *simulation.Disk) *replica.Replica {
		store, err := replica.OpenStore(disk)
		if err != nil {
			test.Fatal(err)
		}
		return replica.New(store, failing(test))
	}
	whole := simulation.NewDisk(1)
	if err := open(whole).Initialize(message.Term{Number: 5, Core: 3}, accepted, nil); err != nil {
		test.Fatal(err)
	}
	size := whole.Size("segment-0000000000000000")
	for at := 0; at < size; at += 7 {
		disk := whole.Fork()
		disk.Harm("segment-0000000000000000", at)
		voter := open(disk)
		if !voter.Blank() || voter.State().Versions() != (message.Versions{}) {
			test.Fatalf("byte %d: %+v", at, voter.State())
		}
		if err := voter.Initialize(message.Term{Number: 6, Core: 3}, accepted, nil); err != nil || voter.Blank() {
			test.Fatalf("byte %d: %v", at, err)
		}
		voter.Close()
		if again := open(disk.Sever(true)); again.Blank() || again.State().Promised.Number != 6 {
			test.Fatalf("byte %d: %+v", at, again.State())
		}
	}
}

// Hundreds of changes of a large register keep the disk bounded: a segment, the
// snapshot before it and the next one.
func TestDiskStaysBoundedOverLargeChanges(test *testing.T) {
	const large = 2 << 20
	disk := simulation.NewDisk(1)
	voter := founded(test, disk)
	written := 0
	for serial := uint64(1); serial <= 60; serial++ {
		response, err := voter.Accept(
			&message.AcceptRequest{
				Term:     message.Term{Number: 1, Core: 1},
				Register: message.RoutingRegister,
				Value:    message.Value{Serial: serial, Body: make([]byte, large)},
			},
		)
		if err != nil || !response.Accepted {
			test.Fatal(response, err)
		}
		written += large
	}
	if most := disk.MostUsed(); most > 5*large {
		test.Errorf("%d bytes at most, of %d written", most, written)
	}
}
