package control

import (
	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/route"
	"orchidjunction/rpc"
)

const (
	RevokedCondition   = "former leadership revoked"
	PromisedCondition  = "majority promised the ballot"
	RewrittenCondition = "newest registers re-written under the ballot"
	BeatingCondition   = "beats reach a majority"
)

// Establishment makes every condition of a leadership true, each round anew.
type Establishment struct {
	core       *Core
	view       *View
	ballot     message.Term
	revocation *Revocation
	promises   map[int]*message.PrepareResponse
	newest     [message.Registers]message.AcceptedValue
	from       [message.Registers]int
	content    *content
	routing    *route.Book
	learners   []string
}

func (core *Core) establish(view *View, term message.Term, revocation *Revocation) (*Leadership, error) {
	if !revocation.Complete {
		return nil, rpc.Errorf(rpc.StaleTerm, "revocation of %s is not complete", revocation.Revoked)
	}
	establishment := &Establishment{core: core, view: view, ballot: term, revocation: revocation, learners: revocation.Learners}
	for _, step := range []func() error{establishment.promised, establishment.revoked, establishment.rewritten} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	if err := core.leadsBy(view, term); err != nil {
		return nil, err
	}
	leadership := newLeadership(core, term, establishment)
	if !leadership.beat() {
		return nil, rpc.Errorf(rpc.StaleTerm, "no majority took the first beat of %s", term)
	}
	return leadership, nil
}

// leadsBy makes the membership that was written again under a ballot the one that this
// core counts by from then on. Its own replica may not have accepted that yet, and
// meanwhile it may have learned a step of a former leader's that was never decided.
func (core *Core) leadsBy(view *View, term message.Term) error {
	rewritten := *view.Membership
	_, err := core.countBy(&rewritten, term)
	return err
}

// promised reuses the fence's promises; after a step-down it asks for its own.
func (establishment *Establishment) promised() error {
	if establishment.revocation.Method == BallotFence && establishment.revocation.Ballot == establishment.ballot {
		establishment.promises = establishment.revocation.Promises
	}
	if establishment.view.decides(agreed(establishment.promises, granted)) {
		return nil
	}
	promises, err := establishment.core.pushBallot(establishment.view, establishment.ballot)
	establishment.promises = promises
	return err
}

// revoked falls back to the fence that the promises are, when a leader unknown
// to the step-down shows itself.
func (establishment *Establishment) revoked() error {
	if establishment.revocation.covers(establishment.promises) {
		return nil
	}
	establishment.core.counters.Add("revocation_fell_back", 1)
	establishment.revocation = &Revocation{Method: BallotFence, Ballot: establishment.ballot,
		Revoked: establishment.revocation.Revoked, Promises: establishment.promises, Complete: true}
	return nil
}

// newestOf is, for each register, the newest value that those that promised accepted,
// and which of them it is from.
func newestOf(promises map[int]*message.PrepareResponse) (newest [message.Registers]message.AcceptedValue, from [message.Registers]int) {
	for id, promise := range promises {
		for register := range promise.Accepted {
			if newest[register].Version().Less(promise.Accepted[register].Version()) {
				newest[register], from[register] = promise.Accepted[register], id
			}
		}
	}
	return newest, from
}

// takenOver is what a ballot takes over from those that promised it: the newest value
// of each register, and the membership that counted them. None of them accepted a
// newer membership with other voters: they would have refused.
func takenOver(view *View, promises map[int]*message.PrepareResponse) (newest [message.Registers]message.AcceptedValue, from [message.Registers]int) {
	newest, from = newestOf(promises)
	newest[message.MembersRegister] = view.accepted()
	return newest, from
}

// rewritten writes what the ballot takes over again under it.
func (establishment *Establishment) rewritten() error {
	core := establishment.core
	establishment.newest, establishment.from = takenOver(establishment.view, establishment.promises)
	settings := establishment.newest[message.SettingsRegister].Value
	texts, err := core.gatherTexts(establishment.view.address(establishment.from[message.SettingsRegister]), settings, core.voter.State().Texts)
	if err != nil {
		return err
	}
	if establishment.routing, err = route.BookOf(establishment.newest[message.RoutingRegister].Value.Body); err != nil {
		return err
	}
	for register := range establishment.newest {
		establishment.newest[register].Term = establishment.ballot
	}
	_, failed := concurrent.Gather(core.goroutines, len(establishment.newest), func(register int) (bool, error) {
		request := &message.AcceptRequest{Term: establishment.ballot, Register: message.Register(register), Value: establishment.newest[register].Value}
		if err := core.pushValue(establishment.view, request, texts); err != nil {
			return false, err
		}
		return true, nil
	}, func(_ map[int]bool, failed map[int]error) bool { return len(failed) > 0 })
	for _, err := range failed {
		return rpc.AsError(err)
	}
	core.mutex.Lock()
	held := core.held
	core.mutex.Unlock()
	establishment.content, err = readContent(held, settings, texts)
	return err
}
