package consensus

import (
	"slices"

	"orchidjunction/message"
)

// Founding is the durable state of a seed until the first membership is known: single-decree
// Paxos among the seeds of the first start. A ballot is the rank of the seed that proposes under
// it. A seed whose disk is lost has no Founding any more: it neither proposes nor votes, so that
// each majority of the seeds that accepted a proposal intersects each majority that is left.
type Founding struct {
	Seeds          []string // of the first start; empty on a disk that does not date from it
	Promised       int
	AcceptedBallot int
	Accepted       message.AcceptedValue
}

// Ballot returns the ballot of the seed at an address, or 0 for any other core.
func (founding *Founding) Ballot(address string) int {
	return slices.Index(founding.ranked(), address) + 1
}

// Before returns the seeds that propose before the one with a ballot.
func (founding *Founding) Before(ballot int) []string { return founding.ranked()[:ballot-1] }

func (founding *Founding) ranked() []string {
	return slices.SortedFunc(slices.Values(founding.Seeds), CompareAddresses)
}

// IsMajority reports whether a number of seeds is a majority.
func (founding *Founding) IsMajority(count int) bool { return 2*count > len(founding.Seeds) }

// Vote returns the response to a request, and the state that must be durable before the response
// is sent, or nil if it does not change.
func (founding *Founding) Vote(request *message.FoundRequest) (*message.FoundResponse, *Founding) {
	response := &message.FoundResponse{AcceptedBallot: founding.AcceptedBallot, Accepted: founding.Accepted}
	if len(founding.Seeds) == 0 || request.Ballot < founding.Promised {
		return response, nil
	}
	response.Granted = true
	next := *founding
	next.Promised = request.Ballot
	if request.Proposal.Value.Serial > 0 {
		next.AcceptedBallot, next.Accepted = request.Ballot, request.Proposal
	} else if request.Ballot == founding.Promised {
		return response, nil
	}
	return response, &next
}

// Proposal returns what a seed must propose after a majority has promised its ballot: the proposal
// accepted under the highest ballot, since it may have been chosen, or else its own.
func Proposal(promises []*message.FoundResponse, own message.AcceptedValue) message.AcceptedValue {
	highest := 0
	for _, promise := range promises {
		if promise.AcceptedBallot > highest {
			highest, own = promise.AcceptedBallot, promise.Accepted
		}
	}
	return own
}
