package serviceproxy

import (
	"bytes"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// coreMembership is the membership by which a proxy counts votes of cores. voters is nil while
// none is known.
type coreMembership struct {
	accepted message.AcceptedValue
	voters   *message.VoterSet
}

// decodeCoreMembership decodes a membership. It returns an empty one if that fails.
func decodeCoreMembership(accepted message.AcceptedValue) coreMembership {
	membership, err := consensus.DecodeMembership(accepted)
	if err != nil || membership == nil {
		return coreMembership{}
	}
	return coreMembership{accepted: accepted, voters: membership.VoterSet()}
}

// newer returns the newer of two memberships.
func (membership coreMembership) newer(other coreMembership) coreMembership {
	if other.voters != nil && membership.accepted.Version().Less(other.accepted.Version()) {
		return other
	}
	return membership
}

// sameVoters reports whether two memberships have the same voters.
func (membership coreMembership) sameVoters(other coreMembership) bool {
	return bytes.Equal(membership.accepted.Value.Body, other.accepted.Value.Body)
}

// coreVote is the answer of one core, with the membership under which it was given.
type coreVote struct {
	membership coreMembership
	core       int
	recorded   bool
	complete   bool
}

// coreVotes counts answers by the newest membership that any of them reports. Answers given under
// other voters are ignored.
type coreVotes struct {
	asked  coreMembership
	newest coreMembership
	votes  []coreVote
}

func newCoreVotes(asked coreMembership) *coreVotes {
	return &coreVotes{asked: asked, newest: asked}
}

// add adds an answer. One without a membership was given under that of the request.
func (votes *coreVotes) add(members message.AcceptedValue, core int, recorded, complete bool) {
	membership := votes.asked
	if members.Value.Serial > 0 {
		membership = decodeCoreMembership(members)
	}
	votes.newest = votes.newest.newer(membership)
	votes.votes = append(votes.votes, coreVote{membership: membership, core: core, recorded: recorded, complete: complete})
}

// recordedBy returns a function that reports whether a core recorded the request under the newest
// voters and, with completeOnly, holds all claims.
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

// durable reports whether a quorum recorded the request.
func (votes *coreVotes) durable() bool {
	return votes.newest.voters != nil && votes.newest.voters.Quorum(votes.recordedBy(false))
}

// complete reports whether a majority of the current voters recorded the request and holds all
// claims, so that it intersects every quorum. Joining voters don't count: it is not certain yet
// what they hold.
func (votes *coreVotes) complete() bool {
	voters := votes.newest.voters
	return voters != nil && message.CountIn(voters.Current, votes.recordedBy(true)) >= message.Majority(voters.Current)
}

// outdated reports whether an answer came under newer voters than those of the request.
func (votes *coreVotes) outdated() bool { return !votes.newest.sameVoters(votes.asked) }
