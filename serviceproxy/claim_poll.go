package serviceproxy

import (
	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// quorumInEach reports whether the granting members form a quorum of every set.
func quorumInEach(sets [][]message.Member, granted []message.Member) bool {
	for _, set := range sets {
		count := 0
		for _, replica := range set {
			if containsMember(granted, replica.Name) {
				count++
			}
		}
		if len(set) == 0 || count < quorum(len(set)) {
			return false
		}
	}
	return len(sets) > 0
}

// claimVote is the answer of either a replica or a core.
type claimVote struct {
	replica *message.ClaimResponse
	core    *message.RecordClaimsResponse
}

func (vote claimVote) response() *message.ClaimResponse {
	if vote.replica != nil {
		return vote.replica
	}
	if len(vote.core.Results) == 1 {
		return &vote.core.Results[0]
	}
	return &message.ClaimResponse{}
}

// poll is one round of requests for a claim. membership has the cores' voters as known before it.
type poll struct {
	membership  coreMembership
	replicaSets [][]message.Member
	members     []message.Member
	votes       map[int]claimVote
}

// refusal returns an existing claim of the key from the answers, preferably a finished one.
func (poll *poll) refusal() (refusal *message.ClaimRecord) {
	for _, vote := range poll.votes {
		if response := vote.response(); !response.Granted && response.Existing.ID != "" &&
			(refusal == nil || refusal.Stage == message.ClaimRunning) {
			refusal = &response.Existing
		}
	}
	return refusal
}

// coreVotes returns the votes of the cores.
func (poll *poll) coreVotes() *coreVotes {
	votes := newCoreVotes(poll.membership)
	for _, vote := range poll.votes {
		if vote.core != nil {
			votes.add(vote.core.Membership, vote.core.Core, vote.response().Granted, vote.core.Complete)
		}
	}
	return votes
}

// hasReplicaQuorums reports whether the granting replicas form a quorum of every set; with
// completeOnly, only those that hold all their keys count.
func (poll *poll) hasReplicaQuorums(completeOnly bool) bool {
	granted := []message.Member{}
	for index, vote := range poll.votes {
		if vote.replica != nil && vote.replica.Granted && (vote.replica.Complete || !completeOnly) {
			granted = append(granted, poll.members[index])
		}
	}
	return quorumInEach(poll.replicaSets, granted)
}

// requestClaim sends the claim to all replicas and cores, and once more if the voters changed
// meanwhile.
func (claims *Claims) requestClaim(
	sets [][]message.Member,
	members []message.Member,
	claim *message.ClaimRequest,
) (*message.ClaimRecord, bool) {
	coresDown := claims.coreStore.unavailable()
	result := claims.pollOnce(sets, members, claim, coresDown)
	if result.coreVotes().outdated() && result.refusal() == nil && !result.granted(coresDown) {
		claims.proxy.counters.Add("claims_by_former_voters", 1)
		result = claims.pollOnce(sets, members, claim, coresDown)
	}
	if refusal := result.refusal(); refusal != nil {
		return refusal, false
	}
	votes := result.coreVotes()
	claims.coreStore.recordContact(votes.durable())
	if votes.durable() {
		return nil, result.hasReplicaQuorums(!votes.complete())
	}
	if !result.hasReplicaQuorums(true) {
		return nil, false
	}
	claims.proxy.counters.Add("claims_without_core", 1)
	claims.coreStore.enqueue(pendingUpdate{merged: &claim.Record})
	return nil, true
}

// granted reports whether the answers suffice. A grant needs a quorum of replicas and a majority
// of cores. While the cores are unavailable, a quorum of complete replicas is enough.
func (poll *poll) granted(coresDown bool) bool {
	votes := poll.coreVotes()
	return votes.durable() && poll.hasReplicaQuorums(!votes.complete()) || coresDown && poll.hasReplicaQuorums(true)
}

// pollOnce sends the claim to all replicas and cores once. It stops early at a refusal, at enough
// grants, and at an answer under newer voters.
func (claims *Claims) pollOnce(sets [][]message.Member, members []message.Member, claim *message.ClaimRequest, coresDown bool) *poll {
	membership, cores := claims.coreStore.coresToQuery()
	result := &poll{membership: membership, replicaSets: sets, members: members}
	result.votes, _ = concurrent.Gather(claims.proxy.goroutines, len(members)+len(cores), func(index int) (claimVote, error) {
		if index >= len(members) {
			response, err := claims.coreStore.recordClaims(
				cores[index-len(members)],
				&message.RecordClaimsRequest{Membership: membership.accepted, Claims: []message.ClaimRequest{*claim}},
				coreClaimTimeout,
			)
			return claimVote{core: response}, err
		}
		if members[index].Name == claims.proxy.daemon.Name() {
			return claimVote{replica: claims.grant(claim)}, nil
		}
		response, err := rpc.Call(claims.proxy.daemon.Client(), members[index].InternalAddress, message.MethodClaim, claimTimeout, claim)
		return claimVote{replica: response}, err
	}, func(votes map[int]claimVote, _ map[int]error) bool {
		partial := *result
		partial.votes = votes
		return partial.refusal() != nil || membership.voters != nil && partial.coreVotes().outdated() || partial.granted(coresDown)
	})
	claims.coreStore.updateMembership(result.coreVotes().newest)
	return result
}
