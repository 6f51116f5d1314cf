package serviceproxy

import (
	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// enough is whether the granting members make a quorum of every ring.
func enough(rings [][]message.Member, granting []message.Member) bool {
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

// claimVote is a replica's or a core's.
type claimVote struct {
	replica *message.ClaimResponse
	core    *message.RecordClaimsResponse
}

func (answer claimVote) response() *message.ClaimResponse {
	if answer.replica != nil {
		return answer.replica
	}
	if len(answer.core.Results) == 1 {
		return &answer.core.Results[0]
	}
	return &message.ClaimResponse{}
}

// poll is one round of asking for a claim. Roster is the membership by which the
// cores that keep it are counted.
type poll struct {
	membership  coreMembership
	replicaSets [][]message.Member
	members     []message.Member
	got         map[int]claimVote
}

// refused is what somebody holds of the key; what is settled tells most.
func (poll *poll) refused() (refusal *message.ClaimRecord) {
	for _, answer := range poll.got {
		if response := answer.response(); !response.Granted && response.Existing.ID != "" &&
			(refusal == nil || refusal.Stage == message.ClaimRunning) {
			refusal = &response.Existing
		}
	}
	return refusal
}

// cores are the cores' answers.
func (poll *poll) cores() *coreVotes {
	votes := newCoreVotes(poll.membership)
	for _, answer := range poll.got {
		if answer.core != nil {
			votes.add(answer.core.Membership, answer.core.Core, answer.response().Granted, answer.core.Complete)
		}
	}
	return votes
}

// quorums is whether the replicas that granted make a quorum of every ring; with
// wholes, only those whose memory is whole count.
func (poll *poll) quorums(wholes bool) bool {
	granting := []message.Member{}
	for index, answer := range poll.got {
		if answer.replica != nil && answer.replica.Granted && (answer.replica.Complete || !wholes) {
			granting = append(granting, poll.members[index])
		}
	}
	return enough(poll.replicaSets, granting)
}

// ask sends the claim to all replicas and cores, and again where the cores that vote
// changed meanwhile.
func (claims *Claims) ask(rings [][]message.Member, members []message.Member, claim *message.ClaimRequest) (*message.ClaimRecord, bool) {
	away := claims.coreStore.unavailable()
	round := claims.poll(rings, members, claim, away)
	if round.cores().outdated() && round.refused() == nil && !round.granted(away) {
		claims.proxy.counters.Add("claims_by_former_voters", 1)
		round = claims.poll(rings, members, claim, away)
	}
	if refusal := round.refused(); refusal != nil {
		return refusal, false
	}
	votes := round.cores()
	claims.coreStore.recordContact(votes.durable())
	if votes.durable() {
		return nil, round.quorums(!votes.complete())
	}
	if !round.quorums(true) {
		return nil, false
	}
	claims.proxy.counters.Add("claims_without_core", 1)
	claims.coreStore.enqueue(pendingUpdate{retold: &claim.Record})
	return nil, true
}

// granted is whether the answers suffice. A grant needs the replicas' quorum and lasts
// at a majority of cores. While the cores are away, replicas whose memory is whole go
// on alone.
func (poll *poll) granted(away bool) bool {
	votes := poll.cores()
	return votes.durable() && poll.quorums(!votes.complete()) || away && poll.quorums(true)
}

// poll sends the claim to all replicas and cores once; one refusal is enough to stop,
// and so is an answer by other voters.
func (claims *Claims) poll(rings [][]message.Member, members []message.Member, claim *message.ClaimRequest, away bool) *poll {
	membership, cores := claims.coreStore.coresToAsk()
	round := &poll{membership: membership, replicaSets: rings, members: members}
	round.got, _ = concurrent.Gather(claims.proxy.goroutines, len(members)+len(cores), func(index int) (claimVote, error) {
		if index >= len(members) {
			response, err := claims.coreStore.ask(
				cores[index-len(members)],
				&message.RecordClaimsRequest{Membership: membership.accepted, Claims: []message.ClaimRequest{*claim}},
				coreStoreLimit,
			)
			return claimVote{core: response}, err
		}
		if members[index].Name == claims.proxy.daemon.Name() {
			return claimVote{replica: claims.grant(claim)}, nil
		}
		response, err := rpc.Call(claims.proxy.daemon.Client(), members[index].InternalAddress, message.MethodClaim, claimTimeout, claim)
		return claimVote{replica: response}, err
	}, func(got map[int]claimVote, _ map[int]error) bool {
		now := *round
		now.got = got
		return now.refused() != nil || membership.voters != nil && now.cores().outdated() || now.granted(away)
	})
	claims.coreStore.learn(round.cores().newest)
	return round
}
