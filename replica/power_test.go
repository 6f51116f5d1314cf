package replica_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
)

const smallSegment = 6000

// witness drives a voter and remembers what it answered for.
type witness struct {
	test     *testing.T
	random   *rand.Rand
	voter    *replica.Replica
	store    *replica.Store
	round    uint64
	promised message.Term
	marks    message.Versions
	bodies   map[message.Version]byte
}

// open starts a voter on the disk; what was answered for must be there, and what
// is there counts as answered for once the disk has taken it anew.
func (witness *witness) open(disk *simulation.Disk) error {
	store, err := replica.OpenStore(disk)
	if err != nil {
		return err
	}
	store.LimitSegments(smallSegment)
	witness.store = store
	witness.voter = replica.New(store, noCallbacks())
	witness.judge()
	if store.Err() == nil {
		witness.promised, witness.marks = witness.voter.State().Promised, witness.voter.State().Versions()
	}
	return nil
}

// judge compares what is held with what was answered: nothing less, and nothing
// that was never offered.
func (witness *witness) judge() {
	witness.test.Helper()
	state := witness.voter.State()
	if state.Promised.Less(witness.promised) {
		witness.test.Fatalf("promised %v, holds %v", witness.promised, state.Promised)
	}
	for register, version := range state.Versions() {
		if version.Less(witness.marks[register]) {
			witness.test.Fatalf("register %d: took %v, holds %v", register, witness.marks[register], version)
		}
		body := state.Accepted[register].Value.Body
		if version.Serial > 0 && (len(body) == 0 || body[len(body)-1] != witness.bodies[version]) {
			witness.test.Fatalf("register %d: other content under %v", register, version)
		}
	}
}

// promise asks for a ballot by the membership that the voter holds.
func (witness *witness) promise(term message.Term) *message.PrepareRequest {
	return &message.PrepareRequest{Term: term, Membership: witness.voter.State().Accepted[message.MembersRegister]}
}

// step promises or accepts once; false when the voter has not answered.
func (witness *witness) step() bool {
	witness.round = max(witness.round, witness.voter.State().Promised.Number) + 1
	term := message.Term{Number: witness.round, Core: 1}
	if witness.random.IntN(3) == 0 {
		response, err := witness.voter.Prepare(witness.promise(term))
		if err != nil {
			return false
		}
		if !response.Granted {
			witness.test.Fatalf("%v not promised over %v", term, response.Promised)
		}
		witness.promised = term
		return true
	}
	register := message.Register(witness.random.IntN(int(message.Registers)))
	body := make([]byte, 1+witness.random.IntN(4000))
	body[len(body)-1] = byte(witness.random.IntN(255) + 1)
	version := message.Version{Term: term, Serial: term.Number}
	witness.bodies[version] = body[len(body)-1]
	response, err := witness.voter.Accept(
		&message.AcceptRequest{Term: term, Register: register, Value: message.Value{Serial: term.Number, Body: body}},
	)
	if err != nil {
		return false
	}
	if !response.Accepted {
		witness.test.Fatalf("%v not taken under %v", term, response.Promised)
	}
	witness.promised, witness.marks[register] = term, version
	return true
}

// The process ends at any call to the disk and the power goes, or stays and goes
// later: whatever was answered lasts, and the store opens, though each file that
// was made, renamed or removed since its folder's sync is kept or lost by itself.
func TestAnsweredLastsFileByFile(test *testing.T) {
	undone, rolled := 0, 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		disk := simulation.NewDisk(seed)
		witness := &witness{test: test, random: random, bodies: map[message.Version]byte{}}
		for round := range 12 {
			if random.IntN(3) == 0 {
				disk.DieAfter(1 + random.IntN(10))
				_ = witness.open(disk) // dies on the way or not
				disk = disk.Sever(random.IntN(2) == 0)
			}
			if err := witness.open(disk); err != nil {
				names, _ := disk.List()
				test.Fatalf("seed %d round %d: %v, files %v", seed, round, err, names)
			}
			if err := witness.voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err != nil {
				test.Fatalf("seed %d: founding: %v", seed, err)
			}
			disk.DieAfter(1 + random.IntN(120))
			for witness.step() {
			}
			before, _ := disk.List()
			disk = disk.Sever(random.IntN(4) > 0)
			after, _ := disk.List()
			if strings.Join(before, " ") != strings.Join(after, " ") {
				undone++
			}
			if len(after) > 0 && strings.HasPrefix(after[len(after)-1], "snapshot") {
				rolled++
			}
		}
	}
	if undone < 400 || rolled < 1000 {
		test.Fatalf("too few tried: names changed at %d losses, snapshots at %d", undone, rolled)
	}
}

// A disk refuses writes, syncs, changes of names or all of them, or is full, for a
// while: meanwhile nothing is answered; afterwards the voter goes on without a
// restart, and what it answered before and after lasts through a power loss.
func TestRefusedAnswersNothingAndGoesOn(test *testing.T) {
	refused := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 4))
		disk := simulation.NewDisk(seed)
		witness := &witness{test: test, random: random, bodies: map[message.Version]byte{}}
		for range 10 {
			if err := witness.open(disk); err != nil {
				test.Fatalf("seed %d: %v", seed, err)
			}
			if err := witness.voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err != nil {
				test.Fatalf("seed %d: founding: %v", seed, err)
			}
			for range random.IntN(9) {
				if !witness.step() {
					test.Fatalf("seed %d: refused by a sound disk", seed)
				}
			}
			for range random.IntN(3) {
				disk.Refuse(
					[]simulation.Refusal{{Writes: true}, {Syncs: true}, {Names: true}, {Writes: true, Syncs: true, Names: true}, {}}[random.IntN(5)],
				)
				disk.Room(disk.Used() + 1 + random.IntN(9000))
				for range 8 {
					if witness.store.Err() != nil {
						refused++
						witness.judge()
						if _, err := witness.voter.Prepare(witness.promise(witness.promised)); err == nil {
							test.Fatalf("seed %d: promised by a disk that refuses", seed)
						}
						_ = witness.voter.Repair() // the disk may still refuse
					}
					witness.step()
				}
				if random.IntN(4) == 0 {
					break
				}
				disk.Refuse(simulation.Refusal{})
				disk.Room(0)
				if err := witness.voter.Repair(); err != nil {
					test.Fatalf("seed %d: %v", seed, err)
				}
				for range random.IntN(4) {
					if !witness.step() {
						test.Fatalf("seed %d: does not go on", seed)
					}
				}
			}
			disk = disk.Sever(random.IntN(3) > 0)
			disk.Refuse(simulation.Refusal{})
			disk.Room(0)
		}
	}
	if refused < 2000 {
		test.Fatalf("only %d steps were refused", refused)
	}
}
