package control

import (
	"fmt"
	"maps"
	"time"

	"orchidjunction/clock"
	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/harness/testdisk"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/replica"
)

// modelMachine is one machine of the model: its disk, and the process on it while one runs.
type modelMachine struct {
	index   int
	address string
	disk    *testdisk.Disk
	process *modelProcess
	lives   int
	// voted are the decided IDs under which this disk answered somebody who counted it,
	// and forgotten those of earlier disks; neither is known to the rules.
	voted     modelIDs
	forgotten modelIDs
	digested  string
}

// modelIDs is a set of voters' IDs, or of machines.
type modelIDs uint64

func (ids modelIDs) has(id int) bool            { return ids&(1<<id) != 0 }
func (ids modelIDs) with(id int) modelIDs       { return ids | 1<<id }
func (ids modelIDs) without(id int) modelIDs    { return ids &^ (1 << id) }
func (ids modelIDs) and(more modelIDs) modelIDs { return ids | more }

// modelProcess is a running core: the real Core with its real Voter, of which only the
// methods that do no I/O are called, and what it is waiting for.
type modelProcess struct {
	core       *Core
	life       int
	calls      int
	enlisting  int
	survey     *modelSurvey
	candidacy  *modelCandidacy
	push       *modelPush
	admission  *modelAdmission
	leadership *Leadership
}

// modelSurvey is a blank voter's question to all others, before it fences them.
type modelSurvey struct {
	call     int
	view     *consensus.View
	response map[int]*message.ReplicaStateResponse
}

// modelCandidacy is a ballot that is being pushed.
type modelCandidacy struct {
	call     int
	view     *consensus.View
	ballot   message.Term
	promises map[int]*message.PrepareResponse
	restores bool
}

type modelPurpose string

const (
	modelEstablish modelPurpose = "establish"
	modelWrite     modelPurpose = "write"
	modelCatchUp   modelPurpose = "catch up"
	modelStep      modelPurpose = "step"
	modelRewrite   modelPurpose = "rewrite"
	modelSettle    modelPurpose = "settle"
)

// modelPush is a set of values on their way to a quorum, or to one learner.
type modelPush struct {
	call    int
	purpose modelPurpose
	view    *consensus.View
	ballot  message.Term
	values  map[message.Register]message.Value
	// inherited are the versions under which the values were accepted before.
	inherited message.Versions
	took      map[message.Register]modelIDs
	learner   string
	leaving   int
}

// modelAdmission is a learner's question that waits for a confirmed heartbeat.
type modelAdmission struct {
	call    int
	view    *consensus.View
	asked   *modelPacket
	took    modelIDs
	history string
}

func newModelMachine(index int, lying bool) *modelMachine {
	machine := &modelMachine{index: index, address: fmt.Sprintf("10.0.0.%d:7000", index+1), disk: testdisk.New()}
	machine.disk.Lying = lying
	return machine
}

func (machine *modelMachine) clone() *modelMachine {
	next := *machine
	next.disk = machine.disk.Clone()
	if machine.process != nil {
		next.process = machine.process.clone(machine.address, next.disk)
	}
	return &next
}

// modelSegmentLimit makes the store write snapshots often.
const modelSegmentLimit = 1500

func newModelCore(address string, store *replica.Store) *Core {
	store.LimitSegments(modelSegmentLimit)
	core := &Core{
		counters:     metrics.NewCounters(),
		updates:      concurrent.NewCondition(),
		wakeElection: concurrent.NewCondition(),
		random:       newRandomSource(1),
		peerClocks:   newPeerClocks(),
		tables:       newTableState(),
	}
	core.config = Config{
		InternalAddress:   address,
		HeartbeatInterval: 10 * time.Millisecond,
		SuspicionTimeout:  30 * time.Millisecond,
	}.withDefaults()
	core.clock = clock.NewClock(func() int64 { return 0 })
	core.sessions = newSessions(core.config.SessionTTL)
	core.openReplica(store)
	core.role = newRoleState(Following, 0, core.counters)
	core.members = consensus.NewTracker(core.config.initialView(core.replica.State().Membership()), core.membershipChanged)
	core.election.highestTerm = core.replica.State().Promised.Number
	return core
}

// openReplica makes the replica of a store the core's own.
func (core *Core) openReplica(store *replica.Store) {
	core.replica = replica.New(
		store,
		replica.Callbacks{DiskFailed: func(error) {}, PromiseRaised: core.promiseRaised, MembershipAccepted: core.learnMembership},
	)
}

// start runs a process on the disk as it is.
func (machine *modelMachine) start() {
	store, err := replica.OpenStore(machine.disk)
	if err != nil {
		panic(err)
	}
	machine.lives++
	machine.process = &modelProcess{core: newModelCore(machine.address, store), life: machine.lives}
}

// holds is whether the disk of a stopped machine has accepted what was offered.
func (machine *modelMachine) holds(request *message.AcceptRequest) bool {
	offered := message.Version{Term: request.Term, Serial: request.Value.Serial}
	return modelLasting(machine.disk).Accepted[request.Register].Version() == offered
}

// wipe replaces the disk by an empty one.
func (machine *modelMachine) wipe() {
	lying := machine.disk.Lying
	machine.process, machine.disk = nil, testdisk.New()
	machine.disk.Lying = lying
	machine.forgotten, machine.voted = machine.forgotten.and(machine.voted), 0
}

func (process *modelProcess) clone(address string, disk *testdisk.Disk) *modelProcess {
	next := *process
	former := process.core.replica.Store()
	next.core = newModelCore(address, former.CloneFor(disk, disk.FileOf(former.LastSegment())))
	next.core.members = consensus.NewTracker(process.core.membership(), next.core.membershipChanged)
	next.core.election.highestTerm, next.core.election.leader = process.core.election.highestTerm, process.core.election.leader
	next.core.committed = process.core.committed
	if process.survey != nil {
		survey := *process.survey
		survey.response = maps.Clone(survey.response)
		next.survey = &survey
	}
	if process.candidacy != nil {
		candidacy := *process.candidacy
		candidacy.promises = maps.Clone(candidacy.promises)
		next.candidacy = &candidacy
	}
	if process.push != nil {
		push := *process.push
		push.took = maps.Clone(push.took)
		next.push = &push
	}
	if process.admission != nil {
		admission := *process.admission
		next.admission = &admission
	}
	if process.leadership != nil {
		next.leadership = &Leadership{core: next.core, term: process.leadership.term, values: process.leadership.values}
	}
	return &next
}

func (process *modelProcess) nextCall() int {
	process.calls++
	return process.calls
}

// revoke ends the leadership and every attempt at one.
func (process *modelProcess) revoke() {
	process.survey, process.candidacy, process.push, process.admission, process.leadership = nil, nil, nil, nil, nil
}

// idle is whether the process neither leads nor tries to.
func (process *modelProcess) idle() bool {
	return process.leadership == nil && process.survey == nil && process.candidacy == nil && process.push == nil
}
