package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// The model's invariants; a violation is reported under one of these names.
const (
	oneValuePerSerial     = "one value per serial"
	acknowledgedIsKept    = "what was decided is never lost"
	oneLeaderPerTerm      = "one leadership per term"
	quorumsMeet           = "two quorums that decide always meet"
	onlyVotersCount       = "no answer of a blank, amnesiac or removed replica counts"
	idsAreUsedOnce        = "IDs are never used twice"
	oneVoterPerStep       = "a membership changes by one voter a step"
	onlyVotersLead        = "only voters lead"
	countedIsDecided      = "what a leader counts as decided is decided"
	servedIsDecided       = "what is served was decided"
	confirmedReadIsNewest = "a confirmed leader holds all that was acknowledged before it was asked"
)

// modelViolation is an invariant that does not hold.
type modelViolation struct {
	invariant string
	detail    string
}

func (violation *modelViolation) Error() string { return violation.invariant + ": " + violation.detail }

// modelProposal is one value of a register under one ballot, and which machines
// accepted it. Its groups are those of all memberships that it was counted by.
type modelProposal struct {
	ballot    message.Term
	register  message.Register
	value     message.Value
	versions  []*consensus.View
	acceptors modelIDs
	decided   bool
}

// modelLedger is what an observer of all machines knows. It does its own counting, so
// that a wrong quorum in the rules doesn't deceive it too.
type modelLedger struct {
	proposals []modelProposal
	// history is what was decided of each register of data: a value's body holds the
	// mark of each order that led to it, so later values begin with earlier ones.
	history [message.Registers]string
	// under is the lowest ballot that the end of the history was decided under.
	under [message.Registers]message.Term
	// acknowledged is what a leader counted as decided.
	acknowledged [message.Registers]string
	version      *consensus.Membership
	versions     []*consensus.Membership
	given        map[int]string
	leaders      map[message.Term]int
	broken       *modelViolation
	// outcomesOnly leaves out the invariants on single answers, so that a seeded bug
	// has to show in what the system does.
	outcomesOnly bool
}

func newModelLedger(first *consensus.Membership) *modelLedger {
	ledger := &modelLedger{
		version:  first,
		versions: []*consensus.Membership{first},
		given:    map[int]string{},
		leaders:  map[message.Term]int{},
	}
	for _, peer := range first.Voters {
		ledger.given[peer.ID] = peer.Address
	}
	return ledger
}

func (ledger *modelLedger) violated(invariant, format string, values ...any) {
	if ledger.broken != nil {
		return
	}
	detailed := invariant == onlyVotersCount || invariant == countedIsDecided || invariant == onlyVotersLead
	if ledger.outcomesOnly && detailed {
		return
	}
	ledger.broken = &modelViolation{invariant: invariant, detail: fmt.Sprintf(format, values...)}
}

func (ledger *modelLedger) find(term message.Term, register message.Register, serial uint64) *modelProposal {
	for index := len(ledger.proposals) - 1; index >= 0; index-- {
		proposal := &ledger.proposals[index]
		if proposal.ballot == term && proposal.register == register && proposal.value.Serial == serial {
			return proposal
		}
	}
	return nil
}

// proposed notes that a leader sends a value and counts its acceptors by a membership.
func (ledger *modelLedger) proposed(term message.Term, register message.Register, value message.Value, view *consensus.View) {
	proposal := ledger.find(term, register, value.Serial)
	if proposal == nil {
		ledger.proposals = append(ledger.proposals, modelProposal{ballot: term, register: register, value: value})
		proposal = &ledger.proposals[len(ledger.proposals)-1]
	}
	if string(proposal.value.Body) != string(value.Body) {
		ledger.violated(oneValuePerSerial, "ballot %s proposes two values of register %d under serial %d", term, register, value.Serial)
	}
	proposal.versions = append(slices.Clip(proposal.versions), view)
	ledger.keeps(proposal)
	ledger.judge(proposal)
}

// keeps checks that a proposal goes on from what was decided under lower ballots.
func (ledger *modelLedger) keeps(proposal *modelProposal) {
	register := proposal.register
	if register == message.MembersRegister || !ledger.under[register].Less(proposal.ballot) {
		return
	}
	if history := ledger.history[register]; !strings.HasPrefix(string(proposal.value.Body), history) {
		ledger.violated(
			acknowledgedIsKept,
			"%s proposes %q of register %d, %q was decided under %s",
			proposal.ballot,
			proposal.value.Body,
			register,
			history,
			ledger.under[register],
		)
	}
}

// accepted notes that a machine accepted a value, synced.
func (ledger *modelLedger) accepted(machine int, request *message.AcceptRequest) {
	if proposal := ledger.find(request.Term, request.Register, request.Value.Serial); proposal != nil {
		proposal.acceptors = proposal.acceptors.with(machine)
		ledger.judge(proposal)
	}
}

// holds checks that what a replica accepted under a proposal's version is what was proposed.
func (ledger *modelLedger) holds(term message.Term, register message.Register, accepted message.AcceptedValue) {
	proposal := ledger.find(term, register, accepted.Value.Serial)
	if proposal == nil || accepted.Term != term || string(proposal.value.Body) == string(accepted.Value.Body) {
		return
	}
	ledger.violated(oneValuePerSerial, "%q is held of register %d, %q was proposed under %s",
		accepted.Value.Body, register, proposal.value.Body, term)
}

// modelMajorities is the observer's own count: a majority of each group, by machine.
func modelMajorities(membership *consensus.Membership, machines modelIDs) bool {
	groups := [][]message.Peer{membership.Voters}
	if len(membership.Next) > 0 {
		groups = append(groups, membership.Next)
	}
	for _, group := range groups {
		count := 0
		for _, peer := range group {
			if machines.has(modelIndex(peer.Address)) {
				count++
			}
		}
		if 2*count <= len(group) {
			return false
		}
	}
	return true
}

// judge notes a decision at the moment at which the last acceptor makes it.
func (ledger *modelLedger) judge(proposal *modelProposal) {
	if proposal.decided {
		return
	}
	for _, view := range proposal.versions {
		if !modelMajorities(view.Membership, proposal.acceptors) {
			continue
		}
		proposal.decided = true
		if proposal.register == message.MembersRegister {
			ledger.decidedMembers(proposal)
		} else {
			ledger.decidedData(proposal, view)
		}
		return
	}
}

// decidedData checks a decision. One that comes late, since an old message reached one
// more acceptor, is no harm where its value is among those that were decided.
func (ledger *modelLedger) decidedData(proposal *modelProposal, view *consensus.View) {
	body, history := string(proposal.value.Body), ledger.history[proposal.register]
	switch {
	case len(body) > len(history) && view.Version.Serial < ledger.version.Version.Serial:
		ledger.violated(quorumsMeet, "membership %d decides %q of register %d under %s after membership %d was decided",
			view.Version.Serial, body, proposal.register, proposal.ballot, ledger.version.Version.Serial)
	case len(body) > len(history) && strings.HasPrefix(body, history):
		ledger.history[proposal.register], ledger.under[proposal.register] = body, proposal.ballot
		for index := range ledger.proposals {
			if other := &ledger.proposals[index]; other.register == proposal.register {
				ledger.keeps(other)
			}
		}
	case len(body) > len(history):
		ledger.violated(acknowledgedIsKept, "register %d goes from %q to %q", proposal.register, history, body)
	case !strings.HasPrefix(history, body):
		ledger.violated(oneValuePerSerial, "register %d: %q was decided, now %q", proposal.register, history, body)
	}
}

func (ledger *modelLedger) decidedMembers(proposal *modelProposal) {
	next, err := consensus.DecodeMembership(message.AcceptedValue{Term: proposal.ballot, Value: proposal.value})
	if err != nil || next == nil {
		ledger.violated(oneVoterPerStep, "no membership is decided: %v", err)
		return
	}
	now := ledger.version
	switch {
	case next.Version.Serial <= now.Version.Serial:
		if decided := ledger.versions[next.Version.Serial-1]; !sameVoters(next, decided) {
			ledger.violated(quorumsMeet, "membership %d is decided twice: %v and %v", next.Version.Serial, decided, next)
		}
		return
	case next.Version.Serial > now.Version.Serial+1 || !modelIsStep(now, next):
		ledger.violated(oneVoterPerStep, "from %v to %v", now, next)
	}
	ledger.version = next
	ledger.versions = append(slices.Clip(ledger.versions), next)
	for _, peer := range next.All() {
		if address, found := ledger.given[peer.ID]; found && address != peer.Address {
			ledger.violated(idsAreUsedOnce, "ID %d was %s's and is now %s's", peer.ID, address, peer.Address)
		}
		ledger.given[peer.ID] = peer.Address
	}
}

func sameVoters(left, right *consensus.Membership) bool {
	return slices.Equal(left.Voters, right.Voters) && slices.Equal(left.Next, right.Next) && left.LastID == right.LastID
}

// modelIsStep is whether a membership follows another one by the book: a joint step
// that changes one voter, or the end of such a step.
func modelIsStep(now, next *consensus.Membership) bool {
	if len(now.Next) > 0 {
		return len(next.Next) == 0 && slices.Equal(now.Next, next.Voters)
	}
	if len(next.Next) != len(now.Voters) || !slices.Equal(now.Voters, next.Voters) {
		return false
	}
	fresh := 0
	for _, peer := range next.Next {
		if !slices.Contains(now.Voters, peer) {
			fresh++
		}
	}
	return fresh <= 1
}

// counted checks a leader's count: the observer must find the value decided too.
func (ledger *modelLedger) counted(push *modelPush, register message.Register) {
	proposal := ledger.find(push.ballot, register, push.values[register].Serial)
	if !modelMajorities(push.view.Membership, proposal.acceptors) {
		ledger.violated(countedIsDecided, "serial %d of register %d under %s counts as decided by membership %d",
			proposal.value.Serial, register, push.ballot, push.view.Version.Serial)
	}
	if register != message.MembersRegister && !strings.HasPrefix(ledger.history[register], string(proposal.value.Body)) {
		ledger.violated(
			acknowledgedIsKept,
			"register %d: %q is acknowledged, decided was %q",
			register,
			proposal.value.Body,
			ledger.history[register],
		)
	}
	if body := string(proposal.value.Body); register != message.MembersRegister && len(body) > len(ledger.acknowledged[register]) {
		ledger.acknowledged[register] = body
	}
}

// leads checks a leadership at its start.
func (ledger *modelLedger) leads(machine int, push *modelPush) {
	if other, found := ledger.leaders[push.ballot]; found {
		ledger.violated(oneLeaderPerTerm, "machines %d and %d lead under %s", other, machine, push.ballot)
	}
	ledger.leaders[push.ballot] = machine
	if !slices.ContainsFunc(push.view.Voters, func(peer message.Peer) bool { return modelIndex(peer.Address) == machine }) {
		ledger.violated(onlyVotersLead, "machine %d leads under %s by membership %v", machine, push.ballot, push.view.Membership)
	}
}

// serves checks a value that a core takes as committed.
func (ledger *modelLedger) serves(machine int, register message.Register, value message.Value) {
	if register != message.MembersRegister && !strings.HasPrefix(ledger.history[register], string(value.Body)) {
		ledger.violated(
			servedIsDecided,
			"machine %d serves %q of register %d, decided was %q",
			machine,
			value.Body,
			register,
			ledger.history[register],
		)
	}
}

func (ledger *modelLedger) clone() *modelLedger {
	next := *ledger
	next.proposals = slices.Clone(ledger.proposals)
	next.given, next.leaders = cloneMap(ledger.given), cloneMap(ledger.leaders)
	return &next
}

func cloneMap[Key comparable, Held any](held map[Key]Held) map[Key]Held {
	next := make(map[Key]Held, len(held))
	maps.Copy(next, held)
	return next
}
