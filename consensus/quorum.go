package consensus

import "orchidjunction/message"

// Agreed returns a function that reports whether a voter gave a response that agrees.
func Agreed[Response any](responses map[int]*Response, agrees func(*Response) bool) func(id int) bool {
	return func(id int) bool {
		response, answered := responses[id]
		return answered && agrees(response)
	}
}

// Initialized reports whether a replica may vote.
func Initialized(response *message.ReplicaStateResponse) bool { return response.Initialized }

// Granted reports whether a promise was granted.
func Granted(response *message.PrepareResponse) bool { return response.Granted }

// newestValues returns the newest value of each register in the promises and the ID of
// its replica.
func newestValues(
	promises map[int]*message.PrepareResponse,
) (newest [message.Registers]message.AcceptedValue, sources [message.Registers]int) {
	for id, promise := range promises {
		for register, accepted := range promise.Accepted {
			if newest[register].Version().Less(accepted.Version()) {
				newest[register], sources[register] = accepted, id
			}
		}
	}
	return newest, sources
}

// InheritedValues returns the values that a term inherits from the replicas that promised
// it, and their sources: the newest value of each register, and the membership that the
// promises were counted by. No replica that promised has accepted a newer membership with
// other voters, as it would have refused.
func InheritedValues(
	view *View,
	promises map[int]*message.PrepareResponse,
) (newest [message.Registers]message.AcceptedValue, sources [message.Registers]int) {
	newest, sources = newestValues(promises)
	newest[message.MembersRegister] = view.Accepted()
	return newest, sources
}

// Candidate holds what the choice between two candidates depends on: the versions of a
// core's registers, the number of cores that it reaches, and its ID.
type Candidate struct {
	ID        int
	Versions  message.Versions
	Reachable int
}

// BetterThan reports whether a candidate has precedence over another one.
func (candidate Candidate) BetterThan(other Candidate) bool {
	if candidate.Versions != other.Versions {
		return other.Versions.Less(candidate.Versions)
	}
	if candidate.Reachable != other.Reachable {
		return candidate.Reachable > other.Reachable
	}
	return candidate.ID > other.ID
}
