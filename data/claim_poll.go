package data

import (
	"orchidjunction/run"
	"orchidjunction/wire"
)

// enough is whether the granting members make a quorum of every ring.
func enough(rings [][]wire.Member, granting []wire.Member) bool {
	for _, ring := range rings {
		count := 0
		for _, keeper := range ring {
			if among(granting, keeper.Name) {
				count++
			}
		}
		if len(ring) == 0 || count < quorum(len(ring)) {
			return false
		}
	}
	return len(rings) > 0
}

// claimAnswer is a keeper's or a core's.
type claimAnswer struct {
	keeper *wire.ClaimTold
	core   *wire.KeepTold
}

func (answer claimAnswer) told() *wire.ClaimTold {
	if answer.keeper != nil {
		return answer.keeper
	}
	if len(answer.core.Told) == 1 {
		return &answer.core.Told[0]
	}
	return &wire.ClaimTold{}
}

// poll is one round of asking for a claim.
type poll struct {
	rings   [][]wire.Member
	members []wire.Member
	got     map[int]claimAnswer
}

// refused is what somebody holds of the key; what is settled tells most.
func (poll *poll) refused() (refusal *wire.Claimed) {
	for _, answer := range poll.got {
		if told := answer.told(); !told.Granted && told.Held.ID != "" && (refusal == nil || refusal.Stage == wire.ClaimRunning) {
			refusal = &told.Held
		}
	}
	return refusal
}

// kept is whether a majority of cores keep the claim, and whether so many of
// them are whole that nothing kept before was missed.
func (poll *poll) kept() (lasting, whole bool) {
	granted, wholes, need := 0, 0, 1
	for _, answer := range poll.got {
		if answer.core == nil {
			continue
		}
		need = max(need, answer.core.Cores/2+1)
		if answer.told().Granted {
			granted++
			if answer.core.Whole {
				wholes++
			}
		}
	}
	return granted >= need, wholes >= need
}

// quorums is whether the keepers that granted make a quorum of every ring; with
// wholes, only those whose memory is whole count.
func (poll *poll) quorums(wholes bool) bool {
	granting := []wire.Member{}
	for index, answer := range poll.got {
		if answer.keeper != nil && answer.keeper.Granted && (answer.keeper.Whole || !wholes) {
			granting = append(granting, poll.members[index])
		}
	}
	return enough(poll.rings, granting)
}

// ask sends the claim to all keepers and cores; one refusal is enough to stop.
// A grant needs the keepers' quorum and lasts at a majority of cores. While the
// cores are away, keepers whose memory is whole go on alone.
func (claims *Claims) ask(rings [][]wire.Member, members []wire.Member, claim *wire.Claim) (*wire.Claimed, bool) {
	cores := claims.proxy.daemon.Finder.Cores()
	away := claims.coreStore.unavailable()
	got, _ := run.Gather(claims.proxy.threads, len(members)+len(cores), func(index int) (claimAnswer, error) {
		if index >= len(members) {
			told, err := claims.coreStore.ask(cores[index-len(members)], &wire.Keep{Claims: []wire.Claim{*claim}}, coreStoreLimit)
			return claimAnswer{core: told}, err
		}
		if members[index].Name == claims.proxy.daemon.Name() {
			return claimAnswer{keeper: claims.grant(claim)}, nil
		}
		told, err := wire.Ask[wire.Claim, wire.ClaimTold](claims.proxy.daemon.Line(), members[index].Wire, "claim", claimLimit, claim)
		return claimAnswer{keeper: told}, err
	}, func(got map[int]claimAnswer, _ map[int]error) bool {
		poll := &poll{rings: rings, members: members, got: got}
		if poll.refused() != nil {
			return true
		}
		lasting, whole := poll.kept()
		return lasting && poll.quorums(!whole) || away && poll.quorums(true)
	})
	poll := &poll{rings: rings, members: members, got: got}
	if refusal := poll.refused(); refusal != nil {
		return refusal, false
	}
	lasting, whole := poll.kept()
	claims.coreStore.recordContact(lasting)
	if lasting {
		return nil, poll.quorums(!whole)
	}
	if !poll.quorums(true) {
		return nil, false
	}
	claims.proxy.counts.Add("claims_without_core", 1)
	claims.coreStore.enqueue(pendingUpdate{retold: &claim.Claimed})
	return nil, true
}
