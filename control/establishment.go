package control

import (
	"orchidjunction/route"
	"orchidjunction/run"
	"orchidjunction/wire"
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
	ballot     wire.Ballot
	revocation *Revocation
	promises   map[int]*wire.PromiseTold
	newest     [wire.Registers]wire.Accepted
	from       [wire.Registers]int
	content    *content
	routing    *route.Book
	learners   []string
}

func (core *Core) establish(view *View, ballot wire.Ballot, revocation *Revocation) (*Leadership, error) {
	if !revocation.Complete {
		return nil, wire.New(wire.StaleBallot, "revocation of %s is not complete", revocation.Revoked)
	}
	establishment := &Establishment{core: core, view: view, ballot: ballot, revocation: revocation, learners: revocation.Learners}
	for _, step := range []func() error{establishment.promised, establishment.revoked, establishment.rewritten} {
		if mishap := step(); mishap != nil {
			return nil, mishap
		}
	}
	if mishap := core.leadsBy(view, ballot); mishap != nil {
		return nil, mishap
	}
	leadership := newLeadership(core, ballot, establishment)
	if !leadership.beat() {
		return nil, wire.New(wire.StaleBallot, "no majority took the first beat of %s", ballot)
	}
	return leadership, nil
}

// leadsBy makes the membership that was written again under a ballot the one that this
// core counts by from then on. Its own replica may not have accepted that yet, and
// meanwhile it may have learned a step of a former leader's that was never decided.
func (core *Core) leadsBy(view *View, ballot wire.Ballot) error {
	rewritten := *view.Membership
	_, mishap := core.countBy(&rewritten, ballot)
	return mishap
}

// promised reuses the fence's promises; after a step-down it asks for its own.
func (establishment *Establishment) promised() error {
	if establishment.revocation.Method == BallotFence && establishment.revocation.Ballot == establishment.ballot {
		establishment.promises = establishment.revocation.Promises
	}
	if establishment.view.decides(agreed(establishment.promises, granted)) {
		return nil
	}
	promises, mishap := establishment.core.pushBallot(establishment.view, establishment.ballot)
	establishment.promises = promises
	return mishap
}

// revoked falls back to the fence that the promises are, when a leader unknown
// to the step-down shows itself.
func (establishment *Establishment) revoked() error {
	if establishment.revocation.covers(establishment.promises) {
		return nil
	}
	establishment.core.counts.Add("revocation_fell_back", 1)
	establishment.revocation = &Revocation{Method: BallotFence, Ballot: establishment.ballot,
		Revoked: establishment.revocation.Revoked, Promises: establishment.promises, Complete: true}
	return nil
}

// newestOf is, for each register, the newest value that those that promised accepted,
// and which of them it is from.
func newestOf(promises map[int]*wire.PromiseTold) (newest [wire.Registers]wire.Accepted, from [wire.Registers]int) {
	for id, promise := range promises {
		for register := range promise.Accepted {
			if newest[register].Mark().Less(promise.Accepted[register].Mark()) {
				newest[register], from[register] = promise.Accepted[register], id
			}
		}
	}
	return newest, from
}

// takenOver is what a ballot takes over from those that promised it: the newest value
// of each register, and the membership that counted them. None of them accepted a
// newer membership with other voters: they would have refused.
func takenOver(view *View, promises map[int]*wire.PromiseTold) (newest [wire.Registers]wire.Accepted, from [wire.Registers]int) {
	newest, from = newestOf(promises)
	newest[wire.MembersRegister] = view.accepted()
	return newest, from
}

// rewritten writes what the ballot takes over again under it.
func (establishment *Establishment) rewritten() error {
	core := establishment.core
	establishment.newest, establishment.from = takenOver(establishment.view, establishment.promises)
	settings := establishment.newest[wire.SettingsRegister].Value
	texts, mishap := core.gatherTexts(establishment.view.address(establishment.from[wire.SettingsRegister]), settings, core.voter.State().Texts)
	if mishap != nil {
		return mishap
	}
	if establishment.routing, mishap = route.BookOf(establishment.newest[wire.RoutingRegister].Value.Body); mishap != nil {
		return mishap
	}
	for register := range establishment.newest {
		establishment.newest[register].Ballot = establishment.ballot
	}
	_, failed := run.Gather(core.threads, len(establishment.newest), func(register int) (bool, error) {
		message := &wire.Accept{Ballot: establishment.ballot, Register: wire.Register(register), Value: establishment.newest[register].Value}
		if mishap := core.pushValue(establishment.view, message, texts); mishap != nil {
			return false, mishap
		}
		return true, nil
	}, func(_ map[int]bool, failed map[int]error) bool { return len(failed) > 0 })
	for _, fault := range failed {
		return wire.AsMishap(fault)
	}
	core.mutex.Lock()
	held := core.held
	core.mutex.Unlock()
	establishment.content, mishap = readContent(held, settings, texts)
	return mishap
}
