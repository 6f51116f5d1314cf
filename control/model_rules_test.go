package control

import "orchidjunction/message"

// modelRules are the rules that the model's steps follow. modelRealRules are those of
// the package; a seeded bug replaces one of them.
type modelRules struct {
	decides       func(view *View, has func(id int) bool) bool
	pushed        func(view *View, took func(id int) bool) bool
	mayRestore    func(core *Core, view *View, response map[int]*message.ReplicaStateResponse) bool
	fencesWithout func(view *View, lost int, has func(id int) bool) bool
	askedMembers  func(view *View) message.AcceptedValue
	takenOver     func(view *View, promises map[int]*message.PrepareResponse) ([message.Registers]message.AcceptedValue, [message.Registers]int)
	found         func(voter *Replica, term message.Term, accepted [message.Registers]message.AcceptedValue) error
	mayLead       func(view *View, id int) bool
	nextBallot    func(core *Core, view *View) message.Term
	admits        func(view *View, address string) bool
	mayBeginEmpty func(core *Core, response *message.JoinResponse) bool
	beginEmpty    func(core *Core, term message.Term)
	replaced      func(view *View, leaving int, address string) *Membership
	settled       func(view *View) *Membership
	countsBy      func(core *Core, next *Membership, term message.Term) (*View, error)
	leadsBy       func(core *Core, view *View, term message.Term) error

	confirms       bool
	catchesUp      bool
	rewrites       bool
	beginsByStep   bool
	syncs          bool
	blankDiskVotes bool
}

// modelRealRules are the rules as they are in the package.
func modelRealRules() *modelRules {
	return &modelRules{
		decides: (*View).decides,
		pushed: func(view *View, took func(id int) bool) bool {
			return view.votes() && view.quorum(took)
		},
		mayRestore:    (*Core).mayRestore,
		fencesWithout: func(view *View, lost int, has func(id int) bool) bool { return view.fencesWithout(lost, has) },
		askedMembers:  func(view *View) message.AcceptedValue { return view.accepted() },
		takenOver:     inheritedValues,
		found: func(voter *Replica, term message.Term, accepted [message.Registers]message.AcceptedValue) error {
			return voter.Initialize(term, accepted, nil)
		},
		mayLead: func(view *View, id int) bool { return view.mayLead(id) },
		nextBallot: func(core *Core, view *View) message.Term {
			term, _ := core.nextTerm(view)
			return term
		},
		admits:        func(view *View, address string) bool { return !view.has(address) },
		mayBeginEmpty: (*Core).mayBeginEmpty,
		beginEmpty:    (*Core).beginEmpty,
		replaced: func(view *View, leaving int, address string) *Membership {
			return view.withReplacement(leaving, address)
		},
		settled:  func(view *View) *Membership { return view.withoutFormer() },
		countsBy: (*Core).adoptNextMembership,
		leadsBy:  (*Core).adoptMembership,

		confirms:     true,
		catchesUp:    true,
		rewrites:     true,
		beginsByStep: true,
		syncs:        true,
	}
}
