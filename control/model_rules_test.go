package control

import (
	"orchidjunction/wire"
)

// modelRules are the rules that the model's steps follow. modelRealRules are those of
// the package; a seeded bug replaces one of them.
type modelRules struct {
	decides       func(view *View, has func(id int) bool) bool
	pushed        func(view *View, took func(id int) bool) bool
	mayRestore    func(core *Core, view *View, told map[int]*wire.ReplicaStateResponse) bool
	fencesWithout func(view *View, lost int, has func(id int) bool) bool
	askedMembers  func(view *View) wire.AcceptedValue
	takenOver     func(view *View, promises map[int]*wire.PrepareResponse) ([wire.Registers]wire.AcceptedValue, [wire.Registers]int)
	found         func(voter *Voter, ballot wire.Term, accepted [wire.Registers]wire.AcceptedValue) error
	mayLead       func(view *View, id int) bool
	nextBallot    func(core *Core, view *View) wire.Term
	admits        func(view *View, address string) bool
	mayBeginEmpty func(core *Core, told *wire.JoinResponse) bool
	beginEmpty    func(core *Core, ballot wire.Term)
	replaced      func(view *View, leaving int, address string) *Membership
	settled       func(view *View) *Membership
	countsBy      func(core *Core, next *Membership, ballot wire.Term) (*View, error)
	leadsBy       func(core *Core, view *View, ballot wire.Term) error

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
		askedMembers:  func(view *View) wire.AcceptedValue { return view.accepted() },
		takenOver:     takenOver,
		found: func(voter *Voter, ballot wire.Term, accepted [wire.Registers]wire.AcceptedValue) error {
			return voter.Found(ballot, accepted, nil)
		},
		mayLead: func(view *View, id int) bool { return view.mayLead(id) },
		nextBallot: func(core *Core, view *View) wire.Term {
			ballot, _ := core.nextBallot(view)
			return ballot
		},
		admits:        func(view *View, address string) bool { return !view.has(address) },
		mayBeginEmpty: (*Core).mayBeginEmpty,
		beginEmpty:    (*Core).beginEmpty,
		replaced:      func(view *View, leaving int, address string) *Membership { return view.replaced(leaving, address) },
		settled:       func(view *View) *Membership { return view.settled() },
		countsBy:      (*Core).countBy,
		leadsBy:       (*Core).leadsBy,

		confirms:     true,
		catchesUp:    true,
		rewrites:     true,
		beginsByStep: true,
		syncs:        true,
	}
}
