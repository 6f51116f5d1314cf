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

// writeToDisk sends random requests to a replica on the disk and returns its state.
func writeToDisk(test *testing.T, disk *simulation.Disk, random *rand.Rand, count int) *consensus.State {
	test.Helper()
	return sendRequests(newInitializedReplica(test, disk), random, count)
}

// newInitializedReplica returns an initialized replica on the disk.
func newInitializedReplica(test *testing.T, disk *simulation.Disk) *replica.Replica {
	test.Helper()
	store, err := replica.OpenStore(disk)
	if err != nil {
		test.Fatal(err)
	}
	voter := replica.New(store, failOnDiskError(test))
	if err := voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err != nil {
		test.Fatal(err)
	}
	return voter
}

// sendRequests sends random requests and returns the state after them.
func sendRequests(voter *replica.Replica, random *rand.Rand, count int) *consensus.State {
	for range count {
		term := voter.State().Promised
		term.Number++
		term.Core = 1
		if random.IntN(2) == 0 {
			_, _ = voter.Prepare(&message.PrepareRequest{Term: term}) // the state shows what was acknowledged
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

// newestSegment returns the name of the segment that is appended to.
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

func sameState(left, right *consensus.State) bool {
	return left.Initialized == right.Initialized && left.Promised == right.Promised && left.Versions() == right.Versions()
}

// The acknowledged state survives power losses, over many segments.
func TestAcknowledgedStateSurvivesPowerLoss(test *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		disk := simulation.NewDisk(seed)
		for round := range 4 {
			acknowledged := writeToDisk(test, disk, random, 15)
			disk = disk.Detach(true)
			store, err := replica.OpenStore(disk)
			if err != nil {
				test.Fatalf("seed %d round %d: %v", seed, round, err)
			}
			if !sameState(acknowledged, store.State()) {
				test.Fatalf(
					"seed %d round %d: acknowledged %v %v, restored %v %v",
					seed,
					round,
					acknowledged.Promised,
					acknowledged.Versions(),
					store.State().Promised,
					store.State().Versions(),
				)
			}
			store.Close()
		}
		names, _ := disk.List()
		if len(names) > 2 {
			test.Fatalf("old files were not removed: %v", names)
		}
	}
}

// A torn tail of the last segment is ignored. A flipped bit before it is an error.
func TestTornTailIsIgnoredAndFlippedBitIsError(test *testing.T) {
	flippedBits, tornTails := 0, 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		disk := simulation.NewDisk(seed)
		voter := newInitializedReplica(test, disk)
		before := sendRequests(voter, random, 1+random.IntN(6))
		name := newestSegment(disk)
		length := disk.Size(name)
		intact := disk.Clone()
		sendRequests(voter, random, 1)
		newLength := disk.Size(name)
		if newLength <= length || name != newestSegment(disk) {
			continue
		}
		torn := disk.Clone()
		torn.Truncate(name, length+random.IntN(newLength-length))
		store, err := replica.OpenStore(torn)
		if err != nil || !sameState(before, store.State()) {
			test.Fatalf("seed %d: torn tail: wrong state, or error %v", seed, err)
		}
		tornTails++
		if length == 0 {
			continue
		}
		disk.FlipBit(name, random.IntN(length))
		if _, err := replica.OpenStore(disk); err == nil || rpc.CodeOf(err) != rpc.CorruptStore {
			test.Fatalf("seed %d: flipped bit: error %v, want code corrupt_store", seed, err)
		}
		flippedBits++
		if store, err := replica.OpenStore(intact); err != nil || !sameState(before, store.State()) {
			test.Fatalf("seed %d: intact disk: wrong state, or error %v", seed, err)
		}
	}
	if flippedBits < 20 || tornTails < 20 {
		test.Fatal(fmt.Sprint("too few cases covered: ", flippedBits, tornTails))
	}
}

// If a process died before it synced the name of a new segment, the next process does
// that before it appends.
func TestExistingSegmentIsDurableBeforeAppend(test *testing.T) {
	disk := simulation.NewDisk(1)
	if _, err := disk.Create("segment-0000000000000000"); err != nil {
		test.Fatal(err)
	}
	acknowledged := writeToDisk(test, disk, rand.New(rand.NewPCG(1, 1)), 8)
	store, err := replica.OpenStore(disk.Detach(true))
	if err != nil || !sameState(acknowledged, store.State()) {
		test.Fatalf("acknowledged %v %v, restored %+v: error %v", acknowledged.Promised, acknowledged.Versions(), store, err)
	}
}

// If the write that initializes a replica is damaged at any byte, the replica is blank again
// and can be initialized.
func TestDamagedInitializationLeavesBlankReplica(test *testing.T) {
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
		return replica.New(store, failOnDiskError(test))
	}
	intact := simulation.NewDisk(1)
	if err := open(intact).Initialize(message.Term{Number: 5, Core: 3}, accepted, nil); err != nil {
		test.Fatal(err)
	}
	size := intact.Size("segment-0000000000000000")
	for offset := 0; offset < size; offset += 7 {
		disk := intact.Clone()
		disk.FlipBit("segment-0000000000000000", offset)
		voter := open(disk)
		if !voter.Blank() || voter.State().Versions() != (message.Versions{}) {
			test.Fatalf("damage at byte %d: replica is not blank: %+v", offset, voter.State())
		}
		if err := voter.Initialize(message.Term{Number: 6, Core: 3}, accepted, nil); err != nil || voter.Blank() {
			test.Fatalf("damage at byte %d: replica was not initialized again: %v", offset, err)
		}
		voter.Close()
		if reopened := open(disk.Detach(true)); reopened.Blank() || reopened.State().Promised.Number != 6 {
			test.Fatalf("damage at byte %d: after a power loss: %+v", offset, reopened.State())
		}
	}
}

// The disk usage stays bounded while a large register changes many times: a segment, its
// snapshot and the next snapshot.
func TestDiskUsageStaysBounded(test *testing.T) {
	const large = 2 << 20
	disk := simulation.NewDisk(1)
	voter := newInitializedReplica(test, disk)
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
	if most := disk.PeakUsed(); most > 5*large {
		test.Errorf("disk usage reached %d bytes after %d were written", most, written)
	}
}
