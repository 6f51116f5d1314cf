package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// The model's invariants, as named in reports of violations.
const (
	oneValuePerSerial      = "one value per serial"
	decisionsAreKept       = "decided values are never lost"
	oneLeaderPerTerm       = "one leadership per term"
	quorumsIntersect       = "deciding quorums intersect"
	onlyVotersCount        = "responses of blank, amnesiac or removed replicas do not count"
	idsAreUsedOnce         = "voter IDs are never reused"
	oneVoterPerChange      = "a membership changes by one voter at a time"
	onlyVotersLead         = "only voters lead"
	countedIsDecided       = "values that a leader counts as decided are decided"
	servedIsDecided        = "served values were decided"
	confirmedReadIsCurrent = "a confirmed leader holds all values acknowledged before the request"
)

type modelViolation struct {
	invariant string
	detail    string
}

func (violation *modelViolation) Error() string { return violation.invariant + ": " + violation.detail }

// modelProposal is one value of a register under one term, the machines that accepted it, and
// the memberships by which its acceptors were counted.
type modelProposal struct {
	term      message.Term
	register  message.Register
	value     message.Value
	views     []*consensus.View
	acceptors modelIDSet
	decided   bool
}

// modelObserver checks the invariants across all machines. It counts quorums itself, so that a
// wrong quorum in the rules does not hide a violation.
type modelObserver struct {
	proposals []modelProposal
	// decided is the last decided value of each data register. A value's body has one letter
	// for each write that led to it, so earlier values are prefixes of later ones.
	decided [message.Registers]string
	// decidedTerm is the lowest term under which the last decided value was decided.
	decidedTerm [message.Registers]message.Term
	// acknowledged is the last value of each register that a leader counted as decided.
	acknowledged [message.Registers]string
	membership   *consensus.Membership
	memberships  []*consensus.Membership
	addresses    map[int]string
	leaders      map[message.Term]int
	violation    *modelViolation
	// outcomesOnly omits the invariants on single responses and counts, so that a seeded bug
	// must show in what is decided, led or served.
	outcomesOnly bool
}

func newModelObserver(first *consensus.Membership) *modelObserver {
	observer := &modelObserver{
		membership:  first,
		memberships: []*consensus.Membership{first},
		addresses:   map[int]string{},
		leaders:     map[message.Term]int{},
	}
	for _, peer := range first.Voters {
		observer.addresses[peer.ID] = peer.Address
	}
	return observer
}

func (observer *modelObserver) report(invariant, format string, values ...any) {
	if observer.violation != nil {
		return
	}
	detailed := invariant == onlyVotersCount || invariant == countedIsDecided || invariant == onlyVotersLead
	if observer.outcomesOnly && detailed {
		return
	}
	observer.violation = &modelViolation{invariant: invariant, detail: fmt.Sprintf(format, values...)}
}

func (observer *modelObserver) findProposal(term message.Term, register message.Register, serial uint64) *modelProposal {
	for index := len(observer.proposals) - 1; index >= 0; index-- {
		proposal := &observer.proposals[index]
		if proposal.term == term && proposal.register == register && proposal.value.Serial == serial {
			return proposal
		}
	}
	return nil
}

// recordProposal records that a leader sends a value and counts its acceptors by a membership.
func (observer *modelObserver) recordProposal(term message.Term, register message.Register, value message.Value, view *consensus.View) {
	proposal := observer.findProposal(term, register, value.Serial)
	if proposal == nil {
		observer.proposals = append(observer.proposals, modelProposal{term: term, register: register, value: value})
		proposal = &observer.proposals[len(observer.proposals)-1]
	}
	if string(proposal.value.Body) != string(value.Body) {
		observer.report(oneValuePerSerial, "term %s proposes two values of register %d with serial %d", term, register, value.Serial)
	}
	proposal.views = append(slices.Clip(proposal.views), view)
	observer.checkContinues(proposal)
	observer.checkDecided(proposal)
}

// checkContinues checks that a proposal extends the value decided under earlier terms.
func (observer *modelObserver) checkContinues(proposal *modelProposal) {
	register := proposal.register
	if register == message.MembersRegister || !observer.decidedTerm[register].Less(proposal.term) {
		return
	}
	if decided := observer.decided[register]; !strings.HasPrefix(string(proposal.value.Body), decided) {
		observer.report(
			decisionsAreKept,
			"term %s proposes %q for register %d, but %q was decided under term %s",
			proposal.term,
			proposal.value.Body,
			register,
			decided,
			observer.decidedTerm[register],
		)
	}
}

// recordAcceptance records that a machine accepted a value durably.
func (observer *modelObserver) recordAcceptance(machine int, request *message.AcceptRequest) {
	if proposal := observer.findProposal(request.Term, request.Register, request.Value.Serial); proposal != nil {
		proposal.acceptors = proposal.acceptors.with(machine)
		observer.checkDecided(proposal)
	}
}

// checkAccepted compares a value accepted with a proposal's version to the proposed value.
func (observer *modelObserver) checkAccepted(term message.Term, register message.Register, accepted message.AcceptedValue) {
	proposal := observer.findProposal(term, register, accepted.Value.Serial)
	if proposal == nil || accepted.Term != term || string(proposal.value.Body) == string(accepted.Value.Body) {
		return
	}
	observer.report(oneValuePerSerial, "%q is accepted in register %d, but %q was proposed under term %s",
		accepted.Value.Body, register, proposal.value.Body, term)
}

// modelHasMajorities reports whether the machines include a majority of each group.
func modelHasMajorities(membership *consensus.Membership, machines modelIDSet) bool {
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

// checkDecided records a proposal as decided once a quorum of a membership has accepted it.
func (observer *modelObserver) checkDecided(proposal *modelProposal) {
	if proposal.decided {
		return
	}
	for _, view := range proposal.views {
		if !modelHasMajorities(view.Membership, proposal.acceptors) {
			continue
		}
		proposal.decided = true
		if proposal.register == message.MembersRegister {
			observer.recordMembershipDecision(proposal)
		} else {
			observer.recordDataDecision(proposal, view)
		}
		return
	}
}

// recordDataDecision checks a decision. A late one, caused by an old message that reached one
// more acceptor, is allowed if its value was already decided.
func (observer *modelObserver) recordDataDecision(proposal *modelProposal, view *consensus.View) {
	body, decided := string(proposal.value.Body), observer.decided[proposal.register]
	switch {
	case len(body) > len(decided) && view.Version.Serial < observer.membership.Version.Serial:
		observer.report(quorumsIntersect, "membership %d decides %q for register %d under term %s after membership %d was decided",
			view.Version.Serial, body, proposal.register, proposal.term, observer.membership.Version.Serial)
	case len(body) > len(decided) && strings.HasPrefix(body, decided):
		observer.decided[proposal.register], observer.decidedTerm[proposal.register] = body, proposal.term
		for index := range observer.proposals {
			if other := &observer.proposals[index]; other.register == proposal.register {
				observer.checkContinues(other)
			}
		}
	case len(body) > len(decided):
		observer.report(decisionsAreKept, "register %d changes from decided %q to %q", proposal.register, decided, body)
	case !strings.HasPrefix(decided, body):
		observer.report(oneValuePerSerial, "register %d: %q was decided, then %q", proposal.register, decided, body)
	}
}

func (observer *modelObserver) recordMembershipDecision(proposal *modelProposal) {
	next, err := consensus.DecodeMembership(message.AcceptedValue{Term: proposal.term, Value: proposal.value})
	if err != nil || next == nil {
		observer.report(oneVoterPerChange, "decided value is not a membership: %v", err)
		return
	}
	now := observer.membership
	switch {
	case next.Version.Serial <= now.Version.Serial:
		if decided := observer.memberships[next.Version.Serial-1]; !sameVoters(next, decided) {
			observer.report(quorumsIntersect, "two memberships with serial %d are decided: %v and %v", next.Version.Serial, decided, next)
		}
		return
	case next.Version.Serial > now.Version.Serial+1 || !modelIsValidChange(now, next):
		observer.report(oneVoterPerChange, "membership changes from %v to %v", now, next)
	}
	observer.membership = next
	observer.memberships = append(slices.Clip(observer.memberships), next)
	for _, peer := range next.All() {
		if address, found := observer.addresses[peer.ID]; found && address != peer.Address {
			observer.report(idsAreUsedOnce, "voter ID %d changes from %s to %s", peer.ID, address, peer.Address)
		}
		observer.addresses[peer.ID] = peer.Address
	}
}

func sameVoters(left, right *consensus.Membership) bool {
	return slices.Equal(left.Voters, right.Voters) && slices.Equal(left.Next, right.Next) && left.LastID == right.LastID
}

// modelIsValidChange reports whether next may follow now. After a joint membership it must have
// the next voters alone, and otherwise be a joint membership that replaces at most one voter.
func modelIsValidChange(now, next *consensus.Membership) bool {
	if len(now.Next) > 0 {
		return len(next.Next) == 0 && slices.Equal(now.Next, next.Voters)
	}
	if len(next.Next) != len(now.Voters) || !slices.Equal(now.Voters, next.Voters) {
		return false
	}
	added := 0
	for _, peer := range next.Next {
		if !slices.Contains(now.Voters, peer) {
			added++
		}
	}
	return added <= 1
}

// checkCounted checks that a value that a leader counts as decided is decided.
func (observer *modelObserver) checkCounted(replication *modelReplication, register message.Register) {
	proposal := observer.findProposal(replication.term, register, replication.values[register].Serial)
	if !modelHasMajorities(replication.view.Membership, proposal.acceptors) {
		observer.report(countedIsDecided, "serial %d of register %d under term %s is counted as decided by membership %d",
			proposal.value.Serial, register, replication.term, replication.view.Version.Serial)
	}
	if register != message.MembersRegister && !strings.HasPrefix(observer.decided[register], string(proposal.value.Body)) {
		observer.report(
			decisionsAreKept,
			"register %d: %q is acknowledged, but %q was decided",
			register,
			proposal.value.Body,
			observer.decided[register],
		)
	}
	if body := string(proposal.value.Body); register != message.MembersRegister && len(body) > len(observer.acknowledged[register]) {
		observer.acknowledged[register] = body
	}
}

func (observer *modelObserver) recordLeadership(machine int, replication *modelReplication) {
	if other, found := observer.leaders[replication.term]; found {
		observer.report(oneLeaderPerTerm, "machines %d and %d lead under term %s", other, machine, replication.term)
	}
	observer.leaders[replication.term] = machine
	if !slices.ContainsFunc(replication.view.Voters, func(peer message.Peer) bool { return modelIndex(peer.Address) == machine }) {
		observer.report(
			onlyVotersLead,
			"machine %d leads under term %s with membership %v",
			machine,
			replication.term,
			replication.view.Membership,
		)
	}
}

// checkServed checks a value that a core regards as committed.
func (observer *modelObserver) checkServed(machine int, register message.Register, value message.Value) {
	if register != message.MembersRegister && !strings.HasPrefix(observer.decided[register], string(value.Body)) {
		observer.report(
			servedIsDecided,
			"machine %d serves %q for register %d, but %q was decided",
			machine,
			value.Body,
			register,
			observer.decided[register],
		)
	}
}

func (observer *modelObserver) clone() *modelObserver {
	next := *observer
	next.proposals = slices.Clone(observer.proposals)
	next.addresses, next.leaders = cloneMap(observer.addresses), cloneMap(observer.leaders)
	return &next
}

func cloneMap[Key comparable, Value any](source map[Key]Value) map[Key]Value {
	next := make(map[Key]Value, len(source))
	maps.Copy(next, source)
	return next
}
