package control

import (
	"orchidjunction/consensus"
	"orchidjunction/message"
)

// modelRules are the rules that actions follow: those of the package, except for the ones that
// a seeded bug replaces.
type modelRules struct {
	decides              func(view *consensus.View, has func(id int) bool) bool
	decidedBy            func(view *consensus.View, accepted func(id int) bool) bool
	mayRestore           func(core *Core, view *consensus.View, response map[int]*message.ReplicaStateResponse) bool
	fencesLostVoter      func(view *consensus.View, lost int, has func(id int) bool) bool
	prepareMembership    func(view *consensus.View) message.AcceptedValue
	inheritedValues      func(view *consensus.View, promises map[int]*message.PrepareResponse) ([message.Registers]message.AcceptedValue, [message.Registers]int)
	inheritedVersion     func(inherited message.AcceptedValue) message.Version
	initialize           func(core *Core, term message.Term, accepted [message.Registers]message.AcceptedValue) error
	mayLead              func(view *consensus.View, id int) bool
	nextTerm             func(core *Core, view *consensus.View) message.Term
	admits               func(view *consensus.View, address string) bool
	mayInitializeLearner func(core *Core, response *message.JoinResponse) bool
	initializeLearner    func(core *Core, term message.Term)
	withReplacement      func(view *consensus.View, leaving int, address string) *consensus.Membership
	afterJoint           func(view *consensus.View) *consensus.Membership
	adopt                func(core *Core, next *consensus.Membership, term message.Term) (*consensus.View, error)
	adoptRewritten       func(core *Core, view *consensus.View, term message.Term) error

	confirmsAdmission   bool
	catchesUpLearner    bool
	rewritesValues      bool
	usesJointMembership bool
	syncs               bool
	blankDiskVotes      bool
	// acceptsBySerial makes replicas match a reference by serial alone, whatever its term.
	acceptsBySerial bool
}

func modelRealRules() *modelRules {
	return &modelRules{
		decides: (*consensus.View).IsQuorumWithSelf,
		decidedBy: func(view *consensus.View, accepted func(id int) bool) bool {
			return view.DecidedBy(accepted)
		},
		mayRestore: func(core *Core, view *consensus.View, responses map[int]*message.ReplicaStateResponse) bool {
			return core.members.MayRestore(view, responses)
		},
		fencesLostVoter: func(view *consensus.View, lost int, has func(id int) bool) bool {
			return view.FencesLostVoter(lost, has)
		},
		prepareMembership: func(view *consensus.View) message.AcceptedValue { return view.Accepted() },
		inheritedValues:   consensus.InheritedValues,
		inheritedVersion:  message.AcceptedValue.Version,
		initialize: func(core *Core, term message.Term, accepted [message.Registers]message.AcceptedValue) error {
			return core.replica.Initialize(term, accepted, nil)
		},
		mayLead: func(view *consensus.View, id int) bool { return view.MayLead(id) },
		nextTerm: func(core *Core, view *consensus.View) message.Term {
			term, _ := core.nextTerm(view)
			return term
		},
		admits:               func(view *consensus.View, address string) bool { return !view.HasAddress(address) },
		mayInitializeLearner: (*Core).mayInitializeLearner,
		initializeLearner:    (*Core).initializeLearner,
		withReplacement: func(view *consensus.View, leaving int, address string) *consensus.Membership {
			return view.WithReplacement(leaving, address)
		},
		afterJoint: func(view *consensus.View) *consensus.Membership { return view.AfterJoint() },
		adopt: func(core *Core, next *consensus.Membership, term message.Term) (*consensus.View, error) {
			return core.members.Adopt(next, term)
		},
		adoptRewritten: func(core *Core, view *consensus.View, term message.Term) error {
			return core.members.AdoptRewritten(view, term)
		},

		confirmsAdmission:   true,
		catchesUpLearner:    true,
		rewritesValues:      true,
		usesJointMembership: true,
		syncs:               true,
	}
}
