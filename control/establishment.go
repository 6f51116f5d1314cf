package control

import (
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rollout"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// Names of the conditions of a leadership, shown to operators.
const (
	RevokedCondition   = "former leadership revoked"
	PromisedCondition  = "majority promised the ballot"
	RewrittenCondition = "newest registers re-written under the ballot"
	HeartbeatCondition = "beats reach a majority"
)

// Establishment collects what a leadership needs before it may begin.
type Establishment struct {
	core       *Core
	view       *consensus.View
	term       message.Term
	revocation *Revocation
	promises   map[int]*message.PrepareResponse
	values     [message.Registers]message.Value
	inherited  message.Versions
	content    *settingsContent
	routing    *routing.State
	rollouts   *rollout.State
}

// establish returns a leadership under a term. Nothing from an earlier attempt is reused.
func (core *Core) establish(view *consensus.View, term message.Term, revocation *Revocation) (*Leadership, error) {
	if !revocation.Complete {
		return nil, rpc.Errorf(rpc.StaleTerm, "revocation of term %s is not complete", revocation.Revoked)
	}
	establishment := &Establishment{core: core, view: view, term: term, revocation: revocation}
	if err := establishment.collectPromises(); err != nil {
		return nil, err
	}
	establishment.verifyRevocation()
	if err := establishment.rewriteRegisters(); err != nil {
		return nil, err
	}
	if err := core.members.AdoptRewritten(view, term); err != nil {
		return nil, err
	}
	leadership := newLeadership(establishment, revocation.Learners)
	if !leadership.heartbeat() {
		return nil, rpc.Errorf(rpc.StaleTerm, "no majority accepted the first heartbeat of term %s", term)
	}
	return leadership, nil
}

// collectPromises uses the promises that fenced the former term. After a resignation there are
// none, and it requests them.
func (establishment *Establishment) collectPromises() error {
	revocation := establishment.revocation
	if revocation.Method == TermFence && revocation.Term == establishment.term {
		establishment.promises = revocation.Promises
	}
	if establishment.view.IsQuorumWithSelf(consensus.Agreed(establishment.promises, consensus.Granted)) {
		return nil
	}
	promises, err := establishment.core.prepare(establishment.view, establishment.term)
	establishment.promises = promises
	return err
}

// verifyRevocation falls back to the promises as a fence if they show a newer leadership than
// the one that resigned.
func (establishment *Establishment) verifyRevocation() {
	if establishment.revocation.covers(establishment.promises) {
		return
	}
	establishment.core.counters.Add("revocation_fell_back", 1)
	establishment.revocation = fenceRevocation(establishment.term, establishment.revocation.Revoked, establishment.promises)
}

// rewriteRegisters writes the inherited values under the new term.
func (establishment *Establishment) rewriteRegisters() error {
	core := establishment.core
	inherited, sources := consensus.InheritedValues(establishment.view, establishment.promises)
	for register := range inherited {
		establishment.values[register] = inherited[register].Value
		establishment.inherited[register] = inherited[register].Version()
	}
	settings := establishment.values[message.SettingsRegister]
	source := establishment.view.AddressOf(sources[message.SettingsRegister])
	chunks, err := core.collectChunks(source, settings, core.replica.State().Chunks)
	if err != nil {
		return err
	}
	establishment.routing, err = routing.DecodeState(establishment.values[message.RoutingRegister].Body)
	if err != nil {
		return err
	}
	establishment.rollouts, err = rollout.DecodeState(establishment.values[message.RolloutsRegister].Body)
	if err != nil {
		return err
	}
	if err := core.replicateAll(
		establishment.view,
		establishment.term,
		establishment.values,
		establishment.inherited,
		chunks,
	); err != nil {
		return err
	}
	core.mutex.Lock()
	former := core.content
	core.mutex.Unlock()
	establishment.content, err = decodeContent(former, settings, chunks)
	return err
}
