package control

import (
	"orchidjunction/consensus"
	"orchidjunction/message"
)

// modelRules are the rules that the model's steps follow. modelRealRules are those of
// the package; a seeded bug replaces one of them.
type modelRules struct {
	decides       func(view *consensus.View, has func(id int) bool) bool
	pushed        func(view *consensus.View, took func(id int) bool) bool
	mayRestore    func(core *Core, view *consensus.View, response map[int]*message.ReplicaStateResponse) bool
	fencesWithout func(view *consensus.View, lost int, has func(id int) bool) bool
	askedMembers  func(view *consensus.View) message.AcceptedValue
	takenOver     func(view *consensus.View, promises map[int]*message.PrepareResponse) ([message.Registers]message.AcceptedValue, [message.Registers]int)
	refersTo      func(inherited message.AcceptedValue) message.Version
	found         func(core *Core, term message.Term, accepted [message.Registers]message.AcceptedValue) error
	mayLead       func(view *consensus.View, id int) bool
	nextTerm      func(core *Core, view *consensus.View) message.Term
	admits        func(view *consensus.View, address string) bool
	mayBeginEmpty func(core *Core, response *message.JoinResponse) bool
	beginEmpty    func(core *Core, term message.Term)
	replaced      func(view *consensus.View, leaving int, address string) *consensus.Membership
	settled       func(view *consensus.View) *consensus.Membership
	countsBy      func(core *Core, next *consensus.Membership, term message.Term) (*consensus.View, error)
	leadsBy       func(core *Core, view *consensus.View, term message.Term) error

	confirms       bool
	catchesUp      bool
	rewrites       bool
	beginsByStep   bool
	syncs          bool
	blankDiskVotes bool
	// acceptsBySerial makes replicas take any value of the serial that a reference names for
	// the one that is meant.
	acceptsBySerial bool
}

// modelRealRules are the rules as they are in the package.
func modelRealRules() *modelRules {
	return &modelRules{
		decides: (*consensus.View).Decides,
		pushed: func(view *consensus.View, took func(id int) bool) bool {
			return view.DecidedBy(took)
		},
		mayRestore: func(core *Core, view *consensus.View, responses map[int]*message.ReplicaStateResponse) bool {
			return core.members.MayRestore(view, responses)
		},
		fencesWithout: func(view *consensus.View, lost int, has func(id int) bool) bool { return view.FencesWithout(lost, has) },
		askedMembers:  func(view *consensus.View) message.AcceptedValue { return view.Accepted() },
		takenOver:     consensus.InheritedValues,
		refersTo:      message.AcceptedValue.Version,
		found: func(core *Core, term message.Term, accepted [message.Registers]message.AcceptedValue) error {
			return core.replica.Initialize(term, accepted, nil)
		},
		mayLead: func(view *consensus.View, id int) bool { return view.MayLead(id) },
		nextTerm: func(core *Core, view *consensus.View) message.Term {
			term, _ := core.nextTerm(view)
			return term
		},
		admits:        func(view *consensus.View, address string) bool { return !view.HasAddress(address) },
		mayBeginEmpty: (*Core).mayInitializeLearner,
		beginEmpty:    (*Core).initializeLearner,
		replaced: func(view *consensus.View, leaving int, address string) *consensus.Membership {
			return view.WithReplacement(leaving, address)
		},
		settled: func(view *consensus.View) *consensus.Membership { return view.WithoutFormer() },
		countsBy: func(core *Core, next *consensus.Membership, term message.Term) (*consensus.View, error) {
			return core.members.Adopt(next, term)
		},
		leadsBy: func(core *Core, view *consensus.View, term message.Term) error {
			return core.members.AdoptRewritten(view, term)
		},

		confirms:     true,
		catchesUp:    true,
		rewrites:     true,
		beginsByStep: true,
		syncs:        true,
	}
}
