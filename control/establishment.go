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
	HeartbeatCondition = "beats reach a majority"
)

// Establishment makes every condition of a leadership true, each round anew.
type Establishment struct {
	core       *Core
	view       *View
	term       message.Term
	revocation *Revocation
	promises   map[int]*message.PrepareResponse
	newest     [message.Registers]message.AcceptedValue
	sources    [message.Registers]int
	content    *content
	routing    *route.Book
	learners   []string
}

func (core *Core) establish(view *View, term message.Term, revocation *Revocation) (*Leadership, error) {
	if !revocation.Complete {
		return nil, rpc.Errorf(rpc.StaleTerm, "revocation of %s is not complete", revocation.Revoked)
	}
	establishment := &Establishment{core: core, view: view, term: term, revocation: revocation, learners: revocation.Learners}
	for _, step := range []func() error{establishment.collectPromises, establishment.completeRevocation, establishment.rewriteRegisters} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	if err := core.adoptMembership(view, term); err != nil {
		return nil, err
	}
	leadership := newLeadership(core, term, establishment)
	if !leadership.heartbeat() {
		return nil, rpc.Errorf(rpc.StaleTerm, "no majority took the first beat of %s", term)
	}
	return leadership, nil
}

// adoptMembership makes the membership that was written again under a ballot the one that this
// core counts by from then on. Its own replica may not have accepted that yet, and
// meanwhile it may have learned a step of a former leader's that was never decided.
func (core *Core) adoptMembership(view *View, term message.Term) error {
	rewritten := *view.Membership
	_, err := core.adoptNextMembership(&rewritten, term)
	return err
}

// collectPromises reuses the fence's promises; after a step-down it asks for its own.
func (establishment *Establishment) collectPromises() error {
	if establishment.revocation.Method == TermFence && establishment.revocation.Term == establishment.term {
		establishment.promises = establishment.revocation.Promises
	}
	if establishment.view.decides(agreed(establishment.promises, granted)) {
		return nil
	}
	promises, err := establishment.core.prepare(establishment.view, establishment.term)
	establishment.promises = promises
	return err
}

// completeRevocation falls back to the fence that the promises are, when a leader unknown
// to the step-down shows itself.
func (establishment *Establishment) completeRevocation() error {
	if establishment.revocation.covers(establishment.promises) {
		return nil
	}
	establishment.core.counters.Add("revocation_fell_back", 1)
	establishment.revocation = &Revocation{Method: TermFence, Term: establishment.term,
		Revoked: establishment.revocation.Revoked, Promises: establishment.promises, Complete: true}
	return nil
}

// newestValues is, for each register, the newest value that those that promised accepted,
// and which of them it is from.
func newestValues(promises map[int]*message.PrepareResponse) (newest [message.Registers]message.AcceptedValue, from [message.Registers]int) {
	for id, promise := range promises {
		for register := range promise.Accepted {
			if newest[register].Version().Less(promise.Accepted[register].Version()) {
				newest[register], from[register] = promise.Accepted[register], id
			}
		}
	}
	return newest, from
}

// inheritedValues is what a ballot takes over from those that promised it: the newest value
// of each register, and the membership that counted them. None of them accepted a
// newer membership with other voters: they would have refused.
func inheritedValues(view *View, promises map[int]*message.PrepareResponse) (newest [message.Registers]message.AcceptedValue, from [message.Registers]int) {
	newest, from = newestValues(promises)
	newest[message.MembersRegister] = view.accepted()
	return newest, from
}

// rewriteRegisters writes what the ballot takes over again under it.
func (establishment *Establishment) rewriteRegisters() error {
	core := establishment.core
	establishment.newest, establishment.sources = inheritedValues(establishment.view, establishment.promises)
	settings := establishment.newest[message.SettingsRegister].Value
	chunks, err := core.gatherChunks(establishment.view.address(establishment.sources[message.SettingsRegister]), settings, core.replica.State().Chunks)
	if err != nil {
		return err
	}
	if establishment.routing, err = route.BookOf(establishment.newest[message.RoutingRegister].Value.Body); err != nil {
		return err
	}
	for register := range establishment.newest {
		establishment.newest[register].Term = establishment.term
	}
	_, failed := concurrent.Gather(core.goroutines, len(establishment.newest), func(register int) (bool, error) {
		request := &message.AcceptRequest{Term: establishment.term, Register: message.Register(register), Value: establishment.newest[register].Value}
		if err := core.replicate(establishment.view, request, chunks); err != nil {
			return false, err
		}
		return true, nil
	}, func(_ map[int]bool, failed map[int]error) bool { return len(failed) > 0 })
	for _, err := range failed {
		return rpc.AsError(err)
	}
	core.mutex.Lock()
	held := core.cachedContent
	core.mutex.Unlock()
	establishment.content, err = readContent(held, settings, chunks)
	return err
}
