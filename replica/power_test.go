package replica_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
)

// segmentBytes is small to make the store rotate often.
const segmentBytes = 6000

// durabilityChecker checks that a replica keeps what it has acknowledged.
type durabilityChecker struct {
	test       *testing.T
	random     *rand.Rand
	voter      *replica.Replica
	store      *replica.Store
	termNumber uint64
	promised   message.Term
	accepted   message.Versions
	// lastBytes holds the last byte of each value sent.
	lastBytes map[message.Version]byte
}

// open starts a replica on the disk and checks that it has what was acknowledged. Unless
// the store has an error, the restored state counts as acknowledged too.
func (checker *durabilityChecker) open(disk *simulation.Disk) error {
	store, err := replica.OpenStore(disk)
	if err != nil {
		return err
	}
	store.LimitSegments(segmentBytes)
	checker.store = store
	checker.voter = replica.New(store, noCallbacks())
	checker.checkState()
	if store.Err() == nil {
		checker.promised, checker.accepted = checker.voter.State().Promised, checker.voter.State().Versions()
	}
	return nil
}

// checkState fails the test if the replica's state is older than what it acknowledged, or
// has a value that it was never sent.
func (checker *durabilityChecker) checkState() {
	checker.test.Helper()
	state := checker.voter.State()
	if state.Promised.Less(checker.promised) {
		checker.test.Fatalf("replica promised %v, but its state has %v", checker.promised, state.Promised)
	}
	for register, version := range state.Versions() {
		if version.Less(checker.accepted[register]) {
			checker.test.Fatalf("register %d: replica accepted %v, but its state has %v", register, checker.accepted[register], version)
		}
		body := state.Accepted[register].Value.Body
		if version.Serial > 0 && (len(body) == 0 || body[len(body)-1] != checker.lastBytes[version]) {
			checker.test.Fatalf("register %d: wrong content of version %v", register, version)
		}
	}
}

// prepareRequest returns a request for a term with the replica's own membership.
func (checker *durabilityChecker) prepareRequest(term message.Term) *message.PrepareRequest {
	return &message.PrepareRequest{Term: term, Membership: checker.voter.State().Accepted[message.MembersRegister]}
}

// step sends one Prepare or Accept request and reports whether the replica responded.
func (checker *durabilityChecker) step() bool {
	checker.termNumber = max(checker.termNumber, checker.voter.State().Promised.Number) + 1
	term := message.Term{Number: checker.termNumber, Core: 1}
	if checker.random.IntN(3) == 0 {
		response, err := checker.voter.Prepare(checker.prepareRequest(term))
		if err != nil {
			return false
		}
		if !response.Granted {
			checker.test.Fatalf("term %v was not granted, promised is %v", term, response.Promised)
		}
		checker.promised = term
		return true
	}
	register := message.Register(checker.random.IntN(int(message.Registers)))
	body := make([]byte, 1+checker.random.IntN(4000))
	body[len(body)-1] = byte(checker.random.IntN(255) + 1)
	version := message.Version{Term: term, Serial: term.Number}
	checker.lastBytes[version] = body[len(body)-1]
	response, err := checker.voter.Accept(
		&message.AcceptRequest{Term: term, Register: register, Value: message.Value{Serial: term.Number, Body: body}},
	)
	if err != nil {
		return false
	}
	if !response.Accepted {
		checker.test.Fatalf("value of term %v was not accepted, promised is %v", term, response.Promised)
	}
	checker.promised, checker.accepted[register] = term, version
	return true
}

// The process dies at any disk call, with or without a power loss. The store opens and
// has what was acknowledged, although each file created, renamed or removed since the
// last sync of the folder may be kept or lost independently.
func TestAcknowledgedStateSurvivesLossOfSingleFiles(test *testing.T) {
	namesChanged, snapshotsLeft := 0, 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		disk := simulation.NewDisk(seed)
		checker := &durabilityChecker{test: test, random: random, lastBytes: map[message.Version]byte{}}
		for round := range 12 {
			if random.IntN(3) == 0 {
				disk.FailAfter(1 + random.IntN(10))
				_ = checker.open(disk) // the process may die while it opens the store
				disk = disk.Detach(random.IntN(2) == 0)
			}
			if err := checker.open(disk); err != nil {
				names, _ := disk.List()
				test.Fatalf("seed %d round %d: open store: %v, files %v", seed, round, err, names)
			}
			if err := checker.voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err != nil {
				test.Fatalf("seed %d: initialize: %v", seed, err)
			}
			disk.FailAfter(1 + random.IntN(120))
			for checker.step() {
			}
			before, _ := disk.List()
			disk = disk.Detach(random.IntN(4) > 0)
			after, _ := disk.List()
			if strings.Join(before, " ") != strings.Join(after, " ") {
				namesChanged++
			}
			if len(after) > 0 && strings.HasPrefix(after[len(after)-1], "snapshot") {
				snapshotsLeft++
			}
		}
	}
	if namesChanged < 400 || snapshotsLeft < 1000 {
		test.Fatalf("too few cases covered: file names changed in %d crashes, a snapshot was left in %d", namesChanged, snapshotsLeft)
	}
}

// A disk temporarily fails writes, syncs, changes of names or all of them, or is full.
// The replica acknowledges nothing while its store has an error, and continues after the
// repair without a restart. What it acknowledged before and after survives a power loss.
func TestReplicaRecoversFromDiskErrors(test *testing.T) {
	stepsWithError := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 4))
		disk := simulation.NewDisk(seed)
		checker := &durabilityChecker{test: test, random: random, lastBytes: map[message.Version]byte{}}
		for range 10 {
			if err := checker.open(disk); err != nil {
				test.Fatalf("seed %d: open store: %v", seed, err)
			}
			if err := checker.voter.Initialize(message.Term{}, [message.Registers]message.AcceptedValue{}, nil); err != nil {
				test.Fatalf("seed %d: initialize: %v", seed, err)
			}
			for range random.IntN(9) {
				if !checker.step() {
					test.Fatalf("seed %d: request failed on a healthy disk", seed)
				}
			}
			for range random.IntN(3) {
				disk.SetFaults(
					[]simulation.DiskFaults{{Writes: true}, {Syncs: true}, {Names: true}, {Writes: true, Syncs: true, Names: true}, {}}[random.IntN(5)],
				)
				disk.SetCapacity(disk.Used() + 1 + random.IntN(9000))
				for range 8 {
					if checker.store.Err() != nil {
						stepsWithError++
						checker.checkState()
						if _, err := checker.voter.Prepare(checker.prepareRequest(checker.promised)); err == nil {
							test.Fatalf("seed %d: term granted although the store has an error", seed)
						}
						_ = checker.voter.Repair() // the disk may still fail
					}
					checker.step()
				}
				if random.IntN(4) == 0 {
					break
				}
				disk.SetFaults(simulation.DiskFaults{})
				disk.SetCapacity(0)
				if err := checker.voter.Repair(); err != nil {
					test.Fatalf("seed %d: repair: %v", seed, err)
				}
				for range random.IntN(4) {
					if !checker.step() {
						test.Fatalf("seed %d: request failed after the repair", seed)
					}
				}
			}
			disk = disk.Detach(random.IntN(3) > 0)
			disk.SetFaults(simulation.DiskFaults{})
			disk.SetCapacity(0)
		}
	}
	if stepsWithError < 2000 {
		test.Fatalf("too few cases covered: the store had an error at %d steps", stepsWithError)
	}
}
