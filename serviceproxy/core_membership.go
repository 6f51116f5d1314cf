package serviceproxy

import (
	"bytes"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// coreMembership is a membership of the cores as a proxy counts by it; its voters are nil
// while none is known.
type coreMembership struct {
	accepted message.AcceptedValue
	voters   *message.VoterSet
}

// decodeCoreMembership reads a membership; one that can't be read is as good as none.
func decodeCoreMembership(accepted message.AcceptedValue) coreMembership {
	membership, err := consensus.DecodeMembership(accepted)
	if err != nil || membership == nil {
		return coreMembership{}
	}
	return coreMembership{accepted: accepted, voters: membership.VoterSet()}
}

// newer is the newer of two memberships.
func (membership coreMembership) newer(other coreMembership) coreMembership {
	if other.voters != nil && membership.accepted.Version().Less(other.accepted.Version()) {
		return other
	}
	return membership
}

// same is whether two memberships have the same voters.
func (membership coreMembership) sameVoters(other coreMembership) bool {
	return bytes.Equal(membership.accepted.Value.Body, other.accepted.Value.Body)
}

// coreVote is what one core answered, under which membership.
type coreVote struct {
	membership coreMembership
	core       int
	recorded   bool
	complete   bool
}

// coreVotes are counted by the newest membership that any answer names; an answer
// given under other voters than those counts for nothing.
type coreVotes struct {
	asked  coreMembership
	newest coreMembership
	votes  []coreVote
}

func newCoreVotes(asked coreMembership) *coreVotes {
	return &coreVotes{asked: asked, newest: asked}
}

// add takes an answer; one without a membership was given under that of the question.
func (votes *coreVotes) add(members message.AcceptedValue, core int, recorded, complete bool) {
	membership := votes.asked
	if members.Value.Serial > 0 {
		membership = decodeCoreMembership(members)
	}
	votes.newest = votes.newest.newer(membership)
	votes.votes = append(votes.votes, coreVote{membership: membership, core: core, recorded: recorded, complete: complete})
}

// has is which voters of the newest membership took the question; with wholes, only
// those that lack nothing.
func (votes *coreVotes) recordedBy(completeOnly bool) func(id int) bool {
	return func(id int) bool {
		for _, vote := range votes.votes {
			if vote.core == id && vote.recorded && vote.membership.sameVoters(votes.newest) && (vote.complete || !completeOnly) {
				return true
			}
		}
		return false
	}
}

// durable is whether a quorum took the question.
func (votes *coreVotes) durable() bool {
	return votes.newest.voters != nil && votes.newest.voters.Quorum(votes.recordedBy(false))
}

// complete is whether so many that took it lack nothing that no quorum is missed. Those
// that are only joining don't count: nobody vouches yet for what they hold.
func (votes *coreVotes) complete() bool {
	voters := votes.newest.voters
	return voters != nil && message.CountIn(voters.Current, votes.recordedBy(true)) >= message.Majority(voters.Current)
}

// outdated is whether the question counted by voters that are no more.
func (votes *coreVotes) outdated() bool { return !votes.newest.sameVoters(votes.asked) }
