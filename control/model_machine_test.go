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

// modelMachine is a machine with its disk and its process, which is nil while stopped.
type modelMachine struct {
	index        int
	address      string
	disk         *testdisk.Disk
	process      *modelProcess
	incarnations int
	// votedIDs are the decided IDs under which this disk sent responses that count, and lostIDs
	// those of lost disks. The rules know neither.
	votedIDs     modelIDSet
	lostIDs      modelIDSet
	cachedDigest string
}

// modelIDSet is a set of voter IDs or of machine indexes.
type modelIDSet uint64

func (ids modelIDSet) has(id int) bool                  { return ids&(1<<id) != 0 }
func (ids modelIDSet) with(id int) modelIDSet           { return ids | 1<<id }
func (ids modelIDSet) without(id int) modelIDSet        { return ids &^ (1 << id) }
func (ids modelIDSet) union(more modelIDSet) modelIDSet { return ids | more }

// modelProcess is a running core: a real Core with a real Replica, of which only methods that
// do no network I/O are called, and its calls in progress.
type modelProcess struct {
	core        *Core
	incarnation int
	calls       int
	joinCall    int
	stateQuery  *modelStateQuery
	candidacy   *modelCandidacy
	replication *modelReplication
	admission   *modelAdmission
	leadership  *Leadership
}

// modelStateQuery asks all other voters for their state before a blank voter fences them.
type modelStateQuery struct {
	call      int
	view      *consensus.View
	responses map[int]*message.ReplicaStateResponse
}

type modelCandidacy struct {
	call      int
	view      *consensus.View
	term      message.Term
	promises  map[int]*message.PrepareResponse
	restoring bool
}

type modelPurpose string

const (
	modelEstablish  modelPurpose = "establish"
	modelWrite      modelPurpose = "write"
	modelCatchUp    modelPurpose = "catch up"
	modelWriteJoint modelPurpose = "write joint membership"
	modelRewrite    modelPurpose = "rewrite"
	modelWriteFinal modelPurpose = "write final membership"
)

// modelReplication is a write of values to a quorum, or to one learner, in progress.
type modelReplication struct {
	call    int
	purpose modelPurpose
	view    *consensus.View
	term    message.Term
	values  map[message.Register]message.Value
	// inherited has the versions with which the values were accepted under earlier terms.
	inherited  message.Versions
	acceptedBy map[message.Register]modelIDSet
	learner    string
	leavingID  int
}

// modelAdmission is a learner's join request that waits for a confirmed heartbeat.
type modelAdmission struct {
	call         int
	view         *consensus.View
	request      *modelPacket
	confirmedBy  modelIDSet
	acknowledged string
}

func newModelMachine(index int, lying bool) *modelMachine {
	machine := &modelMachine{index: index, address: fmt.Sprintf("10.0.0.%d:7000", index+1), disk: testdisk.New()}
	machine.disk.SkipSyncs = lying
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

// modelSegmentBytes is small so that the store often writes snapshots.
const modelSegmentBytes = 1500

func newModelCore(address string, store *replica.Store) *Core {
	store.LimitSegments(modelSegmentBytes)
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

// openReplica sets the core's replica to one on the given store.
func (core *Core) openReplica(store *replica.Store) {
	core.replica = replica.New(
		store,
		replica.Callbacks{DiskFailed: func(error) {}, PromiseRaised: core.promiseRaised, MembershipAccepted: core.learnMembership},
	)
}

func (machine *modelMachine) start() {
	store, err := replica.OpenStore(machine.disk)
	if err != nil {
		panic(err)
	}
	machine.incarnations++
	machine.process = &modelProcess{core: newModelCore(machine.address, store), incarnation: machine.incarnations}
}

// hasAccepted reports whether a stopped machine's disk has accepted the request's value.
func (machine *modelMachine) hasAccepted(request *message.AcceptRequest) bool {
	proposed := message.Version{Term: request.Term, Serial: request.Value.Serial}
	return modelDiskState(machine.disk).Accepted[request.Register].Version() == proposed
}

// wipe stops the process and replaces the disk by an empty one.
func (machine *modelMachine) wipe() {
	lying := machine.disk.SkipSyncs
	machine.process, machine.disk = nil, testdisk.New()
	machine.disk.SkipSyncs = lying
	machine.lostIDs, machine.votedIDs = machine.lostIDs.union(machine.votedIDs), 0
}

func (process *modelProcess) clone(address string, disk *testdisk.Disk) *modelProcess {
	next := *process
	former := process.core.replica.Store()
	next.core = newModelCore(address, former.CloneFor(disk, disk.FileOf(former.LastSegment())))
	next.core.members = consensus.NewTracker(process.core.membership(), next.core.membershipChanged)
	next.core.election.highestTerm, next.core.election.leader = process.core.election.highestTerm, process.core.election.leader
	next.core.committed = process.core.committed
	if process.stateQuery != nil {
		stateQuery := *process.stateQuery
		stateQuery.responses = maps.Clone(stateQuery.responses)
		next.stateQuery = &stateQuery
	}
	if process.candidacy != nil {
		candidacy := *process.candidacy
		candidacy.promises = maps.Clone(candidacy.promises)
		next.candidacy = &candidacy
	}
	if process.replication != nil {
		replication := *process.replication
		replication.acceptedBy = maps.Clone(replication.acceptedBy)
		next.replication = &replication
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

// abort ends the leadership and every attempt at one.
func (process *modelProcess) abort() {
	process.stateQuery, process.candidacy, process.replication, process.admission, process.leadership = nil, nil, nil, nil, nil
}

// isIdle reports whether the process neither leads nor tries to.
func (process *modelProcess) isIdle() bool {
	return process.leadership == nil && process.stateQuery == nil && process.candidacy == nil && process.replication == nil
}
